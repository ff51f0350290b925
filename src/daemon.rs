//! Entry point of the daemon `fulmard`: reads the settings, starts the log and runs the role until
//! a signal stops it.

use std::process::ExitCode;

use crate::{
    agent, carrier, error, flags, gateway, logging, platform, router, settings, transport::signals,
};

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// Runs the daemon; `args` are the command-line arguments without the program's name.
///
/// ```
/// let code = fulmarproxy::daemon::main(&["--version".to_owned()]);
/// assert_eq!(code, std::process::ExitCode::SUCCESS);
/// ```
pub fn main(args: &[String]) -> ExitCode {
    match args.first().map(String::as_str) {
        Some("gateway") => return run_platform_role(PlatformRole::Gateway, &args[1..]),
        Some("carrier") => return run_platform_role(PlatformRole::Carrier, &args[1..]),
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

/// A role that reads a settings file written by the platform, rather than flags and variables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PlatformRole {
    Gateway,
    Carrier,
}

const PLATFORM_FLAGS: &[flags::Flag] = &[
    flags::value(
        "settings",
        "PATH",
        "Settings file written by the platform, usually set through an environment variable",
    ),
    flags::value(
        "log",
        "LEVEL",
        "Lowest severity that is logged, info by default",
    ),
    flags::switch("check-settings", "Check the settings file and exit"),
];

fn run_platform_role(role: PlatformRole, args: &[String]) -> ExitCode {
    match try_run_platform_role(role, args) {
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

fn try_run_platform_role(role: PlatformRole, args: &[String]) -> Result<(), error::Error> {
    let matches = flags::parse(PLATFORM_FLAGS, args)?;
    if matches.opt_present("help") {
        print!(
            "Usage: fulmard gateway|carrier [FLAGS]\n\n{}",
            flags::help(PLATFORM_FLAGS)
        );
        return Ok(());
    }
    let variable = platform::settings::PATH_VARIABLE;
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(variable).ok());
    let path = path.ok_or_else(|| error::Error::Argument {
        message: format!("neither --settings nor the environment variable {variable} is given"),
    })?;
    if matches.opt_present("check-settings") {
        match role {
            PlatformRole::Gateway => platform::settings::read(&path).map(drop)?,
            PlatformRole::Carrier => platform::settings::read_carrier(&path).map(drop)?,
        }
        println!("The settings are valid.");
        return Ok(());
    }
    let log = matches.opt_str("log").unwrap_or_else(|| "info".to_owned());
    match role {
        PlatformRole::Gateway => gateway::run(&path, &log),
        PlatformRole::Carrier => carrier::run(&path, &log),
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

/// Runs the role until it has stopped, either by a signal or by an error.
async fn serve(settings: settings::Settings) -> Result<(), error::Error> {
    let stop = stop_signal()?;
    match settings.role {
        settings::Role::Router => router::run(settings, stop).await,
        settings::Role::Agent => agent::run(settings, stop).await,
    }
}

/// Returns a future that completes at the first SIGTERM or SIGINT. SIGHUP changes nothing, since the
/// settings come from flags and variables.
fn stop_signal() -> Result<impl Future<Output = ()>, error::Error> {
    let signals = signals::listen()?;
    Ok(async move {
        while signals.next().await == signals::Signal::Reload {
            tracing::info!("daemon: SIGHUP ignored, settings change with a restart");
        }
    })
}
