//! Measured speed of a backend server, relative to what is expected of one.
//!
//! Servers of one service differ in speed, and some become slow for seconds. A sample is the time that
//! something took, divided by the time that was expected. The lower quartile of the last few is used: work
//! of other routers, which this one does not know, makes samples longer, hardly ever shorter.

use std::time::Duration;

/// Number of samples of which the lower quartile is taken.
const SAMPLES: usize = 7;

/// Samples that count as much as the assumption that a server is as fast as the others.
const PRIOR_SAMPLES: f64 = 2.0;

/// Time after which a measured deviation counts half. A server that was slow for some seconds gets
/// requests again, first few and then more, as its estimate approaches the mean.
const HALF_LIFE_S: f64 = 3.0;

/// Deviations that count as none. Load that a router does not see makes a server look slower than it is, and
/// requests that go elsewhere for that have their prefixes read again.
const DEAD_ZONE: f64 = 0.15;

/// Bounds of a sample, so that a faulty one does not matter more than a very slow server.
const MAX_RATIO: f64 = 16.0;

/// Time for which a server that has just started is considered for fewer requests: its caches are empty,
/// and all gateways learn of it at the same moment.
const SLOW_START: Duration = Duration::from_secs(3);

/// Share of the requests for which a server that has just started is considered.
const SLOW_START_SHARE: f64 = 0.5;

/// Measured speed of one process of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    samples: [f32; SAMPLES],
    count: u32,
    quartile: f32,
    sampled_at: Duration,
    started_at: Option<Duration>,
}

impl Speed {
    /// Speed of a server that started at this time.
    pub fn started(now: Duration) -> Self {
        Self {
            started_at: Some(now),
            ..Self::default()
        }
    }

    /// Records that something took `took_ms` at the server that was expected to take `expected_ms`.
    /// Without a useful number nothing is recorded.
    pub fn record(&mut self, took_ms: f64, expected_ms: f64, now: Duration) {
        let ratio = took_ms / expected_ms;
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let bound = MAX_RATIO.ln();
        self.samples[self.count as usize % SAMPLES] = ratio.ln().clamp(-bound, bound) as f32;
        self.count = self.count.saturating_add(1);
        let len = SAMPLES.min(self.count as usize);
        let mut sorted = self.samples;
        sorted[..len].sort_by(f32::total_cmp);
        self.quartile = sorted[len / 4];
        self.sampled_at = now;
    }

    /// Natural logarithm of the measured time relative to the expected one, closer to 0 with few and
    /// with old samples.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::speed::Speed;
    /// let (mut speed, now) = (Speed::default(), Duration::from_secs(1));
    /// assert_eq!(speed.deviation(now), 0.0, "nothing is known");
    /// for took_ms in [30.0, 31.0, 500.0, 29.0, 30.0, 30.0] {
    ///     speed.record(took_ms, 10.0, now);
    /// }
    /// // The single 500 has no effect.
    /// assert!((1.5..3.1).contains(&speed.deviation(now).exp()));
    /// assert!(speed.deviation(now + Duration::from_secs(30)) == 0.0);
    /// ```
    pub fn deviation(&self, now: Duration) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        let count = f64::from(self.count.min(SAMPLES as u32));
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let weight = count / (count + PRIOR_SAMPLES) * (-age / HALF_LIFE_S).exp2();
        let measured = f64::from(self.quartile) * weight;
        measured.signum() * (measured.abs() - DEAD_ZONE).max(0.0)
    }

    /// Share of the requests for which a server that has just started is considered.
    ///
    /// It is no factor of its cost: equal servers that started at different moments would all lose their
    /// requests to the one that started first.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::speed::Speed;
    /// let speed = Speed::started(Duration::from_secs(5));
    /// assert_eq!(speed.slow_start(Duration::from_secs(5)), 0.5);
    /// assert_eq!(speed.slow_start(Duration::from_secs(8)), 1.0);
    /// assert_eq!(Speed::default().slow_start(Duration::from_secs(5)), 1.0);
    /// ```
    pub fn slow_start(&self, now: Duration) -> f64 {
        let Some(started) = self.started_at else {
            return 1.0;
        };
        let passed = now.saturating_sub(started).as_secs_f64() / SLOW_START.as_secs_f64();
        (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * passed).min(1.0)
    }
}
