//! The ledger of one workspace's budget, as it lies in the store.

use std::collections::BTreeMap;

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
}

impl ShareLedger {
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
