//! Set-up of the log.

use std::sync::OnceLock;

use tracing_appender::non_blocking;
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
const MAX_QUEUED_LINES: usize = 4096;

/// Counts the lines that found the queue full.
static DROPPED_LINES: OnceLock<non_blocking::ErrorCounter> = OnceLock::new();

/// Lines that found the queue full since the process began.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |count| count.dropped_lines() as u64)
}

/// A writer behind a bounded queue, with a thread of its own: where nobody reads any more, lines
/// are dropped and counted, and nobody waits. Keep the guard for as long as there are lines.
pub fn lossy_writer<W: std::io::Write + Send + 'static>(
    to: W,
) -> (non_blocking::NonBlocking, non_blocking::WorkerGuard) {
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(to);
    DROPPED_LINES.get_or_init(|| writer.error_counter());
    (writer, guard)
}

/// Writes the log to standard output through [`lossy_writer`].
pub fn start_lossy(filter: &str) -> non_blocking::WorkerGuard {
    let (writer, guard) = lossy_writer(std::io::stdout());
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
