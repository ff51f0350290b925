//! Moves tokens between the ledger and this router, and writes the holder's record.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    code::Code,
    error,
    protocol::kv,
    router::Router,
    state::{holder_record, ledger, name},
    transport::store,
};

const FLUSH_PERIOD: Duration = Duration::from_secs(1);
const GRANT_ATTEMPTS: u32 = 16;
const GRANT_MULTIPLE: u64 = 16;
const FREE_DIVISOR: u64 = 8;

/// What billing remembers between calls.
#[derive(Debug)]
pub struct Billing {
    buckets: Vec<smol::lock::Mutex<()>>,
    revision: AtomicU64,
    seq: AtomicU64,
    written: Mutex<Option<holder_record::HolderRecord>>,
}

impl Default for Billing {
    fn default() -> Self {
        Self {
            buckets: (0..ledger::BUCKETS)
                .map(|_| smol::lock::Mutex::new(()))
                .collect(),
            revision: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            written: Mutex::default(),
        }
    }
}

/// Starts writing the holder's record.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(FLUSH_PERIOD);
        while ticks.recv().await.is_ok() {
            flush(&router).await;
        }
    });
}

/// Writes the holder's record if it changed.
pub async fn flush(router: &Router) {
    if let Err(err) = try_flush(router).await {
        tracing::warn!("billing: {err}.");
    }
}

async fn try_flush(router: &Router) -> Result<(), error::Error> {
    let billing = &router.billing;
    let seq = billing.seq.load(Ordering::Relaxed);
    let mut record = router.escrow.snapshot(&router.member, seq);
    if billing.written.lock().unwrap().as_ref() == Some(&record) {
        return Ok(());
    }
    record.seq = billing.seq.fetch_add(1, Ordering::Relaxed) + 1;
    let key = format!("{}{}", store::HOLDER_PREFIX, router.member.incarnation);
    let expected = billing.revision.load(Ordering::Relaxed);
    match router.store.put_if(&key, &record, expected, 0).await? {
        store::Put::Written(revision) => {
            billing.revision.store(revision, Ordering::Relaxed);
            *billing.written.lock().unwrap() = Some(record);
        }
        store::Put::Conflict(found) => {
            let revision = found.map_or(0, |kv| kv.mod_revision.0);
            billing.revision.store(revision, Ordering::Relaxed);
        }
    }
    Ok(())
}

/// Sets tokens aside, drawing from the ledger when the router has too few.
///
/// # Errors
///
/// [`Code::BudgetSpent`] when the budget is spent, [`Code::BudgetUnreachable`] when tokens are
/// left that this router cannot reach now.
pub async fn reserve(router: &Router, budget: &name::Name, tokens: u64) -> Result<(), Code> {
    if router.escrow.reserve(budget, tokens).is_ok() {
        return Ok(());
    }
    let bucket = ledger::bucket_of(budget);
    let _turn = router.billing.buckets[bucket as usize].lock().await;
    let Err(short) = router.escrow.reserve(budget, tokens) else {
        return Ok(());
    };
    let left = refill(router, budget, tokens - short.available.min(tokens)).await;
    match (router.escrow.reserve(budget, tokens), left) {
        (Ok(()), _) => Ok(()),
        (Err(_), Ok(0)) => Err(Code::BudgetSpent),
        (Err(_), Ok(_)) => Err(Code::BudgetUnreachable),
        (Err(_), Err(err)) => {
            tracing::warn!("billing: {err}.");
            Err(Code::BudgetUnreachable)
        }
    }
}

/// Draws from the ledger; returns the tokens that others hold or that are still free.
async fn refill(router: &Router, budget: &name::Name, needed: u64) -> Result<u64, error::Error> {
    let key = format!("{}{:03}", store::LEDGER_PREFIX, ledger::bucket_of(budget));
    let in_force = router.config();
    let Some(object) = in_force.config.set.budgets.get(budget) else {
        return Ok(0);
    };
    let holder = router.member.incarnation;
    let mut found = router.store.get(&key).await?;
    for _ in 0..GRANT_ATTEMPTS {
        let mut bucket: ledger::Bucket = match &found {
            Some(kv) => kv::decode(kv)?,
            None => ledger::Bucket::default(),
        };
        let entry = bucket.entries.entry(budget.clone()).or_default();
        entry.adopt(object.prepaid_tokens, in_force.config.version);
        let wanted = needed.max((needed * GRANT_MULTIPLE).min(entry.free() / FREE_DIVISOR));
        entry.grant(holder, wanted);
        let share = entry.shares[&holder].clone();
        let left = entry.free() + others_granted(entry, holder);
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &bucket, revision, 0).await? {
            store::Put::Written(_) => {
                router.escrow.with(budget, |account| account.share = share);
                return Ok(left);
            }
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(error::Error::Store {
        call: "put",
        message: format!("{key} kept changing"),
    })
}

fn others_granted(entry: &ledger::Entry, holder: u64) -> u64 {
    let others = entry.shares.iter().filter(|(other, _)| **other != holder);
    others.map(|(_, share)| share.granted).sum()
}
