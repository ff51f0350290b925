//! Client of the platform's key-value store, which all parts of a gateway share.
//!
//! The store speaks HTTP/1.1 with JSON bodies. It offers reads, watches, conditional writes and
//! leases.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base64::Engine as _;
use derive_more::{Display, Error};
use serde::Deserialize;

use crate::{
    coordination::{configuration::arrival, era, overload::late_timeouts},
    platform::store_call,
    platform::store_wire::{
        WireApplied, WireCondition, WireConflict, WireEvents, WireItem, WireLease, WirePage,
        WirePut, WireWrite, decode_change, decode_item, percent_encode,
    },
    transport::{
        h1::{body, conn, connection_pool, dial, fault, head},
        round_trips, timers,
    },
};

/// Time limit for connecting. A round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an idle connection to the store is kept for the next call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Part of an earlier response time that counts after another call. A gateway makes two calls every
/// five seconds when nothing changes, so a slow one is forgotten after about twenty seconds.
const RESPONSE_TIME_DECAY: f64 = 0.75;

/// Name of the watch call in metrics, logs and errors.
const WATCH: &str = "watch";

/// Maximum number of attempts at one call: one directly and two through carriers.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum size of a response body in bytes. A page holds about a megabyte, and base64 adds a
/// third.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store refused the call and did nothing.
    #[display("the store refused {call} with status {status}")]
    Refused {
        /// Name of the call.
        call: &'static str,
        /// HTTP status of the response.
        status: u16,
    },
    /// No usable response arrived. A write may have been applied, or may still be.
    #[display("the store gave no usable response to {call}: {cause}")]
    NoResponse {
        /// Name of the call.
        call: &'static str,
        /// What went wrong.
        cause: String,
    },
}

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; empty for a key that does not exist.
    pub value: Vec<u8>,
    /// Revision at which the key was last written; 0 for a key that does not exist.
    pub revision: u64,
    /// Era of the store to which the revision belongs; 0 when the store names none. A revision
    /// number may be given out again in a later era.
    pub era: u64,
}

/// All items whose keys start with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Items {
    /// Items, sorted by key.
    pub items: Vec<Item>,
    /// Revision of the store when the first page was read. A watch from this revision also sees
    /// changes that were made while later pages were read.
    pub store_revision: u64,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was deleted.
    Deleted(String),
}

/// Revisions that the response to a watch names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRevisions {
    /// Revision of the newest change; 0 without changes.
    pub newest: u64,
    /// Revision up to which the response is complete, from which to continue watching.
    pub through: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, and the revision from which to continue watching.
    Changes(Vec<Change>, WatchRevisions),
    /// The store no longer has the history from the requested revision on; the items must be read
    /// again.
    HistoryLost,
    /// The response was not read, because the caller of [`Store::watch`] declined it.
    NotRead,
}

/// A conditional write, applied as a whole or not at all.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub conditions: Vec<(String, u64)>,
    /// Keys and their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Id of the lease whose end deletes the written keys; 0 for none.
    pub lease: u64,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was applied; the written keys have this revision now.
    Applied(u64),
    /// A condition failed and nothing was written; the current items of the conditions' keys.
    Conflict(Vec<Item>),
    /// The write's lease has ended, and nothing was written.
    LeaseEnded,
}

/// A lease: keys written under it are deleted when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: u64,
    /// Time to live; the lease ends unless it is renewed within this time.
    pub ttl: Duration,
}

/// Chooses the address of each call, directly at the store or at a carrier.
pub struct RouteCallbacks {
    /// Returns the address for the next attempt at a call.
    pub next_address: Box<dyn Fn() -> SocketAddr>,
    /// Receives the address of each attempt and whether it was answered and not refused.
    pub record_outcome: Box<dyn Fn(SocketAddr, bool)>,
}

/// Client of the platform's key-value store.
pub struct Store {
    route: RouteCallbacks,
    timers: timers::Timers,
    round_trips: Rc<round_trips::RoundTrips>,
    pool: RefCell<connection_pool::ConnectionPool>,
    eras: RefCell<era::Eras>,
    response_time: Cell<Duration>,
    answered_at: Cell<Duration>,
    late_timeouts: RefCell<late_timeouts::LateTimeouts>,
    /// Notified when a new era begins.
    era_began: event_listener::Event,
}

fn parse<'a, T: Deserialize<'a>>(
    call: &'static str,
    response: &'a store_call::Response,
) -> Result<T, StoreError> {
    let body = response.body.as_deref().unwrap_or_default();
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|err| no_response(call, err.to_string()))
}

fn no_response(call: &'static str, cause: String) -> StoreError {
    StoreError::NoResponse { call, cause }
}

/// Error when a response on which tokens may be granted names no era although the store has eras.
fn require_era(call: &'static str, response: &store_call::Response) -> Result<(), StoreError> {
    match response.verdict {
        era::Verdict::Unnamed => Err(no_response(call, "the response names no era".to_owned())),
        _ => Ok(()),
    }
}

/// Error for a status that `call` does not expect. With 429 and 503 the store states that it did
/// nothing.
fn status_error(call: &'static str, status: u16) -> StoreError {
    match status {
        429 | 503 => StoreError::Refused { call, status },
        _ => no_response(call, format!("unexpected status {status}")),
    }
}

impl Store {
    /// Creates a client that sends its calls to the addresses that `route` chooses.
    pub fn new(route: RouteCallbacks, timers: timers::Timers) -> Self {
        let round_trips = Rc::new(round_trips::RoundTrips::new(timers.clone()));
        Self::over(route, timers, round_trips)
    }

    /// As [`Self::new`], for a process that records the round trips of its other calls too.
    pub fn over(
        route: RouteCallbacks,
        timers: timers::Timers,
        round_trips: Rc<round_trips::RoundTrips>,
    ) -> Self {
        Self {
            route,
            timers,
            round_trips,
            pool: RefCell::default(),
            eras: RefCell::default(),
            response_time: Cell::default(),
            answered_at: Cell::default(),
            late_timeouts: RefCell::default(),
            era_began: event_listener::Event::new(),
        }
    }

    /// Longest time until the response to a recent call began, except watches; earlier ones count for less.
    pub fn response_time(&self) -> Duration {
        self.response_time.get()
    }

    /// Time at which bytes of a response last arrived.
    pub fn answered_at(&self) -> Duration {
        self.answered_at.get()
    }

    /// Newest era of the store that its responses have named; 0 when they name none.
    pub fn era(&self) -> u64 {
        self.eras.borrow().newest()
    }

    /// Waits until the store names an era later than `era`.
    pub async fn wait_for_era_after(&self, era: u64) {
        loop {
            let began = self.era_began.listen();
            if self.era() > era {
                return;
            }
            began.await;
        }
    }

    /// Reads a key. A key that does not exist gives an item with revision 0.
    ///
    /// # Errors
    ///
    /// [`StoreError`] tells whether the store refused the call or gave no usable response.
    pub async fn get(&self, key: &str) -> Result<Item, StoreError> {
        const CALL: &str = "get";
        let path = format!("/kv-key?key={}", percent_encode(key));
        let response = self.call(store_call::Call::get(CALL, &path)).await?;
        require_era(CALL, &response)?;
        let era = self.era();
        match response.status {
            200 => Ok(decode_item(parse(CALL, &response)?, era)),
            404 => Ok(Item {
                key: key.to_owned(),
                value: Vec::new(),
                revision: 0,
                era,
            }),
            status => Err(status_error(CALL, status)),
        }
    }

    /// Reads all items whose keys start with a prefix, page by page.
    ///
    /// With `stale` the read is cheaper, but its items may be seconds old.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn range(&self, prefix: &str, stale: bool) -> Result<Items, StoreError> {
        const CALL: &str = "range";
        let mut items = Items::default();
        let mut after = String::new();
        loop {
            let mut path = format!("/kv-range?path_prefix={}", percent_encode(prefix));
            if !after.is_empty() {
                path.push_str(&format!("&after={}", percent_encode(&after)));
            }
            if stale {
                path.push_str("&stale_ok=1");
            }
            let response = self.call(store_call::Call::get(CALL, &path)).await?;
            if response.status != 200 {
                return Err(status_error(CALL, response.status));
            }
            let page: WirePage = parse(CALL, &response)?;
            if after.is_empty() {
                items.store_revision = page.store_revision;
            } else if response.verdict == era::Verdict::Newer {
                return Err(no_response(CALL, "an era began between pages".to_owned()));
            }
            for wire in page.items {
                after.clone_from(&wire.key);
                items.items.push(decode_item(wire, self.era()));
            }
            if !page.has_more || after.is_empty() {
                return Ok(items);
            }
        }
    }

    /// Waits at most `wait` for changes of keys that start with a prefix, after revision `after`. `began` is
    /// called with the announced length when the head of a successful response has arrived, and returns whether to read
    /// it.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        began: &dyn Fn(Option<u64>) -> bool,
    ) -> Result<WatchOutcome, StoreError> {
        const CALL: &str = WATCH;
        let path = format!(
            "/kv-watch?path_prefix={}&after={after}&wait_ms={}",
            percent_encode(prefix),
            wait.as_millis()
        );
        let era = self.era();
        let call = store_call::Call {
            timeout: wait + store_call::CALL_TIMEOUT,
            began,
            ..store_call::Call::get(CALL, &path)
        };
        let watching = async { Some(self.call(call).await) };
        let era_ended = async {
            self.wait_for_era_after(era).await;
            None
        };
        let Some(response) = smol::future::or(watching, era_ended).await else {
            return Ok(WatchOutcome::HistoryLost);
        };
        let response = response?;
        if self.era() != era {
            return Ok(WatchOutcome::HistoryLost);
        }
        match response.status {
            200 if response.body.is_none() => Ok(WatchOutcome::NotRead),
            200 => {
                let events: WireEvents = parse(CALL, &response)?;
                let through = events.store_revision;
                let revision = |event: &WireItem| match event.revision {
                    0 => through,
                    named => named,
                };
                let newest = events.events.iter().map(revision).max().unwrap_or(0);
                let changes = events.events.into_iter();
                let changes = changes.map(|event| decode_change(event, era)).collect();
                let revisions = WatchRevisions { newest, through };
                Ok(WatchOutcome::Changes(changes, revisions))
            }
            410 => Ok(WatchOutcome::HistoryLost),
            status => Err(status_error(CALL, status)),
        }
    }

    /// Closes the idle connections that have expired or that the other side has closed; returns their
    /// number.
    pub fn close_expired(&self) -> usize {
        self.pool.borrow_mut().sweep(self.timers.now())
    }

    /// Closes the idle connections, which may have gone silent together with that of a watch that was
    /// ended without a response.
    pub fn close_idle(&self) {
        *self.pool.borrow_mut() = connection_pool::ConnectionPool::default();
    }

    /// Applies a conditional write as a whole or not at all. The store accepts at most 32 keys.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`]. After [`StoreError::NoResponse`] the write may have been applied, or
    /// may still be.
    pub async fn write(&self, write: &Write) -> Result<WriteOutcome, StoreError> {
        const CALL: &str = "write";
        let conditions = write
            .conditions
            .iter()
            .map(|(key, revision)| WireCondition {
                key,
                revision: *revision,
            });
        let puts = write.puts.iter().map(|(key, value)| WirePut {
            key,
            value: base64::engine::general_purpose::STANDARD.encode(value),
            lease: write.lease,
        });
        let wire = WireWrite {
            expected_revision: conditions.collect(),
            puts: puts.collect(),
            remove: &write.deletes,
        };
        let body = serde_json::to_vec(&wire).map_err(|err| no_response(CALL, err.to_string()))?;
        let era = self.era();
        let response = self
            .call(store_call::Call::post(CALL, "/kv-txn", &body))
            .await?;
        require_era(CALL, &response)?;
        if self.era() != era {
            // The write was planned on what the store may have forgotten.
            return Err(no_response(CALL, "an era began meanwhile".to_owned()));
        }
        match response.status {
            200 => {
                let applied: WireApplied = parse(CALL, &response)?;
                Ok(WriteOutcome::Applied(applied.revision))
            }
            404 => Ok(WriteOutcome::LeaseEnded),
            412 => {
                let conflict: WireConflict = parse(CALL, &response)?;
                let items = conflict.items.into_iter();
                let items = items.map(|item| decode_item(item, era)).collect();
                Ok(WriteOutcome::Conflict(items))
            }
            status => Err(status_error(CALL, status)),
        }
    }

    /// Asks the store for a lease.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn grant_lease(&self, ttl: Duration) -> Result<Lease, StoreError> {
        const CALL: &str = "lease";
        let body = format!("{{\"ttl_ms\":{}}}", ttl.as_millis());
        let call = store_call::Call::post(CALL, "/kv-lease", body.as_bytes());
        let response = self.call(call).await?;
        if response.status != 200 {
            return Err(status_error(CALL, response.status));
        }
        let lease: WireLease = parse(CALL, &response)?;
        Ok(Lease {
            id: lease.lease,
            ttl: Duration::from_millis(lease.ttl_ms),
        })
    }

    /// Renews a lease; returns false when it has ended.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        const CALL: &str = "keep";
        let path = format!("/kv-keep/{lease}");
        let response = self.call(store_call::Call::post(CALL, &path, b"")).await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(status_error(CALL, status)),
        }
    }

    /// Ends a lease, which deletes its keys.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        const CALL: &str = "end";
        let path = format!("/kv-lease-end/{lease}");
        let call = store_call::Call {
            method: "DELETE",
            ..store_call::Call::get(CALL, &path)
        };
        let response = self.call(call).await?;
        match response.status {
            200 | 204 | 404 => Ok(()),
            status => Err(status_error(CALL, status)),
        }
    }

    /// Makes a call, with up to [`MAX_ATTEMPTS`] attempts, each to the address that the route
    /// chooses.
    ///
    /// Another attempt follows only when the previous one certainly did nothing or was a read. An
    /// interrupted watch is not retried but ends with an error: the store may have dropped the
    /// history since, so the items must be read again.
    async fn call(&self, req: store_call::Call<'_>) -> Result<store_call::Response, StoreError> {
        let call = req.name;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let timeout = req.timeout + self.round_trips.patience();
            let address = (self.route.next_address)();
            let started = self.timers.now();
            let arriving = store_call::Arriving::new(call, &self.timers, started + timeout);
            // Boxed, as the futures of all callers would grow by it.
            let outcome = Box::pin(self.exchange(address, req, &arriving)).await;
            let arrival = arriving.arrival.get();
            drop(arriving);
            let counts = match &outcome {
                Err(store_call::AttemptError::TimedOut) => {
                    self.handle_timeout(call, address, arrival)
                }
                _ => true,
            };
            let outcome = outcome.and_then(|response| self.judge_era(call, address, response));
            let refused = matches!(&outcome, Ok(response) if matches!(response.status, 429 | 503));
            let took = self.timers.now() - started;
            metrics::counter!("fulmar_gateway_store_calls_total", "call" => call).increment(1);
            if call != WATCH {
                metrics::histogram!("fulmar_gateway_store_seconds").record(took.as_secs_f64());
                let earlier = self.response_time.get().mul_f64(RESPONSE_TIME_DECAY);
                let until_begun = arrival.began_at.map_or(took, |at| at - started);
                self.response_time.set(earlier.max(until_begun));
            }
            tracing::debug!(call, path = req.path, %address, ?took, refused, "store: call ended");
            let answered = outcome.is_ok() && !refused;
            if answered {
                if call != WATCH {
                    self.round_trips.record_answer(started);
                }
                self.late_timeouts.borrow_mut().record_answer(address);
            }
            if answered || counts {
                (self.route.record_outcome)(address, answered);
            }
            let can_retry = match &outcome {
                Ok(_) => refused,
                Err(store_call::AttemptError::NotSent(_)) => true,
                Err(
                    store_call::AttemptError::NoResponse(_) | store_call::AttemptError::TimedOut,
                ) => req.method == "GET" && call != WATCH,
            };
            if !can_retry || attempts == MAX_ATTEMPTS {
                return outcome.map_err(|err| no_response(call, err.cause()));
            }
        }
    }

    /// Records that a call timed out; returns whether this counts against the address.
    fn handle_timeout(
        &self,
        call: &'static str,
        address: SocketAddr,
        arrival: arrival::Arrival,
    ) -> bool {
        metrics::counter!("fulmar_gateway_store_timeouts_total", "call" => call).increment(1);
        if !self.round_trips.is_slow() {
            // Idle connections may have gone silent together with this one.
            self.pool.borrow_mut().close_all(address);
        }
        let late = self.timers.now().saturating_sub(arrival.due());
        let own_delay_ms = self.round_trips.delay().as_millis() as u64;
        let (received, announced) = (arrival.received, arrival.announced);
        tracing::info!(call, %address, own_delay_ms, ?late, received, announced, "store: a call timed out");
        self.counts_timeout(address, late)
    }

    /// Whether a timeout counts against an address. It does not while the own VM is slow, or when the timer
    /// itself fired `late` after its time, since the process then did not read a response in time either.
    fn counts_timeout(&self, address: SocketAddr, late: Duration) -> bool {
        let is_slow = self.round_trips.is_slow();
        let mut timeouts = self.late_timeouts.borrow_mut();
        let counts = !is_slow && timeouts.record(address, store_call::CALL_TIMEOUT, late);
        if !counts {
            metrics::counter!("fulmar_gateway_late_timeouts_total", "call" => "store").increment(1);
            tracing::info!(%address, ?late, is_slow, "store: no response while the own loop or link was late");
        }
        counts
    }

    /// Takes note of the era that a response names; a response of an earlier era is none.
    fn judge_era(
        &self,
        call: &'static str,
        address: SocketAddr,
        mut response: store_call::Response,
    ) -> Result<store_call::Response, store_call::AttemptError> {
        let known = self.era();
        response.verdict = self.eras.borrow_mut().observe(response.named_era);
        let named = response.named_era;
        match response.verdict {
            era::Verdict::Current => (),
            era::Verdict::Newer => {
                let era = self.era();
                metrics::gauge!("fulmar_gateway_store_era").set(era as f64);
                tracing::info!(era, known, %address, "store: an era began");
                self.era_began.notify(usize::MAX);
            }
            era::Verdict::Older => {
                metrics::counter!("fulmar_gateway_store_era_faults_total", "kind" => "older")
                    .increment(1);
                tracing::warn!(call, ?named, known, %address, "store: response of an earlier era");
                let cause = format!("a response of an earlier era than {known}");
                return Err(store_call::AttemptError::NoResponse(cause));
            }
            era::Verdict::Unnamed => {
                metrics::counter!("fulmar_gateway_store_era_faults_total", "kind" => "unnamed")
                    .increment(1);
                tracing::warn!(call, ?named, known, %address, "store: response names no era");
            }
        }
        Ok(response)
    }

    /// Sends a request and reads the response, on one connection.
    async fn exchange(
        &self,
        address: SocketAddr,
        req: store_call::Call<'_>,
        arriving: &store_call::Arriving<'_>,
    ) -> Result<store_call::Response, store_call::AttemptError> {
        let sent = arriving.within(self.send(address, req)).await;
        let (mut conn, response) = sent.unwrap_or(Err(store_call::AttemptError::TimedOut))?;
        let framing = body::response_framing(&response, req.method)?;
        let mut reader = body::Body::new(framing);
        let limit = || arrival::STALL_TIMEOUT + self.round_trips.patience();
        arriving.update(|arrival| {
            let now = self.timers.now();
            self.answered_at.set(now);
            arrival.begin(reader.missing(), now, limit());
            arrival.record(conn.unread().len() as u64, now, limit());
        });
        if response.status == 200 && !(req.began)(reader.missing()) {
            return Ok(store_call::Response::without_body(&response));
        }
        let fill = async |body: &mut body::Body, conn: &mut conn::Conn| {
            let before = conn.unread().len();
            let filled = arriving.within(body.fill(conn)).await;
            filled.unwrap_or(Err(fault::Fault::TooSlow("the rest of a response")))?;
            let bytes = conn.unread().len().saturating_sub(before) as u64;
            let now = self.timers.now();
            self.answered_at.set(now);
            arriving.update(|arrival| arrival.record(bytes, now, limit()));
            Ok(())
        };
        let reading = reader.read_all_by(&mut conn, MAX_RESPONSE_BYTES, fill);
        let response_body = reading.await?;
        arriving.is_whole.set(true);
        if response.keeps_alive() && framing != body::Framing::Close {
            let until = self.timers.now() + IDLE_TIMEOUT;
            self.pool.borrow_mut().put(address, conn, until);
        }
        Ok(store_call::Response {
            body: Some(response_body),
            ..store_call::Response::without_body(&response)
        })
    }

    /// Sends a request and reads the head of the response.
    async fn send(
        &self,
        address: SocketAddr,
        req: store_call::Call<'_>,
    ) -> Result<(conn::Conn, head::ResponseHead), store_call::AttemptError> {
        let store_call::Call {
            method, path, body, ..
        } = req;
        let mut conn = self.connection(address).await?;
        let mut request = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n");
        if let Some(body) = body {
            request.push_str("Content-Type: application/json\r\n");
            request.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        request.push_str("\r\n");
        let mut bytes = request.into_bytes();
        bytes.extend_from_slice(body.unwrap_or_default());
        conn.write(&bytes).await?;
        let response = head::read_response(&mut conn).await?;
        Ok((conn, response))
    }

    /// Returns an idle connection to an address, or opens one.
    async fn connection(
        &self,
        address: SocketAddr,
    ) -> Result<conn::Conn, store_call::AttemptError> {
        let now = self.timers.now();
        if let Some(conn) = self.pool.borrow_mut().take(address, now, |_| true) {
            return Ok(conn);
        }
        let limit = CONNECT_TIMEOUT + self.round_trips.patience();
        let connected = dial::connect(address, limit, &self.timers).await;
        connected.map_err(|err| store_call::AttemptError::NotSent(format!("cannot connect: {err}")))
    }
}
