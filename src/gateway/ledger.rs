//! Fills shares from the ledgers in the store, and gives back at the end.

use std::{rc::Rc, time::Duration};

use futures::future;
use metrics::{counter, gauge};

use crate::{
    coordination::share,
    gateway::core,
    platform::store,
    state::{name, share_ledger},
};

/// Prefix of the ledgers.
pub const PREFIX: &str = "fulmar/budgets/";

/// Workspaces in one write; the store takes 32 entries.
const BATCH: usize = 12;

/// Longest time that a leaving router tries to give its tokens back: two calls without an answer.
/// The platform's kill ends it sooner when the drain took all of the time.
const CLOSING_LIMIT: Duration = Duration::from_millis(1600);

/// Pause between two of these tries.
const CLOSING_PAUSE: Duration = Duration::from_millis(100);

/// Time without an answer after which the store is asked whether a write was done: it loses answers
/// of writes that it did. A round trip takes a few milliseconds.
const ASK_AFTER: Duration = Duration::from_millis(150);

/// Tries of one write against other routers' writes.
const TRIES: usize = 6;

/// A share that is to be filled.
#[derive(Clone, Debug)]
pub struct Fill {
    /// Workspace.
    pub workspace: name::Name,
    /// Tokens ever paid for.
    pub prepaid: u64,
    /// Tokens that must be had at once.
    pub needed: u64,
}

/// What the ledger granted, by workspace.
type Grants = Vec<(name::Name, u64)>;

fn key(workspace: &str) -> String {
    format!("{PREFIX}{workspace}")
}

/// Fills shares up to what they should hold.
///
/// # Errors
///
/// [`store::StoreError`] when the store refuses or does not answer; nothing is granted then.
pub async fn fill(gw: &Rc<core::Gateway>, fills: &[Fill]) -> Result<(), store::StoreError> {
    for batch in fills.chunks(BATCH) {
        fill_batch(gw, batch).await?;
    }
    Ok(())
}

async fn fill_batch(gw: &Rc<core::Gateway>, batch: &[Fill]) -> Result<(), store::StoreError> {
    for _ in 0..TRIES {
        let (write, grants) = plan(gw, batch);
        if grants.iter().all(|(_, tokens)| *tokens == 0) && is_read(gw, batch) {
            return Ok(());
        }
        if commit(gw, &write).await? {
            add(gw, &grants);
            return Ok(());
        }
    }
    counter!("fulmar_gateway_ledger_conflicts_total").increment(1);
    tracing::info!(
        workspaces = batch.len(),
        "budget: other routers' writes came first"
    );
    Ok(())
}

/// Whether what was last seen of the ledgers will do to find that nothing is to be had: not for
/// one that was never read, nor when a request is about to be refused for it.
fn is_read(gw: &core::Gateway, batch: &[Fill]) -> bool {
    let ledgers = gw.ledgers.borrow();
    let read = |fill: &Fill| fill.needed == 0 && ledgers.contains_key(&fill.workspace);
    batch.iter().all(read)
}

/// Writes ledgers; false when another router's write came first. What the ledgers are is
/// remembered either way.
async fn commit(gw: &core::Gateway, write: &store::Write) -> Result<bool, store::StoreError> {
    let writing = std::pin::pin!(gw.store.write(write));
    let asking = std::pin::pin!(found_done(gw, write));
    let written = match future::select(writing, asking).await {
        future::Either::Left((written, _)) => written,
        future::Either::Right((revision, _)) => Ok(store::Written::Done(revision)),
    };
    match written {
        Ok(store::Written::Done(revision)) => {
            for (key, value) in &write.puts {
                let (key, value) = (key.clone(), value.clone());
                remember(
                    gw,
                    store::Item {
                        key,
                        value,
                        revision,
                    },
                );
            }
            Ok(true)
        }
        Ok(store::Written::Conflict(items)) => {
            for item in items {
                remember(gw, item);
            }
            Ok(false)
        }
        Ok(store::Written::LeaseEnded) => Ok(false),
        Err(err) => Err(err),
    }
}

/// Asks again and again whether a write without an answer was done; returns the revision it got.
///
/// A write is done whole or not at all, so that one key whose value it changes tells for all.
async fn found_done(gw: &core::Gateway, write: &store::Write) -> u64 {
    let Some((key, value)) = write.puts.iter().find(|put| changes(gw, put)) else {
        return future::pending().await;
    };
    loop {
        gw.timers.sleep(ASK_AFTER).await;
        match gw.store.get(key).await {
            Ok(item) if item.value == *value => {
                counter!("fulmar_gateway_ledger_answers_lost_total").increment(1);
                tracing::info!(key, "budget: a write without an answer was done");
                return item.revision;
            }
            Ok(_) => (),
            Err(err) => tracing::info!(key, %err, "budget: a write without an answer is open"),
        }
    }
}

/// Whether a put differs from what was last seen of its ledger.
fn changes(gw: &core::Gateway, (key, value): &(String, Vec<u8>)) -> bool {
    let workspace = key.strip_prefix(PREFIX).unwrap_or_default();
    let ledgers = gw.ledgers.borrow();
    ledgers
        .get(workspace)
        .is_none_or(|item| item.value != *value)
}

fn remember(gw: &core::Gateway, item: store::Item) {
    if let Some(workspace) = item.key.strip_prefix(PREFIX) {
        let workspace = name::Name::from(workspace);
        gw.ledgers.borrow_mut().insert(workspace, item);
    }
}

/// Plans the write that fills some shares, from the ledgers as they were last seen; the write's
/// conditions tell whether they still are so.
fn plan(gw: &core::Gateway, batch: &[Fill]) -> (store::Write, Grants) {
    let now = gw.now();
    let holder = gw.holder();
    let ledgers = gw.ledgers.borrow();
    let shares = gw.shares.borrow();
    let mut write = store::Write::default();
    let mut grants = Vec::new();
    for fill in batch {
        let item = ledgers.get(&fill.workspace);
        let Some(mut ledger) = item.map_or_else(|| Some(Default::default()), decode) else {
            continue;
        };
        let share = shares.get(&fill.workspace).cloned().unwrap_or_default();
        ledger.holders.insert(holder.clone(), holding(&share));
        let free = share::grantable(fill.prepaid).saturating_sub(ledger.granted());
        let granted = share.refill_size(fill.prepaid, free, fill.needed, now);
        if let Some(holding) = ledger.holders.get_mut(&holder) {
            holding.granted += granted as i64;
        }
        put(&mut write, &fill.workspace, item, &ledger);
        grants.push((fill.workspace.clone(), granted));
    }
    (write, grants)
}

fn holding(share: &share::Share) -> share_ledger::Holding {
    share_ledger::Holding {
        granted: share.granted(),
        spent: share.spent(),
    }
}

fn put(
    write: &mut store::Write,
    workspace: &str,
    item: Option<&store::Item>,
    ledger: &share_ledger::ShareLedger,
) {
    let revision = item.map_or(0, |item| item.revision);
    match serde_json::to_vec(ledger) {
        Ok(value) => {
            write.expected.push((key(workspace), revision));
            write.puts.push((key(workspace), value));
        }
        Err(err) => tracing::error!(workspace, %err, "budget: ledger not written"),
    }
}

/// The ledger of an item; `None`, and no grant, when it does not parse.
fn decode(item: &store::Item) -> Option<share_ledger::ShareLedger> {
    if item.revision == 0 {
        return Some(share_ledger::ShareLedger::default());
    }
    match serde_json::from_slice(&item.value) {
        Ok(ledger) => Some(ledger),
        Err(err) => {
            tracing::error!(key = item.key, %err, "budget: ledger does not parse, nothing granted");
            None
        }
    }
}

/// Tokens that other holders were granted and had not spent when they last wrote: what live
/// routers still hold, and what dead ones have taken with them.
pub fn held_elsewhere(gw: &core::Gateway, workspace: &str) -> i64 {
    let ledgers = gw.ledgers.borrow();
    let Some(ledger) = ledgers.get(workspace).and_then(decode) else {
        return 0;
    };
    let own = gw.holder();
    let others = ledger.holders.iter().filter(|(holder, _)| **holder != own);
    let unspent = others.map(|(_, holding)| holding.granted - holding.spent as i64);
    unspent.sum()
}

fn add(gw: &core::Gateway, grants: &Grants) {
    let mut shares = gw.shares.borrow_mut();
    for (workspace, tokens) in grants {
        let share = shares.entry(workspace.clone()).or_default();
        share.grant(*tokens);
        if *tokens > 0 {
            let available = share.available();
            counter!("fulmar_gateway_tokens_granted_total").increment(*tokens);
            tracing::info!(%workspace, tokens, available, "budget: share grew from the ledger");
        }
    }
    let held: u64 = shares.values().map(share::Share::available).sum();
    gauge!("fulmar_gateway_tokens_held").set(held as f64);
}

/// Gives back all that is left, and moves what was spent to the closed part of the ledgers.
/// Nothing is taken from them afterwards.
pub async fn close(gw: &Rc<core::Gateway>) {
    let _one = gw.obtaining.lock().await;
    gw.account_closed.set(true);
    let workspaces: Vec<name::Name> = {
        let mut shares = gw.shares.borrow_mut();
        for share in shares.values_mut() {
            share.release();
        }
        shares.keys().cloned().collect()
    };
    let until = gw.now() + CLOSING_LIMIT;
    for batch in workspaces.chunks(BATCH) {
        if !close_batch(gw, batch, until).await {
            tracing::warn!(?batch, "budget: tokens not given back at the end");
        }
    }
}

/// Closes some accounts; false when the store did not take it in time.
async fn close_batch(gw: &core::Gateway, batch: &[name::Name], until: Duration) -> bool {
    while gw.now() < until {
        let write = plan_closing(gw, batch);
        if write.puts.is_empty() {
            return true;
        }
        match commit(gw, &write).await {
            Ok(true) => return true,
            Ok(false) => (),
            Err(err) => {
                tracing::info!(%err, "budget: giving tokens back is tried again");
                gw.timers.sleep(CLOSING_PAUSE).await;
            }
        }
    }
    false
}

fn plan_closing(gw: &core::Gateway, batch: &[name::Name]) -> store::Write {
    let holder = gw.holder();
    let ledgers = gw.ledgers.borrow();
    let shares = gw.shares.borrow();
    let mut write = store::Write::default();
    for workspace in batch {
        let item = ledgers.get(workspace);
        let Some(mut ledger) = item.map_or_else(|| Some(Default::default()), decode) else {
            continue;
        };
        let granted = shares.get(workspace).map_or(0, share::Share::granted);
        if ledger.close(&holder, granted) {
            put(&mut write, workspace, item, &ledger);
        }
    }
    write
}
