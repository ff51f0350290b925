//! Settles the tokens of dead holders.
//!
//! All dead holders are closed together. Flows among them cancel; flows to and from live holders
//! are told by the live ones, which have promised to change them no more; flows to and from
//! holders closed earlier stand in the records of the dead, because a live holder makes its
//! record durable before it reports.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::{holder_record, ledger, member, name, receipt};

/// All that is known of a set of dead holders.
#[derive(Clone, Debug, Default)]
pub struct Closing {
    /// Final records of the dead holders, marked as fenced.
    pub dead: BTreeMap<member::Incarnation, holder_record::HolderRecord>,
    /// Records of all live holders, each after its promise.
    pub live: BTreeMap<member::Incarnation, holder_record::HolderRecord>,
    /// Receipts of dead holders that their records do not cover.
    pub uncovered: Vec<UncoveredReceipt>,
    /// Dead holders whose work at a replaced agent is not known.
    pub lost: BTreeSet<member::Incarnation>,
    /// Holders that were closed before.
    pub closed: BTreeSet<member::Incarnation>,
}

/// A receipt that no record covers.
#[derive(Clone, Debug)]
pub struct UncoveredReceipt {
    /// Holder that pays.
    pub holder: member::Incarnation,
    /// The receipt.
    pub receipt: receipt::Receipt,
}

/// What became of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Tokens that the dead holders spent, as far as known.
    pub spent: u64,
    /// Tokens booked as spent because it cannot be known.
    pub written_off: u64,
    /// Tokens that became free.
    pub freed: u64,
}

impl Closing {
    /// Adds what an agent returned after its promise, leaving out what the record covers.
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

    /// Counts the work of a dead holder at a replaced agent as unknown, unless the holder's
    /// record shows that there was none.
    pub fn mark_lost(&mut self, agent: member::Incarnation, holder: member::Incarnation) {
        let record = self.dead.get(&holder);
        if record.is_some_and(|record| record.agents.contains(&agent)) {
            self.lost.insert(holder);
        }
    }

    /// Budgets that the records and receipts name.
    pub fn budgets(&self) -> BTreeSet<name::Name> {
        let recorded = self.dead.values().flat_map(|record| record.budgets.keys());
        let charged = self.uncovered.iter().map(|u| &u.receipt.budget);
        let live = self.live.values().flat_map(|record| record.budgets.keys());
        recorded.chain(charged).chain(live).cloned().collect()
    }

    /// Whether a dead holder has a share or figures in a bucket, or a closed one has a share.
    pub fn affects(&self, number: u64, bucket: &ledger::Bucket) -> bool {
        let gone = |holder: &member::Incarnation| {
            self.dead.contains_key(holder) || self.closed.contains(holder)
        };
        let mut entries = bucket.entries.values();
        let shared = entries.any(|entry| entry.shares.keys().any(gone));
        let budgets = self.budgets();
        let mut numbers = budgets.iter().map(|budget| ledger::bucket_of(budget));
        shared || numbers.any(|found| found == number)
    }

    /// Settles one bucket; does nothing to holders that are done in it.
    ///
    /// Returns what became of each budget, or `None` when nothing was left to do.
    pub fn settle(
        &self,
        number: u64,
        bucket: &mut ledger::Bucket,
    ) -> Option<BTreeMap<name::Name, Settled>> {
        self.sweep(bucket);
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

    /// Takes back what a closed holder took after it was closed: it could spend none of it.
    fn sweep(&self, bucket: &mut ledger::Bucket) {
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
        let flows = self.flows(dead, budget);
        let spent = self.spent(dead, budget);
        let had = i128::from(granted) + flows;
        let remaining = u64::try_from(had - i128::from(spent)).unwrap_or(0);
        let unknown = dead.iter().any(|holder| self.lost.contains(holder));
        let freed = if unknown { 0 } else { remaining };
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

    /// Tokens that came in from other holders, less those that went out.
    fn flows(&self, dead: &BTreeSet<member::Incarnation>, budget: &name::Name) -> i128 {
        let mut net = 0;
        for record in self.live.values() {
            let Some(figures) = record.budgets.get(budget) else {
                continue;
            };
            net += sum(&figures.given, |asker| dead.contains(asker));
            net -= sum(&figures.received, |giver| dead.contains(giver));
        }
        let earlier = |holder: &member::Incarnation| {
            !dead.contains(holder) && !self.live.contains_key(holder)
        };
        for record in dead.iter().filter_map(|holder| self.dead.get(holder)) {
            let Some(figures) = record.budgets.get(budget) else {
                continue;
            };
            net += sum(&figures.received, earlier);
            net -= sum(&figures.given, earlier);
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
