//! The daemon: a router on an entry VM, or an agent beside a backend server.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::daemon::main(&args)
}
