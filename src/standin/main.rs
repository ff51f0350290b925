//! The stand-ins' main function.

use std::{net::TcpListener, process::ExitCode, time::Duration};

use crate::{
    error,
    standin::{engine, platform},
};

const USAGE: &str = "Usage: fulmar-standin platform|engine [FLAGS]

Flags:
  --listen ADDR        Address to listen on.
  --token-micros N     Time from one token to the next, in microseconds.
";

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

fn run(args: &[String]) -> Result<(), error::Error> {
    let mut options = getopts::Options::new();
    options.optopt("", "listen", "", "ADDR");
    options.optopt("", "token-micros", "", "N");
    options.optflag("h", "help", "");
    let matches = options.parse(args)?;
    if matches.opt_present("help") {
        print!("{USAGE}");
        return Ok(());
    }
    let wrong = |message: &str| error::Error::Argument {
        message: message.to_owned(),
    };
    let listen = matches
        .opt_str("listen")
        .unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let listener = TcpListener::bind(&listen)?;
    println!("Listening on {}.", listener.local_addr()?);
    let micros = matches.opt_get_default("token-micros", 1000);
    let micros = micros.map_err(|_| wrong("--token-micros takes a number"))?;
    let running = match matches.free.first().map(String::as_str) {
        Some("platform") => platform::start(listener)?,
        Some("engine") => engine::start(
            listener,
            engine::Options {
                token_interval: Duration::from_micros(micros),
            },
        )?,
        _ => return Err(wrong("expected platform or engine")),
    };
    smol::block_on(async { running.await });
    Ok(())
}
