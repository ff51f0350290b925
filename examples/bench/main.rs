//! Benchmarks of a whole fleet: starts daemons and stand-ins as child processes on loopback, runs
//! one scenario, and prints its report as JSON and as a table.
//!
//! The child processes are this executable too: their first argument is `fulmard` or
//! `fulmar-standin`.

mod fleet;
mod scenarios;
mod usage;

use std::process::ExitCode;

use fulmarproxy::{daemon, standin};

const USAGE: &str = "Usage: bench latency|overload|fairness|streams|cpu|control [FLAGS]

  latency    Latency that the fleet adds to that of an engine called directly.
  overload   Goodput at one and three times the fleet's capacity.
  fairness   Goodput of a workspace within its fair share, alone and while
             another workspace sends three times the fleet's capacity.
  streams    Memory of the router per open stream (also: memory).
  cpu        Requests per second of processor time of routers and of agents.
  control    Processor time, memory and platform calls of an idle fleet.

  --rate R      Requests per second to the fleet (latency, cpu).
  --seconds N   Time that requests are sent for; in control, time measured.
  --seed N      Seed of the requests.
  --routers N   Number of routers.
  --agents N    Number of agents, each with an engine.
  --count N     Number of streams to open (streams).
";

/// Parsed flags of the command line.
pub struct Flags(getopts::Matches);

impl Flags {
    /// Value of a flag, or the scenario's default.
    pub fn number(&self, flag: &str, default: u64) -> Result<u64, fleet::BoxError> {
        Ok(self.0.opt_get(flag)?.unwrap_or(default))
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((program, rest)) if program == "fulmard" => daemon::main(rest),
        Some((program, rest)) if program == "fulmar-standin" => standin::main::main(rest),
        _ => match run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                eprintln!("bench: {err}.");
                ExitCode::FAILURE
            }
        },
    }
}

fn run(args: &[String]) -> Result<(), fleet::BoxError> {
    let mut options = getopts::Options::new();
    for flag in ["rate", "seconds", "seed", "routers", "agents", "count"] {
        options.optopt("", flag, "", "N");
    }
    options.optflag("h", "help", "");
    let matches = options.parse(args)?;
    let scenario = matches.free.first().cloned().unwrap_or_default();
    if matches.opt_present("help") {
        print!("{USAGE}");
        return Ok(());
    }
    let flags = Flags(matches);
    let report = match scenario.as_str() {
        "latency" => scenarios::latency(&flags)?,
        "overload" => scenarios::overload(&flags)?,
        "fairness" => scenarios::fairness(&flags)?,
        "streams" | "memory" => scenarios::streams(&flags)?,
        "cpu" => scenarios::cpu(&flags)?,
        "control" => scenarios::control(&flags)?,
        _ => return Err(format!("unknown scenario {scenario:?}\n\n{USAGE}").into()),
    };
    println!("{}", serde_json::to_string_pretty(&report)?);
    print_table("", &report);
    Ok(())
}

/// Prints each value of a report on its own line, after the keys that lead to it.
fn print_table(path: &str, value: &serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            for (name, value) in map {
                print_table(&format!("{path} {name}"), value);
            }
        }
        serde_json::Value::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                print_table(&format!("{path} {index}"), value);
            }
        }
        serde_json::Value::Null => (),
        other => println!("{path:<60} {other:>16}"),
    }
}
