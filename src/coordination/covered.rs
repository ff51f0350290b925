//! The set of an agent's receipts that a holder has counted.

use std::collections::BTreeSet;

/// Counted receipt numbers, stored as the end of the gapless range from 1 and the numbers above it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoveredSet {
    through: u64,
    beyond: BTreeSet<u64>,
}

impl CoveredSet {
    /// Adds a receipt number; returns false when it was counted before.
    ///
    /// ```
    /// let mut covered = fulmarproxy::coordination::covered::CoveredSet::default();
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

    /// Highest number up to which every receipt is counted.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// Counted numbers above [`through`](Self::through), in order.
    pub fn beyond(&self) -> &BTreeSet<u64> {
        &self.beyond
    }
}
