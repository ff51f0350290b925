//! Reserves tokens of prepaid budgets for requests.
//!
//! Requests that this router's share does not cover wait in a queue for each workspace. One task
//! for each queue draws tokens for all that wait, and ends when none waits; [`waiting`] decides what
//! each reply means for them.

use std::{rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::budgets::{need, waiting},
    gateway::{budget, core},
    state::name,
};

/// Maximum time that a request waits for tokens. It covers a draw from the home, during which the
/// home may fill its share from the ledger and recall tokens from the other routers.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Tokens reserved for a request. Dropping it counts the spent tokens and returns the others to
/// this router's share, for the requests that wait.
pub struct Reservation {
    gw: Rc<core::Gateway>,
    workspace: name::Name,
    reserved: u64,
    spent: u64,
}

impl Reservation {
    fn new(gw: &Rc<core::Gateway>, workspace: &name::Name, reserved: u64) -> Self {
        Self {
            gw: gw.clone(),
            workspace: workspace.clone(),
            reserved,
            spent: 0,
        }
    }

    /// Sets the number of tokens spent so far; capped at the number reserved.
    pub fn spend(&mut self, tokens: u64) {
        self.spent = self.reserved.min(tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut shares = self.gw.shares.borrow_mut();
        let share = shares.entry(self.workspace.clone()).or_default();
        share.settle(self.reserved, self.spent);
        drop(shares);
        serve_waiting(&self.gw, &self.workspace);
    }
}

/// Reserves tokens for a request, acquiring more from other routers or the ledger if needed.
///
/// `request` is the id of a request that is sampled for the log; another router that is asked for
/// tokens then logs its part under the same id.
///
/// # Errors
///
/// [`waiting::Refused`] says why the tokens are not to be had.
pub async fn reserve(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    tokens: u64,
    request: Option<name::Name>,
) -> Result<Reservation, waiting::Refused> {
    let now = gw.now();
    gw.arrivals.borrow_mut().record(workspace, tokens, now);
    // Requests that wait come before this one.
    serve_waiting(gw, workspace);
    if take_from_share(gw, workspace, tokens) {
        draw_ahead(gw, workspace, tokens);
        return Ok(Reservation::new(gw, workspace, tokens));
    }
    let waiter = Waiter::new(gw, workspace, tokens, request);
    if gw.waiting.borrow_mut().start_drawing(workspace) {
        // A separate task continues when the request is cancelled: tokens that another router has
        // already given must still reach this router's share.
        let (drawing, workspace) = (gw.clone(), workspace.clone());
        gw.spawn(async move { draw_for_waiting(&drawing, &workspace).await });
    }
    let answered = gw.timers.within(RESERVE_TIMEOUT, waiter.rx.recv()).await;
    let answer = match answered {
        Some(Ok(answer)) => answer,
        _ if waiter.reserve_at_last() => waiting::Answer::Reserved,
        _ => waiting::Answer::Refused(waiting::Refused::TimedOut),
    };
    match answer {
        waiting::Answer::Reserved => Ok(Reservation::new(gw, workspace, tokens)),
        waiting::Answer::Refused(refused) => {
            let reason = refused.reason();
            counter!("fulmar_gateway_token_refusals_total", "reason" => reason).increment(1);
            Err(refused)
        }
    }
}

/// A request in the queue, which it leaves when this is dropped.
struct Waiter {
    gw: Rc<core::Gateway>,
    workspace: name::Name,
    tokens: u64,
    id: u64,
    rx: async_channel::Receiver<waiting::Answer>,
}

impl Waiter {
    fn new(
        gw: &Rc<core::Gateway>,
        workspace: &name::Name,
        tokens: u64,
        request: Option<name::Name>,
    ) -> Self {
        let (tx, rx) = async_channel::bounded(1);
        let mut waiting = gw.waiting.borrow_mut();
        Self {
            gw: gw.clone(),
            workspace: workspace.clone(),
            tokens,
            id: waiting.begin(workspace, tokens, request, tx, gw.now()),
            rx,
        }
    }

    /// Reserves the tokens when the time has passed; false when too few are available.
    fn reserve_at_last(&self) -> bool {
        if let Ok(answer) = self.rx.try_recv() {
            return answer == waiting::Answer::Reserved;
        }
        take_from_share(&self.gw, &self.workspace, self.tokens)
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.gw.waiting.borrow_mut().end(&self.workspace, self.id);
        // The request was cancelled after its tokens had been reserved.
        if let Ok(waiting::Answer::Reserved) = self.rx.try_recv() {
            drop(Reservation::new(&self.gw, &self.workspace, self.tokens));
        }
    }
}

fn take_from_share(gw: &core::Gateway, workspace: &name::Name, tokens: u64) -> bool {
    let mut shares = gw.shares.borrow_mut();
    let share = shares.entry(workspace.clone()).or_default();
    share.reserve(tokens, gw.now())
}

/// Reserves tokens for the requests that wait and that this router's share covers.
fn serve_waiting(gw: &core::Gateway, workspace: &name::Name) {
    let available = budget::available(gw, workspace);
    let served = gw.waiting.borrow_mut().take_served(workspace, available);
    for entry in served {
        let answer = match take_from_share(gw, workspace, entry.tokens) {
            true => waiting::Answer::Reserved,
            false => waiting::Answer::Refused(waiting::Refused::HomeShort(None)),
        };
        // The receiver exists: a request that is dropped leaves the queue first.
        let _ = entry.notify.try_send(answer);
    }
}

/// Draws tokens ahead of demand in a burst, so that few requests must wait for a draw.
fn draw_ahead(gw: &Rc<core::Gateway>, workspace: &name::Name, tokens: u64) {
    let now = gw.now();
    let ahead = ahead_of_demand(gw, workspace);
    let available = budget::available(gw, workspace);
    let mut waiting = gw.waiting.borrow_mut();
    if !waiting.is_ahead_due(workspace, tokens, ahead, available, now)
        || !waiting.start_drawing(workspace)
    {
        return;
    }
    drop(waiting);
    let (drawing, workspace) = (gw.clone(), workspace.clone());
    gw.spawn(async move {
        let need = need::Need {
            ahead,
            ..need::Need::default()
        };
        let outcome = draw(&drawing, &workspace, need, None).await;
        let available = budget::available(&drawing, &workspace);
        if outcome != budget::AcquireOutcome::Acquired || available < ahead / 2 {
            let now = drawing.now();
            drawing.waiting.borrow_mut().pause_ahead(&workspace, now);
        }
        draw_for_waiting(&drawing, &workspace).await;
    });
}

/// Tokens that are drawn ahead of demand.
fn ahead_of_demand(gw: &core::Gateway, workspace: &str) -> u64 {
    let time = gw.waiting.borrow().ahead_time(workspace);
    gw.arrivals.borrow().expected(workspace, time, gw.now())
}

/// Draws tokens, and records how long it took.
async fn draw(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    need: need::Need,
    request: Option<name::Name>,
) -> budget::AcquireOutcome {
    let began = gw.now();
    let outcome = budget::acquire(gw, workspace, need, request).await;
    let took = gw.now().saturating_sub(began);
    gw.waiting.borrow_mut().record_draw(workspace, took);
    outcome
}

/// Draws tokens for the requests of a workspace until none waits, one draw at a time.
async fn draw_for_waiting(gw: &Rc<core::Gateway>, workspace: &name::Name) {
    let mut is_short = false;
    loop {
        serve_waiting(gw, workspace);
        let ahead = ahead_of_demand(gw, workspace);
        let (need, request) = {
            let mut queues = gw.waiting.borrow_mut();
            let total = queues.total(workspace);
            let Some(next) = queues.next_draw(workspace, is_short) else {
                return;
            };
            let need = need::Need {
                needed: next.tokens,
                waiting: total - next.tokens,
                ahead,
            };
            (need, next.request.clone())
        };
        let outcome = draw(gw, workspace, need, request).await;
        serve_waiting(gw, workspace);
        is_short = matches!(outcome, budget::AcquireOutcome::Refused(_, None));
        if let budget::AcquireOutcome::Refused(refused, left) = outcome {
            // The tokens left cover no request that needs as many as the one that was refused.
            let left = left.unwrap_or(u64::MAX).min(need.needed.saturating_sub(1));
            let mut queues = gw.waiting.borrow_mut();
            let entries = queues.take_refused(workspace, left, refused);
            drop(queues);
            refuse_waiting(gw, workspace, need, refused, entries);
        }
        let mut queues = gw.waiting.borrow_mut();
        let overdue = queues.take_overdue(workspace, gw.now());
        drop(queues);
        let refused = waiting::Refused::HomeShort(None);
        refuse_waiting(gw, workspace, need, refused, overdue);
    }
}

/// Refuses requests that a draw shows not to be covered.
fn refuse_waiting(
    gw: &core::Gateway,
    workspace: &name::Name,
    need: need::Need,
    refused: waiting::Refused,
    entries: Vec<waiting::Entry<async_channel::Sender<waiting::Answer>>>,
) {
    if entries.is_empty() {
        return;
    }
    if gw.failure_log_quota.borrow_mut().take(gw.now()) {
        let need::Need {
            needed, waiting, ..
        } = need;
        let (reason, requests) = (refused.reason(), entries.len());
        tracing::info!(%workspace, needed, waiting, reason, requests, "budget: requests refused");
    }
    for entry in entries {
        let _ = entry.notify.try_send(waiting::Answer::Refused(refused));
    }
}
