//! Grants tokens from the budgets' ledgers in the store to this router's shares, and returns them
//! at shutdown.
//!
//! Ledgers are updated by conditional writes against their last known revision. A write that
//! conflicts with another router's is planned again on the ledger that the store returned. When the
//! store has come back from a copy, [`rollback`] has the accounts written
//! again; for what is granted then see [`ledger_plan`].

use std::{rc::Rc, time::Duration};

use futures::future;
use metrics::{counter, gauge};

use crate::{
    coordination::{budgets::share, ledger_plan, overload::lateness, presence},
    gateway::{core, rollback},
    platform::store,
    state::{name, share_ledger},
};

/// Prefix of the ledgers' keys in the store.
pub const PREFIX: &str = "fulmar/budgets/";

/// Maximum number of workspaces in one write. The store accepts 32 entries per write.
pub const MAX_WORKSPACES_PER_WRITE: usize = 12;

/// Time for which a router tries to return its tokens at shutdown; two calls that get no answer fit
/// in. When draining took all of the grace period, the platform kills the process sooner.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Delay between a failed store call and the next attempt to return the tokens.
const CLOSE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without an answer after which the store is asked whether it applied a write, since it loses
/// answers to writes that it applied. A round trip takes a few milliseconds.
const WRITE_CHECK_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of attempts at one write when other routers' writes conflict with it.
const MAX_WRITE_ATTEMPTS: usize = 6;

/// A share to be filled.
#[derive(Clone, Debug)]
pub struct Fill {
    /// Workspace.
    pub workspace: name::Name,
    /// Total of all tokens prepaid so far, including those already spent.
    pub prepaid: u64,
    /// Tokens that a waiting request needs; 0 when only the reserve is filled.
    pub needed: u64,
    /// Tokens that other requests wait for.
    pub waiting: u64,
    /// Whether the reserve is filled only because other ledgers are written.
    pub is_top_up: bool,
}

impl Fill {
    /// Fills the reserve of a budget of `prepaid` tokens.
    pub fn reserve(workspace: &name::Name, prepaid: u64) -> Self {
        Self {
            workspace: workspace.clone(),
            prepaid,
            needed: 0,
            waiting: 0,
            is_top_up: false,
        }
    }
}

/// Why tokens that a budget has left were not granted, by workspace.
pub type Holds = Vec<(name::Name, ledger_plan::Hold)>;

/// A write of ledgers and the plans that it carries out.
struct PlannedWrite {
    write: store::Write,
    plans: Vec<(name::Name, ledger_plan::Plan)>,
}

fn ledger_key(workspace: &str) -> String {
    format!("{PREFIX}{workspace}")
}

/// Fills shares up to their target sizes. Returns the budgets of which tokens are held back.
///
/// # Errors
///
/// [`store::StoreError`] when the store refuses a write or does not answer. The workspaces of that
/// write and of those after it get no tokens.
pub async fn fill(gw: &Rc<core::Gateway>, fills: &[Fill]) -> Result<Holds, store::StoreError> {
    let mut holds = Vec::new();
    for batch in fills.chunks(MAX_WORKSPACES_PER_WRITE) {
        holds.extend(fill_batch(gw, batch, false).await?);
    }
    Ok(holds)
}

/// Writes this router's accounts into ledgers, also when they grant nothing. Returns the budgets of
/// which tokens are held back.
///
/// # Errors
///
/// As for [`fill`].
pub async fn rewrite(gw: &Rc<core::Gateway>, batch: &[Fill]) -> Result<Holds, store::StoreError> {
    fill_batch(gw, batch, true).await
}

async fn fill_batch(
    gw: &Rc<core::Gateway>,
    batch: &[Fill],
    must_write: bool,
) -> Result<Holds, store::StoreError> {
    rollback::begin_era(gw).await?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let planned = plan_fill(gw, batch);
        let holds = planned.plans.iter();
        let holds: Holds = holds
            .filter_map(|(workspace, plan)| Some((workspace.clone(), plan.hold?)))
            .collect();
        let grants_nothing = planned.plans.iter().all(|(_, plan)| plan.granted == 0);
        let may_skip = grants_nothing && holds.is_empty() && !must_write;
        if may_skip && can_trust_cache(gw, batch) {
            return Ok(holds);
        }
        if commit(gw, &planned.write).await? {
            apply_plans(gw, &planned.plans);
            return Ok(holds);
        }
    }
    counter!("fulmar_gateway_ledger_conflicts_total").increment(1);
    tracing::info!(
        workspaces = batch.len(),
        "budget: ledgers not written, every attempt conflicted with another router's write"
    );
    let contended = |fill: &Fill| (fill.workspace.clone(), ledger_plan::Hold::Contended);
    Ok(batch.iter().map(contended).collect())
}

/// Whether the cached ledgers suffice to conclude that no tokens can be granted. They don't when
/// one was never read, or when a request is waiting and would be refused on old data.
fn can_trust_cache(gw: &core::Gateway, batch: &[Fill]) -> bool {
    let ledgers = gw.ledgers.borrow();
    let read = |fill: &Fill| fill.needed == 0 && ledgers.contains_key(&fill.workspace);
    batch.iter().all(read)
}

/// Writes ledgers; returns false when the write conflicted with another router's. The cached
/// ledgers are updated either way, from the values written or from those that the store returned.
///
/// A write that was planned in an earlier era of the store than the one that applies it is not
/// taken for applied.
async fn commit(gw: &core::Gateway, write: &store::Write) -> Result<bool, store::StoreError> {
    let era = gw.store.era();
    let writing = std::pin::pin!(gw.store.write(write));
    let polling = std::pin::pin!(poll_until_applied(gw, write));
    let written = match future::select(writing, polling).await {
        future::Either::Left((written, _)) => written,
        future::Either::Right((revision, _)) => Ok(store::WriteOutcome::Applied(revision)),
    };
    match written {
        Ok(store::WriteOutcome::Applied(revision)) => {
            for (key, value) in &write.puts {
                let (key, value) = (key.clone(), value.clone());
                cache_ledger(
                    gw,
                    store::Item {
                        key,
                        value,
                        revision,
                        era,
                    },
                );
            }
            Ok(true)
        }
        Ok(store::WriteOutcome::Conflict(items)) => {
            for item in items {
                cache_ledger(gw, item);
            }
            Ok(false)
        }
        Ok(store::WriteOutcome::LeaseEnded) => Ok(false),
        Err(err) => Err(err),
    }
}

/// Polls the store until it shows that a pending write was applied; returns the write's revision.
///
/// A write is atomic, so it is enough to check one key. That key must be one whose value the write
/// changes: an unchanged value would look applied without being so. Never returns for a write that
/// changes nothing.
async fn poll_until_applied(gw: &core::Gateway, write: &store::Write) -> u64 {
    let Some((key, value)) = write.puts.iter().find(|put| changes_ledger(gw, put)) else {
        return future::pending().await;
    };
    let era = gw.store.era();
    loop {
        let limit = lateness::Limit {
            began: gw.now(),
            limit: WRITE_CHECK_DELAY,
        };
        gw.timers.sleep(WRITE_CHECK_DELAY).await;
        if limit.was_late(gw.now()) {
            // The answer may have arrived while this process stood still.
            continue;
        }
        match gw.store.get(key).await {
            Ok(item) if item.era != era => return future::pending().await,
            Ok(item) if item.value == *value => {
                counter!("fulmar_gateway_ledger_answers_lost_total").increment(1);
                tracing::info!(key, "budget: a write without an answer was applied");
                return item.revision;
            }
            Ok(_) => (),
            Err(err) => tracing::info!(key, %err, "budget: failed to check a pending write"),
        }
    }
}

/// Whether a put changes the ledger, compared to the cached one.
fn changes_ledger(gw: &core::Gateway, (key, value): &(String, Vec<u8>)) -> bool {
    let workspace = key.strip_prefix(PREFIX).unwrap_or_default();
    let ledgers = gw.ledgers.borrow();
    ledgers
        .get(workspace)
        .is_none_or(|item| item.value != *value)
}

fn cache_ledger(gw: &core::Gateway, item: store::Item) {
    if let Some(workspace) = item.key.strip_prefix(PREFIX) {
        let workspace = name::Name::from(workspace);
        if let Some(ledger) = decode(&item) {
            let mut sightings = gw.era_notes.ledger_sightings.borrow_mut();
            sightings.note(&workspace, &ledger, gw.now());
        }
        gw.ledgers.borrow_mut().insert(workspace, item);
    }
}

/// Calls `plan` with what this router knows of a budget, and with the cached ledger; `None` when
/// that one does not parse.
fn with_context<T>(
    gw: &core::Gateway,
    workspace: &name::Name,
    prepaid: u64,
    plan: impl FnOnce(Option<share_ledger::ShareLedger>, &ledger_plan::Context<'_>) -> T,
) -> Option<T> {
    let now = gw.now();
    let shares = gw.shares.borrow();
    let share = shares.get(workspace).cloned().unwrap_or_default();
    let remembered = gw.era_notes.remembered_ledgers.borrow();
    let was_absent = |holder: &str| rollback::was_absent(gw, holder);
    let own = gw.holder();
    let peers = gw.peers.borrow();
    let is_gone = |holder: &str| presence::is_gone(holder, &own, peers.keys());
    let context = ledger_plan::Context {
        workspace,
        holder: &own,
        own: share_ledger::Holding {
            granted: share.granted(),
            spent: share.spent(),
            given: share.net_given(),
            ..share_ledger::Holding::default()
        },
        prepaid,
        grantable: share::grantable(prepaid),
        demand: share.expected_demand(ledger_plan::MAX_COPY_AGE * 2, now),
        era: gw.store.era(),
        is_new_fleet: rollback::is_new_fleet(gw),
        is_gone: &is_gone,
        was_absent: &was_absent,
        is_returning: gw.presence.borrow().is_returning(now),
        has_waited: now >= gw.era_notes.seen_at.get() + ledger_plan::REPORT_TIME,
        remembered: remembered.get(workspace),
        sightings: &gw.era_notes.ledger_sightings.borrow(),
        now,
    };
    let ledgers = gw.ledgers.borrow();
    let stored = match ledgers.get(workspace).filter(|item| item.revision > 0) {
        Some(item) => Some(decode(item)?),
        None => None,
    };
    Some(plan(stored, &context))
}

/// Builds the write that fills some shares, based on the cached ledgers. Its conditions make it
/// fail when a ledger has changed meanwhile.
fn plan_fill(gw: &core::Gateway, batch: &[Fill]) -> PlannedWrite {
    let now = gw.now();
    let mut planned = PlannedWrite {
        write: store::Write::default(),
        plans: Vec::new(),
    };
    for fill in batch {
        let grants_nothing = planned.plans.iter().all(|(_, plan)| plan.granted == 0);
        if fill.is_top_up && grants_nothing {
            continue;
        }
        let shares = gw.shares.borrow();
        let share = shares.get(&fill.workspace).cloned().unwrap_or_default();
        drop(shares);
        let size = |left| match fill.is_top_up {
            true => share.top_up_size(left, now),
            false => share.refill_size(left, fill.needed.saturating_add(fill.waiting), now),
        };
        let plan = with_context(gw, &fill.workspace, fill.prepaid, |stored, context| {
            ledger_plan::fill(stored, context, size)
        });
        let Some(plan) = plan else { continue };
        if fill.is_top_up && plan.granted == 0 {
            continue;
        }
        add_conditional_put(gw, &mut planned.write, &fill.workspace, &plan.ledger);
        planned.plans.push((fill.workspace.clone(), plan));
    }
    rollback::add_condition(gw, &mut planned.write);
    planned
}

fn add_conditional_put(
    gw: &core::Gateway,
    write: &mut store::Write,
    workspace: &str,
    ledger: &share_ledger::ShareLedger,
) {
    let ledgers = gw.ledgers.borrow();
    let revision = ledgers.get(workspace).map_or(0, |item| item.revision);
    match serde_json::to_vec(ledger) {
        Ok(value) => {
            write.conditions.push((ledger_key(workspace), revision));
            write.puts.push((ledger_key(workspace), value));
        }
        Err(err) => tracing::error!(workspace, %err, "budget: failed to encode the ledger"),
    }
}

/// Decodes a ledger; `None` when it does not parse. Nothing is granted from such a ledger.
pub fn decode(item: &store::Item) -> Option<share_ledger::ShareLedger> {
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

/// Tokens of a budget that other holders held when they last wrote the ledger, and the part of them
/// that belonged to routers that are gone.
pub fn held_elsewhere(gw: &core::Gateway, workspace: &str) -> (u64, u64) {
    let ledgers = gw.ledgers.borrow();
    let Some(ledger) = ledgers.get(workspace).and_then(decode) else {
        return (0, 0);
    };
    let own = gw.holder();
    let (peers, own) = (gw.peers.borrow(), own.as_str());
    let is_gone = |holder: &str| presence::is_gone(holder, own, peers.keys());
    (
        ledger.unspent(|holder| holder != own),
        ledger.unspent(is_gone),
    )
}

fn apply_plans(gw: &core::Gateway, plans: &[(name::Name, ledger_plan::Plan)]) {
    let mut shares = gw.shares.borrow_mut();
    for (workspace, plan) in plans {
        rollback::record_written(gw, workspace, &plan.ledger);
        let tokens = plan.granted;
        let share = shares.entry(workspace.clone()).or_default();
        share.grant(tokens);
        if tokens > 0 {
            let available = share.available();
            counter!("fulmar_gateway_tokens_granted_total").increment(tokens);
            tracing::info!(%workspace, tokens, available, "budget: share grew from the ledger");
        }
    }
    let held: u64 = shares.values().map(share::Share::available).sum();
    gauge!("fulmar_gateway_tokens_held").set(held as f64);
}

/// Closes this router's accounts at shutdown: returns all available tokens to the ledgers and adds
/// the spent ones to the ledgers' `closed` totals. No tokens are taken from the ledgers afterwards.
pub async fn close(gw: &Rc<core::Gateway>) {
    // Tasks that hold a lock finish first, and those that come later see that it is closed.
    gw.account_closed.set(true);
    let mut workspaces: Vec<name::Name> = gw.shares.borrow().keys().cloned().collect();
    workspaces.sort();
    let mut guards = Vec::new();
    for workspace in &workspaces {
        guards.push(gw.budget_lock(workspace).lock_arc().await);
    }
    let workspaces: Vec<name::Name> = {
        let mut shares = gw.shares.borrow_mut();
        for share in shares.values_mut() {
            share.release();
        }
        shares.keys().cloned().collect()
    };
    let until = gw.now() + CLOSE_TIMEOUT;
    for batch in workspaces.chunks(MAX_WORKSPACES_PER_WRITE) {
        if !close_batch(gw, batch, until).await {
            tracing::warn!(?batch, "budget: failed to return tokens at shutdown");
        }
    }
}

/// Closes some accounts; returns false when the store did not apply the write in time.
async fn close_batch(gw: &core::Gateway, batch: &[name::Name], until: Duration) -> bool {
    while gw.now() < until {
        if let Err(err) = rollback::begin_era(gw).await {
            tracing::info!(%err, "budget: failed to return tokens, trying again");
            gw.timers.sleep(CLOSE_RETRY_DELAY).await;
            continue;
        }
        let write = plan_close(gw, batch);
        if write.puts.is_empty() {
            return true;
        }
        match commit(gw, &write).await {
            Ok(true) => return true,
            Ok(false) => (),
            Err(err) => {
                tracing::info!(%err, "budget: failed to return tokens, trying again");
                gw.timers.sleep(CLOSE_RETRY_DELAY).await;
            }
        }
    }
    false
}

fn plan_close(gw: &core::Gateway, batch: &[name::Name]) -> store::Write {
    let mut write = store::Write::default();
    for workspace in batch {
        let closed = with_context(gw, workspace, 0, |stored, context| {
            ledger_plan::close(stored, context)
        });
        if let Some(ledger) = closed.flatten() {
            add_conditional_put(gw, &mut write, workspace, &ledger);
        }
    }
    if !write.puts.is_empty() {
        rollback::add_condition(gw, &mut write);
    }
    write
}
