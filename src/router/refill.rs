//! Moves tokens between the ledger and this router.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use metrics::counter;

use crate::{
    coordination::{demand, refill as steps},
    error,
    protocol::kv,
    router::{Router, record_writer},
    state::{ledger, name},
    transport::store,
};

const ATTEMPTS: u32 = 16;
const LIMIT: Duration = Duration::from_secs(5);

type Changes = BTreeMap<name::Name, steps::Change>;

/// Takes tokens for a request; returns the tokens that others hold or that are still free.
///
/// Requests that wait for the same bucket share one write.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached.
pub async fn request_grant(
    router: &Router,
    budget: &name::Name,
    tokens: u64,
) -> Result<u64, error::Error> {
    let billing = &router.billing;
    let bucket = ledger::bucket_of(budget);
    if let Some(elsewhere) = dry(router, budget) {
        return Ok(elsewhere);
    }
    *billing
        .pending
        .lock()
        .unwrap()
        .entry(budget.clone())
        .or_default() += tokens;
    let _turn = billing.buckets[bucket as usize].lock().await;
    let available = router.escrow.with(budget, |account| account.available());
    let waiting = take_pending(router, bucket);
    if available < tokens && dry(router, budget).is_none() {
        let changes = waiting.into_iter().map(|(budget, tokens)| {
            let change = grant(router, &budget, tokens);
            (budget, change)
        });
        let mut changes: Changes = changes.collect();
        let own = changes.entry(budget.clone());
        own.or_insert_with(|| grant(router, budget, tokens));
        write(router, bucket, changes).await?;
    }
    Ok(router.escrow.with(budget, |account| account.elsewhere))
}

/// What others hold of a budget, if the ledger had nothing free a moment ago.
fn dry(router: &Router, budget: &name::Name) -> Option<u64> {
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    router.escrow.with(budget, |account| {
        let holds = account.dry_ledger.holds(version, now);
        holds.then_some(account.elsewhere)
    })
}

fn take_pending(router: &Router, bucket: u64) -> BTreeMap<name::Name, u64> {
    let mut pending = router.billing.pending.lock().unwrap();
    let all = std::mem::take(&mut *pending);
    let (mine, others) = all
        .into_iter()
        .partition(|(b, _)| ledger::bucket_of(b) == bucket);
    *pending = others;
    mine
}

fn grant(router: &Router, budget: &name::Name, tokens: u64) -> steps::Change {
    let config = router.config();
    let object = config.config.set.budgets.get(budget);
    let autonomy = Duration::from_secs(object.map_or(0, |object| object.autonomy_seconds));
    router.escrow.with(budget, |account| {
        let available = account.available();
        steps::Change::Grant {
            needed: tokens.saturating_sub(available),
            missing: demand::missing(available, account.demand.target(autonomy)),
        }
    })
}

/// Writes changes of one bucket, which the caller has locked.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached: the write may have taken effect, and
/// the next one finds out.
pub async fn write(router: &Router, bucket: u64, changes: Changes) -> Result<(), error::Error> {
    let writing = try_write(router, bucket, changes);
    let written = router.runtime.timers.within(LIMIT, writing).await;
    let written = written.unwrap_or_else(|| Err(failed(bucket, "no answer")));
    let down = &router.billing.store_down;
    down.store(written.is_err(), Ordering::Relaxed);
    let result = if written.is_ok() { "ok" } else { "failed" };
    counter!("fulmar_refills", "result" => result).increment(1);
    written
}

async fn try_write(router: &Router, bucket: u64, changes: Changes) -> Result<(), error::Error> {
    record_writer::ensure_exists(router).await?;
    let key = store::bucket_key(bucket);
    let wants = wants(router, changes);
    let holder = router.member.incarnation;
    let mut found = router.store.get(&key).await?;
    for _ in 0..ATTEMPTS {
        let mut content: ledger::Bucket = match &found {
            Some(kv) => kv::decode(kv)?,
            None => ledger::Bucket::default(),
        };
        steps::adopt(&mut content, &wants);
        learn(router, &content, &wants);
        let current = current(router, &wants);
        if !steps::apply(&mut content, holder, &current) {
            return Ok(());
        }
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &content, revision, 0).await? {
            store::Put::Written(_) => {
                learn(router, &content, &wants);
                return Ok(());
            }
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(failed(bucket, "it kept changing"))
}

fn wants(router: &Router, changes: Changes) -> BTreeMap<name::Name, steps::Want> {
    let config = router.config();
    let want = |(budget, change): (name::Name, steps::Change)| {
        let object = config.config.set.budgets.get(&budget)?;
        let want = steps::Want {
            change,
            total: object.prepaid_tokens,
            version: config.config.version,
        };
        Some((budget, want))
    };
    changes.into_iter().filter_map(want).collect()
}

/// The changes that are still due after the last read: a return may have taken effect before.
fn current(
    router: &Router,
    wants: &BTreeMap<name::Name, steps::Want>,
) -> BTreeMap<name::Name, steps::Want> {
    let due = wants.iter().filter_map(|(budget, want)| {
        let mut want = *want;
        if let steps::Change::Return(_) = want.change {
            let withheld = router.escrow.with(budget, |account| account.withheld);
            if withheld == 0 {
                return None;
            }
            want.change = steps::Change::Return(withheld);
        }
        Some((budget.clone(), want))
    });
    due.collect()
}

fn learn(router: &Router, bucket: &ledger::Bucket, wants: &BTreeMap<name::Name, steps::Want>) {
    let holder = router.member.incarnation;
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    for budget in wants.keys() {
        let share = steps::share(bucket, holder, budget);
        let free = bucket.entries.get(budget).map_or(0, ledger::Entry::free);
        let elsewhere = steps::elsewhere(bucket, holder, budget);
        router.escrow.with(budget, |account| {
            account.learn(share);
            account.free = free;
            account.elsewhere = elsewhere;
            if free == 0 {
                account.dry_ledger.note(version, now);
            }
        });
    }
}

fn failed(bucket: u64, what: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{}: {what}", store::bucket_key(bucket)),
    }
}
