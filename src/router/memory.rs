//! The account of the memory that requests and responses hold in a router, and the guards that charge it.
//!
//! The decisions are those of gateways (`coordination::memory`). Tasks of a router run on several threads, so
//! that the guards are shared under locks.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use metrics::{counter, gauge};

use crate::{
    coordination::{
        log_sampling,
        memory::account::{Account, Kind, Phase},
    },
    transport::timers,
};

/// Longest wait for memory, and the interval at which a waiting task asks again.
const MAX_WAIT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Least time between two ends of holdings.
const END_INTERVAL: Duration = Duration::from_millis(10);

/// Tasks that wait for memory at a time. Each leaves bytes unread in the kernel; further ones get no memory at once.
const MAX_WAITING: usize = 64;

/// An event that stays set.
#[derive(Debug, Default)]
pub struct Signal {
    is_set: AtomicBool,
    event: event_listener::Event,
}

impl Signal {
    /// Sets the signal for good.
    ///
    /// ```
    /// let signal = fulmarproxy::router::memory::Signal::default();
    /// signal.set();
    /// smol::block_on(signal.wait());
    /// assert!(signal.is_set());
    /// ```
    pub fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.event.notify(usize::MAX);
    }

    /// Whether the signal is set.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::SeqCst)
    }

    /// Returns a listener, which completes when the signal is set from now on.
    pub fn listen(&self) -> event_listener::EventListener {
        self.event.listen()
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        let listener = self.listen();
        if !self.is_set() {
            listener.await;
        }
    }
}

struct Inner {
    account: Account,
    /// Set when a holding is ended, by its id.
    ends: HashMap<u64, Arc<Signal>>,
    last_end: Duration,
    log_quota: log_sampling::FailureQuota,
}

/// Memory of a process that requests and responses hold.
pub struct Memory {
    inner: Mutex<Inner>,
    timers: timers::Timers,
    freed: event_listener::Event,
    waiting: AtomicUsize,
}

/// The account is short of memory, or the holding was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// Memory that one request or response holds; it is released when its value is dropped.
pub struct Holding {
    memory: Arc<Memory>,
    id: u64,
    kind: Kind,
    end: Arc<Signal>,
}

impl std::fmt::Debug for Holding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Holding").field(&self.id).finish()
    }
}

/// Memory of one request of a caller, and of the answer to it. It is held for as long as the request runs, also
/// without its caller.
#[derive(Debug)]
pub struct CallerMemory {
    /// Charge for the body and its copies.
    pub request: Holding,
    /// Set when the connection is to be closed.
    pub close: Arc<Signal>,
}

impl CallerMemory {
    /// Opens a holding for the answer. The connection is closed when it is ended.
    pub fn open_response(&self) -> Holding {
        let memory = &self.request.memory;
        memory.open(Kind::Response, Phase::Server, self.close.clone())
    }
}

/// Counts a task as waiting for as long as it lives.
struct WaitGuard<'a>(&'a AtomicUsize);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Memory {
    /// Creates an account of `limit` bytes.
    ///
    /// ```
    /// use fulmarproxy::{
    ///     coordination::memory::account::{Kind, Phase},
    ///     router::memory::{Memory, Signal},
    ///     transport::timers,
    /// };
    /// let memory = Memory::new(1 << 20, timers::Timers::default());
    /// let holding = memory.open(Kind::Request, Phase::Caller, Signal::default().into());
    /// assert!(holding.try_charge(60 << 10));
    /// assert_eq!(memory.total(), 60 << 10);
    /// drop(holding);
    /// assert_eq!(memory.total(), 0);
    /// ```
    pub fn new(limit: usize, timers: timers::Timers) -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                account: Account::new(limit),
                ends: HashMap::new(),
                last_end: Duration::ZERO,
                log_quota: log_sampling::FailureQuota::default(),
            }),
            timers,
            freed: event_listener::Event::new(),
            waiting: AtomicUsize::new(0),
        })
    }

    /// Opens an empty holding; `end` is set when it is ended because memory is short.
    pub fn open(self: &Arc<Self>, kind: Kind, phase: Phase, end: Arc<Signal>) -> Holding {
        let mut inner = self.inner.lock().unwrap();
        let id = inner.account.open(kind, phase, self.timers.now());
        inner.ends.insert(id, end.clone());
        Holding {
            memory: self.clone(),
            id,
            kind,
            end,
        }
    }

    /// Largest holding that is granted when nothing else is held, in bytes.
    pub fn largest(&self) -> usize {
        self.inner.lock().unwrap().account.largest()
    }

    /// Bytes held in total.
    pub fn total(&self) -> usize {
        self.inner.lock().unwrap().account.total()
    }

    /// Updates the gauges of the account.
    pub fn update_gauges(&self) {
        let inner = self.inner.lock().unwrap();
        for kind in Kind::ALL {
            let held = inner.account.held(kind) as f64;
            gauge!("fulmar_memory_bytes", "kind" => kind.name()).set(held);
        }
        gauge!("fulmar_memory_limit_bytes").set(inner.account.limit() as f64);
    }

    /// Ends the holding that the account chooses.
    fn end_one(&self) {
        let now = self.timers.now();
        let mut inner = self.inner.lock().unwrap();
        if now < inner.last_end + END_INTERVAL {
            return;
        }
        inner.last_end = now;
        let Some((id, kind, bytes)) = inner.account.end_one(now) else {
            return;
        };
        let kind = kind.name();
        counter!("fulmar_memory_ends", "kind" => kind).increment(1);
        if inner.log_quota.take(now) {
            let (total, limit) = (inner.account.total(), inner.account.limit());
            tracing::info!(
                kind,
                bytes,
                total,
                limit,
                "memory: ended the slowest holding"
            );
        }
        if let Some(end) = inner.ends.get(&id) {
            end.set();
        }
    }
}

impl Holding {
    /// Charges the holding for `bytes` in total, if the account has them. A smaller charge is always granted.
    pub fn try_charge(&self, bytes: usize) -> bool {
        let now = self.memory.timers.now();
        let mut inner = self.memory.inner.lock().unwrap();
        inner.account.charge(self.id, bytes, now)
    }

    /// Charges the holding for `bytes` in total; waits a moment when the account is short.
    ///
    /// # Errors
    ///
    /// [`NoMemory`] when the account stays short or the holding is ended.
    pub async fn charge(&self, bytes: usize) -> Result<(), NoMemory> {
        if self.try_charge(bytes) {
            return Ok(());
        }
        let waited = self.wait_for(bytes).await;
        waited.inspect_err(|_| {
            counter!("fulmar_memory_refusals", "kind" => self.kind.name()).increment(1);
        })
    }

    async fn wait_for(&self, bytes: usize) -> Result<(), NoMemory> {
        let memory = &self.memory;
        if memory.waiting.fetch_add(1, Ordering::SeqCst) >= MAX_WAITING {
            memory.waiting.fetch_sub(1, Ordering::SeqCst);
            return Err(NoMemory);
        }
        let _waiting = WaitGuard(&memory.waiting);
        let give_up = memory.timers.now() + MAX_WAIT;
        while memory.timers.now() < give_up && !self.end.is_set() {
            let freed = memory.freed.listen();
            memory.timers.within(POLL_INTERVAL, freed).await;
            if self.try_charge(bytes) {
                return Ok(());
            }
            memory.end_one();
        }
        Err(NoMemory)
    }

    /// Records that the client sent or took bytes.
    pub fn record_progress(&self) {
        let now = self.memory.timers.now();
        let mut inner = self.memory.inner.lock().unwrap();
        inner.account.record_progress(self.id, now);
    }

    /// Records whom the holding waits for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.memory.timers.now();
        let mut inner = self.memory.inner.lock().unwrap();
        inner.account.set_phase(self.id, phase, now);
    }

    /// Waits until the holding is ended because memory is short.
    pub async fn ended(&self) {
        self.end.wait().await;
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut inner = self.memory.inner.lock().unwrap();
        inner.account.close(self.id);
        inner.ends.remove(&self.id);
        drop(inner);
        self.memory.freed.notify(1);
    }
}
