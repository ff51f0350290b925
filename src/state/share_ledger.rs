//! The ledger of one workspace's budget in the store, as gateways use it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// One router's part of a budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Holding {
    /// Tokens granted, less those returned; negative when the router returned tokens that it had
    /// received from other routers.
    pub granted: i64,
    /// Tokens that the router had spent when it last wrote the entry.
    pub spent: u64,
}

/// Grants of one budget to router incarnations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ShareLedger {
    /// Holdings by `vm/incarnation`.
    pub holders: BTreeMap<String, Holding>,
    /// Net tokens granted to holders that have closed their accounts.
    pub closed: i64,
    /// Holders that closed their accounts most recently. A holder that got no answer to its write
    /// finds itself here when the write took effect, and is not closed twice.
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    pub lately_closed: VecDeque<String>,
}

/// Number of holders kept in `lately_closed`: enough for all routers of the largest fleet seen to
/// close within the few seconds for which one router retries its write.
const MAX_RECENTLY_CLOSED_HOLDERS: usize = 32;

impl ShareLedger {
    /// Closes the account of a holder with `granted` tokens; returns false when there was nothing
    /// to close or it was closed before, so that a retry after a lost answer changes nothing.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::ShareLedger;
    /// let mut ledger = ShareLedger::default();
    /// assert!(ledger.close("a/1", 5));
    /// assert!(!ledger.close("a/1", 5), "a retry after a lost answer");
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
        if self.lately_closed.len() > MAX_RECENTLY_CLOSED_HOLDERS {
            self.lately_closed.pop_front();
        }
        true
    }

    /// Tokens granted to all holders, open and closed, and not returned. Transfers between routers
    /// don't change this number.
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
