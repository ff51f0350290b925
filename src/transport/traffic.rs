//! Counts the bytes that this process exchanges over TCP.
//!
//! All connections of a process share the link of its VM, so the counts are those of the process.

use std::sync::atomic::{AtomicU64, Ordering};

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Bytes since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Read from sockets.
    pub received: u64,
    /// Accepted by the kernel to be sent.
    pub sent: u64,
}

/// Counts bytes that were read from a socket.
pub fn record_received(bytes: usize) {
    RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Counts bytes that were written to a socket.
pub fn record_sent(bytes: usize) {
    SENT.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Bytes exchanged so far.
///
/// ```
/// use fulmarproxy::transport::traffic;
/// let before = traffic::totals();
/// traffic::record_sent(10);
/// assert!(traffic::totals().sent >= before.sent + 10);
/// ```
pub fn totals() -> Totals {
    Totals {
        received: RECEIVED.load(Ordering::Relaxed),
        sent: SENT.load(Ordering::Relaxed),
    }
}
