//! The router: takes requests from callers and pays for them from prepaid budgets.

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
    coordination::{crashes, ejection, escrow, membership, retry, roster},
    error,
    protocol::fleet_capnp,
    settings,
    state::{fences, member, name},
    transport::{admin, dialler, fleet, fleet_link, router_rpc, runtime, store, vms, workers},
};

pub mod ask;
mod billing;
mod calls;
mod claims;
mod closing;
pub mod config_sync;
mod draw;
pub mod exchange;
mod fencing;
mod front;
mod gossip;
mod lost_attempts;
mod orders;
mod pull;
mod queue;
mod record_writer;
mod recovery;
mod refill;
mod registry;
mod repeat;
pub mod request;
mod target;
mod vm_discovery;

const IDLE_POLL: Duration = Duration::from_millis(50);

/// What a router is made of.
pub struct Parts {
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

/// Everything that the parts of a router share.
///
/// Lock order: `config`, `roster`, `ejection`, `crashes`, `retries`, `peers`, `fences`, then the locks of `escrow`.
pub struct Router {
    /// Checked settings.
    pub settings: settings::Settings,
    /// This router.
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
    in_flight: AtomicU32,
    leaving: AtomicBool,
}

impl Router {
    /// Puts a router together; [`start`](Self::start) begins its work.
    pub fn new(parts: Parts) -> Arc<Self> {
        let settings = parts.settings;
        let member = member::Member {
            name: settings.name.clone(),
            incarnation: (parts.runtime.random)().max(1),
            address: parts.address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        Arc::new(Self {
            settings,
            member,
            runtime: parts.runtime,
            fleet: parts.fleet,
            store: parts.store,
            vms: parts.vms,
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
            leaving: AtomicBool::new(false),
        })
    }

    /// Starts the parts that work by themselves.
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

    /// Configuration in force.
    pub fn config(&self) -> Arc<config_sync::ActiveConfig> {
        self.config.read().unwrap().clone()
    }

    /// Tells why the router is not ready; `None` when it is.
    pub fn readiness(&self) -> Option<String> {
        if self.leaving.load(Ordering::Relaxed) {
            return Some("leaving".to_owned());
        }
        if self.billing.is_fenced() {
            return Some("fenced: other routers settle its tokens".to_owned());
        }
        config_sync::readiness(self)
    }

    /// A summary as JSON.
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

    /// Finishes what is in flight, settles and closes the own record, up to the limit of the
    /// settings for each.
    ///
    /// Afterwards the router pays for no request any more, unless some are still in flight. What
    /// it could not settle, other routers do.
    pub async fn leave(&self) {
        let limit = self.settings.drain;
        self.finish().await;
        let timers = &self.runtime.timers;
        if timers
            .within(limit, billing::settle_and_close(self))
            .await
            .is_none()
        {
            tracing::warn!("router: other routers settle what is left.");
        }
    }

    /// Waits until nothing is in flight, up to the limit of the settings.
    async fn finish(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        let timers = &self.runtime.timers;
        let idle = async {
            while self.in_flight.load(Ordering::Relaxed) > 0 {
                timers.sleep(IDLE_POLL).await;
            }
        };
        timers.within(self.settings.drain, idle).await;
    }
}

/// Makes the counters of every refusal and retry reason exist from the start.
fn register_counters() {
    for code in code::Code::ALL {
        counter!("fulmar_refusals", "code" => code.to_string()).absolute(0);
        if retry::is_retryable(code) {
            counter!("fulmar_retries", "reason" => code.to_string()).absolute(0);
        }
    }
}

/// Runs a router until `stop` ends, then finishes what is in flight.
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
    let callers = TcpListener::bind(settings.listen)?;
    let listener = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address: name::Name = listener.local_addr()?.to_string().into();
    let (callers_at, admin_at) = (callers.local_addr()?, admin_listener.local_addr()?);
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let runtime = runtime::Runtime::default();
    let dialler = dialler::Dialler::new(workers.clone(), key.clone(), runtime.timers.clone());
    let router = Router::new(Parts {
        address,
        fleet: fleet::Fleet::over_rpc(&dialler),
        store: store::Store::over_http(&settings.store),
        vms: vms::Vms::over_http(&settings.vms),
        runtime,
        settings,
    });

    let (ready, page) = (router.clone(), router.clone());
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || ready.readiness()),
        Arc::new(move |path| (path == "/status").then(|| page.status())),
    )?;
    let served = router.clone();
    let handler: router_rpc::Handler = Arc::new(move |call| {
        let router = served.clone();
        Box::pin(async move { router.handle(call).await })
    });
    let offer = move |_: &workers::Local| {
        let server = router_rpc::Server::new(handler.clone());
        let client: fleet_capnp::router::Client = capnp_rpc::new_client(server);
        client.client
    };
    let listener = fleet_link::adopt(listener)?;
    let accepting = smol::spawn(fleet_link::serve(listener, key, workers, offer));
    router.start();
    let front = front::start(router.clone(), callers)?;
    println!(
        "Listening: callers {callers_at}, fleet {}, admin {admin_at}.",
        router.member.address
    );
    tracing::info!("router: {} takes requests.", router.member.name);

    stop.await;
    tracing::info!("router: leaving.");
    router.leaving.store(true, Ordering::Relaxed);
    let closing = front.shut_down();
    let drain = router.settings.drain;
    router.finish().await;
    router.runtime.timers.within(drain, closing).await;
    router.leave().await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
