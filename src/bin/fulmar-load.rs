//! Generates an open-loop load, and compares the answers with what the engines ran and what was
//! billed to the budgets.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::load::main::main(&args)
}
