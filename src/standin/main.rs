//! Command line of `fulmar-standin`.

use std::{fmt::Write, net::TcpListener, process::ExitCode, time::Duration};

use crate::{
    error, flags,
    standin::{crash, engine, key_values, plain, platform, platform_store},
};

/// Flags that all stand-ins share.
pub const COMMON_FLAGS: &[flags::Flag] = &[flags::value("listen", "ADDR", "Address to listen on")];

/// Flags of the platform.
pub const PLATFORM_FLAGS: &[flags::Flag] = &[flags::value(
    "history",
    "N",
    "Number of changes that the key-value service keeps",
)];

/// Flags of a model engine.
pub const ENGINE_FLAGS: &[flags::Flag] = &[
    flags::value(
        "token-micros",
        "N",
        "Microseconds from one token to the next",
    ),
    flags::value(
        "prompt-micros",
        "N",
        "Microseconds per prompt token that is not cached",
    ),
    flags::value("slots", "N", "Maximum number of running requests"),
    flags::value(
        "queue",
        "N",
        "Maximum number of waiting requests; further ones are refused",
    ),
    flags::value("cache", "N", "Capacity of the prefix cache in blocks"),
    flags::value(
        "load-lag-ms",
        "N",
        "Delay of the reported load in milliseconds",
    ),
    flags::value(
        "crash-on",
        "TEXT",
        "Crash on a prompt that contains this text",
    ),
    flags::switch(
        "crash-soft",
        "Let a crash abort all requests but keep the process running",
    ),
    flags::value(
        "restart-ms",
        "N",
        "Milliseconds until the engine serves again after a soft crash",
    ),
    flags::switch(
        "checks-fencing",
        "Refuse orders with an outdated fencing number",
    ),
    flags::value(
        "load-ms",
        "N",
        "Milliseconds that the execution of an order takes",
    ),
];

/// Flags of a plain service.
pub const PLAIN_FLAGS: &[flags::Flag] = &[flags::value(
    "delay-ms",
    "N",
    "Milliseconds that each call takes",
)];

fn usage() -> String {
    let mut text =
        "Usage: fulmar-standin platform|platform-store|engine|plain [FLAGS]\n".to_owned();
    let groups = [
        ("Flags of all stand-ins", COMMON_FLAGS),
        ("Flags of the platform", PLATFORM_FLAGS),
        ("Flags of an engine", ENGINE_FLAGS),
        ("Flags of a plain service", PLAIN_FLAGS),
    ];
    for (title, table) in groups {
        let _ = write!(text, "\n{title}:\n{}", flags::help(table));
    }
    text
}

/// Runs a stand-in until the process ends. `args` excludes the program's name.
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

fn run(args: &[String]) -> Result<(), error::Error> {
    let table = [COMMON_FLAGS, PLATFORM_FLAGS, ENGINE_FLAGS, PLAIN_FLAGS].concat();
    let matches = flags::parse(&table, args)?;
    if matches.opt_present("help") {
        print!("{}", usage());
        return Ok(());
    }
    let listen = matches.opt_str("listen");
    let listener = TcpListener::bind(listen.as_deref().unwrap_or("127.0.0.1:0"))?;
    let address = listener.local_addr()?;
    let running = match matches.free.first().map(String::as_str) {
        Some("platform") => {
            let history = flags::number(&matches, "history", key_values::DEFAULT_HISTORY_CHANGES)?;
            platform::start(listener, history)?
        }
        Some("platform-store") => {
            println!("Listening on {address}.");
            return Ok(platform_store::run(listener)?);
        }
        Some("engine") => engine::start(listener, engine_options(&matches)?)?,
        Some("plain") => {
            let delay = millis(&matches, "delay-ms", Duration::ZERO)?;
            plain::start(listener, plain::Options { delay })?
        }
        _ => {
            return Err(error::Error::Argument {
                message: "the first argument must be platform, platform-store, engine or plain"
                    .to_owned(),
            });
        }
    };
    println!("Listening on {address}.");
    smol::block_on(async { running.await });
    Ok(())
}

fn engine_options(matches: &getopts::Matches) -> Result<engine::Options, error::Error> {
    let default = engine::Options::default();
    Ok(engine::Options {
        token_interval: micros(matches, "token-micros", default.token_interval)?,
        prompt_token_time: micros(matches, "prompt-micros", default.prompt_token_time)?,
        slots: flags::number(matches, "slots", default.slots)?,
        queue_capacity: flags::number(matches, "queue", default.queue_capacity)?,
        cache_blocks: flags::number(matches, "cache", default.cache_blocks)?,
        load_lag: millis(matches, "load-lag-ms", default.load_lag)?,
        crash: crash::Options {
            trigger: matches.opt_str("crash-on"),
            soft: matches.opt_present("crash-soft"),
            restart_time: millis(matches, "restart-ms", Duration::ZERO)?,
        },
        checks_fencing: matches.opt_present("checks-fencing"),
        order_time: millis(matches, "load-ms", default.order_time)?,
    })
}

fn micros(
    matches: &getopts::Matches,
    flag: &str,
    default: Duration,
) -> Result<Duration, error::Error> {
    let micros = flags::number(matches, flag, default.as_micros() as u64)?;
    Ok(Duration::from_micros(micros))
}

fn millis(
    matches: &getopts::Matches,
    flag: &str,
    default: Duration,
) -> Result<Duration, error::Error> {
    let millis = flags::number(matches, flag, default.as_millis() as u64)?;
    Ok(Duration::from_millis(millis))
}
