//! The ledger of one workspace's budget in the store, as gateways use it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One router's part of a budget.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Holding {
    /// Tokens granted, less those returned; negative when the router returned tokens that it had
    /// received from other routers.
    pub granted: i64,
    /// Tokens that the router had spent when it last wrote the entry.
    pub spent: u64,
    /// Tokens that the router had given to other routers, less those received from them, when it
    /// last wrote the entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub given: i64,
    /// Era of the store in which the router last wrote the entry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub era: u64,
    /// Whether the entry is old enough to be in every copy that the store can come back from.
    #[serde(default, skip_serializing_if = "is_default")]
    pub is_aged: bool,
}

impl Holding {
    /// Tokens that the router still held when it last wrote the entry.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::Holding;
    /// let held = Holding { granted: 10, spent: 4, given: 3, ..Holding::default() };
    /// assert_eq!(held.unspent(), 3);
    /// ```
    pub fn unspent(&self) -> u64 {
        let spent = i64::try_from(self.spent).unwrap_or(i64::MAX);
        let unspent = self
            .granted
            .saturating_sub(spent)
            .saturating_sub(self.given);
        u64::try_from(unspent).unwrap_or(0)
    }
}

/// The end of one holder's account.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Closing {
    /// The holder.
    pub holder: String,
    /// Net tokens that were granted to it.
    pub granted: i64,
    /// Era of the store in which the account was closed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub era: u64,
}

/// Grants of one budget to router incarnations.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ShareLedger {
    /// Holdings by `vm/incarnation`.
    pub holders: BTreeMap<String, Holding>,
    /// Net tokens granted to holders whose closings are no longer listed.
    pub closed: i64,
    /// Number of closings that are contained in `closed`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub folded: u64,
    /// Holders whose closings were moved to `closed` last, oldest first.
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    pub folded_holders: VecDeque<String>,
    /// The latest closings, oldest first. A holder that got no answer to its write finds itself
    /// here when the write took effect, and is not closed twice.
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    pub closings: VecDeque<Closing>,
    /// Era of the store in which this ledger was last written.
    #[serde(default, skip_serializing_if = "is_default")]
    pub era: u64,
    /// Latest era in which the ledger was found complete; in a later one nothing is granted.
    #[serde(default, skip_serializing_if = "is_default")]
    pub settled_era: u64,
    /// Tokens that holders may have been granted of whom nobody knows any more; never granted.
    #[serde(default, skip_serializing_if = "is_default")]
    pub set_aside: u64,
    /// Tokens that holders who have not reported may hold beyond their entries.
    #[serde(default, skip_serializing_if = "is_default")]
    pub in_doubt: u64,
    /// Bound on everything granted so far, present in every copy that the store can come back from.
    #[serde(default, skip_serializing_if = "is_default")]
    pub ceiling: u64,
    /// The next bound; takes effect when it is old enough.
    #[serde(default, skip_serializing_if = "is_default")]
    pub next_ceiling: u64,
}

/// Number of closings that stay listed: enough for all routers of the largest fleet seen to close
/// within the few seconds for which one router retries its write.
pub const MAX_LISTED_CLOSINGS: usize = 128;

impl ShareLedger {
    /// Closes the account of a holder with `granted` tokens in an era of the store; returns false
    /// when there was nothing to close or it was closed before, so that a retry after a lost answer
    /// changes nothing.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::ShareLedger;
    /// let mut ledger = ShareLedger::default();
    /// assert!(ledger.close("a/1", 5, 0));
    /// assert!(!ledger.close("a/1", 5, 0), "a retry after a lost answer");
    /// assert_eq!(ledger.granted(), 5);
    /// ```
    pub fn close(&mut self, holder: &str, granted: i64, era: u64) -> bool {
        let was_held = self.holders.remove(holder).is_some();
        let was_closed = self.is_closed(holder);
        if !was_held && (was_closed || granted == 0) {
            return false;
        }
        let holder = holder.to_owned();
        self.closings.push_back(Closing {
            holder,
            granted,
            era,
        });
        true
    }

    /// Whether a holder is among the latest that closed their accounts.
    pub fn is_closed(&self, holder: &str) -> bool {
        let is_listed = self.closings.iter().any(|closing| closing.holder == holder);
        is_listed || self.folded_holders.iter().any(|folded| folded == holder)
    }

    /// Moves the oldest closings into the total of closed accounts while too many are listed and
    /// `may_fold` allows it.
    pub fn fold_closings(&mut self, may_fold: impl Fn(&Closing) -> bool) {
        while self.closings.len() > MAX_LISTED_CLOSINGS
            && self.closings.front().is_some_and(&may_fold)
        {
            let Some(oldest) = self.closings.pop_front() else {
                return;
            };
            self.closed += oldest.granted;
            self.folded += 1;
            self.folded_holders.push_back(oldest.holder);
            if self.folded_holders.len() > MAX_LISTED_CLOSINGS {
                self.folded_holders.pop_front();
            }
        }
    }

    /// Net tokens granted to all holders that have closed their accounts.
    pub fn closed_total(&self) -> i64 {
        let listed = self.closings.iter().map(|closing| closing.granted);
        listed.fold(self.closed, i64::saturating_add)
    }

    /// Tokens that the holders chosen by `is_counted` held when they last wrote their entries.
    pub fn unspent(&self, is_counted: impl Fn(&str) -> bool) -> u64 {
        let counted = self.holders.iter().filter(|(holder, _)| is_counted(holder));
        let unspent = counted.map(|(_, held)| held.unspent());
        unspent.fold(0, u64::saturating_add)
    }

    /// Tokens that are not free: granted to holders, open and closed, and not returned, or kept back
    /// for holders that are unknown. Transfers between routers don't change this number.
    ///
    /// ```
    /// use fulmarproxy::state::share_ledger::{Holding, ShareLedger};
    /// let mut ledger = ShareLedger { closed: 5, ..ShareLedger::default() };
    /// ledger.holders.insert("a/1".to_owned(), Holding { granted: 7, ..Holding::default() });
    /// assert_eq!(ledger.granted(), 12);
    /// ```
    pub fn granted(&self) -> u64 {
        let open = self.holders.values().map(|holding| holding.granted);
        let granted = open.fold(self.closed_total(), i64::saturating_add);
        let kept_back = self.set_aside.saturating_add(self.in_doubt);
        u64::try_from(granted)
            .unwrap_or(0)
            .saturating_add(kept_back)
    }
}
