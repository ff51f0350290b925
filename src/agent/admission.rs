//! Decides whether and when an agent runs an attempt.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::{agent::Agent, code::Code, coordination::slots, protocol::run};

/// The agent queues at most its number of slots divided by this, rounded up.
const QUEUE_DIVISOR: u32 = 2;

/// Delay that a router is told to wait before it retries at an agent whose queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The slots of the backend server, and the attempts that wait for one.
pub struct Admission(Mutex<Inner>);

struct Inner {
    slots: slots::Slots,
    waiting: BTreeMap<slots::Ticket, async_channel::Sender<()>>,
}

impl Inner {
    /// Wakes the queued attempts that have got a slot.
    fn wake(&mut self, tickets: Vec<slots::Ticket>) {
        for ticket in tickets {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(());
            }
        }
    }
}

impl Admission {
    /// Admits as many attempts as the engine has slots; a limited number more may wait.
    pub fn new(slots: u32) -> Self {
        let queue = slots.div_ceil(QUEUE_DIVISOR) as usize;
        Self(Mutex::new(Inner {
            slots: slots::Slots::new(slots, queue),
            waiting: BTreeMap::new(),
        }))
    }

    /// Numbers of running and of waiting attempts.
    pub fn counts(&self) -> (u32, u32) {
        let inner = self.0.lock().unwrap();
        (inner.slots.running(), inner.slots.queued())
    }
}

/// Guard of a slot, which is given back when this is dropped.
pub struct SlotGuard(Arc<Agent>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut inner = self.0.admission.0.lock().unwrap();
        let admitted = inner.slots.finish();
        inner.wake(admitted);
    }
}

/// Guard of a place in the queue.
///
/// Dropping it before the attempt has taken its slot leaves the queue, or gives back the slot if
/// the attempt was already admitted.
struct QueueGuard {
    agent: Arc<Agent>,
    ticket: slots::Ticket,
    /// Whether the attempt has taken its slot.
    admitted: bool,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        let mut inner = self.agent.admission.0.lock().unwrap();
        inner.waiting.remove(&self.ticket);
        let admitted = match inner.slots.cancel(self.ticket) {
            true => inner.slots.start_waiting(),
            false => inner.slots.finish(),
        };
        inner.wake(admitted);
    }
}

/// Waits for a slot.
///
/// # Errors
///
/// [`Code::Overloaded`] when the queue is full.
pub async fn acquire_slot(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
) -> Result<SlotGuard, run::RunOutcome> {
    let queued = {
        let mut inner = agent.admission.0.lock().unwrap();
        match inner.slots.enter(req.priority, req.solo) {
            slots::Admission::Run => return Ok(SlotGuard(agent.clone())),
            slots::Admission::Full => return Err(queue_full()),
            slots::Admission::Wait(ticket) => {
                let (tx, rx) = async_channel::bounded(1);
                inner.waiting.insert(ticket, tx);
                (ticket, rx)
            }
        }
    };
    let mut guard = QueueGuard {
        agent: agent.clone(),
        ticket: queued.0,
        admitted: false,
    };
    if queued.1.recv().await.is_err() {
        return Err(queue_full());
    }
    guard.admitted = true;
    Ok(SlotGuard(agent.clone()))
}

fn queue_full() -> run::RunOutcome {
    let mut full = run::RunOutcome::not_run(Code::Overloaded, "all slots are taken");
    full.retry_after = QUEUE_FULL_RETRY_AFTER;
    full
}

/// Checks that the attempt is meant for this incarnation of the agent, and records the router's
/// configuration version if it is the newest known.
pub fn check_incarnation(agent: &Agent, req: &run::RunRequest) -> Result<(), run::RunOutcome> {
    if req.agent != agent.member.incarnation {
        let message = "the agent has restarted";
        return Err(run::RunOutcome::not_run(Code::WrongAgent, message));
    }
    agent
        .config_version
        .fetch_max(req.config, Ordering::Relaxed);
    Ok(())
}

/// Checks that the agent accepts new requests, and that the router's configuration is not older
/// than the newest version the agent knows.
pub fn check_accepts_work(agent: &Agent, req: &run::RunRequest) -> Result<(), run::RunOutcome> {
    if agent.is_draining() {
        let message = "the backend server is leaving";
        return Err(run::RunOutcome::not_run(Code::Draining, message));
    }
    let newest = agent.config_version.load(Ordering::Relaxed);
    if req.config < newest {
        let mut stale = run::RunOutcome::not_run(Code::StaleConfig, "older configuration");
        stale.config = newest;
        return Err(stale);
    }
    Ok(())
}
