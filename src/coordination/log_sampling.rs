//! Which requests are told in the log.
//!
//! Answers the load of many requests a second, most of which succeed, and floods of refusals: a
//! request is told whole or not at all, and what is left out is counted.

use std::time::Duration;

use crate::coordination::rendezvous;

/// One served request in this many is told. A front machine of the sites seen serves up to 100 a
/// second, which makes some 30 lines.
const SAMPLED_ONE_IN: u64 = 16;

/// Requests that were refused or failed and are told, in a second; at some three lines each they
/// fill the queue of the log's writer in no less than seven seconds.
const FAILURES_PER_SECOND: u32 = 200;

const SECOND: Duration = Duration::from_secs(1);

/// Whether a request is told when it is served; every process decides the same for an id.
///
/// ```
/// use fulmarproxy::coordination::log_sampling;
/// let told = (0..1600).filter(|n| log_sampling::is_sampled(&n.to_string())).count();
/// assert!((60..140).contains(&told));
/// ```
pub fn is_sampled(id: &str) -> bool {
    rendezvous::weight(id, 0).is_multiple_of(SAMPLED_ONE_IN)
}

/// Bounds how many refused or failed requests are told.
#[derive(Debug, Default)]
pub struct FailureQuota {
    second: Duration,
    told: u32,
    left_out: u64,
}

impl FailureQuota {
    /// Whether one more may be told now.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut quota = fulmarproxy::coordination::log_sampling::FailureQuota::default();
    /// let told = (0..1000).filter(|_| quota.take(Duration::ZERO)).count();
    /// assert_eq!(told, 200);
    /// assert_eq!(quota.left_out(), 800);
    /// assert_eq!(quota.left_out(), 0, "each is counted once");
    /// assert!(quota.take(Duration::from_secs(1)));
    /// ```
    pub fn take(&mut self, now: Duration) -> bool {
        if now >= self.second + SECOND {
            self.second = now;
            self.told = 0;
        }
        if self.told >= FAILURES_PER_SECOND {
            self.left_out += 1;
            return false;
        }
        self.told += 1;
        true
    }

    /// Requests left out since the last time this was asked.
    pub fn left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }
}
