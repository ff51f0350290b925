//! Adaptive limit on the concurrent requests of one gateway to a plain service.
//!
//! Handles services with fewer slots than gateways. No gateway knows how many requests the others have
//! at the servers, so each finds its share from the rejections that it gets.

use std::time::Duration;

/// Smallest limit. At less than one request, a gateway would pause although a server may have a free
/// slot.
const MIN: f64 = 1.0;

/// Factor of the limit at a rejection, and its growth for as many served requests as the limit allows.
/// The two balance at a limit of 1.5 when a tenth of the requests is rejected.
const DECREASE: f64 = 0.7;
const GROWTH: f64 = 0.1;

/// Time without a rejection after which the limit is no longer in effect.
const MEMORY: Duration = Duration::from_secs(60);

/// Weight of a new sample in the mean time between two ends of requests.
const SMOOTHING: f64 = 0.1;

/// Limit on concurrent requests, and the rate at which requests end while it is reached.
#[derive(Debug, Default)]
pub struct ConcurrencyLimit {
    /// The limit, and the time of the last rejection; `None` until the first one.
    limit: Option<(f64, Duration)>,
    /// Mean time between two ends in seconds, while the limit was reached.
    end_gap: Option<f64>,
    /// Last end, if the limit has been reached since.
    reached_since: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Number of requests that may run; `None` while the limit is not in effect.
    pub fn max_running(&self, now: Duration) -> Option<usize> {
        let (limit, rejected_at) = self.limit?;
        (now < rejected_at + MEMORY).then_some(limit as usize)
    }

    /// Whether the limit is at its minimum.
    pub fn is_minimum(&self, now: Duration) -> bool {
        self.max_running(now) == Some(MIN as usize)
    }

    /// Records a rejection by a full server, while `running` requests ran, that one among them.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::limits::concurrency::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::default();
    /// assert_eq!(limit.max_running(Duration::ZERO), None);
    /// limit.record_rejection(10, Duration::ZERO);
    /// assert_eq!(limit.max_running(Duration::ZERO), Some(7));
    /// for _ in 0..100 {
    ///     limit.record_served(7);
    /// }
    /// assert_eq!(limit.max_running(Duration::from_millis(15)), Some(8));
    /// ```
    pub fn record_rejection(&mut self, running: usize, now: Duration) {
        let running = running as f64;
        let limit = match self.max_running(now) {
            Some(_) => self.limit.map_or(running, |(limit, _)| limit.min(running)),
            None => running,
        };
        self.limit = Some(((limit * DECREASE).max(MIN), now));
    }

    /// Records a served request. `running` requests ran until then.
    pub fn record_served(&mut self, running: usize) {
        // A limit that is not reached says nothing about a higher one.
        if let Some((limit, _)) = &mut self.limit
            && running as f64 >= limit.floor()
        {
            *limit += GROWTH / *limit;
        }
    }

    /// Records the end of a served request. `is_reached` tells whether the limit is still reached now.
    pub fn record_end(&mut self, is_reached: bool, now: Duration) {
        if let Some(since) = self.reached_since {
            let gap = now.saturating_sub(since).as_secs_f64();
            let mean = self.end_gap.unwrap_or(gap);
            self.end_gap = Some(mean + SMOOTHING * (gap - mean));
        }
        self.reached_since = is_reached.then_some(now);
    }

    /// Time until `count` requests have ended, at the measured rate; `None` until one is measured.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::limits::concurrency::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::default();
    /// for ms in [20, 40, 60] {
    ///     limit.record_end(true, Duration::from_millis(ms));
    /// }
    /// assert_eq!(limit.time_for(3), Some(Duration::from_millis(60)));
    /// ```
    pub fn time_for(&self, count: usize) -> Option<Duration> {
        let seconds = self.end_gap? * count as f64;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
