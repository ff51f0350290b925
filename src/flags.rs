//! Command-line flags, described by tables from which the parser and the help text are built.

use std::{fmt::Write, str::FromStr};

use crate::error;

/// A command-line flag.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Long name, without the dashes.
    pub name: &'static str,
    /// Placeholder for the value in the help text; empty for a switch, which takes no value.
    pub value: &'static str,
    /// What the flag does, with the unit of its value.
    pub help: &'static str,
}

/// Creates a flag that takes a value.
pub const fn value(name: &'static str, value: &'static str, help: &'static str) -> Flag {
    Flag { name, value, help }
}

/// Creates a flag without a value.
pub const fn switch(name: &'static str, help: &'static str) -> Flag {
    let value = "";
    Flag { name, value, help }
}

/// Parses arguments by a table of flags; `--help` and `-h` are always accepted.
///
/// # Errors
///
/// [`error::Error::CommandLine`] when a flag is unknown or used wrongly.
///
/// ```
/// use fulmarproxy::flags;
/// let table = [flags::value("rate", "R", "Requests per second")];
/// let args = ["--rate", "7"].map(str::to_owned);
/// let matches = flags::parse(&table, &args).unwrap();
/// assert_eq!(flags::number(&matches, "rate", 1).unwrap(), 7);
/// ```
pub fn parse(table: &[Flag], args: &[String]) -> Result<getopts::Matches, error::Error> {
    let mut options = getopts::Options::new();
    for flag in table {
        match flag.value {
            "" => options.optflag("", flag.name, flag.help),
            value => options.optopt("", flag.name, flag.help, value),
        };
    }
    options.optflag("h", "help", "Show this help");
    Ok(options.parse(args)?)
}

/// Builds the help text of a table, with one line per flag.
///
/// ```
/// use fulmarproxy::flags;
/// let table = [flags::switch("json", "Report as JSON")];
/// assert!(flags::help(&table).contains("--json"));
/// ```
pub fn help(table: &[Flag]) -> String {
    let mut text = String::new();
    for Flag { name, value, help } in table {
        let flag = format!("--{name} {value}");
        let _ = writeln!(text, "  {flag:<28} {help}.");
    }
    text
}

/// Parses the number given for a flag; returns `default` when the flag is absent.
///
/// # Errors
///
/// [`error::Error::Argument`], which names the flag, when the value is not a number.
pub fn number<T: FromStr>(
    matches: &getopts::Matches,
    flag: &str,
    default: T,
) -> Result<T, error::Error> {
    let given = matches.opt_get(flag);
    let given = given.map_err(|_| invalid_value(flag, "a number"))?;
    Ok(given.unwrap_or(default))
}

/// Returns the error for a flag with a value that is not allowed; `allowed` says which values are.
pub fn invalid_value(flag: &str, allowed: &str) -> error::Error {
    error::Error::Argument {
        message: format!("invalid value for --{flag}: expected {allowed}"),
    }
}
