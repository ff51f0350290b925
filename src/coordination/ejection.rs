//! Outlier ejection: backend servers that get no requests for a while because attempts failed
//! there.

use std::{collections::BTreeMap, time::Duration};

use crate::state::name;

/// Consecutive failures after which a backend server is ejected.
const FAILURE_THRESHOLD: u32 = 3;

const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct FailureRecord {
    failures: u32,
    ejected_until: Duration,
}

/// Consecutive failures, by VM name.
#[derive(Debug, Default)]
pub struct Ejection {
    records: BTreeMap<name::Name, FailureRecord>,
}

impl Ejection {
    /// Records a failed attempt. The ejection doubles with each failure beyond the threshold.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut ejection = fulmarproxy::coordination::ejection::Ejection::default();
    /// for _ in 0..3 {
    ///     ejection.record_failure(&"vm".into(), Duration::ZERO);
    /// }
    /// assert!(!ejection.admits("vm", Duration::ZERO));
    /// assert!(ejection.admits("vm", Duration::from_secs(1)));
    /// ```
    pub fn record_failure(&mut self, vm: &name::Name, now: Duration) {
        let record = self.records.entry(vm.clone()).or_default();
        record.failures += 1;
        if let Some(beyond) = record.failures.checked_sub(FAILURE_THRESHOLD) {
            let ejection = MIN_EJECTION_TIME * 2u32.pow(beyond.min(10));
            record.ejected_until = now + ejection.min(MAX_EJECTION_TIME);
        }
    }

    /// Records an attempt that the server answered, which resets its count of failures.
    pub fn record_success(&mut self, vm: &str) {
        self.records.remove(vm);
    }

    /// Forgets the VMs that `is_known` does not accept.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.records.retain(|vm, _| is_known(vm));
    }

    /// Whether a backend server may get requests.
    pub fn admits(&self, vm: &str, now: Duration) -> bool {
        self.records
            .get(vm)
            .is_none_or(|record| now >= record.ejected_until)
    }

    /// Called when a request is sent to a server whose ejection has ended: ejects the server again
    /// for the shortest time, so that only this request probes it.
    pub fn begin_probe(&mut self, vm: &str, now: Duration) {
        let record = self.records.get_mut(vm);
        if let Some(record) = record.filter(|record| record.failures >= FAILURE_THRESHOLD) {
            record.ejected_until = now + MIN_EJECTION_TIME;
        }
    }
}
