//! What a router that was told to stop still takes.
//!
//! Answers requests that keep coming after the signal: the platform needs seconds to send them
//! elsewhere, and sends them here again when every other router of the zone leaves as well.

use std::time::Duration;

/// Time after the signal in which every request is taken: the platform asks for readiness once a
/// second and takes a router out after two misses.
pub const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2500);

/// Time before the kill at which the process ends by itself, to give its tokens back.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// A shutdown under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// When the signal came.
    pub started_at: Duration,
    /// When the process ends, whatever still runs.
    pub exit_at: Duration,
    /// Whether nothing is taken any more, since the process is about to end.
    pub is_closed: bool,
}

impl Draining {
    /// A shutdown that begins now and is cut short by a kill after `grace`.
    pub fn new(started_at: Duration, grace: Duration) -> Self {
        let exit_at = started_at + grace.saturating_sub(EXIT_MARGIN);
        Self {
            started_at,
            exit_at,
            is_closed: false,
        }
    }

    /// Whether a request that may last so long is taken.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::draining;
    /// let seconds = Duration::from_secs;
    /// let draining = draining::Draining::new(seconds(0), seconds(8));
    /// assert!(draining.accepts(seconds(12), seconds(1)));
    /// assert!(!draining.accepts(seconds(12), seconds(4)));
    /// assert!(draining.accepts(seconds(1), seconds(4)));
    /// ```
    pub fn accepts(&self, max_duration: Duration, now: Duration) -> bool {
        !self.is_closed
            && (now < self.started_at + ACCEPT_ALL_PERIOD || now + max_duration <= self.exit_at)
    }
}
