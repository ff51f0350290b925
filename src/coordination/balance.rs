//! Choice of a backend server for an attempt.

use crate::{
    coordination::{rendezvous, roster},
    state::name,
};

/// Load above which a backend server is passed over for its cached prompt prefix.
const AFFINITY_LOAD: f64 = 0.75;

/// Load above which a backend server of the own availability zone is passed over.
const LOCAL_LOAD: f64 = 1.0;

/// What is asked of the choice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wanted<'a> {
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
/// use fulmarproxy::coordination::balance;
/// let mut rng = fastrand::Rng::with_seed(1);
/// assert!(balance::choose(&[], balance::Wanted::default(), &mut rng).is_none());
/// ```
pub fn choose<'a>(
    candidates: &[&'a roster::Agent],
    wanted: Wanted<'_>,
    rng: &mut fastrand::Rng,
) -> Option<&'a roster::Agent> {
    let fresh = |agent: &&&roster::Agent| !wanted.tried.contains(&agent.member.name);
    let mut from: Vec<_> = candidates.iter().filter(fresh).copied().collect();
    if from.is_empty() {
        from = candidates.to_vec();
    }
    from.sort_by(|a, b| a.member.name.cmp(&b.member.name));
    if wanted.prefix != 0 {
        let home = from
            .iter()
            .max_by_key(|agent| rendezvous::weight(&agent.member.name, wanted.prefix));
        if let Some(home) = home.filter(|home| load(home) < AFFINITY_LOAD) {
            return Some(home);
        }
    }
    let near =
        |agent: &&roster::Agent| &*agent.member.zone == wanted.zone && load(agent) < LOCAL_LOAD;
    let local: Vec<_> = from.iter().copied().filter(near).collect();
    less_loaded(if local.is_empty() { &from } else { &local }, rng)
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
