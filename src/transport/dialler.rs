//! Connections to other members, opened on first use and kept by the workers.
//!
//! While calls are in progress on a connection, its peer gets heartbeats. A connection without a
//! reply is dropped, so that a peer that vanished without closing it is detected.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use capnp::{
    capability::{Client, FromClientHook},
    private::capability::ClientHook,
};
use metrics::counter;
use xxhash_rust::xxh3;

use crate::{
    error, fleet_capnp,
    state::name,
    transport::{fleet_link, timers, workers},
};

/// Time between two heartbeats on a connection with calls in progress.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the reply to a heartbeat; the connection is dropped after it.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Heartbeat intervals without a call after which a connection is closed; a minute. Members are replaced, and
/// the connection to one that vanished would stay open for ever.
const MAX_IDLE_INTERVALS: u32 = 60;

thread_local! {
    /// Connections of this worker, by the address of the peer.
    static LINKS: RefCell<HashMap<name::Name, Rc<Link>>> = RefCell::default();
}

/// One connection. Once it is removed from [`LINKS`], it is closed when its last call ends.
struct Link {
    hook: Box<dyn ClientHook>,
    calls: Cell<u32>,
    /// Channel that carries no messages; it is closed when the connection is dead.
    dead: async_channel::Receiver<()>,
    _system: smol::Task<()>,
}

/// Counts a call on a connection until dropped, and keeps the connection open.
struct CallGuard(Rc<Link>);

impl CallGuard {
    fn new(link: Rc<Link>) -> Self {
        link.calls.set(link.calls.get() + 1);
        Self(link)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}

/// Opens connections to members, which prove the fleet key to each other.
#[derive(Clone)]
pub struct Dialler {
    workers: workers::Workers,
    key: fleet_link::FleetKey,
    timers: timers::Timers,
}

impl Dialler {
    /// Makes a dialler that keeps its connections on `workers` and proves `key`.
    pub fn new(
        workers: workers::Workers,
        key: fleet_link::FleetKey,
        timers: timers::Timers,
    ) -> Self {
        Self {
            workers,
            key,
            timers,
        }
    }

    /// Runs `work` with the bootstrap capability of the member at an address, on the worker that
    /// keeps the connection to the address. `work` gets the error when connecting fails.
    ///
    /// When `work` returns false, later calls use a new connection. `work` is dropped before it
    /// ends when the connection is found dead.
    pub fn spawn<C, F, W>(&self, address: name::Name, work: F)
    where
        C: FromClientHook + 'static,
        F: FnOnce(Result<C, error::Error>) -> W + Send + 'static,
        W: Future<Output = bool>,
    {
        let index = xxh3::xxh3_64(address.as_bytes()) as usize;
        let dialler = self.clone();
        let started = self.workers.run(index, move |local| {
            let executor = local.clone();
            let task = async move { dialler.run(address, &local, work).await };
            executor.spawn(task).detach();
        });
        if let Err(err) = started {
            tracing::error!("link: cannot start a call: {err}.");
        }
    }

    async fn run<C, F, W>(&self, address: name::Name, local: &workers::WorkerExecutor, work: F)
    where
        C: FromClientHook + 'static,
        F: FnOnce(Result<C, error::Error>) -> W + Send + 'static,
        W: Future<Output = bool>,
    {
        let link = match self.get_or_connect(&address, local).await {
            Ok(link) => link,
            Err(err) => {
                work(Err(err)).await;
                return;
            }
        };
        let call = CallGuard::new(link);
        let client = C::new(call.0.hook.add_ref());
        let dead = async {
            let _ = call.0.dead.recv().await;
            false
        };
        let keep = smol::future::or(work(Ok(client)), dead).await;
        if !keep {
            remove_link(&address, &call.0);
        }
    }

    /// Runs `work` with the bootstrap capability of the member at an address, and returns its
    /// result.
    ///
    /// # Errors
    ///
    /// The error that `work` returns, or [`error::Error::Io`] when the address cannot be reached.
    pub async fn call<C, T, F, W>(&self, address: name::Name, work: F) -> Result<T, error::Error>
    where
        C: FromClientHook + 'static,
        T: Send + 'static,
        F: FnOnce(C) -> W + Send + 'static,
        W: Future<Output = Result<T, error::Error>>,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.spawn(address, move |client| async move {
            let result = match client {
                Ok(client) => work(client).await,
                Err(err) => Err(err),
            };
            let keep = result.is_ok();
            let _ = tx.send(result).await;
            keep
        });
        let gone = |_| error::Error::Io(std::io::ErrorKind::NotConnected.into());
        rx.recv().await.map_err(gone)?
    }

    /// Returns the open connection to an address, or connects.
    async fn get_or_connect(
        &self,
        address: &name::Name,
        local: &workers::WorkerExecutor,
    ) -> Result<Rc<Link>, error::Error> {
        let known = LINKS.with_borrow(|links| links.get(address).cloned());
        if let Some(link) = known.filter(|link| !link.dead.is_closed()) {
            return Ok(link);
        }
        let (client, system) = fleet_link::connect(address, &self.key, &self.timers).await?;
        let (tx, dead) = async_channel::bounded(1);
        let ended = tx.clone();
        let link = Rc::new(Link {
            hook: client.hook,
            calls: Cell::new(0),
            dead,
            _system: local.spawn(async move {
                system.await;
                ended.close();
            }),
        });
        LINKS.with_borrow_mut(|links| links.insert(address.clone(), link.clone()));
        let heartbeats = send_heartbeats(
            Rc::downgrade(&link),
            self.timers.clone(),
            tx,
            address.clone(),
        );
        local.spawn(heartbeats).detach();
        Ok(link)
    }
}

/// Removes a connection from [`LINKS`], so that new calls do not use it.
fn remove_link(address: &name::Name, link: &Rc<Link>) {
    LINKS.with_borrow_mut(|links| {
        if links
            .get(address)
            .is_some_and(|known| Rc::ptr_eq(known, link))
        {
            links.remove(address);
        }
    });
}

/// Sends heartbeats while calls are in progress; closes `dead` when one gets no reply. Drops a connection that
/// has ended or had no calls for [`MAX_IDLE_INTERVALS`].
async fn send_heartbeats(
    link: Weak<Link>,
    timers: timers::Timers,
    dead: async_channel::Sender<()>,
    address: name::Name,
) {
    let mut idle_intervals = 0;
    loop {
        timers.sleep(HEARTBEAT_INTERVAL).await;
        let Some(known) = link.upgrade() else {
            return;
        };
        idle_intervals = match known.calls.get() {
            0 => idle_intervals + 1,
            _ => 0,
        };
        if known.dead.is_closed() || idle_intervals >= MAX_IDLE_INTERVALS {
            remove_link(&address, &known);
            return;
        }
        let hook = (idle_intervals == 0).then(|| known.hook.add_ref());
        drop(known);
        let Some(hook) = hook else { continue };
        let alive = timers.within(HEARTBEAT_TIMEOUT, is_alive(hook)).await;
        if alive != Some(true) {
            break;
        }
    }
    counter!("fulmar_silent_links").increment(1);
    tracing::warn!("link: no reply to a heartbeat from {address}; dropping the connection.");
    if let Some(link) = link.upgrade() {
        remove_link(&address, &link);
    }
    dead.close();
}

/// Sends a ping. Any reply shows that the peer is alive, also an error: routers, for example, do
/// not implement the agent's ping.
async fn is_alive(hook: Box<dyn ClientHook>) -> bool {
    let agent = fleet_capnp::agent::Client {
        client: Client::new(hook),
    };
    match agent.ping_request().send().promise.await {
        Ok(_) => true,
        Err(err) => err.kind != capnp::ErrorKind::Disconnected,
    }
}
