//! What the parts of a gateway share. One thread runs them all, so cells take the place of locks;
//! no borrow is held across an await.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use crate::{
    coordination::{draining, ejection, placing, repeats, share, store_route, telling},
    platform,
    state::{deployment, name, server},
    transport::{h1::pool, timers},
};

/// Time for which routers that are no longer listed still count among those that share limits.
const ROUTER_COUNT_TTL: Duration = Duration::from_secs(30);

/// Backend servers as this router knows them.
#[derive(Default)]
pub struct ServerDirectory {
    /// Servers by id.
    pub servers: HashMap<name::Name, Arc<server::Server>>,
    /// Whether the list was ever read.
    pub is_loaded: bool,
}

/// Lets the client of the store ask for its way, and logs when the way changes.
pub fn store_route_callbacks(
    route: &Rc<RefCell<store_route::StoreRoute>>,
    timers: &timers::Timers,
) -> platform::store::Way {
    let choosing = (route.clone(), timers.clone());
    let reporting = (route.clone(), timers.clone());
    platform::store::Way {
        next: Box::new(move || choosing.0.borrow_mut().next(choosing.1.now())),
        ended: Box::new(move |address, answered| {
            let now = reporting.1.now();
            let mut route = reporting.0.borrow_mut();
            let was_direct = route.is_straight(now);
            match answered {
                true => route.answered(address),
                false => route.failed(address, now),
            }
            match (was_direct, route.is_straight(now)) {
                (true, false) => tracing::warn!(%address, "store: lost, trying carriers"),
                (false, true) => tracing::info!(%address, "store: reached straight again"),
                _ => (),
            }
        }),
    }
}

/// Everything that the parts of a gateway share.
pub struct Gateway {
    settings: RefCell<platform::settings::Settings>,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Clock.
    pub timers: timers::Timers,
    /// Client of the platform's store.
    pub store: platform::store::Store,
    /// Ways to the store.
    pub store_route: Rc<RefCell<store_route::StoreRoute>>,
    /// Configuration in force; `None` before the first.
    pub deployment: RefCell<Option<Arc<deployment::Deployment>>>,
    /// Backend servers.
    pub directory: RefCell<ServerDirectory>,
    /// Where requests run.
    pub placement: RefCell<placing::Placing>,
    /// Backend servers that fail.
    pub ejection: RefCell<ejection::Ejection>,
    /// Repeats that are left.
    pub retry_windows: RefCell<repeats::Repeats>,
    /// Shares of budgets, by workspace.
    pub shares: RefCell<HashMap<name::Name, share::Share>>,
    /// Idle connections to backend servers.
    pub connection_pool: RefCell<pool::Pool>,
    /// Other routers: address of their fleet listener by `vm/incarnation`.
    pub peers: RefCell<HashMap<String, SocketAddr>>,
    /// Requests that are being answered.
    pub in_flight: Cell<usize>,
    /// The shutdown, once the process was told to stop.
    pub draining: Cell<Option<draining::Draining>>,
    /// Ledgers of budgets as they were last seen.
    pub ledgers: RefCell<HashMap<name::Name, platform::store::Item>>,
    /// Held while tokens are asked of the ledger; taken before any of the cells is borrowed.
    pub acquire_lock: smol::lock::Mutex<()>,
    /// Whether all tokens were given back: none are taken from the ledgers any more.
    pub account_closed: Cell<bool>,
    /// Budgets that were found exhausted.
    pub exhausted_budgets: RefCell<HashMap<name::Name, share::Exhausted>>,
    /// Routers that did not answer, and until when they are passed over.
    pub unresponsive_peers: RefCell<HashMap<SocketAddr, Duration>>,
    /// Bounds the lines on refused and failed requests.
    pub failure_log_quota: RefCell<telling::Quota>,
    /// When the store last told of the configuration.
    pub config_confirmed_at: Cell<Duration>,
    /// When the store last told of the backend servers.
    pub servers_confirmed_at: Cell<Duration>,
    highest_router_count: Cell<(usize, Duration)>,
    /// Tells idle connections that the process is to stop.
    pub shutdown_event: event_listener::Event,
    executor: Rc<smol::LocalExecutor<'static>>,
}

impl Gateway {
    /// Puts a gateway together.
    pub fn new(
        settings: platform::settings::Settings,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let timers = timers::Timers::default();
        let route = Rc::new(RefCell::new(store_route::StoreRoute::new(settings.store)));
        let store =
            platform::store::Store::new(store_route_callbacks(&route, &timers), timers.clone());
        Rc::new(Self {
            settings: RefCell::new(settings),
            incarnation: fastrand::u64(1..),
            timers,
            store,
            store_route: route,
            deployment: RefCell::default(),
            directory: RefCell::default(),
            placement: RefCell::default(),
            ejection: RefCell::default(),
            retry_windows: RefCell::default(),
            shares: RefCell::default(),
            connection_pool: RefCell::default(),
            peers: RefCell::default(),
            in_flight: Cell::new(0),
            draining: Cell::new(None),
            ledgers: RefCell::default(),
            acquire_lock: smol::lock::Mutex::new(()),
            account_closed: Cell::new(false),
            exhausted_budgets: RefCell::default(),
            unresponsive_peers: RefCell::default(),
            failure_log_quota: RefCell::default(),
            config_confirmed_at: Cell::default(),
            servers_confirmed_at: Cell::default(),
            highest_router_count: Cell::default(),
            shutdown_event: event_listener::Event::new(),
            executor,
        })
    }

    /// Settings as they are now.
    pub fn settings(&self) -> platform::settings::Settings {
        self.settings.borrow().clone()
    }

    /// Takes changed settings.
    pub fn reload(&self, settings: platform::settings::Settings) {
        self.store_route.borrow_mut().move_to(settings.store);
        *self.settings.borrow_mut() = settings;
    }

    /// Time since the process began.
    pub fn now(&self) -> Duration {
        self.timers.now()
    }

    /// Starts a task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Configuration in force.
    pub fn deployment(&self) -> Option<Arc<deployment::Deployment>> {
        self.deployment.borrow().clone()
    }

    /// Name of this start of the process among the holders of budgets.
    pub fn holder(&self) -> String {
        format!("{}/{:x}", self.settings.borrow().vm, self.incarnation)
    }

    /// Takes the list of the other routers.
    pub fn set_peers(&self, peers: HashMap<String, SocketAddr>) {
        let (most, at) = self.highest_router_count.get();
        let count = peers.len() + 1;
        if count >= most || self.now() > at + ROUTER_COUNT_TTL {
            self.highest_router_count.set((count, self.now()));
        }
        *self.peers.borrow_mut() = peers;
    }

    /// Routers of the fleet, this one included: the most that were listed lately, since entries
    /// lapse while the store is away.
    pub fn router_count(&self) -> usize {
        self.highest_router_count.get().0.max(1)
    }

    /// The fleet's allowance of repeats.
    pub fn retry_allowance(&self) -> repeats::Allowance {
        let settings = self.settings.borrow();
        repeats::Allowance {
            window: settings.repeat_window,
            per_request: settings.repeats_per_request,
            slack: settings.repeat_slack,
        }
    }

    /// Whether the process was told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Tells why the process takes no callers; `None` when it does.
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
        None
    }
}
