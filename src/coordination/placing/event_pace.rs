//! Decides when the time between events of a stream is a sample of its server's speed.

use std::time::Duration;

/// Shortest time over which the time between events is sampled. Events come together when this process
/// is late, so that single gaps say little.
const SAMPLE_TIME: Duration = Duration::from_millis(250);

/// Events of a stream since the last sample.
#[derive(Debug)]
pub struct EventPace {
    sampled_at: Duration,
    events: u64,
}

impl EventPace {
    /// Begins at the first event.
    pub fn new(now: Duration) -> Self {
        Self {
            sampled_at: now,
            events: 0,
        }
    }

    /// Counts events; returns the mean time between them when there is a sample.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut pace = fulmarproxy::coordination::placing::event_pace::EventPace::new(ms(0));
    /// assert_eq!(pace.count(2, ms(100)), None, "too short a time");
    /// assert_eq!(pace.count(1, ms(300)), Some(ms(100)));
    /// assert_eq!(pace.count(1, ms(400)), None);
    /// ```
    pub fn count(&mut self, events: u64, now: Duration) -> Option<Duration> {
        self.events += events;
        let since = now.saturating_sub(self.sampled_at);
        if since < SAMPLE_TIME || self.events == 0 {
            return None;
        }
        let gap = since.div_f64(self.events as f64);
        (self.sampled_at, self.events) = (now, 0);
        Some(gap)
    }
}
