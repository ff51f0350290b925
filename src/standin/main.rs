//! The stand-ins' main function.

use std::{net::TcpListener, process::ExitCode, str::FromStr, time::Duration};

use crate::{
    error,
    standin::{crash, engine, key_values, plain, platform},
};

const USAGE: &str = "Usage: fulmar-standin platform|engine|plain [FLAGS]

Flags of all:
  --listen ADDR        Address to listen on.

Flags of a platform:
  --history N          Changes that the key-value service remembers.

Flags of an engine:
  --token-micros N     Time from one token to the next, in microseconds.
  --prompt-micros N    Time to read a prompt token that is not cached, in microseconds.
  --slots N            Requests that run at once.
  --queue N            Requests that wait for a slot; further ones are refused.
  --cache N            Blocks of prompt prefixes kept in memory.
  --load-lag-ms N      Age of the load that is reported, in milliseconds.
  --crash-on TEXT      Text whose presence in a prompt crashes the engine.
  --crash-soft         Break the streams only, and let the process live on.
  --restart-ms N       Time that a soft crash takes, in milliseconds.
  --checks-fencing     Refuse orders that carry an old fencing number.
  --load-ms N          Time that an order takes, in milliseconds.

Flags of a plain service:
  --delay-ms N         Time that each call takes, in milliseconds.
";

const VALUES: &[&str] = &[
    "listen",
    "history",
    "token-micros",
    "prompt-micros",
    "slots",
    "queue",
    "cache",
    "load-lag-ms",
    "crash-on",
    "restart-ms",
    "load-ms",
    "delay-ms",
];

const SWITCHES: &[&str] = &["crash-soft", "checks-fencing"];

/// Runs a stand-in with arguments that exclude the program's name.
///
/// ```
/// let code = fulmarproxy::standin::main::main(&["--help".to_owned()]);
/// assert_eq!(code, std::process::ExitCode::SUCCESS);
/// ```
pub fn main(args: &[String]) -> ExitCode {
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fulmar-standin: {err}.");
            ExitCode::FAILURE
        }
    }
}

fn parse(args: &[String]) -> Result<getopts::Matches, error::Error> {
    let mut options = getopts::Options::new();
    for flag in VALUES {
        options.optopt("", flag, "", "VALUE");
    }
    for flag in SWITCHES {
        options.optflag("", flag, "");
    }
    options.optflag("h", "help", "");
    Ok(options.parse(args)?)
}

fn run(args: &[String]) -> Result<(), error::Error> {
    let matches = parse(args)?;
    if matches.opt_present("help") {
        print!("{USAGE}");
        return Ok(());
    }
    let listen = matches.opt_str("listen");
    let listener = TcpListener::bind(listen.as_deref().unwrap_or("127.0.0.1:0"))?;
    let address = listener.local_addr()?;
    let running = match matches.free.first().map(String::as_str) {
        Some("platform") => {
            let history = number(&matches, "history", key_values::HISTORY_CHANGES)?;
            platform::start(listener, history)?
        }
        Some("engine") => engine::start(listener, engine_options(&matches)?)?,
        Some("plain") => {
            let delay = millis(&matches, "delay-ms", Duration::ZERO)?;
            plain::start(listener, plain::Options { delay })?
        }
        _ => {
            return Err(error::Error::Argument {
                message: "expected platform, engine or plain".to_owned(),
            });
        }
    };
    println!("Listening on {address}.");
    smol::block_on(async { running.await });
    Ok(())
}

fn engine_options(matches: &getopts::Matches) -> Result<engine::Options, error::Error> {
    let usual = engine::Options::default();
    Ok(engine::Options {
        token_interval: micros(matches, "token-micros", usual.token_interval)?,
        prompt_token_time: micros(matches, "prompt-micros", usual.prompt_token_time)?,
        slots: number(matches, "slots", usual.slots)?,
        queue: number(matches, "queue", usual.queue)?,
        cache: number(matches, "cache", usual.cache)?,
        load_lag: millis(matches, "load-lag-ms", usual.load_lag)?,
        crash: crash::Options {
            on: matches.opt_str("crash-on"),
            soft: matches.opt_present("crash-soft"),
            restart: millis(matches, "restart-ms", Duration::ZERO)?,
        },
        checks_fencing: matches.opt_present("checks-fencing"),
        order_time: millis(matches, "load-ms", usual.order_time)?,
    })
}

fn number<T: FromStr>(matches: &getopts::Matches, flag: &str, usual: T) -> Result<T, error::Error> {
    let given = matches.opt_get(flag);
    let given = given.map_err(|_| error::Error::Argument {
        message: format!("--{flag} takes a number"),
    })?;
    Ok(given.unwrap_or(usual))
}

fn micros(
    matches: &getopts::Matches,
    flag: &str,
    usual: Duration,
) -> Result<Duration, error::Error> {
    let micros = number(matches, flag, usual.as_micros() as u64)?;
    Ok(Duration::from_micros(micros))
}

fn millis(
    matches: &getopts::Matches,
    flag: &str,
    usual: Duration,
) -> Result<Duration, error::Error> {
    let millis = number(matches, flag, usual.as_millis() as u64)?;
    Ok(Duration::from_millis(millis))
}
