//! Decides whether an agent takes an attempt.

use std::sync::atomic::{AtomicU32, Ordering};

use crate::{agent::Agent, code::Code, protocol::run};

/// Counts a running request while it lives.
pub struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Takes an attempt, or tells why it does not run.
pub fn admit<'a>(agent: &'a Agent, req: &run::RunRequest) -> Result<Running<'a>, run::RunOutcome> {
    let refuse = |code, message: &str| Err(run::RunOutcome::not_run(code, message));
    if req.agent != agent.member.incarnation {
        return refuse(Code::WrongAgent, "the agent has restarted");
    }
    let newest = agent
        .config
        .fetch_max(req.config, Ordering::Relaxed)
        .max(req.config);
    if agent.is_draining() {
        return refuse(Code::Draining, "the backend server is leaving");
    }
    if req.config < newest {
        let mut stale = run::RunOutcome::not_run(Code::StaleConfig, "older configuration");
        stale.config = newest;
        return Err(stale);
    }
    let taken = agent.running.fetch_add(1, Ordering::Relaxed);
    let running = Running(&agent.running);
    if taken >= agent.settings.slots {
        return refuse(Code::Overloaded, "all slots are taken");
    }
    Ok(running)
}
