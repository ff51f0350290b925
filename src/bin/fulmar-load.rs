//! Sends an open-loop load and holds the answers against the engines and the bills.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::load::main::main(&args)
}
