//! Number of routers among which limits of the fleet are divided.
//!
//! Entries of routers that run are missing from the list after an outage of the store that was longer
//! than their leases, until each has written its own again. So the number shrinks only when a lower
//! one has been read for a while, again and again.

use std::time::Duration;

/// Time for which a lower number must have been read before it counts.
const SHRINK_TIME: Duration = Duration::from_secs(30);

/// Time between two reads from which on what was read before says nothing of the time in between.
const MAX_GAP: Duration = Duration::from_secs(15);

/// The highest recent number of routers, including this one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterCount {
    highest: usize,
    last_read: Duration,
    /// Since when the list has been read without a gap.
    read_since: Duration,
    longest_read: Duration,
    lower_since: Option<Duration>,
}

impl RouterCount {
    /// Records how many routers the list has.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::router_count;
    /// let mut routers = router_count::RouterCount::default();
    /// let seconds = Duration::from_secs;
    /// assert_eq!(routers.get(), None);
    /// routers.record(5, seconds(1));
    /// routers.record(1, seconds(60));
    /// assert_eq!(routers.get(), Some(5), "the list was not read for a minute");
    /// for second in 61..=90 {
    ///     routers.record(4, seconds(second));
    /// }
    /// assert_eq!(routers.get(), Some(4));
    /// ```
    pub fn record(&mut self, count: usize, now: Duration) {
        let has_gap = self.highest == 0 || now > self.last_read + MAX_GAP;
        self.last_read = now;
        if has_gap {
            self.read_since = now;
        }
        self.longest_read = self.longest_read.max(now - self.read_since);
        if count >= self.highest {
            self.highest = count;
            self.lower_since = None;
            return;
        }
        let since = self.lower_since.filter(|_| !has_gap).unwrap_or(now);
        self.lower_since = Some(since);
        if now >= since + SHRINK_TIME {
            self.highest = count;
            self.lower_since = None;
        }
    }

    /// The number; `None` until the list has been read.
    pub fn get(&self) -> Option<usize> {
        (self.highest > 0).then_some(self.highest)
    }

    /// Longest time for which the list was read without a gap. It tells whether the others were able
    /// to write their entries, and to read this router's.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::router_count;
    /// let mut routers = router_count::RouterCount::default();
    /// for second in [1, 3, 6, 60] {
    ///     routers.record(2, Duration::from_secs(second));
    /// }
    /// assert_eq!(routers.longest_read(), Duration::from_secs(5));
    /// ```
    pub fn longest_read(&self) -> Duration {
        self.longest_read
    }
}
