//! The agents that a router knows from their heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::state::{member, name};

/// Time without a heartbeat after which an agent gets no new requests, until the size of the fleet
/// is known and sets another limit.
pub const DEFAULT_HEARTBEAT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time without a heartbeat after which an agent is removed.
pub const AGENT_RETENTION: Duration = Duration::from_secs(60);

/// Load that an agent reports in its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of requests that the engine batches at once.
    pub slots: u32,
    /// Whether the agent is draining and takes no new requests.
    pub draining: bool,
    /// Whether the backend server is not answering.
    pub down: bool,
}

/// An agent and what it last reported.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Identity and address of the agent.
    pub member: member::Member,
    /// Service of its backend server.
    pub service: name::Name,
    /// Load in the last heartbeat.
    pub load: Load,
    /// Time of the last heartbeat.
    pub seen: Duration,
    /// Number of attempts that this router has in flight at the agent.
    pub in_flight: u32,
}

/// All known agents, by VM name.
#[derive(Clone, Debug)]
pub struct Roster {
    agents: BTreeMap<name::Name, Agent>,
    heartbeat_max_age: Duration,
    /// Names and addresses of VMs that are about to be removed.
    leaving: BTreeSet<(name::Name, name::Name)>,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            agents: BTreeMap::new(),
            heartbeat_max_age: DEFAULT_HEARTBEAT_MAX_AGE,
            leaving: BTreeSet::new(),
        }
    }
}

impl Roster {
    /// Records a heartbeat.
    ///
    /// A new incarnation of an agent replaces the old one. A heartbeat that is older than the last
    /// one is ignored.
    pub fn record_heartbeat(
        &mut self,
        member: member::Member,
        service: name::Name,
        load: Load,
        now: Duration,
    ) {
        let known = self.agents.get(&member.name);
        if known.is_some_and(|agent| agent.seen > now) {
            return;
        }
        let same = known.filter(|agent| agent.member.incarnation == member.incarnation);
        let in_flight = same.map_or(0, |agent| agent.in_flight);
        let agent = Agent {
            member,
            service,
            load,
            seen: now,
            in_flight,
        };
        self.agents.insert(agent.member.name.clone(), agent);
    }

    /// Whether an agent is known on the VM with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.agents.contains_key(name)
    }

    /// Removes agents without a heartbeat for [`AGENT_RETENTION`].
    pub fn remove_silent(&mut self, now: Duration) {
        self.agents
            .retain(|_, agent| now.saturating_sub(agent.seen) < AGENT_RETENTION);
    }

    /// Agents of the given services that may get new requests.
    pub fn available<'a>(
        &'a self,
        services: &'a [name::Name],
        now: Duration,
    ) -> impl Iterator<Item = &'a Agent> {
        self.agents.values().filter(move |agent| {
            let fresh = self.is_fresh(agent, now);
            let serves = !agent.load.draining && !agent.load.down && !self.is_leaving(agent);
            fresh && serves && services.contains(&agent.service)
        })
    }

    /// Whether an agent's last heartbeat is recent enough that the agent counts as alive.
    pub fn is_fresh(&self, agent: &Agent, now: Duration) -> bool {
        now.saturating_sub(agent.seen) < self.heartbeat_max_age
    }

    /// Time without a heartbeat after which an agent gets no new requests.
    pub fn heartbeat_max_age(&self) -> Duration {
        self.heartbeat_max_age
    }

    /// Sets the time without a heartbeat after which an agent gets no new requests.
    pub fn set_heartbeat_max_age(&mut self, limit: Duration) {
        self.heartbeat_max_age = limit;
    }

    /// Sets the names and addresses of the VMs that are about to be removed; they get no new
    /// requests.
    pub fn set_leaving(&mut self, leaving: BTreeSet<(name::Name, name::Name)>) {
        self.leaving = leaving;
    }

    fn is_leaving(&self, agent: &Agent) -> bool {
        let member = &agent.member;
        let place = (member.name.clone(), member.address.clone());
        self.leaving.contains(&place)
    }

    /// Adds `change` to the number of attempts in flight at an agent.
    pub fn add_in_flight(&mut self, name: &str, change: i32) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.in_flight = agent.in_flight.saturating_add_signed(change);
        }
    }

    /// Sends no new requests to an agent until its next heartbeat.
    pub fn mark_suspect(&mut self, name: &str) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.seen = Duration::ZERO;
        }
    }

    /// All known agents.
    pub fn all(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }
}
