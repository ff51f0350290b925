//! Choice of a backend server for an attempt.

use crate::{
    coordination::{rendezvous, roster},
    state::name,
};

/// Load from which on a backend server is not chosen for its cached prompt prefix.
const MAX_PREFIX_AFFINITY_LOAD: f64 = 1.0;

/// Number of backend servers that requests with the same prompt prefix are directed to.
const PREFIX_SERVERS: usize = 3;

/// Load from which on a backend server of the router's availability zone is not preferred.
const MAX_ZONE_AFFINITY_LOAD: f64 = 1.0;

/// Criteria of the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Criteria<'a> {
    /// Availability zone of the router.
    pub zone: &'a str,
    /// VMs that had an earlier attempt of the request; chosen only when there is no other.
    pub tried: &'a [name::Name],
    /// Hash of the prompt prefix; zero when unknown.
    pub prefix: u64,
}

/// Chooses a backend server: one that is likely to have the prompt prefix cached and is not fully
/// loaded, else the less loaded of two random ones. Prefers the router's availability zone.
///
/// ```
/// use fulmarproxy::coordination::load_balancing;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(load_balancing::choose(&[], load_balancing::Criteria::default(), &mut rng).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a roster::Agent],
    criteria: Criteria<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a roster::Agent> {
    let untried = |agent: &&&roster::Agent| !criteria.tried.contains(&agent.member.name);
    let mut from: Vec<_> = candidates.iter().filter(untried).copied().collect();
    if from.is_empty() {
        from = candidates.to_vec();
    }
    from.sort_by(|a, b| a.member.name.cmp(&b.member.name));
    let is_local = |agent: &&roster::Agent| {
        &*agent.member.zone == criteria.zone && load(agent) < MAX_ZONE_AFFINITY_LOAD
    };
    let local: Vec<_> = from.iter().copied().filter(is_local).collect();
    let from = if local.is_empty() { &from } else { &local };
    match criteria.prefix {
        0 => less_loaded(from, rng),
        prefix => prefix_server(from, prefix).or_else(|| less_loaded(from, rng)),
    }
}

/// The first backend server with a load below [`MAX_PREFIX_AFFINITY_LOAD`] among the
/// [`PREFIX_SERVERS`] that rendezvous hashing selects for a prefix.
fn prefix_server<'a>(from: &[&'a roster::Agent], prefix: u64) -> Option<&'a roster::Agent> {
    let weight = |agent: &&roster::Agent| rendezvous::weight(&agent.member.name, prefix);
    let mut weighted: Vec<_> = from.iter().map(|agent| (weight(agent), *agent)).collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    let mut servers = weighted
        .into_iter()
        .take(PREFIX_SERVERS)
        .map(|(_, agent)| agent);
    servers.find(|agent| load(agent) < MAX_PREFIX_AFFINITY_LOAD)
}

/// Chooses the less loaded of two random candidates.
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

/// Requests per slot of a backend server: the larger of this router's attempts there and the
/// requests in the server's last heartbeat.
fn load(agent: &roster::Agent) -> f64 {
    let reported = agent.load.running + agent.load.queued;
    let own = agent.in_flight;
    f64::from(reported.max(own)) / f64::from(agent.load.slots.max(1))
}
