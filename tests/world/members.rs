//! The running routers and agents of a simulation, and the calls between them.

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

/// The process on a VM.
#[derive(Clone)]
pub enum Process {
    /// A router.
    Router(Arc<router::Router>),
    /// An agent with its engine or plain service.
    Agent(Arc<agent::Agent>, engine::Engine),
}

/// A running process and the owner of its tasks.
#[derive(Clone)]
pub struct Running {
    /// The process.
    pub process: Process,
    /// Owner of its tasks.
    pub owner: clock::Owner,
}

/// An attempt that a router dispatched to an agent.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Request id.
    pub id: String,
    /// VM of the router.
    pub from: String,
    /// VM of the agent.
    pub to: String,
    /// Incarnation of the agent that the router addressed.
    pub agent: member::Incarnation,
    /// Holder whose tokens are reserved for the attempt.
    pub holder: member::Incarnation,
    /// Budget that the attempt is charged to.
    pub budget: String,
    /// Tokens reserved for the attempt.
    pub bound: u64,
    /// Time of the dispatch.
    pub at: Duration,
}

/// A handle to the running processes and what they share.
#[derive(Clone)]
pub struct Members {
    /// Clock.
    pub clock: clock::Clock,
    /// Network.
    pub links: links::Links,
    /// Platform.
    pub platform: platform::Platform,
    /// Injected faults.
    pub faults: faults::Faults,
    /// Running processes by VM.
    running: Arc<Mutex<BTreeMap<String, Running>>>,
    /// VM and engine of every agent incarnation so far, including ended ones.
    pub engines: Arc<Mutex<BTreeMap<member::Incarnation, (String, engine::Engine)>>>,
    /// Every attempt dispatched so far.
    pub dispatches: Arc<Mutex<Vec<Dispatch>>>,
    /// Last part of an answer, while parts are swapped between requests.
    held_part: Arc<Mutex<Option<Vec<u8>>>>,
}

/// Settings of a process, parsed from flags as the daemon does.
pub fn settings(role: &str, vm: &str, zone: &str, service: &str, slots: u32) -> settings::Settings {
    let region = zone.rsplit_once('-').map_or(zone, |(region, _)| region);
    // The key is not used, as calls bypass the transport; the file only has to exist.
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
    /// Creates a fleet without processes.
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
            held_part: Arc::default(),
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

    /// Registers a process on a VM, in place of an earlier one.
    pub fn insert(&self, vm: &str, running: Running) {
        self.running.lock().unwrap().insert(vm.to_owned(), running);
    }

    /// Ends the process on a VM and all its tasks.
    pub fn kill(&self, vm: &str) {
        let running = self.running.lock().unwrap().remove(vm);
        if let Some(running) = running {
            self.clock.end_process(running.owner);
        }
    }

    /// The calls to other members that a process makes from a VM.
    pub fn fleet(&self, vm: &str, owner: clock::Owner) -> fleet::Fleet {
        let [run_members, resume_members] = [self.clone(), self.clone()];
        let [agent_members, router_members] = [self.clone(), self.clone()];
        let callers: [Arc<str>; 4] = std::array::from_fn(|_| vm.into());
        let [run_from, resume_from, agent_from, router_from] = callers;
        fleet::Fleet {
            run: Arc::new(move |address, req| run_members.run(&run_from, owner, &address, req)),
            resume: Arc::new(move |address, resume| {
                let to = links::vm_of(&address);
                let members = resume_members.clone();
                let serve = move |agent: Arc<agent::Agent>, tx| {
                    let resume = resume.clone();
                    let work: BoxFuture<'static, _> =
                        Box::pin(async move { agent.resume(resume, tx).await });
                    work
                };
                members.attempt(&resume_from, owner, to, serve)
            }),
            agent: Arc::new(move |address, call| {
                let (members, vm) = (agent_members.clone(), agent_from.clone());
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
                let (members, vm) = (router_members.clone(), router_from.clone());
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

    /// Calls a member; with repeated calls, only the first copy's reply is used.
    async fn call<A: Send + 'static>(
        &self,
        from: &str,
        address: &name::Name,
        serve: impl Fn(Running) -> BoxFuture<'static, Option<A>>,
    ) -> Result<A, error::Error> {
        let to = links::vm_of(address);
        let lost = || {
            error::Error::Rpc(capnp::Error::disconnected(links::Links::silent_message(
                &to,
            )))
        };
        let connection = self.links.connect(from, &to);
        if !connection.send_forward().await {
            connection.wait_for_timeout().await;
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
            self.clock.spawn(running.owner, Box::pin(task));
            replies.push(rx);
        }
        let reply = replies[0].recv().await.map_err(|_| lost())?;
        if !connection.send_back().await {
            connection.wait_for_timeout().await;
            return Err(lost());
        }
        reply.ok_or_else(lost)
    }

    /// Records the dispatch of an attempt and starts it.
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

    /// Runs an attempt at an agent. When the calling process ends, its task with the `caller_alive`
    /// sender is dropped, which resets the attempt's connection.
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
        let (caller_alive, caller_ended) = async_channel::bounded::<()>(1);
        let (relay_running, relay_ended) = async_channel::bounded::<()>(1);
        let keep_alive = async move {
            let _ = (relay_ended.recv().await, caller_alive);
        };
        self.clock.spawn(owner, Box::pin(keep_alive));
        let relay_task = async move {
            let relay = members.relay(&connection, &to, serve, chunk_tx);
            let reset = async {
                let _ = caller_ended.recv().await;
                fleet::lost_attempt("the caller ended")
            };
            let end = smol::future::or(relay, reset).await;
            let _ = tx.try_send(end);
            drop(relay_running);
        };
        self.clock.spawn(clock::OUTSIDE, Box::pin(relay_task));
        fleet::Attempt { chunks, outcome }
    }

    /// Relays an attempt's parts and outcome to the caller; closing the connection cancels the
    /// agent's task.
    async fn relay<F>(
        &self,
        connection: &links::Connection,
        to: &str,
        serve: F,
        caller_tx: async_channel::Sender<Vec<u8>>,
    ) -> run::RunOutcome
    where
        F: Fn(
            Arc<agent::Agent>,
            async_channel::Sender<Vec<u8>>,
        ) -> BoxFuture<'static, run::RunOutcome>,
    {
        if !connection.send_forward().await {
            connection.wait_for_timeout().await;
            return run::RunOutcome::not_run(Code::NoBackend, links::Links::silent_message(to));
        }
        let Some(running) = self.find(to) else {
            return run::RunOutcome::not_run(Code::NoBackend, format!("{to} refuses connections"));
        };
        let Process::Agent(agent, _) = running.process else {
            return run::RunOutcome::not_run(Code::NoBackend, format!("{to} is no agent"));
        };
        let (part_tx, part_rx) = async_channel::bounded(fleet::CHUNKS_IN_FLIGHT);
        let (end_tx, end_rx) = async_channel::bounded(1);
        let (connection_open, connection_closed) = async_channel::bounded::<()>(1);
        let work = serve(agent, part_tx);
        let task = async move {
            let cancelled = async {
                let _ = connection_closed.recv().await;
                None
            };
            if let Some(end) = smol::future::or(async { Some(work.await) }, cancelled).await {
                let _ = end_tx.try_send(end);
            }
        };
        self.clock.spawn(running.owner, Box::pin(task));
        let (mut part_count, mut omitted) = (0, 0);
        while let Ok(part) = part_rx.recv().await {
            part_count += 1;
            if part_count == 2 && self.faults.is_on(faults::Fault::TruncatedAnswers) {
                omitted = part.len() as u64;
                continue;
            }
            if !connection.send_back().await {
                drop(caller_tx);
                connection.wait_for_timeout().await;
                drop(connection_open);
                return fleet::lost_attempt(links::Links::silent_message(to));
            }
            if caller_tx.send(self.swap_part(part)).await.is_err() {
                break;
            }
        }
        drop((caller_tx, part_rx));
        let end = end_rx.recv().await;
        let arrived = connection.send_back().await;
        if !arrived {
            connection.wait_for_timeout().await;
        }
        drop(connection_open);
        match end {
            Ok(end) if arrived => self.alter_outcome(end, omitted),
            _ => fleet::lost_attempt(format!("connection to {to} was lost")),
        }
    }

    /// Swaps a part with an earlier one of the same length, if that fault is injected.
    fn swap_part(&self, part: Vec<u8>) -> Vec<u8> {
        if !self.faults.is_on(faults::Fault::MixedAnswers) {
            return part;
        }
        let mut held_part = self.held_part.lock().unwrap();
        let same_length = held_part
            .as_ref()
            .is_some_and(|other| other.len() == part.len());
        let other = if same_length { held_part.clone() } else { None };
        *held_part = Some(part.clone());
        other.unwrap_or(part)
    }

    /// Falsifies an attempt's outcome as the injected faults require.
    fn alter_outcome(&self, mut end: run::RunOutcome, omitted: u64) -> run::RunOutcome {
        end.length -= omitted.min(end.length);
        if let Some(receipt) = &mut end.receipt {
            if self.faults.is_on(faults::Fault::DoubleCharge) {
                receipt.tokens *= 2;
            }
            if self.faults.is_on(faults::Fault::MissingCharge) {
                receipt.tokens = 0;
            }
        }
        if self.faults.is_on(faults::Fault::DeniedRuns) && end.code != Code::Ok {
            end.ran = false;
        }
        end
    }
}
