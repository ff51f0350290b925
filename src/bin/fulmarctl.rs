//! The operators' command-line tool.

use std::process::ExitCode;

use fulmarproxy::ctl;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match ctl::parse(&args, &|name| std::env::var(name).ok()) {
        Ok(command) => {
            let code = smol::block_on(ctl::run(&command, &mut std::io::stdout()));
            ExitCode::from(code)
        }
        Err(err) => {
            eprintln!("fulmarctl: {err}.");
            ExitCode::from(ctl::EXIT_USAGE)
        }
    }
}
