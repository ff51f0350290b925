//! Registers agents in the store before this router gives them work.
//!
//! A recovery that closes this router asks all registered agents what they ran for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::{
    error,
    protocol::kv,
    router::{Router, fencing, record_writer},
    state::{agent_registry, member, name},
    transport::store,
};

/// Time between two checks for agents that are not registered yet.
const REGISTER_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time to register the new agents of one service.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts of one conditional write when other routers write the same key.
const MAX_WRITE_ATTEMPTS: u32 = 16;

/// Time between two checks for silent agents; equals `MIN_UPKEEP_INTERVAL` of the billing task,
/// which writes the holder record.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Agents that this router gives work to, and retired ones that may still have attempts open.
#[derive(Debug, Default)]
pub struct Registry {
    agents: Mutex<AgentLists>,
}

/// Agents by incarnation, each with a guard that every attempt still open there has a copy of.
#[derive(Debug, Default)]
struct AgentLists {
    active: BTreeMap<member::Incarnation, AttemptGuard>,
    retired: BTreeMap<member::Incarnation, AttemptGuard>,
}

impl AgentLists {
    /// Gives an agent no more work; its open attempts stay counted.
    fn retire(&mut self, agent: member::Incarnation) {
        if let Some(guard) = self.active.remove(&agent) {
            self.retired.insert(agent, guard);
        }
    }

    /// Gives an agent work from now on; attempts open since before it was retired stay counted.
    fn admit(&mut self, agent: member::Incarnation) {
        let guard = self.retired.remove(&agent).unwrap_or_default();
        self.active.entry(agent).or_insert(guard);
    }

    /// Removes and returns the retired agents without open attempts.
    fn take_idle(&mut self) -> Vec<member::Incarnation> {
        let idle = self
            .retired
            .iter()
            .filter(|(_, guard)| guard.is_only_copy());
        let idle: Vec<_> = idle.map(|(agent, _)| *agent).collect();
        self.retired.retain(|agent, _| !idle.contains(agent));
        idle
    }
}

/// Held by each attempt at an agent until its charge is counted or it certainly has none.
///
/// The copies are counted: an agent has no open attempts when only the registry's copy is left.
#[derive(Clone, Debug, Default)]
pub struct AttemptGuard(Arc<()>);

impl AttemptGuard {
    fn is_only_copy(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

impl Registry {
    /// Whether an agent is registered and not retired.
    pub fn is_registered(&self, agent: member::Incarnation) -> bool {
        self.agents.lock().unwrap().active.contains_key(&agent)
    }

    /// Begins an attempt at an agent; `None` when the agent may get no work.
    pub fn begin_attempt(&self, agent: member::Incarnation) -> Option<AttemptGuard> {
        self.agents.lock().unwrap().active.get(&agent).cloned()
    }
}

/// Starts the tasks that register agents whose heartbeats arrive and retire silent ones.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    start_retiring(router.clone());
    runtime.spawn(async move {
        let ticks = router.runtime.every(REGISTER_INTERVAL);
        while ticks.recv().await.is_ok() {
            for (service, agents) in unregistered(&router) {
                let registering = register_agents(&router, &service, &agents);
                let done = router
                    .runtime
                    .timers
                    .within(REGISTER_TIMEOUT, registering)
                    .await;
                match done {
                    Some(Ok(())) => admit(&router, &agents),
                    Some(Err(err)) => tracing::warn!("registry: {err}."),
                    None => tracing::warn!("registry: registering agents of {service} timed out."),
                }
            }
            drop_idle_retired(&router);
        }
    });
}

type Agents = BTreeMap<member::Incarnation, member::Member>;

/// Agents with recent heartbeats that are not registered, by service.
fn unregistered(router: &Router) -> BTreeMap<name::Name, Agents> {
    let now = router.runtime.timers.now();
    let roster = router.roster.lock().unwrap();
    let lists = router.registry.agents.lock().unwrap();
    let mut unregistered: BTreeMap<name::Name, Agents> = BTreeMap::new();
    // A silent agent may have been retired; its next heartbeat registers it again.
    for agent in roster.all().filter(|agent| roster.is_fresh(agent, now)) {
        let incarnation = agent.member.incarnation;
        if !lists.active.contains_key(&incarnation) {
            let service = unregistered.entry(agent.service.clone()).or_default();
            service.insert(incarnation, agent.member.clone());
        }
    }
    unregistered
}

/// Adds agents to the stored registry of a service, then reads the fences.
///
/// The order matters: a recovery writes its fences before it reads the registry. If it missed these
/// agents, its fences were already written, and this router learns here that it is fenced.
async fn register_agents(
    router: &Router,
    service: &name::Name,
    agents: &Agents,
) -> Result<(), error::Error> {
    let key = format!("{}{service}", store::AGENTS_PREFIX);
    let mut found = router.store.get(&key).await?;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let mut registry: agent_registry::AgentRegistry = match &found {
            Some(kv) => kv::decode(kv)?,
            None => agent_registry::AgentRegistry::default(),
        };
        if agents
            .keys()
            .all(|agent| registry.agents.contains_key(agent))
        {
            return add_to_record(router, agents).await;
        }
        registry.agents.extend(agents.clone());
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &registry, revision, 0).await? {
            store::Put::Written(_) => return add_to_record(router, agents).await,
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(error::Error::Store {
        call: "put",
        message: format!("{key}: too many concurrent writes"),
    })
}

/// Adds the agents to this router's holder record, then reads the fences.
async fn add_to_record(router: &Router, agents: &Agents) -> Result<(), error::Error> {
    for agent in agents.keys() {
        router.escrow.record_agent(*agent);
    }
    record_writer::try_flush(router).await?;
    fencing::read_fences(router).await
}

/// Gives work to agents from now on, and none to those that the roster no longer names.
fn admit(router: &Router, agents: &Agents) {
    let roster = router.roster.lock().unwrap();
    let current: BTreeSet<_> = roster.all().map(|a| a.member.incarnation).collect();
    let mut lists = router.registry.agents.lock().unwrap();
    if router.billing.is_fenced() {
        return;
    }
    for agent in agents.keys() {
        lists.admit(*agent);
    }
    let active: BTreeSet<_> = lists.active.keys().copied().collect();
    for gone in active.difference(&current) {
        lists.retire(*gone);
    }
}

/// Starts the task that retires silent agents.
///
/// While the holder record names an agent, closing this router may have to write off all tokens
/// that the router holds: it must, when that agent has been replaced.
fn start_retiring(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(RETIRE_INTERVAL);
        while ticks.recv().await.is_ok() {
            // A retired agent can be registered again only while the store answers.
            if !router.billing.store_down.load(Ordering::Relaxed) {
                retire_silent(&router);
            }
        }
    });
}

/// Retires agents that have been silent for too long; their next heartbeat registers them again.
fn retire_silent(router: &Router) {
    for agent in silent_agents(router) {
        tracing::info!(
            "registry: agent {} is silent; it gets no work until its next heartbeat.",
            agent.name
        );
        let mut lists = router.registry.agents.lock().unwrap();
        lists.retire(agent.incarnation);
    }
}

/// Registered agents that have been silent for long enough to be suspected.
fn silent_agents(router: &Router) -> Vec<member::Member> {
    let now = router.runtime.timers.now();
    let roster = router.roster.lock().unwrap();
    let lists = router.registry.agents.lock().unwrap();
    let silent = roster.all().filter(|agent| !roster.is_fresh(agent, now));
    let known = silent.filter(|agent| lists.active.contains_key(&agent.member.incarnation));
    known.map(|agent| agent.member.clone()).collect()
}

/// Removes retired agents without open attempts from the holder record.
fn drop_idle_retired(router: &Router) {
    let idle = router.registry.agents.lock().unwrap().take_idle();
    for agent in idle {
        router.escrow.remove_agent(agent);
    }
    let roster = router.roster.lock().unwrap();
    let mut ejection = router.ejection.lock().unwrap();
    ejection.retain(|name| roster.contains(name));
}
