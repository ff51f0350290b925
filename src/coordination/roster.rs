//! The agents that a router knows, from their heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::state::{member, name};

/// Silence after which an agent gets no new work, until the size of the fleet is known.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which an agent is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What an agent last reported of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that the engine batches at once.
    pub slots: u32,
    /// Whether the agent is leaving.
    pub draining: bool,
    /// Whether the backend server does not answer.
    pub down: bool,
}

/// An agent and what it last reported.
#[derive(Clone, Debug)]
pub struct Agent {
    /// The agent.
    pub member: member::Member,
    /// Service of its backend server.
    pub service: name::Name,
    /// Load as last reported.
    pub load: Load,
    /// Time of the last report.
    pub seen: Duration,
    /// Attempts that this router has in flight there.
    pub in_flight: u32,
}

/// All agents known, by VM name.
#[derive(Clone, Debug)]
pub struct Roster {
    agents: BTreeMap<name::Name, Agent>,
    suspect_after: Duration,
    leaving: BTreeSet<(name::Name, name::Name)>,
}

impl Default for Roster {
    fn default() -> Self {
        Self {
            agents: BTreeMap::new(),
            suspect_after: SUSPECT_AFTER,
            leaving: BTreeSet::new(),
        }
    }
}

impl Roster {
    /// Takes a heartbeat; a new incarnation replaces the old one, an older heartbeat changes nothing.
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

    /// Forgets agents that have been silent for long.
    pub fn remove_silent(&mut self, now: Duration) {
        self.agents
            .retain(|_, agent| now.saturating_sub(agent.seen) < FORGET_AFTER);
    }

    /// Agents of a service that may get new work.
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

    /// Whether an agent has been heard of within the time that suspects it.
    pub fn is_fresh(&self, agent: &Agent, now: Duration) -> bool {
        now.saturating_sub(agent.seen) < self.suspect_after
    }

    /// Silence after which an agent gets no new work.
    pub fn suspect_after(&self) -> Duration {
        self.suspect_after
    }

    /// Changes the silence after which an agent gets no new work.
    pub fn set_suspect_after(&mut self, limit: Duration) {
        self.suspect_after = limit;
    }

    /// Replaces the names and addresses of the VMs that are about to go.
    pub fn set_leaving(&mut self, leaving: BTreeSet<(name::Name, name::Name)>) {
        self.leaving = leaving;
    }

    fn is_leaving(&self, agent: &Agent) -> bool {
        let member = &agent.member;
        let place = (member.name.clone(), member.address.clone());
        self.leaving.contains(&place)
    }

    /// Counts an attempt that begins or ends at an agent.
    pub fn add_in_flight(&mut self, name: &str, change: i32) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.in_flight = agent.in_flight.saturating_add_signed(change);
        }
    }

    /// Stops new work to an agent until its next heartbeat.
    pub fn mark_suspect(&mut self, name: &str) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.seen = Duration::ZERO;
        }
    }

    /// All agents known.
    pub fn all(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }
}
