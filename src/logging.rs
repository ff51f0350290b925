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

/// Lines that wait for the writer; at about 200 bytes a line they take under a megabyte.
const WAITING_LINES: usize = 4096;

/// Writes the log to standard output from a thread of its own, behind a bounded queue: a reader
/// that has stopped loses lines but delays nobody. Keep the guard for as long as there are lines.
pub fn start_bounded(filter: &str) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let started = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!("warn,fulmarproxy={filter}")))
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false)
        .try_init();
    if let Err(err) = started {
        eprintln!("logging: not started: {err}.");
    }
    guard
}
