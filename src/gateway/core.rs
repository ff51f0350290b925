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
    coordination::{draining, ejection, log_sampling, placement, retry_window, share, store_route},
    platform,
    state::{deployment, name, server},
    transport::{h1::idle_conns, timers},
};

/// Time for which routers that are no longer listed still count among those that share limits.
const ROUTERS_REMEMBERED: Duration = Duration::from_secs(30);

/// Backend servers as this router knows them.
#[derive(Default)]
pub struct Known {
    /// Servers by id.
    pub servers: HashMap<name::Name, Arc<server::Server>>,
    /// Whether the list was ever read.
    pub is_read: bool,
}

/// Lets the client of the store ask for its way, and logs when the way changes.
pub fn way(
    route: &Rc<RefCell<store_route::StoreRoute>>,
    timers: &timers::Timers,
) -> platform::store::Way {
    let asked = (route.clone(), timers.clone());
    let told = (route.clone(), timers.clone());
    platform::store::Way {
        next: Box::new(move || asked.0.borrow_mut().next_address(asked.1.now())),
        ended: Box::new(move |address, answered| {
            let now = told.1.now();
            let mut route = told.0.borrow_mut();
            let was_straight = route.is_direct(now);
            match answered {
                true => route.record_success(address),
                false => route.record_failure(address, now),
            }
            match (was_straight, route.is_direct(now)) {
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
    pub route: Rc<RefCell<store_route::StoreRoute>>,
    /// Configuration in force; `None` before the first.
    pub deployment: RefCell<Option<Arc<deployment::Deployment>>>,
    /// Backend servers.
    pub known: RefCell<Known>,
    /// Where requests run.
    pub placing: RefCell<placement::Placement>,
    /// Backend servers that fail.
    pub ejection: RefCell<ejection::Ejection>,
    /// Repeats that are left.
    pub repeats: RefCell<retry_window::RetryWindows>,
    /// Shares of budgets, by workspace.
    pub shares: RefCell<HashMap<name::Name, share::Share>>,
    /// Idle connections to backend servers.
    pub pool: RefCell<idle_conns::IdleConns>,
    /// Other routers: address of their fleet listener by `vm/incarnation`.
    pub peers: RefCell<HashMap<String, SocketAddr>>,
    /// Requests that are being answered.
    pub in_flight: Cell<usize>,
    /// The shutdown, once the process was told to stop.
    pub draining: Cell<Option<draining::Draining>>,
    /// Ledgers of budgets as they were last seen.
    pub ledgers: RefCell<HashMap<name::Name, platform::store::Item>>,
    /// Held while tokens are asked of the ledger; taken before any of the cells is borrowed.
    pub obtaining: smol::lock::Mutex<()>,
    /// Whether all tokens were given back: none are taken from the ledgers any more.
    pub account_closed: Cell<bool>,
    /// Budgets that were found exhausted.
    pub exhausted: RefCell<HashMap<name::Name, share::Exhausted>>,
    /// Routers that did not answer, and until when they are passed over.
    pub silent_peers: RefCell<HashMap<SocketAddr, Duration>>,
    /// Bounds the lines on refused and failed requests.
    pub telling: RefCell<log_sampling::FailureQuota>,
    /// When the store last told of the configuration.
    pub config_heard: Cell<Duration>,
    /// When the store last told of the backend servers.
    pub servers_heard: Cell<Duration>,
    routers_seen: Cell<(usize, Duration)>,
    /// Tells idle connections that the process is to stop.
    pub leaving: event_listener::Event,
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
        let store = platform::store::Store::new(way(&route, &timers), timers.clone());
        Rc::new(Self {
            settings: RefCell::new(settings),
            incarnation: fastrand::u64(1..),
            timers,
            store,
            route,
            deployment: RefCell::default(),
            known: RefCell::default(),
            placing: RefCell::default(),
            ejection: RefCell::default(),
            repeats: RefCell::default(),
            shares: RefCell::default(),
            pool: RefCell::default(),
            peers: RefCell::default(),
            in_flight: Cell::new(0),
            draining: Cell::new(None),
            ledgers: RefCell::default(),
            obtaining: smol::lock::Mutex::new(()),
            account_closed: Cell::new(false),
            exhausted: RefCell::default(),
            silent_peers: RefCell::default(),
            telling: RefCell::default(),
            config_heard: Cell::default(),
            servers_heard: Cell::default(),
            routers_seen: Cell::default(),
            leaving: event_listener::Event::new(),
            executor,
        })
    }

    /// Settings as they are now.
    pub fn settings(&self) -> platform::settings::Settings {
        self.settings.borrow().clone()
    }

    /// Takes changed settings.
    pub fn reload(&self, settings: platform::settings::Settings) {
        self.route.borrow_mut().set_store(settings.store);
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
    pub fn note_peers(&self, peers: HashMap<String, SocketAddr>) {
        let (most, at) = self.routers_seen.get();
        let count = peers.len() + 1;
        if count >= most || self.now() > at + ROUTERS_REMEMBERED {
            self.routers_seen.set((count, self.now()));
        }
        *self.peers.borrow_mut() = peers;
    }

    /// Routers of the fleet, this one included: the most that were listed lately, since entries
    /// lapse while the store is away.
    pub fn routers(&self) -> usize {
        self.routers_seen.get().0.max(1)
    }

    /// The fleet's allowance of repeats.
    pub fn allowance(&self) -> retry_window::Allowance {
        let settings = self.settings.borrow();
        retry_window::Allowance {
            window: settings.repeat_window,
            per_request: settings.repeats_per_request,
            slack: settings.repeat_slack,
        }
    }

    /// Whether the process was told to stop.
    pub fn is_leaving(&self) -> bool {
        self.draining.get().is_some()
    }

    /// Tells why the process takes no callers; `None` when it does.
    pub fn unready(&self) -> Option<&'static str> {
        if self.is_leaving() {
            return Some("leaving");
        }
        if self.deployment.borrow().is_none() {
            return Some("no configuration");
        }
        if !self.known.borrow().is_read {
            return Some("no list of backend servers");
        }
        None
    }
}
