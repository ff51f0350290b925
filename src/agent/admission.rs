//! Decides whether and when an agent runs an attempt.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::{agent::Agent, code::Code, coordination::slots, protocol::run};

/// Attempts that may wait at the agent, as a part of its slots.
const QUEUE_DIVISOR: u32 = 2;

/// When to come back to an agent whose queue is full.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Slots and the attempts that wait for one.
pub struct Admission(Mutex<Inner>);

struct Inner {
    slots: slots::Slots,
    waiting: BTreeMap<slots::Ticket, async_channel::Sender<()>>,
}

impl Inner {
    fn call(&mut self, tickets: Vec<slots::Ticket>) {
        for ticket in tickets {
            if let Some(tx) = self.waiting.remove(&ticket) {
                let _ = tx.try_send(());
            }
        }
    }
}

impl Admission {
    /// Admits as many attempts as the engine has slots, and lets some more wait.
    pub fn new(slots: u32) -> Self {
        let queue = slots.div_ceil(QUEUE_DIVISOR) as usize;
        Self(Mutex::new(Inner {
            slots: slots::Slots::new(slots, queue),
            waiting: BTreeMap::new(),
        }))
    }

    /// Attempts that run and that wait.
    pub fn counts(&self) -> (u32, u32) {
        let inner = self.0.lock().unwrap();
        (inner.slots.running(), inner.slots.queued())
    }
}

/// Holds a slot while it lives.
pub struct Running(Arc<Agent>);

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.0.admission.0.lock().unwrap();
        let called = inner.slots.finish();
        inner.call(called);
    }
}

/// Holds a place in the queue while it lives.
struct Waiting {
    agent: Arc<Agent>,
    ticket: slots::Ticket,
    called: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.called {
            return;
        }
        let mut inner = self.agent.admission.0.lock().unwrap();
        inner.waiting.remove(&self.ticket);
        let called = match inner.slots.cancel(self.ticket) {
            true => inner.slots.start_waiting(),
            false => inner.slots.finish(),
        };
        inner.call(called);
    }
}

/// Waits for a slot, or tells why the attempt does not run.
pub async fn enter(agent: &Arc<Agent>, req: &run::RunRequest) -> Result<Running, run::RunOutcome> {
    let waiting = {
        let mut inner = agent.admission.0.lock().unwrap();
        match inner.slots.enter(req.priority, req.solo) {
            slots::Admission::Run => return Ok(Running(agent.clone())),
            slots::Admission::Full => return Err(full()),
            slots::Admission::Wait(ticket) => {
                let (tx, rx) = async_channel::bounded(1);
                inner.waiting.insert(ticket, tx);
                (ticket, rx)
            }
        }
    };
    let mut place = Waiting {
        agent: agent.clone(),
        ticket: waiting.0,
        called: false,
    };
    if waiting.1.recv().await.is_err() {
        return Err(full());
    }
    place.called = true;
    Ok(Running(agent.clone()))
}

fn full() -> run::RunOutcome {
    let mut full = run::RunOutcome::not_run(Code::Overloaded, "all slots are taken");
    full.retry_after = FULL_RETRY;
    full
}

/// Checks that this incarnation of the agent is meant, and notes the router's configuration.
pub fn identify(agent: &Agent, req: &run::RunRequest) -> Result<(), run::RunOutcome> {
    if req.agent != agent.member.incarnation {
        let message = "the agent has restarted";
        return Err(run::RunOutcome::not_run(Code::WrongAgent, message));
    }
    agent.config.fetch_max(req.config, Ordering::Relaxed);
    Ok(())
}

/// Checks that the agent takes new work of this router now.
pub fn check(agent: &Agent, req: &run::RunRequest) -> Result<(), run::RunOutcome> {
    if agent.is_draining() {
        let message = "the backend server is leaving";
        return Err(run::RunOutcome::not_run(Code::Draining, message));
    }
    let newest = agent.config.load(Ordering::Relaxed);
    if req.config < newest {
        let mut stale = run::RunOutcome::not_run(Code::StaleConfig, "older configuration");
        stale.config = newest;
        return Err(stale);
    }
    Ok(())
}
