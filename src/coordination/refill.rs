//! Content of one write to a ledger bucket: the grants and returns of a holder in all its budgets.

use std::collections::BTreeMap;

use crate::{
    coordination::demand,
    state::{ledger, member, name},
};

/// A holder's change to its share of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Grants tokens to the holder.
    Grant {
        /// Tokens needed at once.
        needed: u64,
        /// Tokens missing from the holder's target.
        missing: u64,
    },
    /// Returns tokens that the holder has withheld for this.
    Return(u64),
}

/// A change, with the budget's total in the configuration that the holder follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// What to change.
    pub change: Change,
    /// Prepaid total.
    pub total: u64,
    /// Version of the configuration that the total comes from.
    pub version: u64,
}

/// Applies a holder's changes to a bucket that was just read; returns whether the bucket changed.
///
/// Does nothing when the holder was already settled in the bucket.
///
/// ```
/// use fulmarproxy::{coordination::refill, state::ledger};
/// let change = refill::Change::Grant { needed: 5, missing: 0 };
/// let request = refill::ChangeRequest { change, total: 8, version: 1 };
/// let mut bucket = ledger::Bucket::default();
/// assert!(refill::apply(&mut bucket, 7, &[("desk".into(), request)].into()));
/// assert_eq!(bucket.entries["desk"].shares[&7].granted, 5);
/// ```
pub fn apply(
    bucket: &mut ledger::Bucket,
    holder: member::Incarnation,
    requests: &BTreeMap<name::Name, ChangeRequest>,
) -> bool {
    if bucket.done.contains(&holder) {
        return false;
    }
    let before = bucket.clone();
    for (budget, request) in requests {
        let entry = bucket.entries.entry(budget.clone()).or_default();
        entry.update_total(request.total, request.version);
        match request.change {
            Change::Grant { needed, missing } => {
                let tokens = demand::grant_size(needed, missing, entry.free());
                if tokens.min(entry.free()) > 0 {
                    entry.grant(holder, tokens);
                }
            }
            Change::Return(tokens) => entry.return_tokens(holder, tokens),
        }
    }
    *bucket != before
}

/// Updates the totals from the configuration, so that a budget without an entry does not count as
/// spent.
pub fn update_totals(bucket: &mut ledger::Bucket, requests: &BTreeMap<name::Name, ChangeRequest>) {
    for (budget, request) in requests {
        let entry = bucket.entries.entry(budget.clone()).or_default();
        entry.update_total(request.total, request.version);
    }
}

/// Share of a holder in a budget according to a bucket; zero when it has none.
pub fn share_of(
    bucket: &ledger::Bucket,
    holder: member::Incarnation,
    budget: &str,
) -> ledger::Share {
    let entry = bucket.entries.get(budget);
    let share = entry.and_then(|entry| entry.shares.get(&holder));
    share.cloned().unwrap_or_default()
}

/// Tokens of a budget that are free or granted to other holders.
pub fn tokens_elsewhere(bucket: &ledger::Bucket, holder: member::Incarnation, budget: &str) -> u64 {
    let Some(entry) = bucket.entries.get(budget) else {
        return 0;
    };
    let others = entry.shares.iter().filter(|(other, _)| **other != holder);
    let granted: u64 = others.map(|(_, share)| share.granted).sum();
    entry.free() + granted
}
