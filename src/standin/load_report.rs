//! Load reports of an engine, delayed by a configured lag.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::standin::batch;

/// Maximum number of samples kept per lag; bounds the memory of a long lag.
const MAX_SAMPLES_PER_LAG: u32 = 64;

/// Recorded load, which is reported with a delay.
#[derive(Debug)]
pub struct LoadReport {
    lag: Duration,
    /// Samples with the time at which they were recorded, oldest first.
    samples: Mutex<VecDeque<(Instant, batch::Occupancy)>>,
}

impl LoadReport {
    /// Creates a report that is delayed by `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: Mutex::default(),
        }
    }

    /// Records the current load.
    ///
    /// A sample that follows the last one too closely replaces it. Samples that no report can need
    /// any more are removed.
    pub fn record(&self, occupancy: batch::Occupancy) {
        let now = Instant::now();
        let mut samples = self.samples.lock().unwrap();
        let spacing = self.lag / MAX_SAMPLES_PER_LAG;
        match samples.back_mut() {
            Some(last) if now - last.0 < spacing => last.1 = occupancy,
            _ => samples.push_back((now, occupancy)),
        }
        let old = |sample: Option<&(Instant, _)>| sample.is_some_and(|s| s.0 + self.lag <= now);
        while old(samples.get(1)) {
            samples.pop_front();
        }
    }

    /// The load as it was one lag ago; zero before the first sample is that old.
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
