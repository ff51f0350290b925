//! The router: accepts requests from callers, places them on backend servers and pays for them
//! from prepaid budgets.

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use metrics::counter;

use crate::{
    code,
    coordination::{crashes, ejection, escrow, membership, memory::plan, retry, roster},
    error,
    protocol::fleet_capnp,
    settings,
    state::{fences, member, name},
    transport::{admin, dialler, fleet, fleet_link, router_rpc, runtime, store, vms, workers},
};

mod attempt_reader;
mod billing;
mod body_reading;
mod caller_conn;
mod calls;
mod claims;
mod closing;
pub mod config_sync;
pub mod dispatch;
mod draw;
mod fencing;
mod front;
mod gossip;
mod lost_attempts;
pub mod memory;
mod orders;
mod queue;
pub mod raw_request;
mod record_writer;
mod recovery;
mod refill;
mod registry;
mod repeat;
pub mod request;
mod target;
mod vm_discovery;

/// Interval at which a draining router checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the gauges of memory and connections are updated.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// The services and settings that a router is built from.
pub struct Dependencies {
    /// Checked settings.
    pub settings: settings::Settings,
    /// `IP:port` of the fleet listener.
    pub address: name::Name,
    /// Clock, tasks and random numbers.
    pub runtime: runtime::Runtime,
    /// Calls to other members.
    pub fleet: fleet::Fleet,
    /// Key-value service.
    pub store: store::Store,
    /// List of VMs.
    pub vms: vms::Vms,
}

/// State that the modules of a router share.
///
/// Code that holds several of these locks acquires them in this order, to avoid deadlocks:
/// `config`, `roster`, `ejection`, `crashes`, `retries`, `peers`, `fences`, then the locks inside
/// `escrow`.
pub struct Router {
    /// Checked settings.
    pub settings: settings::Settings,
    /// Name, incarnation, address and location of this router.
    pub member: member::Member,
    runtime: runtime::Runtime,
    fleet: fleet::Fleet,
    store: store::Store,
    vms: vms::Vms,
    config: RwLock<Arc<config_sync::ActiveConfig>>,
    roster: Mutex<roster::Roster>,
    peers: Mutex<Vec<name::Name>>,
    listed: Mutex<membership::ListedVms>,
    fences: Mutex<fences::Fences>,
    escrow: escrow::Escrow,
    billing: billing::Billing,
    config_sync: config_sync::ConfigSync,
    gossip: gossip::Gossip,
    claims: claims::Claims,
    crashes: Mutex<crashes::Crashes>,
    ejection: Mutex<ejection::Ejection>,
    retries: Mutex<retry::RetryBudgets>,
    registry: registry::Registry,
    lost_attempts: lost_attempts::LostAttempts,
    recovery: recovery::Recovery,
    queues: queue::Queues,
    memory: Arc<memory::Memory>,
    callers: Arc<caller_conn::CallerConns>,
    in_flight: AtomicU32,
    draining: AtomicBool,
}

impl Router {
    /// Builds a router; [`start`](Self::start) starts its background tasks.
    pub fn new(deps: Dependencies) -> Arc<Self> {
        let settings = deps.settings;
        let member = member::Member {
            name: settings.name.clone(),
            incarnation: (deps.runtime.random)().max(1),
            address: deps.address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let plan = plan::divide(settings.memory_bytes, settings.max_fds);
        let timers = &deps.runtime.timers;
        Arc::new(Self {
            memory: memory::Memory::new(plan.account_bytes, timers.clone()),
            callers: caller_conn::CallerConns::new(plan.callers, timers.clone()),
            settings,
            member,
            runtime: deps.runtime,
            fleet: deps.fleet,
            store: deps.store,
            vms: deps.vms,
            config: RwLock::default(),
            roster: Mutex::default(),
            peers: Mutex::default(),
            listed: Mutex::default(),
            fences: Mutex::default(),
            escrow: escrow::Escrow::default(),
            billing: billing::Billing::default(),
            config_sync: config_sync::ConfigSync::default(),
            gossip: gossip::Gossip::default(),
            claims: claims::Claims::default(),
            crashes: Mutex::default(),
            ejection: Mutex::default(),
            retries: Mutex::default(),
            registry: registry::Registry::default(),
            lost_attempts: lost_attempts::LostAttempts::default(),
            recovery: recovery::Recovery::default(),
            queues: queue::Queues::default(),
            in_flight: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        })
    }

    /// Starts the background tasks.
    pub fn start(self: &Arc<Self>) {
        config_sync::start(self.clone());
        billing::start(self.clone());
        registry::start(self.clone());
        lost_attempts::start(self.clone());
        recovery::start(self.clone());
        vm_discovery::start(self.clone());
        gossip::start(self.clone());
        orders::start(self.clone());
    }

    /// The configuration that this router applies now.
    pub fn config(&self) -> Arc<config_sync::ActiveConfig> {
        self.config.read().unwrap().clone()
    }

    /// Why the router is not ready for requests; `None` when it is ready.
    pub fn readiness(&self) -> Option<String> {
        if self.draining.load(Ordering::Relaxed) {
            return Some("leaving".to_owned());
        }
        if self.billing.is_fenced() {
            return Some("fenced: other routers settle its tokens".to_owned());
        }
        config_sync::readiness(self)
    }

    /// Status as JSON, for the admin listener and for calls from other members.
    pub fn status(&self) -> String {
        let versions = gossip::agent_config_versions(self);
        let roster = self.roster.lock().unwrap();
        let registered = roster
            .all()
            .filter(|agent| self.registry.is_registered(agent.member.incarnation));
        let agents: Vec<_> = registered.map(|agent| &agent.member.name).collect();
        serde_json::json!({
            "member": self.member,
            "config": self.config().config.version,
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "agents": agents,
            "peers": *self.peers.lock().unwrap(),
            "versions": versions,
            "watches": gossip::is_store_watcher(self),
            "live": gossip::live_routers(self).len(),
        })
        .to_string()
    }

    /// Waits for the requests in flight, then settles and closes this router's own record. Each of
    /// the two steps may take as long as the drain time in the settings.
    ///
    /// Afterwards the router pays for no more requests, unless some are still in flight. Other
    /// routers settle what this one could not.
    pub async fn drain_and_settle(&self) {
        let limit = self.settings.drain_timeout;
        self.drain().await;
        let timers = &self.runtime.timers;
        if timers
            .within(limit, billing::settle_and_close(self))
            .await
            .is_none()
        {
            tracing::warn!(
                "router: settling took longer than the drain time; other routers settle the rest."
            );
        }
    }

    /// Marks the router as draining and waits until no request is in flight, for at most the drain
    /// time in the settings.
    async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let timers = &self.runtime.timers;
        let idle = async {
            while self.in_flight.load(Ordering::Relaxed) > 0 {
                timers.sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        timers.within(self.settings.drain_timeout, idle).await;
    }
}

/// Registers the counter of every refusal code and retry reason with the value zero, so that all
/// of them are exported before the first refusal or retry.
fn register_counters() {
    for code in code::Code::ALL {
        counter!("fulmar_refusals", "code" => code.to_string()).absolute(0);
        if retry::is_retryable(code) {
            counter!("fulmar_retries", "reason" => code.to_string()).absolute(0);
        }
    }
}

/// Updates the gauges of memory and connections at intervals.
fn start_gauges(router: &Arc<Router>) {
    let router = router.clone();
    let ticks = router.runtime.every(GAUGE_INTERVAL);
    smol::spawn(async move {
        while ticks.recv().await.is_ok() {
            router.memory.update_gauges();
            router.callers.update_gauges();
        }
    })
    .detach();
}

/// Runs a router until `stop` completes, then drains it and settles its budgets.
///
/// # Errors
///
/// [`error::Error::Io`] when a listener cannot be bound.
pub async fn run(
    settings: settings::Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), error::Error> {
    let recorder = admin::install_recorder()?;
    register_counters();
    let callers = front::bind(settings.listen)?;
    let listener = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address: name::Name = listener.local_addr()?.to_string().into();
    let (callers_address, admin_address) = (callers.local_addr()?, admin_listener.local_addr()?);
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let runtime = runtime::Runtime::default();
    let dialler = dialler::Dialler::new(workers.clone(), key.clone(), runtime.timers.clone());
    let router = Router::new(Dependencies {
        address,
        fleet: fleet::Fleet::over_rpc(&dialler),
        store: store::Store::over_http(&settings.store),
        vms: vms::Vms::over_http(&settings.vms),
        runtime,
        settings,
    });

    let (for_readiness, for_status) = (router.clone(), router.clone());
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || for_readiness.readiness()),
        Arc::new(move |path| (path == "/status").then(|| for_status.status())),
    )?;
    let for_calls = router.clone();
    let handler: router_rpc::Handler = Arc::new(move |call| {
        let router = for_calls.clone();
        Box::pin(async move { router.handle(call).await })
    });
    let offer = move |_: &workers::WorkerExecutor| {
        let server = router_rpc::Server::new(handler.clone());
        let client: fleet_capnp::router::Client = capnp_rpc::new_client(server);
        client.client
    };
    let listener = fleet_link::into_async_listener(listener)?;
    let accepting = smol::spawn(fleet_link::serve(listener, key, workers, offer));
    router.start();
    start_gauges(&router);
    let front = front::start(&router, callers);
    println!(
        "Listening: callers {callers_address}, fleet {}, admin {admin_address}.",
        router.member.address
    );
    tracing::info!("router: {} accepts requests.", router.member.name);

    stop.await;
    tracing::info!("router: stop requested, draining.");
    router.draining.store(true, Ordering::Relaxed);
    let closing = front.shut_down();
    let drain = router.settings.drain_timeout;
    router.drain().await;
    router.runtime.timers.within(drain, closing).await;
    router.drain_and_settle().await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
