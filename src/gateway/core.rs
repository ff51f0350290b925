//! State shared by the modules of a gateway.
//!
//! All tasks run on one thread, so the state is in `Cell`s and `RefCell`s instead of locks. No
//! borrow of a `RefCell` may be held across an await, since another task could borrow it meanwhile.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use crate::{
    coordination::{
        announcements,
        budgets::{arrivals, share, waiting},
        configuration::{staleness, watch_pacing},
        draining, ejection, ended_servers, expired_entries, log_sampling,
        memory::plan,
        permit_issuer, permits,
        placing::{load_sources, placement, slot_time},
        presence, retry_window, router_count, server_limits, store_route,
    },
    gateway::{
        caller_slots, crash_notes, era_notes, memory, overload, plain_queues, releases,
        second_conn, server_conn, stream_origins, watch_notes,
    },
    platform,
    state::{deployment, name, server},
    transport::{h1::connection_pool, round_trips, timers},
};

/// Backend servers that the store lists, as last read.
#[derive(Default)]
pub struct ServerDirectory {
    /// Servers by id.
    pub servers: HashMap<name::Name, Arc<server::Server>>,
    /// Whether the list has been read at least once.
    pub is_loaded: bool,
    /// Keys of entries that do not parse, with the revisions at which they were reported.
    pub unreadable: HashMap<String, u64>,
}

/// Connects the store client to `route`, which chooses the address of each call and records whether
/// it was answered. Logs when calls switch between the direct route and carriers.
pub fn store_route_callbacks(
    route: &Rc<RefCell<store_route::StoreRoute>>,
    timers: &timers::Timers,
) -> platform::store::RouteCallbacks {
    let choosing = (route.clone(), timers.clone());
    let reporting = (route.clone(), timers.clone());
    platform::store::RouteCallbacks {
        next_address: Box::new(move || choosing.0.borrow_mut().next_address(choosing.1.now())),
        record_outcome: Box::new(move |address, answered| {
            let now = reporting.1.now();
            let mut route = reporting.0.borrow_mut();
            let was_direct = route.is_direct(now);
            match answered {
                true => route.record_success(address),
                false => route.record_failure(address, now),
            }
            match (was_direct, route.is_direct(now)) {
                (true, false) => tracing::warn!(%address, "store: lost, trying carriers"),
                (false, true) => tracing::info!(%address, "store: reached directly again"),
                _ => (),
            }
        }),
    }
}

/// State shared by the modules of a gateway.
pub struct Gateway {
    settings: RefCell<platform::settings::Settings>,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Clock and timeouts.
    pub timers: timers::Timers,
    /// Round trips of all calls, and the delay at the own VM that they show.
    pub round_trips: Rc<round_trips::RoundTrips>,
    /// Client of the platform's store.
    pub store: platform::store::Store,
    /// Chooses whether store calls go directly or through a carrier.
    pub store_route: Rc<RefCell<store_route::StoreRoute>>,
    /// Configuration in force; `None` until the first one has been read.
    pub deployment: RefCell<Option<Arc<deployment::Deployment>>>,
    /// Backend servers.
    pub directory: RefCell<ServerDirectory>,
    /// Backend servers whose processes were seen to end while they are listed.
    pub ended_servers: RefCell<ended_servers::EndedServers>,
    /// Releases of the services, and their record in the store.
    pub release_notes: releases::ReleaseNotes,
    /// Where streams began.
    pub stream_notes: stream_origins::StreamNotes,
    /// Backend servers whose entries expired during a store outage, until it is checked whether they
    /// are listed again.
    pub expired_servers: RefCell<expired_entries::ExpiredEntries>,
    /// Requests of this router in flight at each backend server, from which servers are chosen.
    pub placement: RefCell<placement::Placement>,
    /// Time for which requests hold a slot of a model engine.
    pub slot_times: RefCell<slot_time::SlotTimes>,
    /// Loads of backend servers that carriers reported.
    pub load_sources: RefCell<load_sources::LoadSources>,
    /// Backend servers that are excluded for a while because attempts there failed.
    pub ejection: RefCell<ejection::Ejection>,
    /// What backend servers have said of themselves in their responses.
    pub announcements: RefCell<announcements::Announcements>,
    /// Limits that backend servers have named.
    pub server_limits: RefCell<server_limits::ServerLimits>,
    /// Notified when this gateway has read or was told a changed limit.
    pub limits_changed: event_listener::Event,
    /// Permits that this gateway holds for requests to limited servers.
    pub permits: RefCell<permits::Permits>,
    /// Notified when permits may be had that could not be before.
    pub permits_changed: event_listener::Event,
    /// Issues the permits of the servers for which this gateway does.
    pub permit_issuer: RefCell<permit_issuer::PermitIssuer>,
    /// Requests that were running when backend servers crashed.
    pub crash_notes: crash_notes::CrashNotes,
    /// Requests and retries of each service, which limit further retries.
    pub retry_windows: RefCell<retry_window::RetryWindows>,
    /// This router's share of each budget, by workspace.
    pub shares: RefCell<HashMap<name::Name, share::Share>>,
    /// Idle connections to backend servers.
    pub server_pool: RefCell<connection_pool::ConnectionPool<server_conn::ServerConn>>,
    /// Second connections to backend servers that send responses whose ends nothing marks.
    pub second_conns: second_conn::SecondConns,
    /// Idle connections to other routers.
    pub peer_pool: RefCell<connection_pool::ConnectionPool>,
    /// Fleet listener addresses of the other routers, by `vm/incarnation`.
    pub peers: RefCell<HashMap<String, SocketAddr>>,
    /// Memory that requests and responses hold.
    pub memory: Rc<memory::Memory>,
    /// Open connections of callers.
    pub callers: Rc<caller_slots::CallerSlots>,
    /// Requests to plain services, and those that wait because too many run.
    pub plain_queues: Rc<plain_queues::PlainQueues>,
    /// Lag of the event loop, and what follows from it.
    pub overload: overload::Overload,
    /// Number of callers' requests in flight.
    pub in_flight: Cell<usize>,
    /// The shutdown in progress; `None` until the process is told to stop.
    pub draining: Cell<Option<draining::Draining>>,
    /// Ledgers of budgets as last read from or written to the store, by workspace.
    pub ledgers: RefCell<HashMap<name::Name, platform::store::Item>>,
    /// What is noted about the eras of the store.
    pub era_notes: era_notes::EraNotes,
    /// Lease of this router's entry in the list of members.
    pub lease: Cell<Option<u64>>,
    /// Which routers were in the list of members, and when this one was.
    pub presence: RefCell<presence::Presence>,
    /// Requests that wait for tokens.
    pub waiting: RefCell<waiting::Waiting<async_channel::Sender<waiting::Answer>>>,
    /// Tokens that requests ask for at this router.
    pub arrivals: RefCell<arrivals::Arrivals>,
    /// By workspace: held while its tokens are acquired from or returned to the ledger, so that one
    /// task at a time writes it. Several are locked in the order of their names, and all before any
    /// `RefCell` is borrowed.
    budget_locks: RefCell<HashMap<name::Name, Arc<smol::lock::Mutex<()>>>>,
    /// Whether this router has begun to return its tokens at shutdown; from then on it takes none
    /// from the ledgers.
    pub account_closed: Cell<bool>,
    /// Budgets recently found exhausted, by workspace.
    pub exhausted_budgets: RefCell<HashMap<name::Name, share::Exhausted>>,
    /// Routers that did not answer, and the time until which they are not called.
    pub unresponsive_peers: RefCell<HashMap<SocketAddr, Duration>>,
    /// Limits the log lines about refused and failed requests that were not sent to a server.
    pub failure_log_quota: RefCell<log_sampling::FailureQuota>,
    /// Limits those about requests that were sent, which a rush of refusals must not hide.
    pub sent_log_quota: RefCell<log_sampling::FailureQuota>,
    /// What is known of the watched prefixes of the store.
    pub watch_notes: watch_notes::WatchNotes,
    /// Time at which the store last confirmed that the configuration is current.
    pub config_confirmed_at: Cell<Duration>,
    /// Time at which the store last confirmed that the server list is current.
    pub servers_confirmed_at: Cell<Duration>,
    /// Number of routers in the fleet, including this one.
    pub router_count: Cell<router_count::RouterCount>,
    /// Notifies connections without a request that they must close, because the process stops.
    pub shutdown_event: event_listener::Event,
    /// Notifies requests that they must end, because the process is about to exit.
    pub exit_event: event_listener::Event,
    executor: Rc<smol::LocalExecutor<'static>>,
}

impl Gateway {
    /// Creates the state of a gateway that has not read anything from the store yet.
    pub fn new(
        settings: platform::settings::Settings,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let timers = timers::Timers::default();
        let plan = plan::divide(settings.limits.memory, settings.limits.max_fds);
        let memory = memory::Memory::new(plan.account_bytes, timers.clone());
        let callers = caller_slots::CallerSlots::new(plan.callers, timers.clone());
        let plain_queues = plain_queues::PlainQueues::new(timers.clone());
        let route = Rc::new(RefCell::new(store_route::StoreRoute::new(settings.store)));
        let round_trips = Rc::new(round_trips::RoundTrips::new(timers.clone()));
        let callbacks = store_route_callbacks(&route, &timers);
        let store = platform::store::Store::over(callbacks, timers.clone(), round_trips.clone());
        let incarnation = fastrand::u64(1..);
        Rc::new(Self {
            settings: RefCell::new(settings),
            incarnation,
            timers,
            round_trips,
            store,
            store_route: route,
            deployment: RefCell::default(),
            directory: RefCell::default(),
            ended_servers: RefCell::default(),
            release_notes: releases::ReleaseNotes::default(),
            stream_notes: stream_origins::StreamNotes::default(),
            expired_servers: RefCell::default(),
            placement: RefCell::default(),
            slot_times: RefCell::default(),
            load_sources: RefCell::default(),
            ejection: RefCell::default(),
            announcements: RefCell::default(),
            server_limits: RefCell::default(),
            limits_changed: event_listener::Event::new(),
            permits: RefCell::default(),
            permits_changed: event_listener::Event::new(),
            permit_issuer: RefCell::default(),
            crash_notes: crash_notes::CrashNotes::default(),
            retry_windows: RefCell::default(),
            shares: RefCell::default(),
            server_pool: RefCell::default(),
            second_conns: second_conn::SecondConns::default(),
            peer_pool: RefCell::default(),
            peers: RefCell::default(),
            memory,
            callers,
            plain_queues,
            overload: overload::Overload::default(),
            in_flight: Cell::new(0),
            draining: Cell::new(None),
            ledgers: RefCell::default(),
            era_notes: era_notes::EraNotes::default(),
            lease: Cell::new(None),
            presence: RefCell::default(),
            waiting: RefCell::default(),
            arrivals: RefCell::default(),
            budget_locks: RefCell::default(),
            account_closed: Cell::new(false),
            exhausted_budgets: RefCell::default(),
            unresponsive_peers: RefCell::default(),
            failure_log_quota: RefCell::default(),
            sent_log_quota: RefCell::default(),
            watch_notes: watch_notes::WatchNotes::new(incarnation),
            config_confirmed_at: Cell::default(),
            servers_confirmed_at: Cell::default(),
            router_count: Cell::default(),
            shutdown_event: event_listener::Event::new(),
            exit_event: event_listener::Event::new(),
            executor,
        })
    }

    /// Current settings.
    pub fn settings(&self) -> platform::settings::Settings {
        self.settings.borrow().clone()
    }

    /// Replaces the settings, and with them the address of the store.
    pub fn reload(&self, settings: platform::settings::Settings) {
        self.store_route.borrow_mut().set_store(settings.store);
        let plan = plan::divide(settings.limits.memory, settings.limits.max_fds);
        self.memory.set_limit(plan.account_bytes);
        self.callers.set_max(plan.callers);
        *self.settings.borrow_mut() = settings;
    }

    /// Time for which one short watch of the store waits for changes.
    pub fn watch_wait(&self) -> Duration {
        let wait = watch_pacing::wait(self.settings.borrow().stable_window);
        match self.round_trips.is_slow() {
            true => wait.min(self.confirmation_interval()),
            false => wait,
        }
    }

    /// Time within which a change in the store must be in force.
    fn apply_bound(&self) -> Duration {
        let settings = self.settings.borrow();
        settings.drain.min(settings.config_apply)
    }

    /// Time between two confirmations while the own VM is slow.
    pub fn confirmation_interval(&self) -> Duration {
        staleness::confirmation_interval(self.apply_bound())
    }

    /// Time since the configuration and the list of servers were last confirmed, whichever is longer.
    pub fn knowledge_age(&self) -> Duration {
        let confirmed_at = self
            .config_confirmed_at
            .get()
            .min(self.servers_confirmed_at.get());
        self.now().saturating_sub(confirmed_at)
    }

    /// Whether the own VM is so slow that what is known of the store is too old to act on.
    pub fn is_stale(&self) -> bool {
        let delay = self.round_trips.delay();
        staleness::is_stale(self.knowledge_age(), delay, self.apply_bound())
    }

    /// Whether a change is known for too long that this gateway does not have, although the store answers.
    pub fn is_behind(&self) -> bool {
        let now = self.now();
        let (config, servers) = (
            self.watch_notes.config.borrow(),
            self.watch_notes.servers.borrow(),
        );
        let contact_at = self
            .store
            .answered_at()
            .max(config.reported_as_of())
            .max(servers.reported_as_of());
        let has_contact = now < contact_at + self.watch_wait() + watch_pacing::CALL_TIMEOUT;
        let settings = self.settings.borrow();
        let pause = watch_pacing::pause(self.router_count(), settings.drain);
        let is_behind = |since: Option<Duration>, pause, bound| {
            let behind = since.map_or(Duration::ZERO, |since| now.saturating_sub(since + pause));
            staleness::is_behind(behind, has_contact, bound)
        };
        is_behind(config.behind_since(), Duration::ZERO, settings.config_apply)
            || is_behind(servers.behind_since(), pause, settings.drain)
    }

    /// Why what is known of the store is too old to act on; `None` when it is not.
    pub fn outdated(&self) -> Option<staleness::Outdated> {
        match self.is_stale() {
            true => Some(staleness::Outdated::Stale),
            false => self.is_behind().then_some(staleness::Outdated::Behind),
        }
    }

    /// Bandwidth of the VM's link in bytes per second.
    pub fn link(&self) -> u64 {
        self.settings.borrow().limits.link
    }

    /// Time that an event of a stream may take through this gateway; `None` when nothing is said.
    pub fn pass_time(&self) -> Option<Duration> {
        self.settings.borrow().pass_time
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.timers.now()
    }

    /// Spawns a detached task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Spawns a task that is cancelled when the returned handle is dropped.
    pub fn spawn_task(&self, task: impl Future<Output = ()> + 'static) -> smol::Task<()> {
        self.executor.spawn(task)
    }

    /// Configuration in force.
    pub fn deployment(&self) -> Option<Arc<deployment::Deployment>> {
        self.deployment.borrow().clone()
    }

    /// `vm/incarnation`: the name under which this run of the process holds tokens in ledgers and
    /// is listed among the routers.
    pub fn holder(&self) -> String {
        format!("{}/{:x}", self.settings.borrow().vm, self.incarnation)
    }

    /// The lock under which a budget's ledger is written.
    pub fn budget_lock(&self, workspace: &name::Name) -> Arc<smol::lock::Mutex<()>> {
        let mut locks = self.budget_locks.borrow_mut();
        locks.entry(workspace.clone()).or_default().clone()
    }

    /// Forgets the locks that no task holds or waits for.
    pub fn release_budget_locks(&self) {
        let mut locks = self.budget_locks.borrow_mut();
        locks.retain(|_, lock| Arc::strong_count(lock) > 1);
    }

    /// Replaces the list of the other routers.
    pub fn set_peers(&self, peers: HashMap<String, SocketAddr>) {
        let mut router_count = self.router_count.get();
        router_count.record(peers.len() + 1, self.now());
        self.router_count.set(router_count);
        let now = self.now();
        self.presence.borrow_mut().record_list(peers.keys(), now);
        *self.peers.borrow_mut() = peers;
    }

    /// Number of routers in the fleet, including this one; 1 until the list has been read.
    pub fn router_count(&self) -> usize {
        self.known_router_count().unwrap_or(1)
    }

    /// Number of routers in the fleet, including this one; `None` until the list has been read.
    ///
    /// This is the highest recent count, because entries expire while the store is unavailable and
    /// the routers are still running.
    pub fn known_router_count(&self) -> Option<usize> {
        self.router_count.get().get()
    }

    /// Retries that the whole fleet may make, from the settings.
    pub fn retry_allowance(&self) -> retry_window::Allowance {
        let settings = self.settings.borrow();
        retry_window::Allowance {
            window: settings.retry_window,
            per_request: settings.retries_per_request,
            slack: settings.retry_slack,
        }
    }

    /// Whether the process has been told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Waits until the process, after a stop signal, is about to exit.
    pub async fn exiting(&self) {
        loop {
            let exiting = self.exit_event.listen();
            if self.draining.get().is_some_and(|it| it.is_closed) {
                return;
            }
            exiting.await;
        }
    }

    /// Reason why the gateway is not ready for callers; `None` when it is ready.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_draining() {
            return Some("leaving");
        }
        if self.deployment.borrow().is_none() {
            return Some("no configuration");
        }
        if !self.directory.borrow().is_loaded {
            return Some("no list of backend servers");
        }
        if self.outdated().is_some() {
            return Some("outdated configuration");
        }
        if self.overload.is_out() {
            return Some("overloaded");
        }
        None
    }
}
