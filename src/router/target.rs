//! Choice of the agent that an attempt goes to.

use std::time::Duration;

use crate::{
    coordination::{claims, load_balancing, rendezvous, roster},
    router::{Router, registry, request},
    state::{member, name},
    transport::timers,
};

/// Longest wait for a backend server when none is available.
const BACKEND_LIMIT: Duration = Duration::from_secs(3);

const BACKEND_POLL: Duration = Duration::from_millis(100);

/// An agent that was chosen.
pub struct Target {
    /// The agent.
    pub member: member::Member,
    /// Service of its backend server.
    pub service: name::Name,
    /// Keeps the agent in the holder's record until the attempt is counted.
    pub open: registry::AttemptGuard,
}

/// Chooses an agent; waits a little for one when all of them are down or have been silent.
pub async fn find(
    router: &Router,
    req: &request::Request,
    tried: &[name::Name],
    deadline: timers::Now,
) -> Option<Target> {
    let timers = &router.runtime.timers;
    let until = deadline.min(timers.now() + BACKEND_LIMIT);
    loop {
        if let Some(target) = choose(router, req, tried) {
            return Some(target);
        }
        if timers.now() >= until || !knows_agents(router, req) {
            return None;
        }
        timers.sleep(BACKEND_POLL).await;
    }
}

fn knows_agents(router: &Router, req: &request::Request) -> bool {
    let roster = router.roster.lock().unwrap();
    roster
        .all()
        .any(|agent| req.services.contains(&agent.service) && !agent.load.draining)
}

fn choose(router: &Router, req: &request::Request, tried: &[name::Name]) -> Option<Target> {
    let now = router.runtime.timers.now();
    let mut roster = router.roster.lock().unwrap();
    let mut ejection = router.ejection.lock().unwrap();
    let mut candidates: Vec<_> = roster.available(&req.services, now).collect();
    candidates.retain(|agent| router.registry.is_registered(agent.member.incarnation));
    let admitted: Vec<_> = candidates
        .iter()
        .filter(|agent| ejection.admits(&agent.member.name, now))
        .copied()
        .collect();
    if !admitted.is_empty() {
        candidates = admitted;
    }
    let wanted = load_balancing::Criteria {
        zone: &router.member.zone,
        tried,
        prefix: req.prefix,
    };
    let agent = match req.key.is_empty() {
        true => load_balancing::choose(&candidates, wanted, &mut router.runtime.rng())?,
        false if req.must_claim() => home(&candidates, req, tried)?,
        false => home(&with_leaving(&roster, candidates, req, now), req, tried)?,
    };
    let target = Target {
        member: agent.member.clone(),
        service: agent.service.clone(),
        open: router.registry.begin_attempt(agent.member.incarnation)?,
    };
    ejection.begin_probe(&target.member.name, now);
    roster.add_in_flight(&target.member.name, 1);
    Some(target)
}

/// Adds the agents that are leaving: the answer of an earlier request may run or be kept there.
pub fn with_leaving<'a>(
    roster: &'a roster::Roster,
    mut agents: Vec<&'a roster::Agent>,
    req: &request::Request,
    now: timers::Now,
) -> Vec<&'a roster::Agent> {
    let leaving = roster.all().filter(|agent| {
        roster.is_fresh(agent, now) && agent.load.draining && req.services.contains(&agent.service)
    });
    agents.extend(leaving);
    agents
}

/// The agent where repeats of an idempotency key meet.
pub fn home<'a>(
    candidates: &[&'a roster::Agent],
    req: &request::Request,
    tried: &[name::Name],
) -> Option<&'a roster::Agent> {
    let hash = claims::hash(&req.workspace, &req.key);
    let names = candidates.iter().map(|agent| agent.member.name.clone());
    let order = rendezvous::rank(names.collect(), hash);
    let untried = order.iter().find(|name| !tried.contains(name));
    let chosen = untried.or(order.first())?;
    let found = candidates.iter().find(|agent| agent.member.name == *chosen);
    found.copied()
}
