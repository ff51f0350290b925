//! Decides whether a time limit passed because a peer was silent, or because this process was late.
//!
//! A gateway with a tenth of a core can stand still for longer than the time limit of a call. Its
//! timer then fires before it has read a reply that arrived in time.

use std::time::Duration;

/// Lateness of a timer above which the process counts as having stood still. Timers of an idle
/// process fire within a few milliseconds.
const TOLERANCE: Duration = Duration::from_millis(50);

/// A time limit and the time at which it began.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Start of the wait.
    pub began: Duration,
    /// Planned duration of the wait.
    pub limit: Duration,
}

impl Limit {
    /// Whether a wait that ended at `ended` ended so much later than planned that it shows nothing
    /// about the peer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::lateness;
    /// let began = Duration::from_secs(1);
    /// let limit = lateness::Limit { began, limit: Duration::from_millis(250) };
    /// assert!(!limit.was_late(Duration::from_millis(1255)));
    /// assert!(limit.was_late(Duration::from_millis(1320)));
    /// ```
    pub fn was_late(&self, ended: Duration) -> bool {
        ended > self.began + self.limit + TOLERANCE
    }
}
