//! Backend servers that get no work for a while because attempts there failed.

use std::{collections::BTreeMap, time::Duration};

use crate::state::name;

/// Failures in a row after which a backend server is ejected.
const FAILURES: u32 = 3;

const FIRST_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Record {
    failures: u32,
    until: Duration,
}

/// Failures in a row by VM name.
#[derive(Debug, Default)]
pub struct Ejection {
    records: BTreeMap<name::Name, Record>,
}

impl Ejection {
    /// Counts a failed attempt.
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
        if let Some(beyond) = record.failures.checked_sub(FAILURES) {
            let pause = FIRST_PAUSE * 2u32.pow(beyond.min(10));
            record.until = now + pause.min(LONGEST_PAUSE);
        }
    }

    /// Counts an attempt whose answer began.
    pub fn record_success(&mut self, vm: &str) {
        self.records.remove(vm);
    }

    /// Whether a backend server may get an attempt.
    pub fn admits(&self, vm: &str, now: Duration) -> bool {
        self.records
            .get(vm)
            .is_none_or(|record| now >= record.until)
    }

    /// Lets one attempt probe a backend server whose pause has ended.
    pub fn begin_probe(&mut self, vm: &str, now: Duration) {
        let record = self.records.get_mut(vm);
        if let Some(record) = record.filter(|record| record.failures >= FAILURES) {
            record.until = now + FIRST_PAUSE;
        }
    }
}
