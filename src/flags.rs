//! Tables of command-line flags, from which parsers and help texts are made.

use std::{fmt::Write, str::FromStr};

use crate::error;

/// One flag.
#[derive(Clone, Copy, Debug)]
pub struct Flag {
    /// Long name, without the dashes.
    pub name: &'static str,
    /// What the value is; empty for a switch.
    pub value: &'static str,
    /// What the flag does, with its unit.
    pub help: &'static str,
}

/// Makes a flag that takes a value.
pub const fn value(name: &'static str, value: &'static str, help: &'static str) -> Flag {
    Flag { name, value, help }
}

/// Makes a flag without a value.
pub const fn switch(name: &'static str, help: &'static str) -> Flag {
    let value = "";
    Flag { name, value, help }
}

/// Parses arguments; `--help` is always understood.
///
/// # Errors
///
/// [`error::Error::CommandLine`] names an unknown flag.
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
    options.optflag("h", "help", "Show this text");
    Ok(options.parse(args)?)
}

/// Help text of a table, one line a flag.
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

/// Number that a flag was given, or the usual one.
///
/// # Errors
///
/// [`error::Error::Argument`] names the flag.
pub fn number<T: FromStr>(
    matches: &getopts::Matches,
    flag: &str,
    default: T,
) -> Result<T, error::Error> {
    let given = matches.opt_get(flag);
    let given = given.map_err(|_| invalid_value(flag, "a number"))?;
    Ok(given.unwrap_or(default))
}

/// The error of a flag whose value is not allowed.
pub fn invalid_value(flag: &str, allowed: &str) -> error::Error {
    error::Error::Argument {
        message: format!("--{flag} takes {allowed}"),
    }
}
