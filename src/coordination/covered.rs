//! Which receipts of an agent a holder has counted.

use std::collections::BTreeSet;

/// Receipt numbers counted: all up to a mark, and some beyond it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Covered {
    through: u64,
    beyond: BTreeSet<u64>,
}

impl Covered {
    /// Marks a receipt as counted; returns false when it was counted before.
    ///
    /// ```
    /// let mut covered = fulmarproxy::coordination::covered::Covered::default();
    /// assert!(covered.insert(2));
    /// assert!(!covered.insert(2));
    /// assert!(covered.insert(1));
    /// assert_eq!(covered.through(), 2);
    /// ```
    pub fn insert(&mut self, number: u64) -> bool {
        if number <= self.through || !self.beyond.insert(number) {
            return false;
        }
        while self.beyond.remove(&(self.through + 1)) {
            self.through += 1;
        }
        true
    }

    /// Highest number up to which every receipt was counted.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// Numbers counted beyond the mark, in order.
    pub fn beyond(&self) -> &BTreeSet<u64> {
        &self.beyond
    }
}
