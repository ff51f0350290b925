//! Routers and agents of a scenario, and the calls between them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::{
    agent,
    code::Code,
    error,
    protocol::run,
    router, settings,
    state::{member, name},
    transport::fleet,
};
use futures::future::BoxFuture;

use super::{clock, engine, faults, links, platform};

/// What runs on a VM.
#[derive(Clone)]
pub enum Process {
    /// A router.
    Router(Arc<router::Router>),
    /// An agent with its engine.
    Agent(Arc<agent::Agent>, engine::Engine),
}

/// A running process.
#[derive(Clone)]
pub struct Running {
    /// The process.
    pub process: Process,
    /// Owner of its tasks.
    pub owner: clock::Owner,
}

/// An attempt that a router sent to an agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Request id.
    pub id: String,
    /// VM of the router.
    pub from: String,
    /// VM of the agent.
    pub to: String,
    /// Incarnation of the agent that was meant.
    pub agent: member::Incarnation,
    /// Holder that pays.
    pub holder: member::Incarnation,
    /// Budget that pays.
    pub budget: String,
    /// Tokens reserved.
    pub bound: u64,
    /// Time of the dispatch.
    pub at: Duration,
}

/// What the members share.
#[derive(Clone)]
pub struct Members {
    /// Clock.
    pub clock: clock::Clock,
    /// Network.
    pub links: links::Links,
    /// Platform.
    pub platform: platform::Platform,
    /// Wrong behaviours.
    pub faults: faults::Faults,
    running: Arc<Mutex<BTreeMap<String, Running>>>,
    /// Engines of all agent incarnations ever, by VM.
    pub engines: Arc<Mutex<BTreeMap<member::Incarnation, (String, engine::Engine)>>>,
    /// Every attempt ever dispatched.
    pub dispatches: Arc<Mutex<Vec<Dispatch>>>,
    mixed: Arc<Mutex<Option<Vec<u8>>>>,
}

/// Settings of a process, read as a daemon reads them.
pub fn settings(role: &str, vm: &str, zone: &str, service: &str, slots: u32) -> settings::Settings {
    let region = zone.rsplit_once('-').map_or(zone, |(region, _)| region);
    let key_file = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    let slots = slots.to_string();
    let mut flags = vec![
        ("name", vm),
        ("region", region),
        ("zone", zone),
        ("vms", "http://platform/vms"),
        ("fleet-key-file", key_file),
    ];
    if role == "router" {
        flags.push(("store", "http://platform"));
    } else {
        flags.extend([("service", service), ("backend", "http://engine")]);
        flags.push(("slots", &slots));
    }
    let flags = flags
        .iter()
        .map(|(flag, value)| format!("--{flag}={value}"));
    let args: Vec<_> = [role.to_owned()].into_iter().chain(flags).collect();
    match settings::parse(&args, &|_| None) {
        Ok(settings::Command::Run(settings)) => *settings,
        other => panic!("settings of {vm}: {other:?}"),
    }
}

impl Members {
    /// Makes an empty fleet.
    pub fn new(
        clock: clock::Clock,
        links: links::Links,
        platform: platform::Platform,
        faults: faults::Faults,
    ) -> Self {
        Self {
            clock,
            links,
            platform,
            faults,
            running: Arc::default(),
            engines: Arc::default(),
            dispatches: Arc::default(),
            mixed: Arc::default(),
        }
    }

    /// The process that runs on a VM.
    pub fn find(&self, vm: &str) -> Option<Running> {
        self.running.lock().unwrap().get(vm).cloned()
    }

    /// The router on a VM.
    pub fn router(&self, vm: &str) -> Option<Arc<router::Router>> {
        match self.find(vm)?.process {
            Process::Router(router) => Some(router),
            Process::Agent(..) => None,
        }
    }

    /// The agent on a VM.
    pub fn agent(&self, vm: &str) -> Option<Arc<agent::Agent>> {
        match self.find(vm)?.process {
            Process::Agent(agent, _) => Some(agent),
            Process::Router(_) => None,
        }
    }

    /// All running processes, by VM.
    pub fn all(&self) -> BTreeMap<String, Running> {
        self.running.lock().unwrap().clone()
    }

    /// Puts a process on a VM.
    pub fn place(&self, vm: &str, running: Running) {
        self.running.lock().unwrap().insert(vm.to_owned(), running);
    }

    /// Ends the process on a VM with all that it runs.
    pub fn kill(&self, vm: &str) {
        let running = self.running.lock().unwrap().remove(vm);
        if let Some(running) = running {
            self.clock.end(running.owner);
        }
    }

    /// Calls to other members as a VM makes them.
    pub fn fleet(&self, vm: &str, owner: clock::Owner) -> fleet::Fleet {
        let [for_run, for_resume] = [self.clone(), self.clone()];
        let [for_agent, for_router] = [self.clone(), self.clone()];
        let names: [Arc<str>; 4] = std::array::from_fn(|_| vm.into());
        let [runs, resumes, calls_agent, calls_router] = names;
        fleet::Fleet {
            run: Arc::new(move |address, req| for_run.run(&runs, owner, &address, req)),
            resume: Arc::new(move |address, resume| {
                let far = links::vm_of(&address);
                let members = for_resume.clone();
                let serve = move |agent: Arc<agent::Agent>, tx| {
                    let resume = resume.clone();
                    let work: BoxFuture<'static, _> =
                        Box::pin(async move { agent.resume(resume, tx).await });
                    work
                };
                members.attempt(&resumes, owner, far, serve)
            }),
            agent: Arc::new(move |address, call| {
                let (members, vm) = (for_agent.clone(), calls_agent.clone());
                let serve = move |running: Running| {
                    let call = call.clone();
                    let work: BoxFuture<'static, _> = Box::pin(async move {
                        match running.process {
                            Process::Agent(agent, _) => Some(agent.handle(call).await),
                            Process::Router(_) => None,
                        }
                    });
                    work
                };
                Box::pin(async move { members.call(&vm, &address, serve).await })
            }),
            router: Arc::new(move |address, call| {
                let (members, vm) = (for_router.clone(), calls_router.clone());
                let serve = move |running: Running| {
                    let call = call.clone();
                    let work: BoxFuture<'static, _> = Box::pin(async move {
                        match running.process {
                            Process::Router(router) => router.handle(call).await,
                            Process::Agent(..) => None,
                        }
                    });
                    work
                };
                Box::pin(async move { members.call(&vm, &address, serve).await })
            }),
        }
    }

    async fn call<A: Send + 'static>(
        &self,
        from: &str,
        address: &name::Name,
        serve: impl Fn(Running) -> BoxFuture<'static, Option<A>>,
    ) -> Result<A, error::Error> {
        let to = links::vm_of(address);
        let lost = || error::Error::Rpc(capnp::Error::disconnected(links::Links::silent(&to)));
        let connection = self.links.connect(from, &to);
        if !connection.forth().await {
            connection.silence().await;
            return Err(lost());
        }
        let mut replies = Vec::new();
        let copies = 1 + usize::from(self.links.is_repeated(&to));
        for _ in 0..copies {
            let running = self.find(&to).ok_or_else(lost)?;
            let (tx, rx) = async_channel::bounded(1);
            let work = serve(running.clone());
            let task = async move {
                let _ = tx.try_send(work.await);
            };
            self.clock.start(running.owner, Box::pin(task));
            replies.push(rx);
        }
        let reply = replies[0].recv().await.map_err(|_| lost())?;
        if !connection.back().await {
            connection.silence().await;
            return Err(lost());
        }
        reply.ok_or_else(lost)
    }

    fn run(
        &self,
        from: &str,
        owner: clock::Owner,
        address: &name::Name,
        req: run::RunRequest,
    ) -> fleet::Attempt {
        let to = links::vm_of(address);
        self.dispatches.lock().unwrap().push(Dispatch {
            id: req.id.to_string(),
            from: from.to_owned(),
            to: to.clone(),
            agent: req.agent,
            holder: req.holder,
            budget: req.budget.to_string(),
            bound: req.bound,
            at: self.clock.now(),
        });
        let serve = move |agent: Arc<agent::Agent>, tx| {
            let req = req.clone();
            let work: BoxFuture<'static, _> = Box::pin(async move { agent.run(req, tx).await });
            work
        };
        self.attempt(from, owner, to, serve)
    }

    fn attempt<F>(&self, from: &str, owner: clock::Owner, to: String, serve: F) -> fleet::Attempt
    where
        F: Fn(
            Arc<agent::Agent>,
            async_channel::Sender<Vec<u8>>,
        ) -> BoxFuture<'static, run::RunOutcome>,
        F: Send + 'static,
    {
        let (chunk_tx, chunks) = async_channel::bounded(fleet::CHUNKS_IN_FLIGHT);
        let (tx, outcome) = async_channel::bounded(1);
        let connection = self.links.connect(from, &to);
        let members = self.clone();
        let (alive, gone) = async_channel::bounded::<()>(1);
        let (over, finished) = async_channel::bounded::<()>(1);
        let caller = async move {
            let _ = (finished.recv().await, alive);
        };
        self.clock.start(owner, Box::pin(caller));
        let work = async move {
            let relay = members.relay(&connection, &to, serve, chunk_tx);
            let reset = async {
                let _ = gone.recv().await;
                fleet::lost_attempt("the caller ended")
            };
            let ended = smol::future::or(relay, reset).await;
            let _ = tx.try_send(ended);
            drop(over);
        };
        self.clock.start(clock::OUTSIDE, Box::pin(work));
        fleet::Attempt { chunks, outcome }
    }

    async fn relay<F>(
        &self,
        connection: &links::Connection,
        to: &str,
        serve: F,
        caller: async_channel::Sender<Vec<u8>>,
    ) -> run::RunOutcome
    where
        F: Fn(
            Arc<agent::Agent>,
            async_channel::Sender<Vec<u8>>,
        ) -> BoxFuture<'static, run::RunOutcome>,
    {
        if !connection.forth().await {
            connection.silence().await;
            return run::RunOutcome::not_run(Code::NoBackend, links::Links::silent(to));
        }
        let Some(running) = self.find(to) else {
            return run::RunOutcome::not_run(Code::NoBackend, format!("{to} refuses connections"));
        };
        let Process::Agent(agent, _) = running.process else {
            return run::RunOutcome::not_run(Code::NoBackend, format!("{to} is no agent"));
        };
        let (tx, rx) = async_channel::bounded(fleet::CHUNKS_IN_FLIGHT);
        let (end_tx, end_rx) = async_channel::bounded(1);
        let (open, closed) = async_channel::bounded::<()>(1);
        let work = serve(agent, tx);
        let task = async move {
            let gone = async {
                let _ = closed.recv().await;
                None
            };
            if let Some(end) = smol::future::or(async { Some(work.await) }, gone).await {
                let _ = end_tx.try_send(end);
            }
        };
        self.clock.start(running.owner, Box::pin(task));
        let (mut parts, mut left_out) = (0, 0);
        while let Ok(part) = rx.recv().await {
            parts += 1;
            if parts == 2 && self.faults.is_on(faults::Fault::ShortAnswers) {
                left_out = part.len() as u64;
                continue;
            }
            if !connection.back().await {
                drop(caller);
                connection.silence().await;
                drop(open);
                return fleet::lost_attempt(links::Links::silent(to));
            }
            if caller.send(self.disturb(part)).await.is_err() {
                break;
            }
        }
        drop((caller, rx));
        let end = end_rx.recv().await;
        let arrived = connection.back().await;
        if !arrived {
            connection.silence().await;
        }
        drop(open);
        match end {
            Ok(end) if arrived => self.falsify(end, left_out),
            _ => fleet::lost_attempt(format!("connection to {to} was lost")),
        }
    }

    /// Exchanges parts of answers where the scenario asks for it.
    fn disturb(&self, part: Vec<u8>) -> Vec<u8> {
        if !self.faults.is_on(faults::Fault::MixedAnswers) {
            return part;
        }
        let mut mixed = self.mixed.lock().unwrap();
        let fits = mixed
            .as_ref()
            .is_some_and(|other| other.len() == part.len());
        let other = if fits { mixed.clone() } else { None };
        *mixed = Some(part.clone());
        other.unwrap_or(part)
    }

    /// Changes outcomes where the scenario asks for it.
    fn falsify(&self, mut end: run::RunOutcome, left_out: u64) -> run::RunOutcome {
        end.length -= left_out.min(end.length);
        if let Some(receipt) = &mut end.receipt {
            if self.faults.is_on(faults::Fault::DoubleCharge) {
                receipt.tokens *= 2;
            }
            if self.faults.is_on(faults::Fault::FreeCharge) {
                receipt.tokens = 0;
            }
        }
        if self.faults.is_on(faults::Fault::DeniedRuns) && end.code != Code::Ok {
            end.ran = false;
        }
        end
    }
}
