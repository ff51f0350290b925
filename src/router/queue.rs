//! Queues in which requests wait at a router while the backend servers of their pool are full.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    code::Code,
    coordination::{
        fair_queue::{Admission, FairQueue, QueueRequest},
        roster,
    },
    router::{Router, request},
    state::name,
    transport::timers,
};

/// Shortest delay that a refused caller is told to wait before it retries.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limit on the running requests of a pool for which no agent is available, so that the number of
/// its slots is unknown.
const DEFAULT_CAPACITY: usize = 64;

/// The queue of one pool and the channels that wake its waiting requests.
#[derive(Default)]
struct PoolQueue {
    queue: FairQueue,
    waiting: BTreeMap<u64, async_channel::Sender<()>>,
}

impl PoolQueue {
    /// Wakes the requests whose turn has come.
    fn wake(&mut self, tickets: Vec<u64>) {
        for ticket in tickets {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(());
            }
        }
    }
}

/// Queues by pool.
#[derive(Default)]
pub struct Queues(Mutex<BTreeMap<name::Name, PoolQueue>>);

/// Permission for a request to run, or its position in the queue until it has that permission;
/// returned to the queue when dropped.
pub struct Permit {
    router: Arc<Router>,
    pool: name::Name,
    /// Ticket in the queue; `None` once the request may run.
    ticket: Option<u64>,
    /// Time at which the request could run; the queue learns its running time from this.
    since: timers::Now,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.router.runtime.timers.now();
        let mut pools = self.router.queues.0.lock().unwrap();
        let Some(pool) = pools.get_mut(&self.pool) else {
            return;
        };
        if let Some(ticket) = self.ticket {
            pool.waiting.remove(&ticket);
            if pool.queue.cancel(ticket) {
                return;
            }
        }
        let admitted = pool.queue.finish(now.saturating_sub(self.since));
        pool.wake(admitted);
    }
}

/// Waits until a request may run.
///
/// # Errors
///
/// [`Code::Overloaded`] when the request is not expected to run before its deadline, or did not get
/// its turn by then.
pub async fn acquire(
    router: &Arc<Router>,
    req: &request::Request,
    deadline: timers::Now,
) -> Result<Permit, request::Refusal> {
    let now = router.runtime.timers.now();
    let pool = req.route.pools.first().cloned().unwrap_or_default();
    let queue_request = QueueRequest {
        workspace: req.workspace.clone(),
        weight: req.weight,
        priority: req.route.priority,
        time_left: deadline.saturating_sub(now),
    };
    let capacity = capacity(router, req, now);
    let (ticket, rx) = {
        let mut pools = router.queues.0.lock().unwrap();
        let pool_queue = pools.entry(pool.clone()).or_default();
        let admitted = pool_queue.queue.set_capacity(capacity);
        pool_queue.wake(admitted);
        match pool_queue.queue.enter(&queue_request) {
            Admission::Refuse(wait) => return Err(refusal(wait)),
            Admission::Run => (None, None),
            Admission::Wait(ticket) => {
                let (tx, rx) = async_channel::bounded(1);
                pool_queue.waiting.insert(ticket, tx);
                (Some(ticket), Some(rx))
            }
        }
    };
    let mut permit = Permit {
        router: router.clone(),
        pool,
        ticket,
        since: now,
    };
    if let Some(rx) = rx {
        let timers = &router.runtime.timers;
        if timers
            .within(queue_request.time_left, rx.recv())
            .await
            .is_none()
        {
            return Err(refusal(MIN_RETRY_AFTER));
        }
        permit.ticket = None;
        permit.since = timers.now();
    }
    Ok(permit)
}

fn refusal(wait: Duration) -> request::Refusal {
    let refusal = request::Refusal::not_run(Code::Overloaded, "the deadline cannot be met");
    refusal.retry_after(wait.max(MIN_RETRY_AFTER))
}

/// Number of requests that this router may run at once in the request's pool: for each available
/// agent the slots that other routers leave free, but at least one.
fn capacity(router: &Router, req: &request::Request, now: timers::Now) -> usize {
    let roster = router.roster.lock().unwrap();
    let free_slots = |agent: &roster::Agent| {
        let reported = agent.load.running + agent.load.queued;
        let others = reported.saturating_sub(agent.in_flight);
        agent.load.slots.saturating_sub(others).max(1)
    };
    let total: u32 = roster.available(&req.services, now).map(free_slots).sum();
    match total {
        0 => DEFAULT_CAPACITY,
        slots => slots as usize,
    }
}
