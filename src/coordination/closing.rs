//! Settles the tokens of dead holders in the ledger.
//!
//! A holder is dead when it is fenced: agents run no more work for it, and other holders transfer
//! no tokens to or from it. All dead holders are closed together. A flow is the number of tokens
//! that one holder ever transferred to another:
//!
//! - Flows between two dead holders cancel out.
//! - Flows between a dead and a live holder are read from the live holder's record, because the
//!   live holder has promised not to change them any more.
//! - Flows between a dead holder and one that was closed earlier are read from the dead holder's
//!   record. The record contains them, because a live holder makes its record durable before it
//!   confirms its promise.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{holder_record, ledger, member, name, receipt};

/// All data needed to close a set of dead holders.
#[derive(Clone, Debug, Default)]
pub struct Closing {
    /// Final records of the dead holders, marked as fenced.
    pub dead: BTreeMap<member::Incarnation, holder_record::HolderRecord>,
    /// Records of all live holders, each read after the holder's promise not to change its flows
    /// with the dead holders any more.
    pub live: BTreeMap<member::Incarnation, holder_record::HolderRecord>,
    /// Receipts of dead holders that are not counted in their records.
    pub uncovered: Vec<UncoveredReceipt>,
    /// Dead holders with work of unknown usage at an agent that was replaced.
    pub lost: BTreeSet<member::Incarnation>,
    /// Holders that were closed earlier.
    pub closed: BTreeSet<member::Incarnation>,
}

/// A receipt that is not counted in its holder's record.
#[derive(Clone, Debug)]
pub struct UncoveredReceipt {
    /// Holder whose tokens pay for the attempt.
    pub holder: member::Incarnation,
    /// The receipt.
    pub receipt: receipt::Receipt,
}

/// Result of the settlement in one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Tokens that the dead holders spent according to records and receipts.
    pub spent: u64,
    /// Tokens counted as spent because their use cannot be known.
    pub written_off: u64,
    /// Tokens that became free in the ledger.
    pub freed: u64,
}

impl Closing {
    /// Adds the receipts that an agent returned after its promise to run nothing more for a dead
    /// holder, except those already counted in the holder's record.
    pub fn add_receipts(
        &mut self,
        agent: member::Incarnation,
        holder: member::Incarnation,
        receipts: Vec<receipt::Receipt>,
    ) {
        let record = self.dead.get(&holder);
        let covered = record.and_then(|record| record.covered.get(&agent));
        let covered = covered.cloned().unwrap_or_default();
        let receipts = receipts.into_iter().filter(|receipt| {
            receipt.number > covered.through && !covered.beyond.contains(&receipt.number)
        });
        let uncovered = receipts.map(|receipt| UncoveredReceipt { holder, receipt });
        self.uncovered.extend(uncovered);
    }

    /// Marks a dead holder's work at a replaced agent as unknown, unless the holder's record shows
    /// that it had none there.
    pub fn mark_lost(&mut self, agent: member::Incarnation, holder: member::Incarnation) {
        let record = self.dead.get(&holder);
        if record.is_some_and(|record| record.agents.contains(&agent)) {
            self.lost.insert(holder);
        }
    }

    /// Budgets named in the records and receipts.
    pub fn budgets(&self) -> BTreeSet<name::Name> {
        let recorded = self.dead.values().flat_map(|record| record.budgets.keys());
        let charged = self.uncovered.iter().map(|u| &u.receipt.budget);
        let live = self.live.values().flat_map(|record| record.budgets.keys());
        recorded.chain(charged).chain(live).cloned().collect()
    }

    /// Whether a dead holder has a share or figures in a bucket, or a closed one has a share in it.
    pub fn affects(&self, number: u64, bucket: &ledger::Bucket) -> bool {
        let is_gone = |holder: &member::Incarnation| {
            self.dead.contains_key(holder) || self.closed.contains(holder)
        };
        let mut entries = bucket.entries.values();
        let has_share = entries.any(|entry| entry.shares.keys().any(is_gone));
        let budgets = self.budgets();
        let mut numbers = budgets.iter().map(|budget| ledger::bucket_of(budget));
        has_share || numbers.any(|found| found == number)
    }

    /// Settles one bucket, except for the holders that were already settled in it.
    ///
    /// Returns the result by budget, or `None` when all dead holders were already settled.
    pub fn settle(
        &self,
        number: u64,
        bucket: &mut ledger::Bucket,
    ) -> Option<BTreeMap<name::Name, Settled>> {
        self.free_late_grants(bucket);
        let dead: BTreeSet<_> = self.dead.keys().copied().collect();
        let dead: BTreeSet<_> = dead.difference(&bucket.done).copied().collect();
        if dead.is_empty() {
            return None;
        }
        let mut budgets: BTreeSet<_> = self.budgets();
        budgets.retain(|budget| ledger::bucket_of(budget) == number);
        budgets.extend(bucket.entries.keys().cloned());
        let mut settled = BTreeMap::new();
        for budget in budgets {
            let entry = bucket.entries.entry(budget.clone()).or_default();
            let result = self.settle_entry(&dead, &budget, entry);
            settled.insert(budget, result);
        }
        bucket.done.extend(dead);
        Some(settled)
    }

    /// Frees tokens that a late write granted to a holder after it was closed; the holder could not
    /// spend any of them, because it was fenced. Also drops closed holders from `done`, because
    /// their records are marked as closed.
    fn free_late_grants(&self, bucket: &mut ledger::Bucket) {
        for entry in bucket.entries.values_mut() {
            entry
                .shares
                .retain(|holder, _| !self.closed.contains(holder));
        }
        bucket.done.retain(|holder| !self.closed.contains(holder));
    }

    fn settle_entry(
        &self,
        dead: &BTreeSet<member::Incarnation>,
        budget: &name::Name,
        entry: &mut ledger::Entry,
    ) -> Settled {
        let shares = dead.iter().filter_map(|holder| entry.shares.remove(holder));
        let granted: u64 = shares.map(|share| share.granted).sum();
        let net_flow = self.net_flow(dead, budget);
        let spent = self.spent(dead, budget);
        let held = i128::from(granted) + net_flow;
        let remaining = u64::try_from(held - i128::from(spent)).unwrap_or(0);
        // Work of unknown usage may have spent all that remains, so nothing is freed.
        let is_usage_unknown = dead.iter().any(|holder| self.lost.contains(holder));
        let freed = if is_usage_unknown { 0 } else { remaining };
        let used = i128::from(granted) - i128::from(freed);
        entry.closed += i64::try_from(used).unwrap_or(i64::MAX);
        Settled {
            spent,
            written_off: remaining - freed,
            freed,
        }
    }

    fn spent(&self, dead: &BTreeSet<member::Incarnation>, budget: &name::Name) -> u64 {
        let records = dead.iter().filter_map(|holder| self.dead.get(holder));
        let figures = records.filter_map(|record| record.budgets.get(budget));
        let recorded: u64 = figures.map(|figures| figures.spent).sum();
        let uncovered = self.uncovered.iter().filter(|uncovered| {
            dead.contains(&uncovered.holder) && uncovered.receipt.budget == *budget
        });
        let charged: u64 = uncovered.map(|uncovered| uncovered.receipt.tokens).sum();
        recorded + charged
    }

    /// Tokens that the dead holders received from other holders, less those that they gave.
    fn net_flow(&self, dead: &BTreeSet<member::Incarnation>, budget: &name::Name) -> i128 {
        let mut net = 0;
        for record in self.live.values() {
            let Some(figures) = record.budgets.get(budget) else {
                continue;
            };
            net += sum(&figures.given, |asker| dead.contains(asker));
            net -= sum(&figures.received, |giver| dead.contains(giver));
        }
        let closed_earlier = |holder: &member::Incarnation| {
            !dead.contains(holder) && !self.live.contains_key(holder)
        };
        for record in dead.iter().filter_map(|holder| self.dead.get(holder)) {
            let Some(figures) = record.budgets.get(budget) else {
                continue;
            };
            net += sum(&figures.received, closed_earlier);
            net -= sum(&figures.given, closed_earlier);
        }
        net
    }
}

fn sum(
    figures: &BTreeMap<member::Incarnation, u64>,
    counts: impl Fn(&member::Incarnation) -> bool,
) -> i128 {
    let counted = figures.iter().filter(|(holder, _)| counts(holder));
    counted.map(|(_, tokens)| i128::from(*tokens)).sum()
}
