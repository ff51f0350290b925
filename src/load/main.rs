//! Command line of `fulmar-load`.

use std::process::ExitCode;

use crate::{
    error,
    load::{options, runner},
};

/// Runs the load tool. `args` excludes the program's name.
///
/// ```
/// let code = fulmarproxy::load::main::main(&["--help".to_owned()]);
/// assert_eq!(code, std::process::ExitCode::SUCCESS);
/// ```
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fulmar-load: {err}.");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &[String]) -> Result<(), error::Error> {
    let Some(options) = options::parse(args)? else {
        print!("{}", options::usage());
        return Ok(());
    };
    let report = runner::run(&options)?;
    if options.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.unwrap_or_default());
    } else {
        print!("{}", report.table());
    }
    Ok(())
}
