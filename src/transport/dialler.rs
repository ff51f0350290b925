//! Connections to other members, kept on the workers and opened when first used.
//!
//! While calls are under way on a connection, its peer is asked for a sign of life; a silent
//! connection is given up, also when it was never closed.

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

const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Silence after which a connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

thread_local! {
    static LINKS: RefCell<HashMap<name::Name, Rc<Link>>> = RefCell::default();
}

/// One connection; it is closed when the last call that uses it ends.
struct Link {
    hook: Box<dyn ClientHook>,
    calls: Cell<u32>,
    /// Closed when the connection is dead.
    dead: async_channel::Receiver<()>,
    _system: smol::Task<()>,
}

/// Counts a call of a connection while it lives.
struct Call(Rc<Link>);

impl Call {
    fn new(link: Rc<Link>) -> Self {
        link.calls.set(link.calls.get() + 1);
        Self(link)
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}

/// Opens connections that prove the fleet key.
#[derive(Clone)]
pub struct Dialler {
    workers: workers::Workers,
    key: fleet_link::FleetKey,
    timers: timers::Timers,
}

impl Dialler {
    /// Opens connections on `workers` that prove `key`.
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

    /// Runs `work` with the capability at an address, on the worker that owns the address.
    ///
    /// The connection is closed when `work` returns false; `work` is dropped when the connection
    /// falls silent.
    pub fn start<C, F, W>(&self, address: name::Name, work: F)
    where
        C: FromClientHook + 'static,
        F: FnOnce(Result<C, error::Error>) -> W + Send + 'static,
        W: Future<Output = bool>,
    {
        let index = xxh3::xxh3_64(address.as_bytes()) as usize;
        let dialler = self.clone();
        let started = self.workers.run(index, move |local| {
            let executor = local.clone();
            let task = async move { dialler.work(address, &local, work).await };
            executor.spawn(task).detach();
        });
        if let Err(err) = started {
            tracing::error!("link: {err}.");
        }
    }

    async fn work<C, F, W>(&self, address: name::Name, local: &workers::WorkerExecutor, work: F)
    where
        C: FromClientHook + 'static,
        F: FnOnce(Result<C, error::Error>) -> W + Send + 'static,
        W: Future<Output = bool>,
    {
        let link = match self.link(&address, local).await {
            Ok(link) => link,
            Err(err) => {
                work(Err(err)).await;
                return;
            }
        };
        let call = Call::new(link);
        let client = C::new(call.0.hook.add_ref());
        let dead = async {
            let _ = call.0.dead.recv().await;
            false
        };
        let keep = smol::future::or(work(Ok(client)), dead).await;
        if !keep {
            forget(&address, &call.0);
        }
    }

    /// Runs `work` with the capability at an address and returns its result.
    ///
    /// # Errors
    ///
    /// What `work` returns, or [`error::Error::Io`] when the address cannot be reached.
    pub async fn call<C, T, F, W>(&self, address: name::Name, work: F) -> Result<T, error::Error>
    where
        C: FromClientHook + 'static,
        T: Send + 'static,
        F: FnOnce(C) -> W + Send + 'static,
        W: Future<Output = Result<T, error::Error>>,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.start(address, move |client| async move {
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

    async fn link(
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
        let beats = heartbeats(
            Rc::downgrade(&link),
            self.timers.clone(),
            tx,
            address.clone(),
        );
        local.spawn(beats).detach();
        Ok(link)
    }
}

/// Removes a connection from the ones that new calls use.
fn forget(address: &name::Name, link: &Rc<Link>) {
    LINKS.with_borrow_mut(|links| {
        if links
            .get(address)
            .is_some_and(|known| Rc::ptr_eq(known, link))
        {
            links.remove(address);
        }
    });
}

/// Asks the peer for signs of life while calls are under way; closes `dead` when there are none.
async fn heartbeats(
    link: Weak<Link>,
    timers: timers::Timers,
    dead: async_channel::Sender<()>,
    address: name::Name,
) {
    loop {
        timers.sleep(HEARTBEAT_PERIOD).await;
        let Some(hook) = link.upgrade().map(|link| {
            let busy = link.calls.get() > 0;
            busy.then(|| link.hook.add_ref())
        }) else {
            return;
        };
        let Some(hook) = hook else { continue };
        let alive = timers.within(SILENCE_LIMIT, is_alive(hook)).await;
        if alive != Some(true) {
            break;
        }
    }
    counter!("fulmar_silent_links").increment(1);
    tracing::warn!("link: {address} is silent, the connection is given up.");
    if let Some(link) = link.upgrade() {
        forget(&address, &link);
    }
    dead.close();
}

/// Calls the peer; any answer, even that the call is unknown, is a sign of life.
async fn is_alive(hook: Box<dyn ClientHook>) -> bool {
    let agent = fleet_capnp::agent::Client {
        client: Client::new(hook),
    };
    match agent.ping_request().send().promise.await {
        Ok(_) => true,
        Err(err) => err.kind != capnp::ErrorKind::Disconnected,
    }
}
