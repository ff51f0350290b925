//! An engine's load as it was some time ago.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::standin::batch;

/// Samples that a report keeps for each lag.
const SAMPLES_PER_LAG: u32 = 64;

/// Load that is reported with a lag.
#[derive(Debug)]
pub struct LoadReport {
    lag: Duration,
    samples: Mutex<VecDeque<(Instant, batch::Occupancy)>>,
}

impl LoadReport {
    /// Makes a report that lags by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: Mutex::default(),
        }
    }

    /// Records the present load.
    pub fn record(&self, occupancy: batch::Occupancy) {
        let now = Instant::now();
        let mut samples = self.samples.lock().unwrap();
        let spacing = self.lag / SAMPLES_PER_LAG;
        match samples.back_mut() {
            Some(last) if now - last.0 < spacing => last.1 = occupancy,
            _ => samples.push_back((now, occupancy)),
        }
        let old = |sample: Option<&(Instant, _)>| sample.is_some_and(|s| s.0 + self.lag <= now);
        while old(samples.get(1)) {
            samples.pop_front();
        }
    }

    /// The load one lag ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::standin::{batch, load_report};
    /// let report = load_report::LoadReport::new(Duration::ZERO);
    /// report.record(batch::Occupancy { running: 3, ..Default::default() });
    /// assert_eq!(report.lagged().running, 3);
    /// ```
    pub fn lagged(&self) -> batch::Occupancy {
        let now = Instant::now();
        let samples = self.samples.lock().unwrap();
        let seen = samples.iter().rev().find(|s| s.0 + self.lag <= now);
        seen.map(|(_, occupancy)| *occupancy).unwrap_or_default()
    }
}
