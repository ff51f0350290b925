//! Shares of prepaid budgets: filled from the store's ledgers, spent by requests, given back.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    coordination::share,
    gateway::core,
    platform::store,
    state::{name, share_ledger},
};

/// Prefix of the ledgers.
pub const PREFIX: &str = "fulmar/budgets/";

/// How often the shares are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Workspaces in one write; the store takes 32 entries.
const BATCH: usize = 12;

/// Tries of one write against other routers' writes.
const TRIES: usize = 6;

/// Longest time that a request waits for tokens; a refill takes two calls of a few milliseconds.
const WAIT: Duration = Duration::from_millis(400);

/// Tokens set aside for a request; what was not spent goes back when it is dropped.
pub struct Reservation {
    gw: Rc<core::Gateway>,
    workspace: name::Name,
    reserved: u64,
    spent: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut shares = self.gw.shares.borrow_mut();
        let share = shares.entry(self.workspace.clone()).or_default();
        share.settle(self.reserved, self.spent);
    }
}

/// Counts what one request spends, as it happens, so that a request that is cancelled counts too.
pub struct Meter {
    reservation: Option<Reservation>,
    input: u64,
    per_event: u64,
    is_sent: bool,
    may_have_run: bool,
    output: u64,
}

impl Meter {
    /// Begins to count a request whose prompt has `input` tokens and whose events hold
    /// `per_event` tokens each; without a reservation nothing is paid for.
    pub fn new(reservation: Option<Reservation>, input: u64, per_event: u64) -> Self {
        Self {
            reservation,
            input,
            per_event,
            is_sent: false,
            may_have_run: false,
            output: 0,
        }
    }

    /// Counts the input, once, of a request that is about to be sent.
    pub fn sending(&mut self) {
        self.is_sent = true;
        self.count();
    }

    /// Takes the input back when a send certainly did not run; `may_have_run` tells whether
    /// an earlier one may have.
    pub fn sent(&mut self, may_have_run: bool) {
        self.is_sent = false;
        self.may_have_run |= may_have_run;
        self.count();
    }

    /// Counts events that go to the caller.
    pub fn events(&mut self, events: u64) {
        self.output += events * self.per_event;
        self.count();
    }

    /// Whether an attempt may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.is_sent || self.may_have_run
    }

    fn count(&mut self) {
        let input = if self.may_have_run() { self.input } else { 0 };
        if let Some(reservation) = &mut self.reservation {
            reservation.spent = reservation.reserved.min(input + self.output);
        }
    }
}

/// Why no tokens were set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// The budget does not cover the request.
    Exhausted,
    /// Tokens may be left, but none could be reached in time.
    Unreachable,
}

/// What the ledger said when it was last read.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    free: u64,
    at: Duration,
}

thread_local! {
    static SEEN: std::cell::RefCell<BTreeMap<name::Name, Seen>> = const {
        std::cell::RefCell::new(BTreeMap::new())
    };
}

/// Sets tokens aside, waiting shortly for a refill.
///
/// # Errors
///
/// [`Short`] tells whether the budget is spent.
pub async fn reserve(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    tokens: u64,
) -> Result<Reservation, Short> {
    let asked_at = gw.now();
    let mut noted = false;
    loop {
        let listener = gw.refilled.listen();
        let now = gw.now();
        {
            let mut shares = gw.shares.borrow_mut();
            let share = shares.entry(workspace.clone()).or_default();
            if share.reserve(tokens, now) {
                return Ok(Reservation {
                    gw: gw.clone(),
                    workspace: workspace.clone(),
                    reserved: tokens,
                    spent: 0,
                });
            }
            if !noted {
                share.note(tokens, now);
                noted = true;
            }
        }
        let seen = SEEN.with_borrow(|seen| seen.get(workspace).copied());
        if let Some(seen) = seen
            && seen.at >= asked_at
            && seen.free == 0
        {
            return Err(Short::Exhausted);
        }
        let left = WAIT.saturating_sub(now - asked_at);
        // The filler takes one wake-up at a time; a full channel means that one is due.
        let _ = gw.refill.0.try_send(());
        if left.is_zero() || gw.timers.within(left, listener).await.is_none() {
            return Err(Short::Unreachable);
        }
    }
}

/// Starts the task that fills shares and gives back idle ones.
pub fn start(gw: &Rc<core::Gateway>) {
    let filling = gw.clone();
    gw.spawn(async move {
        loop {
            filling
                .timers
                .within(LOOK_EVERY, filling.refill.1.recv())
                .await;
            if let Err(err) = look(&filling).await {
                counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
                tracing::warn!(%err, "budget: shares not filled");
                filling.timers.sleep(LOOK_EVERY).await;
            }
        }
    });
}

/// What is to change of one workspace's share.
struct Change {
    workspace: name::Name,
    prepaid: u64,
}

/// Fills the shares that run low and gives back the idle ones.
async fn look(gw: &Rc<core::Gateway>) -> Result<(), store::StoreError> {
    let Some(deployment) = gw.deployment() else {
        return Ok(());
    };
    let now = gw.now();
    let mut changes = Vec::new();
    for workspace in deployment.workspaces.values() {
        let Some(prepaid) = workspace.prepaid_tokens else {
            continue;
        };
        let mut shares = gw.shares.borrow_mut();
        let share = shares.entry(workspace.name.clone()).or_default();
        let low = share.wanted(prepaid, u64::MAX, 1, now) > 0;
        let spent_out = SEEN.with_borrow(|seen| {
            let seen = seen.get(&workspace.name);
            seen.is_some_and(|seen| seen.free == 0 && now < seen.at + LOOK_EVERY)
        });
        if low && !spent_out || share.idle(prepaid, now) > 0 {
            let workspace = workspace.name.clone();
            changes.push(Change { workspace, prepaid });
        }
    }
    for batch in changes.chunks(BATCH) {
        change(gw, batch).await?;
    }
    Ok(())
}

fn key(workspace: &str) -> String {
    format!("{PREFIX}{workspace}")
}

/// Tokens that a write would grant, by workspace.
type Grants = Vec<(name::Name, u64)>;

/// Writes the changed holdings of some workspaces.
async fn change(gw: &Rc<core::Gateway>, batch: &[Change]) -> Result<(), store::StoreError> {
    // Tokens that go back are out of the share before the write: it may be done unseen.
    give_back(gw, batch);
    let mut items: Vec<store::Item> = batch
        .iter()
        .map(|change| store::Item {
            key: key(&change.workspace),
            value: Vec::new(),
            revision: 0,
        })
        .collect();
    for _ in 0..TRIES {
        let (write, grants) = plan(gw, batch, &items);
        if write.puts.is_empty() {
            gw.refilled.notify(usize::MAX);
            return Ok(());
        }
        match gw.store.write(&write).await? {
            store::Written::Done => {
                add(gw, &grants);
                return Ok(());
            }
            store::Written::Conflict(found) => items = found,
            store::Written::LeaseEnded => return Ok(()),
        }
    }
    counter!("fulmar_gateway_ledger_conflicts_total").increment(1);
    tracing::info!(
        workspaces = batch.len(),
        "budget: other routers' writes came first"
    );
    Ok(())
}

fn give_back(gw: &core::Gateway, batch: &[Change]) {
    let now = gw.now();
    let mut shares = gw.shares.borrow_mut();
    for change in batch {
        let share = shares.entry(change.workspace.clone()).or_default();
        let idle = share.idle(change.prepaid, now);
        let removed = share.remove(idle);
        if removed > 0 {
            let workspace = &change.workspace;
            counter!("fulmar_gateway_tokens_given_back_total").increment(removed);
            tracing::info!(%workspace, removed, "budget: idle tokens given back");
        }
    }
}

/// Plans the write that brings the ledgers up to date, with what it grants.
fn plan(gw: &core::Gateway, batch: &[Change], items: &[store::Item]) -> (store::Write, Grants) {
    let now = gw.now();
    let holder = gw.holder();
    let routers = gw.routers();
    let shares = gw.shares.borrow();
    let mut write = store::Write::default();
    let mut grants = Vec::new();
    for change in batch {
        let key = key(&change.workspace);
        let Some(item) = items.iter().find(|item| item.key == key) else {
            continue;
        };
        let Some(mut ledger) = decode(item) else {
            continue;
        };
        let figures = shares.get(&change.workspace).map(share::Share::figures);
        let figures = figures.unwrap_or_default();
        let holding = ledger.holders.entry(holder.clone()).or_default();
        holding.granted = figures.granted;
        holding.spent = figures.spent;
        let free = change.prepaid.saturating_sub(ledger.granted());
        let share = shares.get(&change.workspace).cloned().unwrap_or_default();
        let wanted = share.wanted(change.prepaid, free, routers, now);
        let holding = ledger.holders.entry(holder.clone()).or_default();
        holding.granted += wanted;
        SEEN.with_borrow_mut(|seen| {
            let free = free - wanted;
            seen.insert(change.workspace.clone(), Seen { free, at: now });
        });
        // An item with revision 0 may only not have been read yet; the condition tells.
        write.expected.push((key.clone(), item.revision));
        let value = serde_json::to_vec(&ledger).unwrap_or_default();
        write.puts.push((key, value));
        grants.push((change.workspace.clone(), wanted));
    }
    (write, grants)
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

fn add(gw: &core::Gateway, grants: &Grants) {
    let mut shares = gw.shares.borrow_mut();
    for (workspace, tokens) in grants {
        let share = shares.entry(workspace.clone()).or_default();
        share.add(*tokens);
        if *tokens > 0 {
            let available = share.figures().available();
            counter!("fulmar_gateway_tokens_granted_total").increment(*tokens);
            tracing::info!(%workspace, tokens, available, "budget: share grew");
        }
    }
    let held: u64 = shares
        .values()
        .map(|share| share.figures().available())
        .sum();
    gauge!("fulmar_gateway_tokens_held").set(held as f64);
    drop(shares);
    gw.refilled.notify(usize::MAX);
}

/// Gives back all that is left before the process ends.
pub async fn close(gw: &Rc<core::Gateway>) {
    let Some(deployment) = gw.deployment() else {
        return;
    };
    let budgets = deployment.workspaces.values().filter_map(|workspace| {
        Some(Change {
            workspace: workspace.name.clone(),
            prepaid: workspace.prepaid_tokens?,
        })
    });
    let batch: Vec<Change> = budgets.collect();
    {
        let mut shares = gw.shares.borrow_mut();
        for share in shares.values_mut() {
            share.remove(u64::MAX);
        }
    }
    for batch in batch.chunks(BATCH) {
        if let Err(err) = close_holdings(gw, batch).await {
            tracing::warn!(%err, "budget: tokens not given back at the end");
        }
    }
}

/// Moves this router's spent tokens to the closed part of the ledgers.
async fn close_holdings(gw: &core::Gateway, batch: &[Change]) -> Result<(), store::StoreError> {
    let mut items: Vec<store::Item> = Vec::new();
    for _ in 0..TRIES {
        let write = plan_closing(gw, batch, &items);
        match gw.store.write(&write).await? {
            store::Written::Conflict(found) => items = found,
            store::Written::Done | store::Written::LeaseEnded => return Ok(()),
        }
    }
    tracing::warn!("budget: other routers' writes came first, tokens not given back at the end");
    Ok(())
}

fn plan_closing(gw: &core::Gateway, batch: &[Change], items: &[store::Item]) -> store::Write {
    let holder = gw.holder();
    let shares = gw.shares.borrow();
    let mut write = store::Write::default();
    for change in batch {
        let key = key(&change.workspace);
        let item = items.iter().find(|item| item.key == key);
        let revision = item.map_or(0, |item| item.revision);
        let Some(mut ledger) = item.map_or_else(|| Some(Default::default()), decode) else {
            continue;
        };
        ledger.holders.remove(&holder);
        let share = shares.get(&change.workspace);
        ledger.closed += share.map_or(0, |share| share.figures().granted);
        write.expected.push((key.clone(), revision));
        let value = serde_json::to_vec(&ledger).unwrap_or_default();
        write.puts.push((key, value));
    }
    write
}
