//! Starts stand-ins and daemons on free loopback ports, runs one scenario and reports it.

mod fleet;
mod scenarios;
mod usage;

use std::process::ExitCode;

use fulmarproxy::{daemon, standin};

const USAGE: &str = "Usage: bench latency|overload|fairness|streams|cpu|control [FLAGS]

  latency    Latency that the fleet adds, against an engine in the same run.
  overload   Goodput at one and three times capacity.
  fairness   A workspace within its share, alone and beside one that floods.
  streams    Memory of the router for each open stream (also: memory).
  cpu        Processor time of router and agents for each request.
  control    Processor time, memory and store calls without requests.

  --rate R      Requests per second to the fleet.
  --seconds N   Length of each load.
  --seed N      Seed of the load.
  --routers N   Routers.
  --agents N    Agents, each with an engine.
  --count N     Open streams.
";

/// Flags of the benchmark.
pub struct Flags(getopts::Matches);

impl Flags {
    /// Value of a flag, or the scenario's usual one.
    pub fn number(&self, flag: &str, usual: u64) -> Result<u64, fleet::Failure> {
        Ok(self.0.opt_get(flag)?.unwrap_or(usual))
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

fn run(args: &[String]) -> Result<(), fleet::Failure> {
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
    let found = match scenario.as_str() {
        "latency" => scenarios::latency(&flags)?,
        "overload" => scenarios::overload(&flags)?,
        "fairness" => scenarios::fairness(&flags)?,
        "streams" | "memory" => scenarios::streams(&flags)?,
        "cpu" => scenarios::cpu(&flags)?,
        "control" => scenarios::control(&flags)?,
        _ => return Err(format!("unknown scenario {scenario:?}\n\n{USAGE}").into()),
    };
    println!("{}", serde_json::to_string_pretty(&found)?);
    print_table("", &found);
    Ok(())
}

/// Prints each number of a report on a line with its path.
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
