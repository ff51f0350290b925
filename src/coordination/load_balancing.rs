//! Choice of a backend server for an attempt.

use crate::{
    coordination::{rendezvous, roster},
    state::name,
};

/// Load above which a backend server is passed over for its cached prompt prefix.
const AFFINITY_LOAD: f64 = 1.0;

/// Backend servers that a prompt prefix leads to.
const PREFIX_HOMES: usize = 3;

/// Load above which a backend server of the own availability zone is passed over.
const LOCAL_LOAD: f64 = 1.0;

/// What is asked of the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Availability zone of the router.
    pub zone: &'a str,
    /// VMs that had an attempt before; taken only when there is no other.
    pub tried: &'a [name::Name],
    /// Hash of the prompt's prefix; zero when unknown.
    pub prefix: u64,
}

/// Picks a backend server: one that has the prompt's prefix cached unless it is loaded, else the
/// less loaded of two random ones, in the own availability zone if possible.
///
/// ```
/// use fulmarproxy::coordination::load_balancing;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(load_balancing::choose(&[], load_balancing::Criteria::default(), &mut rng).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a roster::Agent],
    wanted: Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a roster::Agent> {
    let fresh = |agent: &&&roster::Agent| !wanted.tried.contains(&agent.member.name);
    let mut from: Vec<_> = candidates.iter().filter(fresh).copied().collect();
    if from.is_empty() {
        from = candidates.to_vec();
    }
    from.sort_by(|a, b| a.member.name.cmp(&b.member.name));
    let near =
        |agent: &&roster::Agent| &*agent.member.zone == wanted.zone && load(agent) < LOCAL_LOAD;
    let local: Vec<_> = from.iter().copied().filter(near).collect();
    let from = if local.is_empty() { &from } else { &local };
    match wanted.prefix {
        0 => less_loaded(from, rng),
        prefix => home(from, prefix).or_else(|| less_loaded(from, rng)),
    }
}

/// The first backend server with a free slot among the few that a prefix leads to.
fn home<'a>(from: &[&'a roster::Agent], prefix: u64) -> Option<&'a roster::Agent> {
    let weight = |agent: &&roster::Agent| rendezvous::weight(&agent.member.name, prefix);
    let mut homes: Vec<_> = from.iter().map(|agent| (weight(agent), *agent)).collect();
    homes.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let mut few = homes.into_iter().take(PREFIX_HOMES).map(|(_, agent)| agent);
    few.find(|agent| load(agent) < AFFINITY_LOAD)
}

/// Picks the less loaded of two random candidates.
fn less_loaded<'a>(
    from: &[&'a roster::Agent],
    rng: &mut fastrand::Rng,
) -> Option<&'a roster::Agent> {
    let first = from.get(rng.usize(..from.len().max(1)))?;
    let second = from.get(rng.usize(..from.len()))?;
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}

/// Load of a backend server, from the own attempts and the last heartbeat.
fn load(agent: &roster::Agent) -> f64 {
    let others = agent.load.running + agent.load.queued;
    let own = agent.in_flight;
    f64::from(others.max(own)) / f64::from(agent.load.slots.max(1))
}
