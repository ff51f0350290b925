//! Settings of the daemon as a router or agent: flags and environment variables, checked at start.

use std::{fmt::Write, net::SocketAddr, time::Duration};

use crate::{error, state::name, transport::http};

/// A setting, given as a flag or as an environment variable.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without the dashes.
    pub flag: &'static str,
    /// Environment variable, read when the flag is absent.
    pub env: &'static str,
    /// Value when both are absent; `None` when the setting is required.
    pub default: Option<&'static str>,
    /// Description of the allowed values, for the help text and errors.
    pub allowed: &'static str,
    /// What the setting does, for the help text.
    pub help: &'static str,
    /// Roles that read the setting.
    pub roles: &'static [&'static str],
}

const ROUTER_AND_AGENT: &[&str] = &["router", "agent"];
const ROUTER: &[&str] = &["router"];
const AGENT: &[&str] = &["agent"];

/// All settings of routers and agents, in the order of the help text.
pub const SETTINGS: &[Setting] = &[
    Setting {
        flag: "name",
        env: "FULMAR_NAME",
        default: None,
        allowed: "a VM name",
        help: "Name of this VM",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "region",
        env: "FULMAR_REGION",
        default: None,
        allowed: "a region name",
        help: "Region of this VM",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "zone",
        env: "FULMAR_ZONE",
        default: None,
        allowed: "an availability zone name",
        help: "Availability zone of this VM",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "listen",
        env: "FULMAR_LISTEN",
        default: Some("127.0.0.1:8080"),
        allowed: "IP:port",
        help: "Address to listen on for callers",
        roles: ROUTER,
    },
    Setting {
        flag: "fleet-listen",
        env: "FULMAR_FLEET_LISTEN",
        default: Some("127.0.0.1:7070"),
        allowed: "IP:port",
        help: "Address to listen on for other routers and agents",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "admin-listen",
        env: "FULMAR_ADMIN_LISTEN",
        default: Some("127.0.0.1:9090"),
        allowed: "IP:port",
        help: "Address to listen on for health checks, readiness and metrics",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "store",
        env: "FULMAR_STORE",
        default: None,
        allowed: "an http:// URL",
        help: "URL of the platform's key-value service",
        roles: ROUTER,
    },
    Setting {
        flag: "vms",
        env: "FULMAR_VMS",
        default: None,
        allowed: "an http:// URL",
        help: "URL of the platform's list of VMs",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "fleet-key-file",
        env: "FULMAR_FLEET_KEY_FILE",
        default: None,
        allowed: "a readable file of at least 16 bytes",
        help: "File with the secret key that all routers and agents share",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "service",
        env: "FULMAR_SERVICE",
        default: None,
        allowed: "a service name",
        help: "Service that the backend server beside this agent belongs to",
        roles: AGENT,
    },
    Setting {
        flag: "backend",
        env: "FULMAR_BACKEND",
        default: None,
        allowed: "an http:// URL",
        help: "URL of the backend server beside this agent",
        roles: AGENT,
    },
    Setting {
        flag: "slots",
        env: "FULMAR_SLOTS",
        default: Some("16"),
        allowed: "a number from 1 to 4096",
        help: "Requests that the backend server runs concurrently",
        roles: AGENT,
    },
    Setting {
        flag: "workers",
        env: "FULMAR_WORKERS",
        default: Some("2"),
        allowed: "a number from 1 to 256",
        help: "Threads that serve connections to other routers and agents",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "drain-seconds",
        env: "FULMAR_DRAIN_SECONDS",
        default: Some("600"),
        allowed: "a number from 0 to 86400",
        help: "Maximum wait for requests in flight at shutdown, in seconds",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "memory-mb",
        env: "FULMAR_MEMORY_MB",
        default: Some("256"),
        allowed: "a number from 32 to 1048576",
        help: "Memory of this VM, in units of 1000000 bytes",
        roles: ROUTER,
    },
    Setting {
        flag: "max-fds",
        env: "FULMAR_MAX_FDS",
        default: Some("4096"),
        allowed: "a number from 256 to 1048576",
        help: "File descriptors of this VM",
        roles: ROUTER,
    },
    Setting {
        flag: "max-body-bytes",
        env: "FULMAR_MAX_BODY_BYTES",
        default: Some("8388608"),
        allowed: "a number from 1024 to 8388608",
        help: "Largest request body, in bytes",
        roles: ROUTER,
    },
    Setting {
        flag: "log",
        env: "FULMAR_LOG",
        default: Some("info"),
        allowed: "error, warn, info, debug or trace, or a filter",
        help: "Lowest severity that is logged",
        roles: ROUTER_AND_AGENT,
    },
    Setting {
        flag: "log-format",
        env: "FULMAR_LOG_FORMAT",
        default: Some("text"),
        allowed: "text or json",
        help: "Format of the log",
        roles: ROUTER_AND_AGENT,
    },
];

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests from callers and sends them to agents.
    Router,
    /// Runs requests on the backend server beside it.
    Agent,
}

/// Checked settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Role of the daemon.
    pub role: Role,
    /// Name of this VM.
    pub name: name::Name,
    /// Region of this VM.
    pub region: name::Name,
    /// Availability zone of this VM.
    pub zone: name::Name,
    /// Address to listen on for callers; unused by an agent.
    pub listen: SocketAddr,
    /// Address to listen on for other members of the fleet.
    pub fleet_listen: SocketAddr,
    /// Address to listen on for health checks, readiness and metrics.
    pub admin_listen: SocketAddr,
    /// URL of the key-value service; empty for an agent.
    pub store: String,
    /// URL of the list of VMs.
    pub vms: String,
    /// Secret key that all members of the fleet share.
    pub fleet_key: Vec<u8>,
    /// Service that the backend server belongs to; empty for a router.
    pub service: name::Name,
    /// URL of the backend server; empty for a router.
    pub backend: String,
    /// Requests that the backend server runs concurrently.
    pub slots: u32,
    /// Threads that serve connections to other members.
    pub workers: usize,
    /// Maximum wait for requests in flight at shutdown.
    pub drain_timeout: Duration,
    /// Memory of the VM, in bytes; the lowest allowed for an agent.
    pub memory_bytes: usize,
    /// File descriptors of the VM; the lowest allowed for an agent.
    pub max_fds: usize,
    /// Largest request body, in bytes; the lowest allowed for an agent.
    pub max_body_bytes: usize,
    /// Log level or filter, as [`crate::logging::start`] takes it.
    pub log: String,
    /// Whether the log is written as JSON.
    pub log_json: bool,
}

/// What the command line asks the daemon to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the daemon with these settings.
    Run(Box<Settings>),
    /// Check the settings and exit.
    Check,
    /// Print this text and exit.
    Print(String),
}

/// Looks up the values of settings, from the flag, else the environment variable, else the default.
struct Values<'a> {
    role: &'static str,
    matches: &'a getopts::Matches,
    env: &'a dyn Fn(&str) -> Option<String>,
}

impl Values<'_> {
    /// Returns a setting with its value; the value is empty when the role does not use the setting.
    fn lookup(&self, flag: &str) -> Result<(&'static Setting, String), error::Error> {
        let setting = setting(flag);
        if !setting.roles.contains(&self.role) {
            return Ok((setting, String::new()));
        }
        let given = self.matches.opt_str(setting.flag);
        let given = given.or_else(|| (self.env)(setting.env));
        let value = given.or_else(|| setting.default.map(str::to_owned));
        match value {
            Some(value) => Ok((setting, value)),
            None => Err(invalid_value(setting, "")),
        }
    }

    /// Parses the value of a setting; returns `unused` when the role does not use the setting.
    fn parse_value<T>(
        &self,
        flag: &str,
        parse: impl Fn(&str) -> Option<T>,
        unused: T,
    ) -> Result<T, error::Error> {
        let (setting, value) = self.lookup(flag)?;
        if !setting.roles.contains(&self.role) {
            return Ok(unused);
        }
        parse(&value).ok_or_else(|| invalid_value(setting, &value))
    }

    fn name(&self, flag: &str) -> Result<name::Name, error::Error> {
        self.parse_value(flag, parse_name, name::Name::from(""))
    }

    fn url(&self, flag: &str) -> Result<String, error::Error> {
        self.parse_value(flag, parse_url, String::new())
    }

    fn address(&self, flag: &str) -> Result<SocketAddr, error::Error> {
        let unused = SocketAddr::from(([0, 0, 0, 0], 0));
        self.parse_value(flag, |value| value.parse().ok(), unused)
    }

    fn number(&self, flag: &str, min: u64, max: u64) -> Result<u64, error::Error> {
        let parse = |value: &str| value.parse().ok().filter(|n| (min..=max).contains(n));
        self.parse_value(flag, parse, min)
    }
}

/// Returns the setting with this flag.
fn setting(flag: &str) -> &'static Setting {
    let found = SETTINGS.iter().find(|setting| setting.flag == flag);
    found.expect("a setting that is looked up is in the table")
}

fn invalid_value(setting: &'static Setting, value: &str) -> error::Error {
    error::Error::Setting {
        setting: setting.flag,
        value: value.to_owned(),
        allowed: setting.allowed,
    }
}

fn parse_name(value: &str) -> Option<name::Name> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let is_valid = !value.is_empty() && value.len() <= 128 && value.chars().all(allowed);
    is_valid.then(|| name::Name::from(value))
}

fn parse_url(value: &str) -> Option<String> {
    let rest = value.strip_prefix("http://")?;
    (!rest.is_empty()).then(|| value.to_owned())
}

fn build_options() -> getopts::Options {
    let mut options = getopts::Options::new();
    for setting in SETTINGS {
        options.optopt("", setting.flag, setting.help, "VALUE");
    }
    options.optflag("", "check-settings", "Check the settings and exit");
    options.optflag("h", "help", "Show this help");
    options.optflag("V", "version", "Show the version");
    options
}

fn usage() -> String {
    let mut text = String::from("Usage: fulmard router|agent [FLAGS]\n\n");
    for setting in SETTINGS {
        let default = match setting.default {
            Some(default) => format!("default {default}"),
            None => "required".to_owned(),
        };
        let Setting {
            flag,
            env,
            help,
            allowed,
            ..
        } = setting;
        let roles = setting.roles.join(", ");
        let _ = writeln!(text, "  --{flag} VALUE  ({env})");
        let _ = writeln!(text, "      {help}: {allowed}; {default}; {roles}.");
    }
    text.push_str("  --check-settings\n      Check the settings and exit.\n");
    text.push_str("  --help, --version\n");
    text
}

/// Parses the command line and the environment; `env` looks up an environment variable.
///
/// # Errors
///
/// [`error::Error::Setting`] when a value is missing or not allowed,
/// [`error::Error::CommandLine`] when a flag is unknown or used wrongly, and
/// [`error::Error::Argument`] when the role is neither `router` nor `agent`.
///
/// ```
/// use fulmarproxy::settings;
/// let args = vec!["--version".to_owned()];
/// let command = settings::parse(&args, &|_| None).unwrap();
/// assert!(matches!(command, settings::Command::Print(_)));
/// ```
pub fn parse(
    args: &[String],
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Command, error::Error> {
    let matches = build_options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(usage()));
    }
    if matches.opt_present("version") {
        let version = concat!("fulmard ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(Command::Print(version.to_owned()));
    }
    let role = match matches.free.as_slice() {
        [role] if role == "router" => Role::Router,
        [role] if role == "agent" => Role::Agent,
        other => {
            let message = format!("expected router or agent, found {:?}", other.join(" "));
            return Err(error::Error::Argument { message });
        }
    };
    let values = Values {
        role: role.name(),
        matches: &matches,
        env,
    };
    let settings = read_settings(role, &values)?;
    match matches.opt_present("check-settings") {
        true => Ok(Command::Check),
        false => Ok(Command::Run(Box::new(settings))),
    }
}

fn read_settings(role: Role, values: &Values<'_>) -> Result<Settings, error::Error> {
    Ok(Settings {
        role,
        name: values.name("name")?,
        region: values.name("region")?,
        zone: values.name("zone")?,
        listen: values.address("listen")?,
        fleet_listen: values.address("fleet-listen")?,
        admin_listen: values.address("admin-listen")?,
        store: values.url("store")?,
        vms: values.url("vms")?,
        fleet_key: values.parse_value("fleet-key-file", read_key, Vec::new())?,
        service: values.name("service")?,
        backend: values.url("backend")?,
        slots: values.number("slots", 1, 4096)? as u32,
        workers: values.number("workers", 1, 256)? as usize,
        drain_timeout: Duration::from_secs(values.number("drain-seconds", 0, 86_400)?),
        memory_bytes: values.number("memory-mb", 32, 1 << 20)? as usize * 1_000_000,
        max_fds: values.number("max-fds", 256, 1 << 20)? as usize,
        max_body_bytes: values.number("max-body-bytes", 1024, http::MAX_BODY_BYTES)? as usize,
        log: values.parse_value("log", |value| Some(value.to_owned()), String::new())?,
        log_json: values.parse_value("log-format", parse_log_format, false)?,
    })
}

/// Reads the key file; `None` when it cannot be read or is too short.
fn read_key(path: &str) -> Option<Vec<u8>> {
    const MIN_KEY_BYTES: usize = 16;
    let key = std::fs::read(path).ok()?;
    (key.len() >= MIN_KEY_BYTES).then_some(key)
}

/// Parses the log format; true for JSON.
fn parse_log_format(value: &str) -> Option<bool> {
    match value {
        "text" => Some(false),
        "json" => Some(true),
        _ => None,
    }
}

impl Role {
    /// Name of the role on the command line.
    ///
    /// ```
    /// assert_eq!(fulmarproxy::settings::Role::Agent.name(), "agent");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Router => "router",
            Self::Agent => "agent",
        }
    }
}
