//! Stand-ins for the platform and the backend servers.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    fulmarproxy::standin::main::main(&args)
}
