//! The router: takes requests from callers and pays for them from prepaid budgets.

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use crate::{
    coordination::{escrow, roster},
    error,
    protocol::fleet_capnp,
    settings,
    state::{config, member},
    transport::{admin, fleet_link, links, store, timers, workers},
};

mod billing;
mod exchange;
mod follow;
mod front;
mod request;
mod service;

/// Everything that the parts of a router share.
///
/// Lock order: `config`, then `roster`, then the locks of `escrow`.
pub struct Router {
    /// Checked settings.
    pub settings: settings::Settings,
    /// This router.
    pub member: member::Member,
    /// Clock.
    pub timers: timers::Timers,
    config: RwLock<Arc<follow::InForce>>,
    roster: Mutex<roster::Roster>,
    escrow: escrow::Escrow,
    billing: billing::Billing,
    store: store::Store,
    links: links::Links,
    in_flight: AtomicU32,
    leaving: AtomicBool,
}

impl Router {
    fn new(settings: settings::Settings, address: &str, links: links::Links) -> Self {
        let member = member::Member {
            name: settings.name.clone(),
            incarnation: fastrand::u64(1..),
            address: address.into(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        Self {
            store: store::Store::new(&settings.store),
            settings,
            member,
            timers: timers::Timers::default(),
            config: RwLock::default(),
            roster: Mutex::default(),
            escrow: escrow::Escrow::default(),
            billing: billing::Billing::default(),
            links,
            in_flight: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<follow::InForce> {
        self.config.read().unwrap().clone()
    }

    fn readiness(&self) -> Option<String> {
        if self.leaving.load(Ordering::Relaxed) {
            return Some("leaving".to_owned());
        }
        let config: &config::Config = &self.config().config;
        (config.version == 0).then(|| "no configuration has been read yet".to_owned())
    }

    fn status(&self) -> String {
        serde_json::json!({
            "member": self.member,
            "config": self.config().config.version,
            "in_flight": self.in_flight.load(Ordering::Relaxed),
            "agents": self.roster.lock().unwrap().all().map(|agent| &*agent.member.name).collect::<Vec<_>>(),
        })
        .to_string()
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
    let callers = TcpListener::bind(settings.listen)?;
    let fleet = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address = fleet.local_addr()?.to_string();
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let links = links::Links::new(workers.clone(), key.clone());
    let drain_limit = settings.drain;
    let router = Arc::new(Router::new(settings, &address, links));

    let (ready, page) = (router.clone(), router.clone());
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || ready.readiness()),
        Arc::new(move |path| (path == "/status").then(|| page.status())),
    )?;
    let offered = router.clone();
    let offer = move |_: &workers::Local| {
        let service = service::Service::new(offered.clone());
        let client: fleet_capnp::router::Client = capnp_rpc::new_client(service);
        client.client
    };
    let listener = fleet_link::adopt(fleet)?;
    let accepting = smol::spawn(fleet_link::serve(listener, key, workers, offer));
    follow::start(router.clone());
    billing::start(router.clone());
    let front = front::start(router.clone(), callers)?;
    tracing::info!("router: {} takes requests.", router.member.name);

    stop.await;
    tracing::info!("router: leaving.");
    router.leaving.store(true, Ordering::Relaxed);
    let idle = async {
        while router.in_flight.load(Ordering::Relaxed) > 0 {
            router.timers.sleep(Duration::from_millis(50)).await;
        }
    };
    timers::within(drain_limit, idle).await;
    front.shut_down().await;
    billing::flush(&router).await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
