//! The ledger: how the prepaid total of each budget is divided among holders.
//!
//! The store keeps the ledger in [`LEDGER_BUCKETS`] values, each with the entries of several
//! budgets.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::state::{member, name};

/// Number of buckets that the budgets are distributed over by hash.
pub const LEDGER_BUCKETS: u64 = 256;

/// Share of one holder in one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Tokens granted to the holder, less those returned.
    pub granted: u64,
    /// Sequence number of the last change to this share.
    pub seq: u64,
}

/// An upper limit that is written before a lower total is published, so that no more tokens are
/// granted in the meantime than the new total allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cap {
    /// Highest number of tokens that may be committed.
    pub tokens: u64,
    /// Configuration version that will contain the lower total; the cap is dropped once the entry
    /// has this version or a newer one.
    pub version: u64,
}

/// The division of one budget among holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Prepaid total in effect.
    pub total: u64,
    /// Configuration version that the total comes from.
    pub version: u64,
    /// Net tokens that closed holders took out of the ledger: granted tokens less those freed when
    /// the holders were closed. Negative when they freed tokens that were granted
    /// to other holders.
    pub closed: i64,
    /// Shares of the live holders.
    pub shares: BTreeMap<member::Incarnation, Share>,
    /// Cap of a lower total that is not published yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<Cap>,
}

/// One value in the store: the entries of all budgets that hash to its number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bucket {
    /// Entries by budget.
    pub entries: BTreeMap<name::Name, Entry>,
    /// Holders that are settled in this bucket and whose records are not marked as closed yet.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub done: BTreeSet<member::Incarnation>,
}

/// Returns the bucket number of a budget.
///
/// ```
/// assert!(fulmarproxy::state::ledger::bucket_of("desk") < 256);
/// ```
pub fn bucket_of(budget: &str) -> u64 {
    xxh3::xxh3_64(budget.as_bytes()) % LEDGER_BUCKETS
}

impl Entry {
    /// Tokens that may still be granted: the total or its cap, less the committed tokens.
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

    /// Tokens granted to live holders, and net tokens taken by closed ones.
    ///
    /// ```
    /// let entry = fulmarproxy::state::ledger::Entry { closed: 3, ..Default::default() };
    /// assert_eq!(entry.committed(), 3);
    /// ```
    pub fn committed(&self) -> i128 {
        let granted: u128 = self.shares.values().map(|s| u128::from(s.granted)).sum();
        i128::try_from(granted).unwrap_or(i128::MAX) + i128::from(self.closed)
    }

    /// Sets a published total, unless the entry already has this version or a newer one.
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

    /// Grants up to `wanted` free tokens to a holder; returns the number granted.
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

    /// Returns tokens of a holder, which become free; does nothing when it has no share.
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
