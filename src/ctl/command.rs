//! Command line of the operators' tool.

use std::path::PathBuf;

use crate::{error, transport::store};

/// What the tool is asked to do.
#[derive(Clone)]
pub enum Command {
    /// Print this text.
    Print(String),
    /// Check a folder of objects.
    Check {
        /// The folder.
        dir: PathBuf,
    },
    /// Check and publish a folder of objects.
    Publish {
        /// The folder.
        dir: PathBuf,
        /// The key-value service.
        store: store::Store,
        /// Version that must be published now.
        expect: Option<u64>,
    },
    /// Show the published set.
    Get {
        /// The key-value service.
        store: store::Store,
    },
}

const USAGE: &str = "Usage: fulmarctl COMMAND [FLAGS]

Commands:
  check DIR      Check a folder of objects.
  publish DIR    Check and publish a folder of objects.
  get            Show the published objects.

Flags:
  --store URL    Address of the key-value service (FULMAR_STORE).
  --expect N     Publish only if version N is published now.
  --help, --version
";

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    options.optopt("", "store", "", "URL");
    options.optopt("", "expect", "", "N");
    options.optflag("h", "help", "");
    options.optflag("V", "version", "");
    options
}

fn wrong(message: String) -> error::Error {
    error::Error::Argument { message }
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
/// assert!(matches!(ctl::parse(&args, &|_| None), Ok(ctl::Command::Check { .. })));
/// ```
pub fn parse(
    args: &[String],
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Command, error::Error> {
    let matches = options().parse(args)?;
    if matches.opt_present("help") {
        return Ok(Command::Print(USAGE.to_owned()));
    }
    if matches.opt_present("version") {
        let version = concat!("fulmarctl ", env!("CARGO_PKG_VERSION"), "\n");
        return Ok(Command::Print(version.to_owned()));
    }
    let store = || {
        let url = matches.opt_str("store").or_else(|| env("FULMAR_STORE"));
        let url = url.ok_or_else(|| wrong("--store or FULMAR_STORE must be given".to_owned()))?;
        Ok::<_, error::Error>(store::Store::over_http(&url))
    };
    let free: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match free.as_slice() {
        ["check", dir] => Ok(Command::Check { dir: dir.into() }),
        ["publish", dir] => Ok(Command::Publish {
            dir: dir.into(),
            store: store()?,
            expect: matches
                .opt_get("expect")
                .map_err(|err: std::num::ParseIntError| wrong(format!("--expect: {err}")))?,
        }),
        ["get"] => Ok(Command::Get { store: store()? }),
        other => Err(wrong(format!(
            "unknown command {:?}, see --help",
            other.join(" ")
        ))),
    }
}
