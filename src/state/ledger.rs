//! Ledger buckets: how a budget's prepaid total is divided among holders.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::state::{member, name};

/// Buckets that all budgets are spread over.
pub const BUCKETS: u64 = 256;

/// Share of one holder in one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens moved from free to this holder, less those given back.
    pub granted: u64,
    /// Number of the holder's last change to this share.
    pub seq: u64,
}

/// An upper limit that a cut of the total places before it is published.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// Highest sum that may be granted and settled.
    pub tokens: u64,
    /// Configuration version that the cut is to become.
    pub version: u64,
}

/// The division of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Prepaid total in force.
    pub total: u64,
    /// Configuration version that the total comes from.
    pub version: u64,
    /// Tokens that closed holders used up, net of what they passed on.
    pub closed: i64,
    /// Shares of the live holders.
    pub shares: BTreeMap<member::Incarnation, Share>,
    /// Limit of a cut under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<Cap>,
}

/// One value of the store: the entries of all budgets that hash to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Entries by budget.
    pub entries: BTreeMap<name::Name, Entry>,
    /// Holders closed in this bucket whose records are not marked as closed yet.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub done: BTreeSet<member::Incarnation>,
}

/// Returns the bucket number of a budget.
///
/// ```
/// assert!(fulmarproxy::state::ledger::bucket_of("desk") < 256);
/// ```
pub fn bucket_of(budget: &str) -> u64 {
    xxh3::xxh3_64(budget.as_bytes()) % BUCKETS
}

impl Entry {
    /// Tokens that no holder has been granted and no closed holder used.
    ///
    /// ```
    /// let entry = fulmarproxy::state::ledger::Entry { total: 5, ..Default::default() };
    /// assert_eq!(entry.free(), 5);
    /// ```
    pub fn free(&self) -> u64 {
        let limit = match &self.cap {
            Some(cap) => cap.tokens.min(self.total),
            None => self.total,
        };
        let free = i128::from(limit) - self.committed();
        u64::try_from(free.max(0)).unwrap_or(0)
    }

    /// Tokens granted to live holders or used by closed ones.
    ///
    /// ```
    /// let entry = fulmarproxy::state::ledger::Entry { closed: 3, ..Default::default() };
    /// assert_eq!(entry.committed(), 3);
    /// ```
    pub fn committed(&self) -> i128 {
        let granted: u128 = self.shares.values().map(|s| u128::from(s.granted)).sum();
        i128::try_from(granted).unwrap_or(i128::MAX) + i128::from(self.closed)
    }

    /// Takes over a published total unless a newer version is already in force.
    ///
    /// ```
    /// let mut entry = fulmarproxy::state::ledger::Entry::default();
    /// entry.update_total(100, 1);
    /// entry.update_total(50, 1);
    /// assert_eq!(entry.total, 100);
    /// ```
    pub fn update_total(&mut self, total: u64, version: u64) {
        if version <= self.version {
            return;
        }
        self.total = total;
        self.version = version;
        if self.cap.as_ref().is_some_and(|cap| cap.version <= version) {
            self.cap = None;
        }
    }

    /// Moves up to `wanted` free tokens to a holder; returns the tokens moved.
    ///
    /// ```
    /// let mut entry = fulmarproxy::state::ledger::Entry { total: 5, ..Default::default() };
    /// assert_eq!(entry.grant(7, 9), 5);
    /// assert_eq!(entry.free(), 0);
    /// ```
    pub fn grant(&mut self, holder: member::Incarnation, wanted: u64) -> u64 {
        let tokens = self.free().min(wanted);
        let share = self.shares.entry(holder).or_default();
        share.granted += tokens;
        share.seq += 1;
        tokens
    }

    /// Moves tokens of a holder back to the free ones.
    ///
    /// ```
    /// let mut entry = fulmarproxy::state::ledger::Entry { total: 5, ..Default::default() };
    /// entry.grant(7, 4);
    /// entry.return_tokens(7, 3);
    /// assert_eq!(entry.free(), 4);
    /// ```
    pub fn return_tokens(&mut self, holder: member::Incarnation, tokens: u64) {
        let Some(share) = self.shares.get_mut(&holder) else {
            return;
        };
        share.granted = share.granted.saturating_sub(tokens);
        share.seq += 1;
    }
}
