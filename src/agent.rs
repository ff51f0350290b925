//! The agent: runs requests on its backend server, and issues receipts for the tokens they use.

use std::{
    net::TcpListener,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{
    coordination::receipt_log,
    error,
    protocol::run,
    settings,
    state::{member, name},
    transport::{admin, agent_rpc, backend, dialler, fleet, fleet_link, runtime, vms, workers},
};

mod admission;
mod answers;
mod attempt;
mod calls;
mod crashes;
mod fences;
mod heartbeats;
mod orders;
pub mod usage;

/// Interval at which a draining agent checks whether requests are still active.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before the process ends, so that the last outcomes still reach their routers.
const EXIT_DELAY: Duration = Duration::from_secs(1);

/// Interval between searches for abandoned requests and expired answers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The services and settings that an agent is built from.
pub struct Dependencies {
    /// Checked settings.
    pub settings: settings::Settings,
    /// `IP:port` of the fleet listener.
    pub address: name::Name,
    /// Clock, tasks and random numbers.
    pub runtime: runtime::Runtime,
    /// Calls to other members.
    pub fleet: fleet::Fleet,
    /// List of VMs.
    pub vms: vms::Vms,
    /// Calls to the backend server.
    pub backend: backend::Backend,
}

/// State that the modules of an agent share.
pub struct Agent {
    /// Checked settings.
    pub settings: settings::Settings,
    /// Name, incarnation, address and location of this agent.
    pub member: member::Member,
    runtime: runtime::Runtime,
    fleet: fleet::Fleet,
    vms: vms::Vms,
    backend: backend::Backend,
    receipts: Mutex<receipt_log::ReceiptLog>,
    /// Newest configuration version that a router has named.
    config_version: AtomicU64,
    /// Revision of the newest set of fenced holders that this agent has applied.
    fence_revision: AtomicU64,
    admission: admission::Admission,
    answers: answers::Answers,
    crashes: crashes::Crashes,
    draining: AtomicBool,
    orders: orders::Orders,
}

impl Agent {
    /// Builds an agent; [`start`](Self::start) starts its background tasks.
    pub fn new(deps: Dependencies) -> Arc<Self> {
        let settings = deps.settings;
        let member = member::Member {
            name: settings.name.clone(),
            incarnation: (deps.runtime.random)().max(1),
            address: deps.address,
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        Arc::new(Self {
            admission: admission::Admission::new(settings.slots),
            answers: answers::Answers::default(),
            crashes: crashes::Crashes::default(),
            settings,
            member,
            runtime: deps.runtime,
            fleet: deps.fleet,
            vms: deps.vms,
            backend: deps.backend,
            receipts: Mutex::default(),
            config_version: AtomicU64::new(0),
            fence_revision: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            orders: orders::Orders::default(),
        })
    }

    /// Starts the background tasks.
    pub fn start(self: &Arc<Self>) {
        heartbeats::start(self.clone());
        self.start_sweep();
    }

    /// Starts the task that regularly cancels abandoned requests and drops expired answers.
    fn start_sweep(self: &Arc<Self>) {
        let agent = self.clone();
        self.runtime.spawn(async move {
            let ticks = agent.runtime.every(SWEEP_INTERVAL);
            while let Ok(now) = ticks.recv().await {
                agent.answers.sweep(now);
            }
        });
    }

    /// Runs one attempt and sends the chunks of its answer to `tx`.
    ///
    /// When `tx` is closed or the future is dropped, the attempt continues for a grace period, so
    /// that a router can come back for the answer.
    pub async fn run(
        self: &Arc<Self>,
        req: run::RunRequest,
        tx: async_channel::Sender<Vec<u8>>,
    ) -> run::RunOutcome {
        self.receipts
            .lock()
            .unwrap()
            .acknowledge(req.holder, req.acked);
        attempt::run(self, req, &tx).await
    }

    /// Number of requests that hold a slot of the backend server.
    pub fn running(&self) -> u32 {
        self.admission.counts().0
    }

    /// Number of requests that run or wait, or whose answer is being read.
    pub fn active_requests(&self) -> usize {
        self.answers.with_kept(|kept| kept.active())
    }

    /// Whether a request runs or waits at this agent.
    pub fn is_running(&self, id: &str) -> bool {
        self.answers.with_kept(|kept| kept.is_running(id))
    }

    /// Whether the agent refuses new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Makes the agent refuse new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Why the agent is not ready for requests; `None` when it is ready.
    fn readiness(&self) -> Option<String> {
        self.is_draining().then(|| "draining".to_owned())
    }

    fn handlers(self: &Arc<Self>) -> agent_rpc::Handlers {
        let [for_run, for_resume, for_call] = [self.clone(), self.clone(), self.clone()];
        agent_rpc::Handlers {
            run: Arc::new(move |req, tx| {
                let agent = for_run.clone();
                Box::pin(async move { agent.run(req, tx).await })
            }),
            resume: Arc::new(move |resume, tx| {
                let agent = for_resume.clone();
                Box::pin(async move { agent.resume(resume, tx).await })
            }),
            call: Arc::new(move |call| {
                let agent = for_call.clone();
                Box::pin(async move { agent.handle(call).await })
            }),
        }
    }
}

/// Runs an agent until `stop` completes, then drains it.
///
/// # Errors
///
/// [`error::Error::Io`] when a listener cannot be bound.
pub async fn run(
    settings: settings::Settings,
    stop: impl Future<Output = ()>,
) -> Result<(), error::Error> {
    let recorder = admin::install_recorder()?;
    let listener = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address: name::Name = listener.local_addr()?.to_string().into();
    let admin_address = admin_listener.local_addr()?;
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let runtime = runtime::Runtime::default();
    let dialler = dialler::Dialler::new(workers.clone(), key.clone(), runtime.timers.clone());
    let agent = Agent::new(Dependencies {
        address,
        fleet: fleet::Fleet::over_rpc(&dialler),
        vms: vms::Vms::over_http(&settings.vms),
        backend: backend::Backend::over_http(&settings.backend),
        runtime,
        settings,
    });

    let for_readiness = agent.clone();
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || for_readiness.readiness()),
        Arc::new(|_| None),
    )?;
    let handlers = agent.handlers();
    let offer = move |_: &workers::WorkerExecutor| {
        agent_rpc::bootstrap_client(agent_rpc::Server::new(handlers.clone()))
    };
    let listener = fleet_link::into_async_listener(listener)?;
    let accepting = smol::spawn(fleet_link::serve(listener, key, workers, offer));
    agent.start();
    println!(
        "Listening: fleet {}, admin {admin_address}.",
        agent.member.address
    );
    tracing::info!(
        "agent: {} serves {}.",
        agent.member.name,
        agent.settings.service
    );

    stop.await;
    tracing::info!("agent: stop requested, draining.");
    agent.drain();
    let timers = &agent.runtime.timers;
    let idle = async {
        while agent.active_requests() > 0 {
            timers.sleep(DRAIN_POLL_INTERVAL).await;
        }
        timers.sleep(EXIT_DELAY).await;
    };
    timers.within(agent.settings.drain_timeout, idle).await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
