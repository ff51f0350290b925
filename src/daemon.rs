//! The daemon's main function: settings, log, signals.

use std::process::ExitCode;

use crate::{agent, error, logging, router, settings};

const EXIT_USAGE: u8 = 2;

/// Runs the daemon with arguments that exclude the program's name.
///
/// ```
/// let code = fulmarproxy::daemon::main(&["--version".to_owned()]);
/// assert_eq!(code, std::process::ExitCode::SUCCESS);
/// ```
pub fn main(args: &[String]) -> ExitCode {
    match settings::parse(args, &|name| std::env::var(name).ok()) {
        Ok(settings::Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(settings::Command::Check) => {
            println!("The settings are valid.");
            ExitCode::SUCCESS
        }
        Ok(settings::Command::Run(settings)) => run(*settings),
        Err(err) => {
            eprintln!("fulmard: {err}.");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(settings: settings::Settings) -> ExitCode {
    logging::start(&settings.log, settings.log_json);
    match smol::block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fulmard: {err}.");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: settings::Settings) -> Result<(), error::Error> {
    let stop = stop_signal()?;
    match settings.role {
        settings::Role::Router => router::run(settings, stop).await,
        settings::Role::Agent => agent::run(settings, stop).await,
    }
}

fn stop_signal() -> Result<impl Future<Output = ()>, error::Error> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    Ok(smol::unblock(move || {
        signals.forever().next();
    }))
}
