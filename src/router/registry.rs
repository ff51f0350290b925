//! Registers agents in the store before the first work is given to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use crate::{
    error,
    protocol::kv,
    router::{Router, record, recovery},
    state::{member, name, register},
    transport::store,
};

const PERIOD: Duration = Duration::from_millis(200);
const LIMIT: Duration = Duration::from_secs(3);
const ATTEMPTS: u32 = 16;

/// Agents that this router may give work to.
#[derive(Debug, Default)]
pub struct Registry {
    known: Mutex<BTreeSet<member::Incarnation>>,
    replaced: Mutex<BTreeSet<member::Incarnation>>,
}

impl Registry {
    /// Whether an agent is registered.
    pub fn admits(&self, agent: member::Incarnation) -> bool {
        self.known.lock().unwrap().contains(&agent)
    }
}

/// Starts registering agents as their heartbeats arrive.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
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
            resolve_idle(&router);
        }
    });
}

type Agents = BTreeMap<member::Incarnation, member::Member>;

fn unknown(router: &Router) -> BTreeMap<name::Name, Agents> {
    let roster = router.roster.lock().unwrap();
    let known = router.registry.known.lock().unwrap();
    let mut unknown: BTreeMap<name::Name, Agents> = BTreeMap::new();
    for agent in roster.all() {
        let incarnation = agent.member.incarnation;
        if !known.contains(&incarnation) {
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
    record::try_flush(router).await?;
    recovery::read_fences(router).await
}

/// Gives work to agents from now on, and none to those that they replace.
fn admit(router: &Router, agents: &Agents) {
    let roster = router.roster.lock().unwrap();
    let current: BTreeSet<_> = roster.all().map(|a| a.member.incarnation).collect();
    let mut known = router.registry.known.lock().unwrap();
    if router.billing.is_fenced() {
        return;
    }
    known.extend(agents.keys());
    let gone: Vec<_> = known.difference(&current).copied().collect();
    known.retain(|agent| current.contains(agent));
    router.registry.replaced.lock().unwrap().extend(gone);
}

/// Notes, while nothing at all is reserved, that nothing is open at replaced agents.
fn resolve_idle(router: &Router) {
    let mut replaced = router.registry.replaced.lock().unwrap();
    let known = router.registry.known.lock().unwrap();
    replaced.retain(|agent| !known.contains(agent));
    if replaced.is_empty() || router.escrow.reserved() > 0 {
        return;
    }
    for agent in std::mem::take(&mut *replaced) {
        router.escrow.dismiss(agent);
    }
}
