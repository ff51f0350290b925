//! The agent: runs requests at the backend server beside it.

use std::{
    collections::HashSet,
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use trillium_client::Client;

use crate::{
    coordination::receipt_log,
    error,
    protocol::fleet_capnp,
    settings,
    state::member,
    transport::{admin, fleet_link, http, timers, vms, workers},
};

mod backend;
mod beats;
mod service;
mod usage;

/// Everything that the parts of an agent share.
pub struct Agent {
    /// Checked settings.
    pub settings: settings::Settings,
    /// This agent.
    pub member: member::Member,
    /// Clock.
    pub timers: timers::Timers,
    client: Client,
    receipts: Mutex<receipt_log::ReceiptLog>,
    fenced: Mutex<HashSet<member::Incarnation>>,
    config: AtomicU64,
    running: AtomicU32,
    draining: AtomicBool,
}

impl Agent {
    fn new(settings: settings::Settings, address: &str) -> Self {
        let member = member::Member {
            name: settings.name.clone(),
            incarnation: fastrand::u64(1..),
            address: address.into(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        Self {
            settings,
            member,
            timers: timers::Timers::default(),
            client: http::streaming_client(),
            receipts: Mutex::default(),
            fenced: Mutex::default(),
            config: AtomicU64::new(0),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Whether the agent takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn readiness(&self) -> Option<String> {
        self.is_draining().then(|| "draining".to_owned())
    }
}

/// Runs an agent until `stop` ends, then finishes what is in flight.
///
/// # Errors
///
/// [`error::Error::Io`] when a listener cannot be bound.
pub async fn run(
    settings: settings::Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), error::Error> {
    let recorder = admin::install_recorder()?;
    let fleet = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address = fleet.local_addr()?.to_string();
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let drain_limit = settings.drain;
    let agent = Arc::new(Agent::new(settings, &address));

    let ready = agent.clone();
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || ready.readiness()),
        Arc::new(|_| None),
    )?;
    let offered = agent.clone();
    let offer = move |_: &workers::Local| {
        let service = service::Service::new(offered.clone());
        let client: fleet_capnp::agent::Client = capnp_rpc::new_client(service);
        client.client
    };
    let listener = fleet_link::adopt(fleet)?;
    let accepting = smol::spawn(fleet_link::serve(
        listener,
        key.clone(),
        workers.clone(),
        offer,
    ));
    let list = vms::Vms::new(&agent.settings.vms);
    beats::start(agent.clone(), list, key, workers);
    tracing::info!(
        "agent: {} serves {}.",
        agent.member.name,
        agent.settings.service
    );

    stop.await;
    tracing::info!("agent: leaving.");
    agent.drain();
    let idle = async {
        while agent.running() > 0 {
            agent.timers.sleep(Duration::from_millis(50)).await;
        }
    };
    timers::within(drain_limit, idle).await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
