//! The daemon's main function: settings, log, signals.

use std::process::ExitCode;

use crate::{agent, carrier, error, flags, gateway, logging, platform, router, settings};

const EXIT_USAGE: u8 = 2;

/// Runs the daemon with arguments that exclude the program's name.
///
/// ```
/// let code = fulmarproxy::daemon::main(&["--version".to_owned()]);
/// assert_eq!(code, std::process::ExitCode::SUCCESS);
/// ```
pub fn main(args: &[String]) -> ExitCode {
    match args.first().map(String::as_str) {
        Some("gateway") => return run_placed(PlacedRole::Gateway, &args[1..]),
        Some("carrier") => return run_placed(PlacedRole::Carrier, &args[1..]),
        _ => (),
    }
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

/// A role whose settings the platform writes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlacedRole {
    Gateway,
    Carrier,
}

const PLACED_FLAGS: &[flags::Flag] = &[
    flags::value(
        "settings",
        "PATH",
        "The platform's settings file; usually it names it itself",
    ),
    flags::value(
        "log",
        "LEVEL",
        "Least severe messages that are logged, info unless given",
    ),
    flags::switch("check-settings", "Check the settings file and exit"),
];

fn run_placed(role: PlacedRole, args: &[String]) -> ExitCode {
    match placed_main(role, args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("fulmard: {err}.");
            match err {
                error::Error::CommandLine(_)
                | error::Error::Argument { .. }
                | error::Error::Setting { .. }
                | error::Error::SettingsFile { .. } => ExitCode::from(EXIT_USAGE),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn placed_main(role: PlacedRole, args: &[String]) -> Result<(), error::Error> {
    let matches = flags::parse(PLACED_FLAGS, args)?;
    if matches.opt_present("help") {
        print!(
            "Usage: fulmard gateway|carrier [FLAGS]\n\n{}",
            flags::help(PLACED_FLAGS)
        );
        return Ok(());
    }
    let variable = platform::settings::PATH_VARIABLE;
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(variable).ok());
    let path = path.ok_or_else(|| error::Error::Argument {
        message: format!("--settings is missing, and so is the variable {variable}"),
    })?;
    if matches.opt_present("check-settings") {
        match role {
            PlacedRole::Gateway => platform::settings::read(&path).map(drop)?,
            PlacedRole::Carrier => platform::settings::read_carrier(&path).map(drop)?,
        }
        println!("The settings are valid.");
        return Ok(());
    }
    let log = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    match role {
        PlacedRole::Gateway => gateway::run(&path, &log),
        PlacedRole::Carrier => carrier::run(&path, &log),
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
