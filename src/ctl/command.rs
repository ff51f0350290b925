//! Command line of the operators' tool.

use std::{net::SocketAddr, path::PathBuf};

use crate::{
    ctl::{fleet_client, platform_view},
    error,
    transport::store,
};

/// A command and the form of its output.
#[derive(Clone)]
pub struct Command {
    /// What to do.
    pub action: Action,
    /// Whether the output is JSON.
    pub json: bool,
}

/// What the tool is asked to do.
#[derive(Clone)]
pub enum Action {
    /// Print this text.
    Print(String),
    /// Check a folder of objects.
    Check {
        /// The folder.
        dir: PathBuf,
        /// The key-value service, to compare totals with what is granted and spent.
        store: Option<store::Store>,
    },
    /// Compare a folder of objects with the published set.
    Diff {
        /// The folder.
        dir: PathBuf,
        /// The key-value service.
        store: store::Store,
    },
    /// Check and publish a folder of objects.
    Publish {
        /// The folder.
        dir: PathBuf,
        /// The key-value service.
        store: store::Store,
        /// Version that must be published now.
        expect: Option<u64>,
        /// How to reach the routers whose versions to wait for.
        wait: Option<fleet_client::FleetClient>,
    },
    /// Show the published set.
    Get {
        /// The key-value service.
        store: store::Store,
    },
    /// Show routers, agents and versions in force.
    Status {
        /// The key-value service.
        store: store::Store,
        /// How to reach the routers.
        fleet: fleet_client::FleetClient,
    },
    /// Show a budget.
    BudgetShow {
        /// Name of the budget.
        name: String,
        /// The key-value service.
        store: store::Store,
    },
    /// Publish another total of a budget.
    TopUp {
        /// Name of the budget.
        name: String,
        /// All tokens ever paid for.
        total: u64,
        /// The key-value service.
        store: store::Store,
    },
    /// Begin or end draining of an agent.
    Drain {
        /// VM name.
        vm: String,
        /// Whether to begin.
        on: bool,
        /// How to reach the agent.
        fleet: fleet_client::FleetClient,
    },
    /// Show who coordinates the orders of each pool.
    Order {
        /// The key-value service.
        store: store::Store,
    },
    /// Show a fleet of gateways on the users' platform.
    Platform {
        /// What to show.
        view: platform_view::View,
        /// Address of the platform's store.
        store: SocketAddr,
    },
}

const USAGE: &str = "Usage: fulmarctl COMMAND [FLAGS]

Commands:
  check DIR                  Check a folder of objects; with --store, also
                             compare totals with what is granted and spent.
  diff DIR                   Show what publishing a folder would change.
  publish DIR                Check and publish a folder of objects.
  get                        Show the published objects.
  status                     Show routers, agents and versions in force.
  budget show NAME           Show a budget and what is granted and spent.
  budget top-up NAME TOTAL   Publish another absolute total of a budget.
  drain VM                   Give a backend server no new work.
  order                      Show who coordinates the orders of each pool.
  platform members           Show the gateways on the platform and the version
                             that each has in force, one JSON object a line.
  platform servers           Show the backend servers that the platform lists.
  platform budgets           Show budgets and who holds which share.

Flags:
  --store URL            Address of the key-value service (FULMAR_STORE).
  --platform-store IP:PORT
                         Address of the platform's store
                         (FULMAR_PLATFORM_STORE).
  --vms URL              Address of the list of VMs (FULMAR_VMS).
  --fleet-key-file PATH  Key that all members share (FULMAR_FLEET_KEY_FILE).
  --expect N             Publish only if version N is published now.
  --wait                 Wait until all routers run the version.
  --off                  End draining.
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
    options.optflag("", "wait", "");
    options.optflag("", "off", "");
    options.optflag("", "json", "");
    options.optflag("h", "help", "");
    options.optflag("V", "version", "");
    options
}

fn wrong(message: String) -> error::Error {
    error::Error::Argument { message }
}

/// Finds values by flag, then by environment variable.
struct Values<'a> {
    matches: &'a getopts::Matches,
    env: &'a dyn Fn(&str) -> Option<String>,
}

impl Values<'_> {
    fn find(&self, flag: &str, env: &str) -> Option<String> {
        self.matches.opt_str(flag).or_else(|| (self.env)(env))
    }

    fn need(&self, flag: &str, env: &str) -> Result<String, error::Error> {
        let missing = || wrong(format!("--{flag} or {env} must be given"));
        self.find(flag, env).ok_or_else(missing)
    }

    fn store(&self) -> Result<store::Store, error::Error> {
        let url = self.need("store", "FULMAR_STORE")?;
        Ok(store::Store::over_http(&url))
    }

    fn fleet(&self) -> Result<fleet_client::FleetClient, error::Error> {
        let vms = self.need("vms", "FULMAR_VMS")?;
        let key_file = self.need("fleet-key-file", "FULMAR_FLEET_KEY_FILE")?;
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
                total: number("TOTAL", total)?,
                store: self.store()?,
            },
            ["drain", vm] => Action::Drain {
                vm: (*vm).to_owned(),
                on: !self.matches.opt_present("off"),
                fleet: self.fleet()?,
            },
            ["order"] => Action::Order {
                store: self.store()?,
            },
            ["platform", "members"] => self.platform(platform_view::View::Members)?,
            ["platform", "servers"] => self.platform(platform_view::View::Servers)?,
            ["platform", "budgets"] => self.platform(platform_view::View::Budgets)?,
            other => {
                let command = other.join(" ");
                return Err(wrong(format!("unknown command {command:?}, see --help")));
            }
        })
    }

    fn platform(&self, view: platform_view::View) -> Result<Action, error::Error> {
        let given = self.need("platform-store", "FULMAR_PLATFORM_STORE")?;
        let store = given.parse().map_err(|_| {
            wrong(format!(
                "--platform-store has the value {given:?}, allowed is an IP:PORT"
            ))
        })?;
        Ok(Action::Platform { view, store })
    }

    fn expect(&self) -> Result<Option<u64>, error::Error> {
        let given = self.matches.opt_str("expect");
        given.map(|value| number("--expect", &value)).transpose()
    }
}

fn number(what: &str, value: &str) -> Result<u64, error::Error> {
    let parsed = value.parse();
    parsed.map_err(|_| {
        wrong(format!(
            "{what} has the value {value:?}, allowed is a whole number"
        ))
    })
}

/// Reads the command line and the environment.
///
/// # Errors
///
/// [`error::Error::CommandLine`] names an unknown flag, [`error::Error::Argument`] a wrong one.
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
