//! Decides which requests are logged.
//!
//! At many requests a second, or in a flood of refusals, logging all of them would cost too much. A
//! request is logged with all its lines or not at all, and the requests that are left out are
//! counted.

use std::time::Duration;

use crate::coordination::rendezvous;

/// One in this many successful requests is logged. At the sites seen so far a front machine serves
/// up to 100 requests a second, which gives about 30 log lines a second.
const REQUESTS_PER_SAMPLE: u64 = 16;

/// Maximum number of refused or failed requests that are logged per second and quota. At one line for
/// each that was not sent and three for each that was, they take at least five seconds to fill the
/// queue of the log writer.
const MAX_FAILURES_PER_SECOND: u32 = 200;

const SECOND: Duration = Duration::from_secs(1);

/// Whether a successful request is logged; every process decides the same for an id.
///
/// ```
/// use fulmarproxy::coordination::log_sampling;
/// let logged = (0..1600).filter(|n| log_sampling::is_sampled(&n.to_string())).count();
/// assert!((60..140).contains(&logged));
/// ```
pub fn is_sampled(id: &str) -> bool {
    rendezvous::weight(id, 0).is_multiple_of(REQUESTS_PER_SAMPLE)
}

/// Limits how many refused or failed requests are logged per second.
#[derive(Debug, Default)]
pub struct FailureQuota {
    second_start: Duration,
    logged: u32,
    left_out: u64,
}

impl FailureQuota {
    /// Takes one request from the quota; returns whether it may be logged.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut quota = fulmarproxy::coordination::log_sampling::FailureQuota::default();
    /// let logged = (0..1000).filter(|_| quota.take(Duration::ZERO)).count();
    /// assert_eq!(logged, 200);
    /// assert_eq!(quota.left_out(), 800);
    /// assert_eq!(quota.left_out(), 0, "each is counted once");
    /// assert!(quota.take(Duration::from_secs(1)));
    /// ```
    pub fn take(&mut self, now: Duration) -> bool {
        if now >= self.second_start + SECOND {
            self.second_start = now;
            self.logged = 0;
        }
        if self.logged >= MAX_FAILURES_PER_SECOND {
            self.left_out += 1;
            return false;
        }
        self.logged += 1;
        true
    }

    /// Number of requests left out since the last call.
    pub fn left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
