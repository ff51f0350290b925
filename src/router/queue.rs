//! Where requests wait at a router while the backend servers of their pool are full.

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

/// Least time after which a refused caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_secs(1);

/// Most requests that a router lets through to a pool whose slots it does not know.
const UNKNOWN_CAPACITY: usize = 64;

#[derive(Default)]
struct Pool {
    queue: FairQueue,
    waiting: BTreeMap<u64, async_channel::Sender<()>>,
}

impl Pool {
    fn call(&mut self, tickets: Vec<u64>) {
        for ticket in tickets {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(());
            }
        }
    }
}

/// Queues by pool.
#[derive(Default)]
pub struct Queues(Mutex<BTreeMap<name::Name, Pool>>);

/// A request's place among those that run; given back when dropped.
pub struct Place {
    router: Arc<Router>,
    pool: name::Name,
    ticket: Option<u64>,
    since: timers::Now,
}

impl Drop for Place {
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
        let called = pool.queue.finish(now.saturating_sub(self.since));
        pool.call(called);
    }
}

/// Waits for a place.
///
/// # Errors
///
/// [`Code::Overloaded`] when the deadline cannot be met.
pub async fn enter(
    router: &Arc<Router>,
    req: &request::Request,
    deadline: timers::Now,
) -> Result<Place, request::Refusal> {
    let now = router.runtime.timers.now();
    let pool = req.route.pools.first().cloned().unwrap_or_default();
    let wanted = QueueRequest {
        workspace: req.workspace.clone(),
        weight: req.weight,
        priority: req.route.priority,
        time_left: deadline.saturating_sub(now),
    };
    let capacity = capacity(router, req, now);
    let (ticket, rx) = {
        let mut pools = router.queues.0.lock().unwrap();
        let found = pools.entry(pool.clone()).or_default();
        let called = found.queue.set_capacity(capacity);
        found.call(called);
        match found.queue.enter(&wanted) {
            Admission::Refuse(wait) => return Err(refusal(wait)),
            Admission::Run => (None, None),
            Admission::Wait(ticket) => {
                let (tx, rx) = async_channel::bounded(1);
                found.waiting.insert(ticket, tx);
                (Some(ticket), Some(rx))
            }
        }
    };
    let mut place = Place {
        router: router.clone(),
        pool,
        ticket,
        since: now,
    };
    if let Some(rx) = rx {
        let timers = &router.runtime.timers;
        if timers.within(wanted.time_left, rx.recv()).await.is_none() {
            return Err(refusal(RETRY_FLOOR));
        }
        place.ticket = None;
        place.since = timers.now();
    }
    Ok(place)
}

fn refusal(wait: Duration) -> request::Refusal {
    let refusal = request::Refusal::not_run(Code::Overloaded, "the deadline cannot be met");
    refusal.retry_after(wait.max(RETRY_FLOOR))
}

/// Requests that this router may have under way in the request's pool.
fn capacity(router: &Router, req: &request::Request, now: timers::Now) -> usize {
    let roster = router.roster.lock().unwrap();
    let room = |agent: &roster::Agent| {
        let total = agent.load.running + agent.load.queued;
        let others = total.saturating_sub(agent.in_flight);
        agent.load.slots.saturating_sub(others).max(1)
    };
    let rooms: u32 = roster.available(&req.services, now).map(room).sum();
    match rooms {
        0 => UNKNOWN_CAPACITY,
        rooms => rooms as usize,
    }
}
