//! Set-up of the log.

use tracing_subscriber::EnvFilter;

/// Writes the log to standard error, as text or as one JSON object a line.
///
/// ```
/// fulmarproxy::logging::start("info", false);
/// ```
pub fn start(filter: &str, json: bool) {
    let filter = match filter.contains('=') {
        true => EnvFilter::new(filter),
        false => EnvFilter::new(format!("warn,fulmarproxy={filter}")),
    };
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(false);
    let started = match json {
        true => builder.json().try_init(),
        false => builder.try_init(),
    };
    if let Err(err) = started {
        eprintln!("logging: not started: {err}.");
    }
}
