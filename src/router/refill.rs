//! Moves tokens between the ledger in the store and this router.

use std::{collections::BTreeMap, sync::atomic::Ordering, time::Duration};

use metrics::counter;

use crate::{
    coordination::{demand, refill as ledger_steps},
    error,
    protocol::kv,
    router::{Router, record_writer},
    state::{ledger, name},
    transport::store,
};

/// Attempts of one conditional write when other routers write the same bucket.
const MAX_WRITE_ATTEMPTS: u32 = 16;
/// Longest time for one write with all its attempts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

type Changes = BTreeMap<name::Name, ledger_steps::Change>;

/// Requests a grant from the ledger; returns the tokens that other holders hold or that are free.
///
/// Requests that wait for the same bucket share one write. Does nothing while the ledger is known
/// to have nothing free.
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
    if let Some(elsewhere) = elsewhere_if_ledger_empty(router, budget) {
        return Ok(elsewhere);
    }
    *billing
        .waiting_tokens
        .lock()
        .unwrap()
        .entry(budget.clone())
        .or_default() += tokens;
    let _turn = billing.bucket_locks[bucket as usize].lock().await;
    let available = router
        .escrow
        .with_account(budget, |account| account.available());
    let waiting = take_waiting(router, bucket);
    if available < tokens && elsewhere_if_ledger_empty(router, budget).is_none() {
        let changes = waiting.into_iter().map(|(budget, tokens)| {
            let change = grant_change(router, &budget, tokens);
            (budget, change)
        });
        let mut changes: Changes = changes.collect();
        let own = changes.entry(budget.clone());
        own.or_insert_with(|| grant_change(router, budget, tokens));
        write(router, bucket, changes).await?;
    }
    Ok(router
        .escrow
        .with_account(budget, |account| account.elsewhere))
}

/// Tokens that other holders hold, if the ledger had nothing free at a recent read.
fn elsewhere_if_ledger_empty(router: &Router, budget: &name::Name) -> Option<u64> {
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    router.escrow.with_account(budget, |account| {
        let holds = account.ledger_empty.is_current(version, now);
        holds.then_some(account.elsewhere)
    })
}

/// Removes and returns the waiting tokens of the budgets in one bucket.
fn take_waiting(router: &Router, bucket: u64) -> BTreeMap<name::Name, u64> {
    let mut waiting = router.billing.waiting_tokens.lock().unwrap();
    let all = std::mem::take(&mut *waiting);
    let (mine, others) = all
        .into_iter()
        .partition(|(b, _)| ledger::bucket_of(b) == bucket);
    *waiting = others;
    mine
}

/// Change that grants what is needed now and what the demand makes likely to be needed.
fn grant_change(router: &Router, budget: &name::Name, tokens: u64) -> ledger_steps::Change {
    let config = router.config();
    let object = config.config.set.budgets.get(budget);
    let autonomy = Duration::from_secs(object.map_or(0, |object| object.autonomy_seconds));
    router.escrow.with_account(budget, |account| {
        let available = account.available();
        ledger_steps::Change::Grant {
            needed: tokens.saturating_sub(available),
            missing: demand::missing(available, account.demand.target(autonomy)),
        }
    })
}

/// Writes changes of one bucket; the caller holds the lock of the bucket.
///
/// # Errors
///
/// [`error::Error::Store`] when the store cannot be reached: the write may nevertheless have
/// taken effect; the next read of the bucket shows whether it did.
pub async fn write(router: &Router, bucket: u64, changes: Changes) -> Result<(), error::Error> {
    let writing = try_write(router, bucket, changes);
    let written = router.runtime.timers.within(WRITE_TIMEOUT, writing).await;
    let written = written.unwrap_or_else(|| Err(write_failed(bucket, "no answer")));
    let down = &router.billing.store_down;
    down.store(written.is_err(), Ordering::Relaxed);
    let result = if written.is_ok() { "ok" } else { "failed" };
    counter!("fulmar_refills", "result" => result).increment(1);
    written
}

async fn try_write(router: &Router, bucket: u64, changes: Changes) -> Result<(), error::Error> {
    record_writer::ensure_exists(router).await?;
    let key = store::bucket_key(bucket);
    let requests = to_change_requests(router, changes);
    let holder = router.member.incarnation;
    let mut found = router.store.get(&key).await?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let mut content: ledger::Bucket = match &found {
            Some(kv) => kv::decode(kv)?,
            None => ledger::Bucket::default(),
        };
        ledger_steps::update_totals(&mut content, &requests);
        update_accounts(router, &content, &requests);
        let remaining = remaining_changes(router, &requests);
        if !ledger_steps::apply(&mut content, holder, &remaining) {
            return Ok(());
        }
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &content, revision, 0).await? {
            store::Put::Written(_) => {
                update_accounts(router, &content, &requests);
                return Ok(());
            }
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(write_failed(bucket, "too many concurrent writes"))
}

/// Adds the prepaid total and its configuration version to each change, as the ledger needs them.
///
/// Leaves out budgets that are not in the configuration.
fn to_change_requests(
    router: &Router,
    changes: Changes,
) -> BTreeMap<name::Name, ledger_steps::ChangeRequest> {
    let config = router.config();
    let request = |(budget, change): (name::Name, ledger_steps::Change)| {
        let object = config.config.set.budgets.get(&budget)?;
        let request = ledger_steps::ChangeRequest {
            change,
            total: object.prepaid_tokens,
            version: config.config.version,
        };
        Some((budget, request))
    };
    changes.into_iter().filter_map(request).collect()
}

/// The changes that are still due after a read of the bucket.
///
/// The read may show that an earlier return, whose answer was lost, took effect; it is left out.
fn remaining_changes(
    router: &Router,
    requests: &BTreeMap<name::Name, ledger_steps::ChangeRequest>,
) -> BTreeMap<name::Name, ledger_steps::ChangeRequest> {
    let due = requests.iter().filter_map(|(budget, request)| {
        let mut request = *request;
        if let ledger_steps::Change::Return(_) = request.change {
            let withheld = router
                .escrow
                .with_account(budget, |account| account.withheld);
            if withheld == 0 {
                return None;
            }
            request.change = ledger_steps::Change::Return(withheld);
        }
        Some((budget.clone(), request))
    });
    due.collect()
}

/// Updates the accounts of the given budgets from a bucket that was read or written.
fn update_accounts(
    router: &Router,
    bucket: &ledger::Bucket,
    requests: &BTreeMap<name::Name, ledger_steps::ChangeRequest>,
) {
    let holder = router.member.incarnation;
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    for budget in requests.keys() {
        let share = ledger_steps::share_of(bucket, holder, budget);
        let free = bucket.entries.get(budget).map_or(0, ledger::Entry::free);
        let elsewhere = ledger_steps::tokens_elsewhere(bucket, holder, budget);
        router.escrow.with_account(budget, |account| {
            account.update_share(share);
            account.free = free;
            account.elsewhere = elsewhere;
            if free == 0 {
                account.ledger_empty.set(version, now);
            }
        });
    }
}

fn write_failed(bucket: u64, what: &str) -> error::Error {
    error::Error::Store {
        call: "put",
        message: format!("{}: {what}", store::bucket_key(bucket)),
    }
}
