//! One write of a ledger bucket: the grants and returns of all budgets that a holder changes.

use std::collections::BTreeMap;

use crate::{
    coordination::demand,
    state::{ledger, member, name},
};

/// What a holder wants changed in one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Takes tokens.
    Grant {
        /// Tokens needed at once.
        needed: u64,
        /// Tokens missing from the target of the holder.
        missing: u64,
    },
    /// Gives back tokens that the holder has withheld.
    Return(u64),
}

/// A change, and the total of the budget in the configuration that the holder follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
    /// Prepaid total.
    pub total: u64,
    /// Configuration version of the total.
    pub version: u64,
}

/// Applies a holder's changes to a bucket just read; returns whether the bucket changed.
///
/// A holder that is closed in the bucket gets nothing.
///
/// ```
/// use fulmarproxy::{coordination::refill, state::ledger};
/// let change = refill::Change::Grant { needed: 5, missing: 0 };
/// let want = refill::ChangeRequest { change, total: 8, version: 1 };
/// let mut bucket = ledger::Bucket::default();
/// assert!(refill::apply(&mut bucket, 7, &[("desk".into(), want)].into()));
/// assert_eq!(bucket.entries["desk"].shares[&7].granted, 5);
/// ```
pub fn apply(
    bucket: &mut ledger::Bucket,
    holder: member::Incarnation,
    wants: &BTreeMap<name::Name, ChangeRequest>,
) -> bool {
    if bucket.done.contains(&holder) {
        return false;
    }
    let before = bucket.clone();
    for (budget, want) in wants {
        let entry = bucket.entries.entry(budget.clone()).or_default();
        entry.update_total(want.total, want.version);
        match want.change {
            Change::Grant { needed, missing } => {
                let wanted = demand::grant_size(needed, missing, entry.free());
                if wanted.min(entry.free()) > 0 {
                    entry.grant(holder, wanted);
                }
            }
            Change::Return(tokens) => entry.return_tokens(holder, tokens),
        }
    }
    *bucket != before
}

/// Takes over the published totals, so that a budget without an entry does not look spent.
pub fn update_totals(bucket: &mut ledger::Bucket, wants: &BTreeMap<name::Name, ChangeRequest>) {
    for (budget, want) in wants {
        let entry = bucket.entries.entry(budget.clone()).or_default();
        entry.update_total(want.total, want.version);
    }
}

/// Share of a holder in a budget, as a bucket shows it.
pub fn share_of(
    bucket: &ledger::Bucket,
    holder: member::Incarnation,
    budget: &str,
) -> ledger::Share {
    let entry = bucket.entries.get(budget);
    let share = entry.and_then(|entry| entry.shares.get(&holder));
    share.cloned().unwrap_or_default()
}

/// Tokens of a budget that are free or in the hands of other holders.
pub fn tokens_elsewhere(bucket: &ledger::Bucket, holder: member::Incarnation, budget: &str) -> u64 {
    let Some(entry) = bucket.entries.get(budget) else {
        return 0;
    };
    let others = entry.shares.iter().filter(|(other, _)| **other != holder);
    let granted: u64 = others.map(|(_, share)| share.granted).sum();
    entry.free() + granted
}
