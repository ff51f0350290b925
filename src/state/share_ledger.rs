//! The ledger of one workspace's budget, as it lies in the store.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// What one router holds of a budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Holding {
    /// Tokens granted, less those given back; negative when it gave back what others gave it.
    pub granted: i64,
    /// Tokens that it had spent when it wrote.
    pub spent: u64,
}

/// Grants of one budget by router incarnation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ShareLedger {
    /// Holdings by `vm/incarnation`.
    pub holders: BTreeMap<String, Holding>,
    /// Tokens of holders that have closed their account.
    pub closed: i64,
    /// Holders that closed their account last, so that one whose write had no answer knows.
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    pub lately_closed: VecDeque<String>,
}

/// Holders that are kept in `lately_closed`: as many as close within the seconds that a router
/// tries for, when a whole fleet of the size seen leaves at once.
const MAX_LATELY_CLOSED: usize = 32;

impl ShareLedger {
    /// Closes an account that holds `granted` tokens, once; false when there was nothing to close.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::ShareLedger;
    /// let mut ledger = ShareLedger::default();
    /// assert!(ledger.close("a/1", 5));
    /// assert!(!ledger.close("a/1", 5), "an answer was lost, and it is tried again");
    /// assert_eq!(ledger.granted(), 5);
    /// ```
    pub fn close(&mut self, holder: &str, granted: i64) -> bool {
        let was_held = self.holders.remove(holder).is_some();
        let was_closed = self.lately_closed.iter().any(|closed| closed == holder);
        if !was_held && (was_closed || granted == 0) {
            return false;
        }
        self.closed += granted;
        self.lately_closed.push_back(holder.to_owned());
        if self.lately_closed.len() > MAX_LATELY_CLOSED {
            self.lately_closed.pop_front();
        }
        true
    }

    /// Tokens granted to anyone and not given back; what routers give each other does not change
    /// it.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::{Holding, ShareLedger};
    /// let mut ledger = ShareLedger { closed: 5, ..ShareLedger::default() };
    /// ledger.holders.insert("a/1".to_owned(), Holding { granted: 7, spent: 0 });
    /// assert_eq!(ledger.granted(), 12);
    /// ```
    pub fn granted(&self) -> u64 {
        let holders = self.holders.values().map(|holding| holding.granted);
        let granted = holders.fold(self.closed, i64::saturating_add);
        u64::try_from(granted).unwrap_or(0)
    }
}
