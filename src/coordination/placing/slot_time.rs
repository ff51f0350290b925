//! Measured time for which requests hold a slot of a model engine.

use std::{collections::HashMap, time::Duration};

use crate::state::name;

/// Weight of a new sample in the mean.
const SMOOTHING: f64 = 0.1;

/// Time after which a mean without new samples is not used: the mix of requests may have changed.
const MEMORY: Duration = Duration::from_secs(60);

/// Mean times from the first event of a request to its end, by service.
#[derive(Debug, Default)]
pub struct SlotTimes {
    means: HashMap<name::Name, (f64, Duration)>,
}

impl SlotTimes {
    /// Records the time from the first event of a request to its end. It is less than the time for which
    /// the request held its slot, by the time for which its prompt was read.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::slot_time::SlotTimes;
    /// let (mut times, ms) = (SlotTimes::default(), Duration::from_millis);
    /// times.record(&"model".into(), ms(800), ms(1000));
    /// assert_eq!(times.mean("model", ms(2000)), Some(ms(800)));
    /// assert_eq!(times.mean("model", ms(70_000)), None);
    /// ```
    pub fn record(&mut self, service: &name::Name, took: Duration, now: Duration) {
        let took = took.as_secs_f64();
        if let Some((mean, at)) = self.means.get_mut(service)
            && now < *at + MEMORY
        {
            *mean += SMOOTHING * (took - *mean);
            *at = now;
            return;
        }
        self.means.retain(|_, (_, at)| now < *at + MEMORY);
        self.means.insert(service.clone(), (took, now));
    }

    /// Mean time; `None` when nothing was recorded for a minute.
    pub fn mean(&self, service: &str, now: Duration) -> Option<Duration> {
        let (mean, at) = self.means.get(service)?;
        (now < *at + MEMORY).then(|| Duration::from_secs_f64(*mean))
    }
}
