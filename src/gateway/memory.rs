//! The account of the memory that requests and responses hold, and the guards that charge it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use metrics::{counter, gauge};

use crate::{
    coordination::{
        log_sampling,
        memory::account::{Account, Kind, Phase},
    },
    transport::{
        h1::{conn, fault},
        timers,
    },
};

/// Longest wait for memory; it leaves the caller time for another attempt.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Interval at which a waiting task asks again, and least time between two ends of holdings.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const END_INTERVAL: Duration = Duration::from_millis(10);

/// Tasks that wait for memory of one kind at a time. Each leaves bytes unread in the kernel, up to the size of its socket's
/// buffer; further ones get no memory at once.
const MAX_WAITING: usize = 64;

/// Size up to which a buffer is not charged, in bytes. Most events of streams are smaller.
pub const FREE_BYTES: usize = 4 * 1024;

/// Memory of a process that requests and responses hold.
pub struct Memory {
    account: RefCell<Account>,
    timers: timers::Timers,
    freed: event_listener::Event,
    /// Notified when a holding is ended, by its id; only for those whose end is awaited.
    ends: RefCell<HashMap<u64, Rc<event_listener::Event>>>,
    /// Tasks that wait, for requests and for responses.
    waiting: [Cell<usize>; 2],
    last_end: Cell<Duration>,
    log_quota: RefCell<log_sampling::FailureQuota>,
}

/// Memory that one request or response holds; it is released when its value is dropped.
pub struct Holding {
    memory: Rc<Memory>,
    id: u64,
    kind: Kind,
}

/// Counts a task as waiting for as long as it lives.
struct WaitGuard<'a>(&'a Cell<usize>);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Memory {
    /// Creates an account of `limit` bytes.
    pub fn new(limit: usize, timers: timers::Timers) -> Rc<Self> {
        Rc::new(Self {
            account: RefCell::new(Account::new(limit)),
            timers,
            freed: event_listener::Event::new(),
            ends: RefCell::default(),
            waiting: Default::default(),
            last_end: Cell::new(Duration::ZERO),
            log_quota: RefCell::default(),
        })
    }

    /// Changes the limit of the account.
    pub fn set_limit(&self, limit: usize) {
        self.account.borrow_mut().set_limit(limit);
    }

    /// Opens an empty holding.
    pub fn open(self: &Rc<Self>, kind: Kind, phase: Phase) -> Holding {
        let id = self
            .account
            .borrow_mut()
            .open(kind, phase, self.timers.now());
        Holding {
            memory: self.clone(),
            id,
            kind,
        }
    }

    /// Bytes held in total.
    pub fn total(&self) -> usize {
        self.account.borrow().total()
    }

    /// Updates the gauges of the account.
    pub fn update_gauges(&self) {
        let account = self.account.borrow();
        for kind in Kind::ALL {
            let held = account.held(kind) as f64;
            gauge!("fulmar_gateway_memory_bytes", "kind" => kind.name()).set(held);
        }
        gauge!("fulmar_gateway_memory_limit_bytes").set(account.limit() as f64);
    }

    /// Ends the holding that the account chooses.
    fn end_one(&self) {
        let now = self.timers.now();
        if now < self.last_end.get() + END_INTERVAL {
            return;
        }
        self.last_end.set(now);
        let mut account = self.account.borrow_mut();
        let Some((id, kind, bytes)) = account.end_one(now) else {
            return;
        };
        counter!("fulmar_gateway_memory_ends_total", "kind" => kind.name()).increment(1);
        if self.log_quota.borrow_mut().take(now) {
            let (kind, total, limit) = (kind.name(), account.total(), account.limit());
            tracing::info!(
                kind,
                bytes,
                total,
                limit,
                "memory: ended the slowest holding"
            );
        }
        if let Some(end) = self.ends.borrow().get(&id) {
            end.notify(usize::MAX);
        }
    }
}

impl Holding {
    /// Charges the holding for `bytes` in total, if the account has them.
    pub fn try_charge(&self, bytes: usize) -> bool {
        let now = self.memory.timers.now();
        self.memory.account.borrow_mut().charge(self.id, bytes, now)
    }

    /// Charges the holding for `bytes` in total; waits a moment when the account is short.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::NoMemory`] when the account stays short or the holding is ended.
    pub async fn charge(&self, bytes: usize) -> Result<(), fault::Fault> {
        if self.try_charge(bytes) {
            return Ok(());
        }
        self.wait_for(bytes).await.inspect_err(|_| {
            counter!("fulmar_gateway_memory_refusals_total", "kind" => self.kind.name())
                .increment(1);
        })
    }

    async fn wait_for(&self, bytes: usize) -> Result<(), fault::Fault> {
        let memory = &self.memory;
        let waiting = &memory.waiting[usize::from(self.kind == Kind::Response)];
        if waiting.get() >= MAX_WAITING {
            return Err(self.no_memory());
        }
        waiting.set(waiting.get() + 1);
        let _waiting = WaitGuard(waiting);
        let give_up = memory.timers.now() + MAX_WAIT;
        while memory.timers.now() < give_up && !self.is_ended() {
            let freed = memory.freed.listen();
            memory.timers.within(POLL_INTERVAL, freed).await;
            if self.try_charge(bytes) {
                return Ok(());
            }
            memory.end_one();
        }
        Err(self.no_memory())
    }

    /// The fault of a holding for which there is no memory.
    pub fn no_memory(&self) -> fault::Fault {
        fault::Fault::NoMemory(self.kind.name())
    }

    /// Records that the client sent or took bytes.
    pub fn record_progress(&self) {
        let now = self.memory.timers.now();
        self.memory
            .account
            .borrow_mut()
            .record_progress(self.id, now);
    }

    /// Writes bytes that the holding is charged for to a caller. The write ends when memory is short and the caller
    /// takes them slowly.
    ///
    /// # Errors
    ///
    /// [`fault::Fault`] when the socket fails or the holding is ended.
    pub async fn write_to(
        &self,
        caller: &mut conn::Conn,
        bytes: &[u8],
    ) -> Result<(), fault::Fault> {
        self.set_phase(Phase::Caller);
        let writing = caller.write_in_parts(bytes, || self.record_progress());
        smol::future::or(writing, async { Err(self.ended().await) }).await?;
        self.set_phase(Phase::Server);
        Ok(())
    }

    /// Records whom the holding waits for from now on.
    pub fn set_phase(&self, phase: Phase) {
        let now = self.memory.timers.now();
        self.memory
            .account
            .borrow_mut()
            .set_phase(self.id, phase, now);
    }

    fn is_ended(&self) -> bool {
        self.memory.account.borrow().is_ended(self.id)
    }

    /// Waits until the holding is ended because memory is short, and returns the fault for it.
    pub async fn ended(&self) -> fault::Fault {
        let event = Rc::new(event_listener::Event::new());
        let ended = event.listen();
        self.memory.ends.borrow_mut().insert(self.id, event);
        if !self.is_ended() {
            ended.await;
        }
        self.no_memory()
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.memory.account.borrow_mut().close(self.id);
        self.memory.ends.borrow_mut().remove(&self.id);
        self.memory.freed.notify(1);
    }
}
