//! Routers and agents in one process that call one another directly, with a store in memory instead
//! of the platform's.
#![allow(dead_code)]

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use fulmarproxy::{
    agent,
    coordination::orders,
    ctl,
    protocol::{kv, messages, run, vm_list},
    router, settings,
    standin::key_values,
    state::{name, object_set, pool},
    transport::{backend, fleet, runtime, store, vms},
};
use futures::{StreamExt, stream};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

fn read_settings(role: &str, name: &str) -> settings::Settings {
    let key = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let args = [
        role,
        "--name",
        name,
        "--region",
        "r",
        "--zone",
        "z",
        "--store",
        "http://unused",
        "--vms",
        "http://unused",
        "--service",
        "s",
        "--backend",
        "http://unused",
        "--fleet-key-file",
        key,
    ];
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    match settings::parse(&args, &|_| None) {
        Ok(settings::Command::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

/// A store in memory. A member that is cut off from it gets errors.
#[derive(Clone, Default)]
pub struct Platform {
    values: Arc<Mutex<key_values::KeyValues>>,
    leases: Arc<AtomicU64>,
    ended_leases: Arc<Mutex<Vec<u64>>>,
    unreachable: CutOff,
}

impl Platform {
    /// Carries out a call to the store.
    fn execute(&self, call: store::Call) -> store::Reply {
        match call {
            store::Call::Range(req) => store::Reply::Range(self.values.lock().unwrap().range(&req)),
            store::Call::Txn(req) => store::Reply::Txn(self.values.lock().unwrap().txn(&req)),
            store::Call::LeaseGrant(req) => store::Reply::Lease(kv::LeaseResponse {
                id: kv::Number(self.leases.fetch_add(1, Ordering::Relaxed) + 1),
                ttl: req.ttl,
            }),
            store::Call::LeaseKeepAlive(req) => {
                let ended = self.ended_leases.lock().unwrap().contains(&req.id.0);
                let ttl = kv::Number(if ended { 0 } else { 15 });
                store::Reply::Lease(kv::LeaseResponse { id: req.id, ttl })
            }
        }
    }

    pub fn store(&self) -> store::Store {
        self.store_of("".into())
    }

    /// Access to the store for one member, which fails while the member is cut off.
    fn store_of(&self, member: name::Name) -> store::Store {
        let platform = self.clone();
        store::Store {
            execute: Arc::new(move |call| {
                let reachable = !platform.unreachable.lock().unwrap().contains(&member);
                let reply = reachable.then(|| platform.execute(call)).ok_or_else(lost);
                Box::pin(async move { reply })
            }),
            open_watch: Arc::new(|_| stream::pending().boxed()),
        }
    }

    /// Cuts these members off from the store, and reconnects all others.
    pub fn cut(&self, members: &[&str]) {
        let members = members.iter().map(|member| (*member).into());
        *self.unreachable.lock().unwrap() = members.collect();
    }

    /// Ends a lease: its keys are deleted, and keeping it alive fails from now on.
    pub fn end_lease(&self, lease: u64) {
        self.ended_leases.lock().unwrap().push(lease);
        self.values.lock().unwrap().revoke_lease(lease);
    }

    /// The coordinator of the pool `p`, with the fencing number and the lease of its key.
    pub fn coordinator(&self) -> Option<(orders::Coordinator, u64, u64)> {
        let read = self.store();
        let found = smol::block_on(read.get("fulmar/order/p")).unwrap()?;
        let coordinator = kv::decode(&found).unwrap();
        Some((coordinator, found.create_revision.0, found.lease.0))
    }
}

type Routers = Arc<Mutex<Vec<(name::Name, Arc<router::Router>)>>>;
type CutOff = Arc<Mutex<BTreeSet<name::Name>>>;
type Agents = Arc<Mutex<Vec<(name::Name, Arc<agent::Agent>)>>>;

/// Routers and agents in one process that call one another directly, and the store, the list of VMs
/// and the clock that they share.
#[derive(Clone, Default)]
pub struct World {
    pub platform: Platform,
    routers: Routers,
    agents: Agents,
    /// Bodies that the agents sent to their backend servers.
    pub bodies: Arc<Mutex<Vec<serde_json::Value>>>,
    /// The list of VMs.
    pub listed: Arc<Mutex<Vec<vm_list::Vm>>>,
    cut: CutOff,
    clock_offset: Arc<AtomicU64>,
}

fn lost() -> fulmarproxy::error::Error {
    fulmarproxy::error::Error::Io(std::io::ErrorKind::NotConnected.into())
}

impl World {
    /// Calls that a member makes. A call fails if only one of its two ends is cut off; attempts
    /// always fail.
    fn fleet(&self, from: &name::Name) -> fleet::Fleet {
        let (routers, agents) = (self.routers.clone(), self.agents.clone());
        let (cut, from) = (self.cut.clone(), from.clone());
        let reaches_agent = move |to: &name::Name| {
            let cut = cut.lock().unwrap();
            cut.contains(&from) == cut.contains(to)
        };
        let reaches_router = reaches_agent.clone();
        let no_attempt = |_: &run::RunRequest| {
            let (_, chunks) = async_channel::bounded(1);
            let (_, outcome) = async_channel::bounded(1);
            fleet::Attempt { chunks, outcome }
        };
        let no_resume = |_: &messages::Resume| {
            let (_, chunks) = async_channel::bounded(1);
            let (_, outcome) = async_channel::bounded(1);
            fleet::Attempt { chunks, outcome }
        };
        fleet::Fleet {
            run: Arc::new(move |_, req| no_attempt(&req)),
            resume: Arc::new(move |_, req| no_resume(&req)),
            agent: Arc::new(move |address, call| {
                let agents = agents.lock().unwrap();
                let found = agents
                    .iter()
                    .rfind(|(known, _)| *known == address && reaches_agent(known));
                let found = found.map(|(_, agent)| agent.clone());
                Box::pin(async move { Ok(found.ok_or_else(lost)?.handle(call).await) })
            }),
            router: Arc::new(move |address, call| {
                let routers = routers.lock().unwrap();
                let found = routers
                    .iter()
                    .rfind(|(known, _)| *known == address && reaches_router(known));
                let found = found.map(|(_, router)| router.clone());
                Box::pin(async move { found.ok_or_else(lost)?.handle(call).await.ok_or_else(lost) })
            }),
        }
    }

    /// Adds a live VM to the list of VMs.
    pub fn list(&self, role: vm_list::VmRole, index: usize) {
        self.listed.lock().unwrap().push(vm_list::Vm {
            name: format!("vm-{role:?}-{index}").into(),
            role,
            address: format!("{role:?}:{index}").into(),
            region: "r".into(),
            zone: "z".into(),
            state: vm_list::VmState::Live,
        });
    }

    fn vms(&self) -> vms::Vms {
        let listed = self.listed.clone();
        vms::Vms {
            read: Arc::new(move || {
                let list = listed.lock().unwrap().clone();
                Box::pin(async move { Ok(list) })
            }),
        }
    }

    /// Advances the clocks of all members by `seconds`.
    pub fn advance_clocks(&self, seconds: u64) {
        self.clock_offset.fetch_add(seconds, Ordering::Relaxed);
    }

    fn runtime(&self) -> runtime::Runtime {
        let mut runtime = runtime::Runtime::default();
        let (read, clock_offset) = (runtime.timers.read.clone(), self.clock_offset.clone());
        let ahead = move || Duration::from_secs(clock_offset.load(Ordering::Relaxed));
        runtime.timers.read = Arc::new(move || read() + ahead());
        runtime
    }

    /// Cuts these members off from the store and from all other members, but not from one another;
    /// reconnects the rest.
    pub fn cut(&self, members: &[&str]) {
        *self.cut.lock().unwrap() = members.iter().map(|member| (*member).into()).collect();
        self.platform.cut(members);
    }

    /// Starts a router.
    pub fn router(&self, index: usize) -> Arc<router::Router> {
        let address: name::Name = format!("Router:{index}").into();
        let router = router::Router::new(router::Dependencies {
            settings: read_settings("router", &format!("vm-Router-{index}")),
            address: address.clone(),
            runtime: self.runtime(),
            fleet: self.fleet(&address),
            store: self.platform.store_of(address.clone()),
            vms: self.vms(),
        });
        self.routers.lock().unwrap().push((address, router.clone()));
        router.start();
        router
    }

    /// Starts an agent whose backend server records each body and gives an empty answer.
    pub fn agent(&self, index: usize) -> Arc<agent::Agent> {
        let address: name::Name = format!("Agent:{index}").into();
        let bodies = self.bodies.clone();
        let agent = agent::Agent::new(agent::Dependencies {
            settings: read_settings("agent", &format!("vm-Agent-{index}")),
            address: address.clone(),
            runtime: self.runtime(),
            fleet: self.fleet(&address),
            vms: self.vms(),
            backend: backend::Backend {
                send: Arc::new(move |call| {
                    let body = serde_json::from_slice(&call.body).unwrap();
                    bodies.lock().unwrap().push(body);
                    Box::pin(async {
                        let body = stream::empty().boxed();
                        Ok(backend::Response { status: 200, body })
                    })
                }),
            },
        });
        self.agents.lock().unwrap().push((address, agent.clone()));
        agent.start();
        agent
    }

    /// Publishes a configuration with one engine pool, `p`.
    pub fn publish(&self, min_serving: u32) {
        let mut set = object_set::ObjectSet::default();
        let pool = pool::Pool {
            name: "p".into(),
            services: vec!["s".into()],
            kind: pool::PoolKind::Engine,
            checks_fencing: false,
            min_serving,
            models: vec!["m".to_owned()],
        };
        set.pools.insert(pool.name.clone(), pool);
        smol::block_on(ctl::publish_set(&self.platform.store(), &set, None)).unwrap();
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "waited {WAIT_TIMEOUT:?} for {what}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
