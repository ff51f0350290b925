//! Parses the command line of `fulmarctl`.

use std::{net::SocketAddr, path::PathBuf};

use crate::{
    ctl::{explaining, fleet_client, platform_view},
    error,
    transport::store,
};

/// A command and its output format.
#[derive(Clone)]
pub struct Command {
    /// What to do.
    pub action: Action,
    /// Whether the output is JSON.
    pub json: bool,
}

/// What a command does.
#[derive(Clone)]
pub enum Action {
    /// Print a text.
    Print(String),
    /// Check the objects in a folder.
    Check {
        /// The folder.
        dir: PathBuf,
        /// The key-value service, if totals are to be compared with the tokens granted and spent.
        store: Option<store::Store>,
    },
    /// Compare the objects in a folder with the published ones.
    Diff {
        /// The folder.
        dir: PathBuf,
        /// The key-value service.
        store: store::Store,
    },
    /// Check and publish the objects in a folder.
    Publish {
        /// The folder.
        dir: PathBuf,
        /// The key-value service.
        store: store::Store,
        /// Version that must currently be published; `None` for any.
        expect: Option<u64>,
        /// The fleet whose routers to wait for; `None` to return at once.
        wait: Option<fleet_client::FleetClient>,
    },
    /// Show the published objects.
    Get {
        /// The key-value service.
        store: store::Store,
    },
    /// Show the routers and agents, and the versions that they have in force.
    Status {
        /// The key-value service.
        store: store::Store,
        /// The fleet to ask.
        fleet: fleet_client::FleetClient,
    },
    /// Show a budget, and the tokens granted and spent.
    BudgetShow {
        /// Name of the budget.
        name: String,
        /// The key-value service.
        store: store::Store,
    },
    /// Publish a new total of a budget.
    TopUp {
        /// Name of the budget.
        name: String,
        /// Total of all tokens prepaid so far, including those already spent.
        total: u64,
        /// The key-value service.
        store: store::Store,
    },
    /// Start or stop draining an agent.
    Drain {
        /// Name of the agent's VM.
        vm: String,
        /// Whether to start draining.
        on: bool,
        /// The fleet that the agent belongs to.
        fleet: fleet_client::FleetClient,
    },
    /// Ask a gateway where a request would go.
    Explain(explaining::Call),
    /// Show which router coordinates the orders of each pool.
    Order {
        /// The key-value service.
        store: store::Store,
    },
    /// Show a fleet of gateways, from the platform's store.
    Platform {
        /// What to show.
        view: platform_view::View,
        /// Address of the platform's store.
        store: SocketAddr,
    },
}

const USAGE: &str = "Usage: fulmarctl COMMAND [FLAGS]

Commands:
  check DIR                  Check the objects in a folder; with --store, also
                             compare totals with the tokens granted and spent.
  diff DIR                   Show what publishing a folder would change.
  publish DIR                Check and publish the objects in a folder.
  get                        Show the published objects.
  status                     Show the routers and agents, and the versions
                             that they have in force.
  budget show NAME           Show a budget and the tokens granted and spent.
  budget top-up NAME TOTAL   Publish a new total of a budget: all tokens
                             prepaid so far, including those already spent.
  drain VM                   Send no new work to a backend server.
  order                      Show which router coordinates the orders of each
                             pool.
  explain                    Ask a running gateway where a request would go
                             now, and why, without sending it.
  platform members           Show the gateways on the platform and the version
                             that each has in force, one JSON object a line.
  platform servers           Show the backend servers that the platform lists.
  platform budgets           Show the budgets and the share of each gateway.

Flags:
  --store URL            Address of the key-value service (FULMAR_STORE).
  --platform-store IP:PORT
                         Address of the platform's store
                         (FULMAR_PLATFORM_STORE).
  --vms URL              Address of the platform's list of VMs (FULMAR_VMS).
  --fleet-key-file PATH  Key that all members share (FULMAR_FLEET_KEY_FILE).
  --gateway IP:PORT      Address of a gateway's admin listener (FULMAR_GATEWAY),
                         for explain. The request is described by:
  --headers PATH         File with its headers, one NAME: VALUE a line.
  --method METHOD        Default POST.
  --host HOST, --path PATH
  --key KEY              API key (FULMAR_KEY).
  --workspace NAME       Workspace, instead of a key.
  --token-usage IN,OUT   Tokens of the prompt and of the response at most.
  --prompt-prefix ID:TOKENS,...
                         Parts of the prompt.
  --expect N             Publish only if version N is published now.
  --wait                 Wait until all routers have the version in force.
  --off                  Stop draining.
  --json                 Print JSON.
  --help, --version
";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "store", "", "URL");
    options.optopt("", "platform-store", "", "IP:PORT");
    options.optopt("", "vms", "", "URL");
    options.optopt("", "fleet-key-file", "", "PATH");
    options.optopt("", "expect", "", "N");
    for (flag, value) in explaining::FLAGS {
        options.optopt("", flag, "", value);
    }
    options.optflag("", "wait", "");
    options.optflag("", "off", "");
    options.optflag("", "json", "");
    options.optflag("h", "help", "");
    options.optflag("V", "version", "");
    options
}

fn argument_error(message: String) -> error::Error {
    error::Error::Argument { message }
}

/// Looks up values: the flag first, then the environment variable.
struct Values<'a> {
    matches: &'a getopts::Matches,
    env: &'a dyn Fn(&str) -> Option<String>,
}

impl Values<'_> {
    fn find(&self, flag: &str, env: &str) -> Option<String> {
        let given = self.matches.opt_str(flag);
        given.or_else(|| (self.env)(env).filter(|_| !env.is_empty()))
    }

    fn require(&self, flag: &str, env: &str) -> Result<String, error::Error> {
        let missing = || argument_error(format!("--{flag} or {env} must be set"));
        self.find(flag, env).ok_or_else(missing)
    }

    fn store(&self) -> Result<store::Store, error::Error> {
        let url = self.require("store", "FULMAR_STORE")?;
        Ok(store::Store::over_http(&url))
    }

    fn fleet(&self) -> Result<fleet_client::FleetClient, error::Error> {
        let vms = self.require("vms", "FULMAR_VMS")?;
        let key_file = self.require("fleet-key-file", "FULMAR_FLEET_KEY_FILE")?;
        fleet_client::FleetClient::new(&vms, &key_file)
    }

    fn action(&self, free: &[&str]) -> Result<Action, error::Error> {
        Ok(match free {
            ["check", dir] => Action::Check {
                dir: dir.into(),
                store: self
                    .matches
                    .opt_str("store")
                    .map(|url| store::Store::over_http(&url)),
            },
            ["diff", dir] => Action::Diff {
                dir: dir.into(),
                store: self.store()?,
            },
            ["publish", dir] => Action::Publish {
                dir: dir.into(),
                store: self.store()?,
                expect: self.expect()?,
                wait: match self.matches.opt_present("wait") {
                    true => Some(self.fleet()?),
                    false => None,
                },
            },
            ["get"] => Action::Get {
                store: self.store()?,
            },
            ["status"] => Action::Status {
                store: self.store()?,
                fleet: self.fleet()?,
            },
            ["budget", "show", name] => Action::BudgetShow {
                name: (*name).to_owned(),
                store: self.store()?,
            },
            ["budget", "top-up", name, total] => Action::TopUp {
                name: (*name).to_owned(),
                total: parse_number("TOTAL", total)?,
                store: self.store()?,
            },
            ["drain", vm] => Action::Drain {
                vm: (*vm).to_owned(),
                on: !self.matches.opt_present("off"),
                fleet: self.fleet()?,
            },
            ["explain"] => {
                Action::Explain(explaining::Call::parse(|flag, env| self.find(flag, env))?)
            }
            // The arguments may contain a key.
            ["explain", ..] => {
                let message = "explain takes no arguments beside its flags, see --help";
                return Err(argument_error(message.to_owned()));
            }
            ["order"] => Action::Order {
                store: self.store()?,
            },
            ["platform", "members"] => self.platform(platform_view::View::Members)?,
            ["platform", "servers"] => self.platform(platform_view::View::Servers)?,
            ["platform", "budgets"] => self.platform(platform_view::View::Budgets)?,
            // A key in quotes that were forgotten is taken for a part of the command.
            _ if self.matches.opt_present("key") => {
                return Err(argument_error("unknown command, see --help".to_owned()));
            }
            other => {
                let command = other.join(" ");
                return Err(argument_error(format!(
                    "unknown command {command:?}, see --help"
                )));
            }
        })
    }

    fn platform(&self, view: platform_view::View) -> Result<Action, error::Error> {
        let given = self.require("platform-store", "FULMAR_PLATFORM_STORE")?;
        let store = given.parse().map_err(|_| {
            argument_error(format!(
                "invalid value {given:?} for --platform-store: expected IP:PORT"
            ))
        })?;
        Ok(Action::Platform { view, store })
    }

    fn expect(&self) -> Result<Option<u64>, error::Error> {
        let given = self.matches.opt_str("expect");
        given
            .map(|value| parse_number("--expect", &value))
            .transpose()
    }
}

fn parse_number(name: &str, value: &str) -> Result<u64, error::Error> {
    let parsed = value.parse();
    parsed.map_err(|_| {
        argument_error(format!(
            "invalid value {value:?} for {name}: expected a whole number"
        ))
    })
}

/// Parses the command line; values that it does not set are taken from the environment.
///
/// # Errors
///
/// [`error::Error::CommandLine`] for an unknown flag or one without its value,
/// [`error::Error::Argument`] for an unknown command and for a missing or invalid value.
///
/// ```
/// use fulmarproxy::ctl;
/// let args = ["check".to_owned(), "objects".to_owned()];
/// let command = ctl::parse(&args, &|_| None).unwrap();
/// assert!(matches!(command.action, ctl::Action::Check { .. }));
/// ```
pub fn parse(
    args: &[String],
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Command, error::Error> {
    let matches = options().parse(args)?;
    let json = matches.opt_present("json");
    let print = |text: &str| Command {
        action: Action::Print(text.to_owned()),
        json,
    };
    if matches.opt_present("help") {
        return Ok(print(USAGE));
    }
    if matches.opt_present("version") {
        return Ok(print(concat!(
            "fulmarctl ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        )));
    }
    let values = Values {
        matches: &matches,
        env,
    };
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let action = values.action(&free)?;
    Ok(Command { action, json })
}
