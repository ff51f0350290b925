//! Decides which requests a router still accepts after it was told to stop.
//!
//! Requests keep arriving after the termination signal: the platform needs seconds to route them
//! elsewhere, and routes them here again when every other router of the availability zone shuts
//! down as well.

use std::time::Duration;

/// Time after the signal during which every request is accepted. The platform probes readiness once
/// a second and stops routing to a router after two failed probes.
pub const ACCEPT_ALL_TIME: Duration = Duration::from_millis(2500);

/// Time before the kill at which the process exits by itself, so that it can return its tokens.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draining {
    /// Time of the termination signal.
    pub started_at: Duration,
    /// Time at which the process exits, even when requests are still running.
    pub exit_at: Duration,
    /// Whether no request is accepted any more because the process is about to exit.
    pub is_closed: bool,
}

impl Draining {
    /// Begins a shutdown at `started_at`; the process is killed `grace` later.
    pub fn new(started_at: Duration, grace: Duration) -> Self {
        let exit_at = started_at + grace.saturating_sub(EXIT_MARGIN);
        Self {
            started_at,
            exit_at,
            is_closed: false,
        }
    }

    /// Whether a request that may take up to `max_duration` is accepted.
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
            && (now < self.started_at + ACCEPT_ALL_TIME || now + max_duration <= self.exit_at)
    }
}
