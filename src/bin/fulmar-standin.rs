//! Runs a stand-in for the platform or for a backend server, for trials and tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::standin::main::main(&args)
}
