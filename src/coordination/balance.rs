//! Choice of a backend server for an attempt.

use crate::{coordination::roster, state::name};

/// Picks the less loaded of two random candidates, in the own availability zone if possible.
///
/// ```
/// use fulmarproxy::coordination::balance;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(balance::choose(&[], "a", &[], &mut rng).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a roster::Agent],
    zone: &str,
    tried: &[name::Name],
    rng: &mut fastrand::Rng,
) -> Option<&'a roster::Agent> {
    let fresh = |agent: &&&roster::Agent| !tried.contains(&agent.member.name);
    let untried: Vec<_> = candidates.iter().filter(fresh).copied().collect();
    let open = |agent: &&roster::Agent| load(agent) < 1.0;
    let near = |agent: &&roster::Agent| &*agent.member.zone == zone && open(agent);
    let local: Vec<_> = untried.iter().copied().filter(near).collect();
    let from = if local.is_empty() { &untried } else { &local };
    let first = from.get(rng.usize(..from.len().max(1)))?;
    let second = from.get(rng.usize(..from.len()))?;
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}

fn load(agent: &roster::Agent) -> f64 {
    let others = agent.load.running + agent.load.queued;
    let own = agent.in_flight;
    f64::from(others.max(own)) / f64::from(agent.load.slots.max(1))
}
