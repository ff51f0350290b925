//! The agent: runs requests at the backend server beside it.

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
mod beats;
mod calls;
mod crashes;
mod fences;
mod orders;
pub mod usage;

const IDLE_POLL: Duration = Duration::from_millis(50);

/// Time for the last outcomes to reach their routers before the process ends.
const LINGER: Duration = Duration::from_secs(1);

const SWEEP_PERIOD: Duration = Duration::from_millis(500);

/// What an agent is made of.
pub struct Parts {
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

/// Everything that the parts of an agent share.
pub struct Agent {
    /// Checked settings.
    pub settings: settings::Settings,
    /// This agent.
    pub member: member::Member,
    runtime: runtime::Runtime,
    fleet: fleet::Fleet,
    vms: vms::Vms,
    backend: backend::Backend,
    receipts: Mutex<receipt_log::ReceiptLog>,
    config: AtomicU64,
    fences: AtomicU64,
    admission: admission::Admission,
    answers: answers::Answers,
    crashes: crashes::Crashes,
    draining: AtomicBool,
    orders: orders::Orders,
}

impl Agent {
    /// Puts an agent together; [`start`](Self::start) begins its heartbeats.
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
            admission: admission::Admission::new(settings.slots),
            answers: answers::Answers::default(),
            crashes: crashes::Crashes::default(),
            settings,
            member,
            runtime: parts.runtime,
            fleet: parts.fleet,
            vms: parts.vms,
            backend: parts.backend,
            receipts: Mutex::default(),
            config: AtomicU64::new(0),
            fences: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            orders: orders::Orders::default(),
        })
    }

    /// Starts the parts that work by themselves.
    pub fn start(self: &Arc<Self>) {
        beats::start(self.clone());
        self.sweep();
    }

    /// Cancels, from time to time, what runs for nobody.
    fn sweep(self: &Arc<Self>) {
        let agent = self.clone();
        self.runtime.spawn(async move {
            let ticks = agent.runtime.every(SWEEP_PERIOD);
            while let Ok(now) = ticks.recv().await {
                agent.answers.sweep(now);
            }
        });
    }

    /// Runs one attempt; parts of the answer go to `tx`.
    ///
    /// The attempt runs on for a grace period when `tx` is closed or the future is dropped.
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

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.admission.counts().0
    }

    /// Requests that run, wait, or are being read.
    pub fn active(&self) -> usize {
        self.answers.with(|kept| kept.active())
    }

    /// Whether a request runs or waits here.
    pub fn runs(&self, id: &str) -> bool {
        self.answers.with(|kept| kept.is_running(id))
    }

    /// Whether the agent takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

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
    let listener = TcpListener::bind(settings.fleet_listen)?;
    let admin_listener = TcpListener::bind(settings.admin_listen)?;
    let address: name::Name = listener.local_addr()?.to_string().into();
    let admin_at = admin_listener.local_addr()?;
    let workers = workers::Workers::start("fleet", settings.workers)?;
    let key: fleet_link::FleetKey = settings.fleet_key.clone().into();
    let runtime = runtime::Runtime::default();
    let dialler = dialler::Dialler::new(workers.clone(), key.clone(), runtime.timers.clone());
    let agent = Agent::new(Parts {
        address,
        fleet: fleet::Fleet::over_rpc(&dialler),
        vms: vms::Vms::over_http(&settings.vms),
        backend: backend::Backend::over_http(&settings.backend),
        runtime,
        settings,
    });

    let ready = agent.clone();
    let admin = admin::start(
        admin_listener,
        recorder,
        Arc::new(move || ready.readiness()),
        Arc::new(|_| None),
    )?;
    let handlers = agent.handlers();
    let offer =
        move |_: &workers::Local| agent_rpc::offer(agent_rpc::Server::new(handlers.clone()));
    let listener = fleet_link::adopt(listener)?;
    let accepting = smol::spawn(fleet_link::serve(listener, key, workers, offer));
    agent.start();
    println!(
        "Listening: fleet {}, admin {admin_at}.",
        agent.member.address
    );
    tracing::info!(
        "agent: {} serves {}.",
        agent.member.name,
        agent.settings.service
    );

    stop.await;
    tracing::info!("agent: leaving.");
    agent.drain();
    let timers = &agent.runtime.timers;
    let idle = async {
        while agent.active() > 0 {
            timers.sleep(IDLE_POLL).await;
        }
        timers.sleep(LINGER).await;
    };
    timers.within(agent.settings.drain_timeout, idle).await;
    drop(accepting);
    admin.shut_down().await;
    Ok(())
}
