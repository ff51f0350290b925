//! The daemon. It runs as a router on an entry VM or as an agent beside a backend server, or, on
//! the platform that places them, as a gateway or a carrier.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::daemon::main(&args)
}
