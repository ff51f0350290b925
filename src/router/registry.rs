//! Registers agents in the store before the first work is given to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::{
    error,
    protocol::kv,
    router::{Router, fencing, record_writer},
    state::{member, name, register},
    transport::store,
};

const PERIOD: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(3);
const ATTEMPTS: u32 = 16;

/// Time between two looks for silent agents; the period of the holder's record.
const RETIRE_PERIOD: Duration = Duration::from_secs(1);

/// Agents that this router gives work to, and those with which it is not done yet.
#[derive(Debug, Default)]
pub struct Registry {
    agents: Mutex<Registered>,
}

/// Each agent with a count of the attempts that may still be open there.
#[derive(Debug, Default)]
struct Registered {
    known: BTreeMap<member::Incarnation, AttemptGuard>,
    retired: BTreeMap<member::Incarnation, AttemptGuard>,
}

impl Registered {
    /// Gives an agent no more work.
    fn retire(&mut self, agent: member::Incarnation) {
        if let Some(open) = self.known.remove(&agent) {
            self.retired.insert(agent, open);
        }
    }

    /// Gives an agent work from now on; attempts from before it was retired stay counted.
    fn admit(&mut self, agent: member::Incarnation) {
        let open = self.retired.remove(&agent).unwrap_or_default();
        self.known.entry(agent).or_insert(open);
    }

    /// Takes out the retired agents at which nothing is open.
    fn take_idle(&mut self) -> Vec<member::Incarnation> {
        let idle = self.retired.iter().filter(|(_, open)| open.is_only_one());
        let idle: Vec<_> = idle.map(|(agent, _)| *agent).collect();
        self.retired.retain(|agent, _| !idle.contains(agent));
        idle
    }
}

/// Held by each attempt at an agent until its charge is counted or it can have none.
#[derive(Clone, Debug, Default)]
pub struct AttemptGuard(Arc<()>);

impl AttemptGuard {
    fn is_only_one(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

impl Registry {
    /// Whether an agent is registered.
    pub fn is_registered(&self, agent: member::Incarnation) -> bool {
        self.agents.lock().unwrap().known.contains_key(&agent)
    }

    /// Begins an attempt at an agent; `None` when it is given no work.
    pub fn begin_attempt(&self, agent: member::Incarnation) -> Option<AttemptGuard> {
        self.agents.lock().unwrap().known.get(&agent).cloned()
    }
}

/// Starts registering agents as their heartbeats arrive, and retiring those that are gone.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    start_retiring(router.clone());
    runtime.spawn(async move {
        let ticks = router.runtime.every(PERIOD);
        while ticks.recv().await.is_ok() {
            for (service, agents) in unknown(&router) {
                let registering = add(&router, &service, &agents);
                let done = router.runtime.timers.within(LIMIT, registering).await;
                match done {
                    Some(Ok(())) => admit(&router, &agents),
                    Some(Err(err)) => tracing::warn!("registry: {err}."),
                    None => tracing::warn!("registry: no answer for {service}."),
                }
            }
            dismiss_idle(&router);
        }
    });
}

type Agents = BTreeMap<member::Incarnation, member::Member>;

fn unknown(router: &Router) -> BTreeMap<name::Name, Agents> {
    let now = router.runtime.timers.now();
    let roster = router.roster.lock().unwrap();
    let registered = router.registry.agents.lock().unwrap();
    let mut unknown: BTreeMap<name::Name, Agents> = BTreeMap::new();
    // A silent agent may have been retired; its next heartbeat registers it again.
    for agent in roster.all().filter(|agent| roster.is_fresh(agent, now)) {
        let incarnation = agent.member.incarnation;
        if !registered.known.contains_key(&incarnation) {
            let service = unknown.entry(agent.service.clone()).or_default();
            service.insert(incarnation, agent.member.clone());
        }
    }
    unknown
}

/// Adds agents to the register of a service, then reads the fences.
///
/// A recovery that read the register before this has written the fences before, so that this
/// router finds itself fenced here when it is a dead holder.
async fn add(router: &Router, service: &name::Name, agents: &Agents) -> Result<(), error::Error> {
    let key = format!("{}{service}", store::AGENTS_PREFIX);
    let mut found = router.store.get(&key).await?;
    for _ in 0..ATTEMPTS {
        let mut register: register::Register = match &found {
            Some(kv) => kv::decode(kv)?,
            None => register::Register::default(),
        };
        if agents
            .keys()
            .all(|agent| register.agents.contains_key(agent))
        {
            return note(router, agents).await;
        }
        register.agents.extend(agents.clone());
        let revision = found.as_ref().map_or(0, |kv| kv.mod_revision.0);
        match router.store.put_if(&key, &register, revision, 0).await? {
            store::Put::Written(_) => return note(router, agents).await,
            store::Put::Conflict(newer) => found = newer,
        }
    }
    Err(error::Error::Store {
        call: "put",
        message: format!("{key} kept changing"),
    })
}

/// Names the agents in the holder's record, then reads the fences.
async fn note(router: &Router, agents: &Agents) -> Result<(), error::Error> {
    for agent in agents.keys() {
        router.escrow.admit(*agent);
    }
    record_writer::try_flush(router).await?;
    fencing::read_fences(router).await
}

/// Gives work to agents from now on, and none to those that they replace.
fn admit(router: &Router, agents: &Agents) {
    let roster = router.roster.lock().unwrap();
    let current: BTreeSet<_> = roster.all().map(|a| a.member.incarnation).collect();
    let mut registered = router.registry.agents.lock().unwrap();
    if router.billing.is_fenced() {
        return;
    }
    for agent in agents.keys() {
        registered.admit(*agent);
    }
    let known: BTreeSet<_> = registered.known.keys().copied().collect();
    for gone in known.difference(&current) {
        registered.retire(*gone);
    }
}

/// Retires silent agents: as long as a record names an agent, the closing of this router may have
/// to book all that it held as spent.
fn start_retiring(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(RETIRE_PERIOD);
        while ticks.recv().await.is_ok() {
            // Registering an agent again takes the store.
            if !router.billing.store_down.load(Ordering::Relaxed) {
                retire_silent(&router);
            }
        }
    });
}

/// Gives no more work to agents that are suspected, until their next heartbeat.
fn retire_silent(router: &Router) {
    for agent in silent(router) {
        tracing::info!("registry: agent {} is silent and retired.", agent.name);
        let mut registered = router.registry.agents.lock().unwrap();
        registered.retire(agent.incarnation);
    }
}

/// Registered agents that have been silent for long enough to be suspected.
fn silent(router: &Router) -> Vec<member::Member> {
    let now = router.runtime.timers.now();
    let roster = router.roster.lock().unwrap();
    let registered = router.registry.agents.lock().unwrap();
    let silent = roster.all().filter(|agent| !roster.is_fresh(agent, now));
    let known = silent.filter(|agent| registered.known.contains_key(&agent.member.incarnation));
    known.map(|agent| agent.member.clone()).collect()
}

/// Takes agents that are retired and done with out of the holder's record.
fn dismiss_idle(router: &Router) {
    let idle = router.registry.agents.lock().unwrap().take_idle();
    for agent in idle {
        router.escrow.dismiss(agent);
    }
}
