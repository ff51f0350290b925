//! Chooses the agent that an attempt is sent to.

use std::time::Duration;

use crate::{
    coordination::{claims, load_balancing, rendezvous, roster},
    router::{Router, registry, request},
    state::{member, name},
    transport::timers,
};

/// Time for which a request waits for a backend server when none is available.
const BACKEND_WAIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a waiting request looks for an available backend server again.
const BACKEND_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The agent chosen for an attempt.
pub struct Target {
    /// Name, incarnation and address of the agent.
    pub member: member::Member,
    /// Service of its backend server.
    pub service: name::Name,
    /// Guard that keeps the agent in this router's record until the charge of the attempt is
    /// counted.
    pub guard: registry::AttemptGuard,
}

/// Chooses an agent for an attempt.
///
/// When every known agent of the services is down or silent, it waits for one for a short time.
/// Without any such agent, or if all of them are draining, it returns `None` at once.
pub async fn find(
    router: &Router,
    req: &request::Request,
    tried: &[name::Name],
    deadline: timers::Now,
) -> Option<Target> {
    let timers = &router.runtime.timers;
    let until = deadline.min(timers.now() + BACKEND_WAIT_TIMEOUT);
    loop {
        if let Some(target) = choose(router, req, tried) {
            return Some(target);
        }
        if timers.now() >= until || !knows_agents(router, req) {
            return None;
        }
        timers.sleep(BACKEND_POLL_INTERVAL).await;
    }
}

/// Whether an agent of the request's services is known that is not draining.
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
    // When all candidates are ejected, the ejection is ignored rather than refusing the request.
    if !admitted.is_empty() {
        candidates = admitted;
    }
    let criteria = load_balancing::Criteria {
        zone: &router.member.zone,
        tried,
        prefix: req.prefix,
    };
    let agent = match req.key.is_empty() {
        true => load_balancing::choose(&candidates, criteria, &mut router.runtime.rng())?,
        false if req.must_claim() => rendezvous_agent(&candidates, req, tried)?,
        false => rendezvous_agent(&with_draining(&roster, candidates, req, now), req, tried)?,
    };
    let target = Target {
        member: agent.member.clone(),
        service: agent.service.clone(),
        guard: router.registry.begin_attempt(agent.member.incarnation)?,
    };
    ejection.begin_probe(&target.member.name, now);
    roster.add_in_flight(&target.member.name, 1);
    Some(target)
}

/// Adds the draining agents of the request's services, because an earlier request with the same
/// idempotency key may be running there or its answer be kept there.
pub fn with_draining<'a>(
    roster: &'a roster::Roster,
    mut agents: Vec<&'a roster::Agent>,
    req: &request::Request,
    now: timers::Now,
) -> Vec<&'a roster::Agent> {
    let draining = roster.all().filter(|agent| {
        roster.is_fresh(agent, now) && agent.load.draining && req.services.contains(&agent.service)
    });
    agents.extend(draining);
    agents
}

/// The agent that rendezvous hashing selects for the request's idempotency key, so that all routers
/// send repeats of a key to the same agent. Agents in `tried` are used only when no other is left.
pub fn rendezvous_agent<'a>(
    candidates: &[&'a roster::Agent],
    req: &request::Request,
    tried: &[name::Name],
) -> Option<&'a roster::Agent> {
    let hash = claims::hash(&req.workspace, &req.key);
    let names = candidates.iter().map(|agent| agent.member.name.clone());
    let ranking = rendezvous::rank(names.collect(), hash);
    let untried = ranking.iter().find(|name| !tried.contains(name));
    let chosen = untried.or(ranking.first())?;
    let found = candidates.iter().find(|agent| agent.member.name == *chosen);
    found.copied()
}
