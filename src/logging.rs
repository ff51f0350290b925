//! Starts the log of the process.

use std::sync::OnceLock;

use tracing_appender::non_blocking;
use tracing_subscriber::EnvFilter;

/// Starts a log to standard error, as text or as one JSON object per line.
///
/// `filter` is either a level, which applies to this crate while others log from `warn`, or a full
/// filter such as `fulmarproxy::router=debug`, recognised by its `=`.
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
        eprintln!("logging: cannot start the log: {err}.");
    }
}

/// Most log lines that wait for the writer; at about 200 bytes per line they take less than 1 MB.
const MAX_QUEUED_LINES: usize = 4096;

/// Counter of lines dropped by the first lossy writer; set when it is created.
static DROPPED_LINES: OnceLock<non_blocking::ErrorCounter> = OnceLock::new();

/// Number of log lines that were dropped since the process started, because the queue was full.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES
        .get()
        .map_or(0, |count| count.dropped_lines() as u64)
}

/// Creates a writer with a bounded queue and a thread that writes to `to`.
///
/// When the reader of the log has stopped reading and the queue is full, lines are dropped and
/// counted, so that logging never blocks. Keep the guard for as long as lines are logged: when it
/// is dropped, the queued lines are flushed and the thread ends.
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

/// Starts a text log to standard output through a [`lossy_writer`]. `filter` is the level for this
/// crate; others log from `warn`. Keep the guard until the process ends.
pub fn start_lossy(filter: &str) -> non_blocking::WorkerGuard {
    let (writer, guard) = lossy_writer(std::io::stdout());
    let started = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(format!("warn,fulmarproxy={filter}")))
        .with_writer(writer)
        .with_target(false)
        .with_ansi(false)
        .try_init();
    if let Err(err) = started {
        eprintln!("logging: cannot start the log: {err}.");
    }
    guard
}
