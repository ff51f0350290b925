//! The platform's key-value store: one client for all parts.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use base64::Engine as _;
use derive_more::{Display, Error};
use serde::Deserialize;

use crate::{
    platform::store_wire::{
        WireConflict, WireDone, WireEvents, WireExpected, WireLease, WirePage, WirePut, WireWrite,
        change, encoded, item,
    },
    transport::{
        h1::{body, conn, connection_pool, dial, fault, head},
        timers,
    },
};

/// Longest wait for the answer of a call; a slow store takes a quarter of a second.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Longest wait for a connection; a round trip takes a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Time that a watch may answer late, beyond the wait that it asked for.
const WATCH_SLACK: Duration = Duration::from_millis(1500);

/// Time that an idle connection to the store is kept.
const IDLE: Duration = Duration::from_secs(5);

/// Name of the call that waits for changes.
const WATCH: &str = "watch";

/// Ways that one call tries at most: straight and two carriers.
const WAYS: u32 = 3;

/// Most bytes of an answer: a page holds about a megabyte, and base64 adds a third.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The store turned the call away; nothing was done.
    #[display("the store refused {call} with status {status}")]
    Refused {
        /// Call.
        call: &'static str,
        /// Status of the answer.
        status: u16,
    },
    /// No usable answer came; a write may have been done, or may yet be.
    #[display("{call} at the store has no answer: {cause}")]
    NoAnswer {
        /// Call.
        call: &'static str,
        /// Cause.
        cause: String,
    },
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value; empty for a key that does not exist.
    pub value: Vec<u8>,
    /// Revision of its last change; 0 for a key that does not exist.
    pub revision: u64,
}

/// Items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Items {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Revision of the store before the first page was read.
    pub store_revision: u64,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Written(Item),
    /// A key was removed.
    Removed(String),
}

/// Answer of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Changes, and the revision to go on from.
    Changes(Vec<Change>, u64),
    /// The store has dropped the history; everything must be read anew.
    HistoryLost,
}

/// A write under conditions.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Revisions that the keys must have; 0 for a key that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys and their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Lease that the written keys end with; 0 for none.
    pub lease: u64,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It was done; the revision that the keys now have.
    Done(u64),
    /// A condition failed; the keys of the conditions as they are.
    Conflict(Vec<Item>),
    /// Its lease has ended.
    LeaseEnded,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id.
    pub id: u64,
    /// Time after which it ends unless it is renewed.
    pub ttl: Duration,
}

/// By which way calls go; the decision is the caller's.
pub struct Way {
    /// Address for the next call.
    pub next: Box<dyn Fn() -> SocketAddr>,
    /// Told whether the call to an address was answered.
    pub ended: Box<dyn Fn(SocketAddr, bool)>,
}

/// Client of the store.
pub struct Store {
    way: Way,
    timers: timers::Timers,
    pool: RefCell<connection_pool::ConnectionPool>,
}

/// Why an exchange has no answer.
enum Failed {
    NotSent(String),
    Unanswered(String),
}

impl Failed {
    fn cause(self) -> String {
        match self {
            Self::NotSent(cause) | Self::Unanswered(cause) => cause,
        }
    }
}

impl From<fault::Fault> for Failed {
    fn from(err: fault::Fault) -> Self {
        Self::Unanswered(err.to_string())
    }
}

struct Answer {
    status: u16,
    body: Vec<u8>,
}

fn parse<'a, T: Deserialize<'a>>(call: &'static str, answer: &'a Answer) -> Result<T, StoreError> {
    let parsed = serde_json::from_slice(&answer.body);
    parsed.map_err(|err| no_answer(call, err.to_string()))
}

fn no_answer(call: &'static str, cause: String) -> StoreError {
    StoreError::NoAnswer { call, cause }
}

fn refused(call: &'static str, status: u16) -> StoreError {
    match status {
        429 | 503 => StoreError::Refused { call, status },
        _ => no_answer(call, format!("status {status} is not expected")),
    }
}

impl Store {
    /// Makes a client whose calls go by a way.
    pub fn new(way: Way, timers: timers::Timers) -> Self {
        Self {
            way,
            timers,
            pool: RefCell::default(),
        }
    }

    /// Reads a key; one that does not exist has the revision 0.
    ///
    /// # Errors
    ///
    /// [`StoreError`] tells whether the store refused or gave no answer.
    pub async fn get(&self, key: &str) -> Result<Item, StoreError> {
        const CALL: &str = "get";
        let path = format!("/kv-key?key={}", encoded(key));
        let answer = self.call(CALL, "GET", &path, None, CALL_LIMIT).await?;
        match answer.status {
            200 => item(parse(CALL, &answer)?).map_err(|cause| no_answer(CALL, cause)),
            404 => Ok(Item {
                key: key.to_owned(),
                value: Vec::new(),
                revision: 0,
            }),
            status => Err(refused(CALL, status)),
        }
    }

    /// Reads all items under a prefix, page by page; a stale read is cheaper and seconds old.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn range(&self, prefix: &str, stale: bool) -> Result<Items, StoreError> {
        const CALL: &str = "range";
        let mut items = Items::default();
        let mut after = String::new();
        loop {
            let mut path = format!("/kv-range?path_prefix={}", encoded(prefix));
            if !after.is_empty() {
                path.push_str(&format!("&after={}", encoded(&after)));
            }
            if stale {
                path.push_str("&stale_ok=1");
            }
            let answer = self.call(CALL, "GET", &path, None, CALL_LIMIT).await?;
            if answer.status != 200 {
                return Err(refused(CALL, answer.status));
            }
            let page: WirePage = parse(CALL, &answer)?;
            if after.is_empty() {
                items.store_revision = page.store_revision;
            }
            for wire in page.items {
                after.clone_from(&wire.key);
                let item = item(wire).map_err(|cause| no_answer(CALL, cause))?;
                items.items.push(item);
            }
            if !page.has_more || after.is_empty() {
                return Ok(items);
            }
        }
    }

    /// Waits for changes under a prefix after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        const CALL: &str = WATCH;
        let path = format!(
            "/kv-watch?path_prefix={}&after={after}&wait_ms={}",
            encoded(prefix),
            wait.as_millis()
        );
        let limit = wait + WATCH_SLACK;
        let answer = self.call(CALL, "GET", &path, None, limit).await?;
        match answer.status {
            200 => {
                let events: WireEvents = parse(CALL, &answer)?;
                let changes: Result<Vec<_>, _> = events.events.into_iter().map(change).collect();
                let changes = changes.map_err(|cause| no_answer(CALL, cause))?;
                Ok(Watched::Changes(changes, events.store_revision))
            }
            410 => Ok(Watched::HistoryLost),
            status => Err(refused(CALL, status)),
        }
    }

    /// Writes under conditions, all or nothing; at most 32 keys.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`]; without an answer the write may have been done, or may yet be.
    pub async fn write(&self, write: &Write) -> Result<Written, StoreError> {
        const CALL: &str = "write";
        let expected = write.expected.iter().map(|(key, revision)| WireExpected {
            key,
            revision: *revision,
        });
        let puts = write.puts.iter().map(|(key, value)| WirePut {
            key,
            value: base64::engine::general_purpose::STANDARD.encode(value),
            lease: write.lease,
        });
        let wire = WireWrite {
            expected_revision: expected.collect(),
            puts: puts.collect(),
            remove: &write.removes,
        };
        let body = serde_json::to_vec(&wire).map_err(|err| no_answer(CALL, err.to_string()))?;
        let answer = self.call(CALL, "POST", "/kv-txn", Some(&body), CALL_LIMIT);
        let answer = answer.await?;
        match answer.status {
            200 => {
                let done: WireDone = parse(CALL, &answer)?;
                Ok(Written::Done(done.revision))
            }
            404 => Ok(Written::LeaseEnded),
            412 => {
                let conflict: WireConflict = parse(CALL, &answer)?;
                let items: Result<Vec<_>, _> = conflict.items.into_iter().map(item).collect();
                let items = items.map_err(|cause| no_answer(CALL, cause))?;
                Ok(Written::Conflict(items))
            }
            status => Err(refused(CALL, status)),
        }
    }

    /// Takes a lease.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn lease(&self, ttl: Duration) -> Result<Lease, StoreError> {
        const CALL: &str = "lease";
        let body = format!("{{\"ttl_ms\":{}}}", ttl.as_millis());
        let answer = self.call(CALL, "POST", "/kv-lease", Some(body.as_bytes()), CALL_LIMIT);
        let answer = answer.await?;
        if answer.status != 200 {
            return Err(refused(CALL, answer.status));
        }
        let lease: WireLease = parse(CALL, &answer)?;
        Ok(Lease {
            id: lease.lease,
            ttl: Duration::from_millis(lease.ttl_ms),
        })
    }

    /// Renews a lease; false when it has ended.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn keep(&self, lease: u64) -> Result<bool, StoreError> {
        const CALL: &str = "keep";
        let path = format!("/kv-keep/{lease}");
        let answer = self
            .call(CALL, "POST", &path, Some(b""), CALL_LIMIT)
            .await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(refused(CALL, status)),
        }
    }

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// As for [`Store::get`].
    pub async fn end(&self, lease: u64) -> Result<(), StoreError> {
        const CALL: &str = "end";
        let path = format!("/kv-lease-end/{lease}");
        let answer = self.call(CALL, "DELETE", &path, None, CALL_LIMIT).await?;
        match answer.status {
            200 | 204 | 404 => Ok(()),
            status => Err(refused(CALL, status)),
        }
    }

    /// Makes a call, by another way when the first certainly did nothing or only read. A watch
    /// that was cut ends with an error: its history may be gone, and only a new read tells.
    async fn call(
        &self,
        call: &'static str,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        limit: Duration,
    ) -> Result<Answer, StoreError> {
        let mut ways = 0;
        loop {
            ways += 1;
            let address = (self.way.next)();
            let began = self.timers.now();
            let exchange = self.exchange(address, method, path, body);
            let outcome = match self.timers.within(limit, exchange).await {
                Some(outcome) => outcome,
                None => Err(Failed::Unanswered(format!("none within {limit:?}"))),
            };
            let refused = matches!(&outcome, Ok(answer) if matches!(answer.status, 429 | 503));
            let took = self.timers.now() - began;
            metrics::counter!("fulmar_gateway_store_calls_total", "call" => call).increment(1);
            if call != WATCH {
                metrics::histogram!("fulmar_gateway_store_seconds").record(took.as_secs_f64());
            }
            tracing::debug!(call, path, %address, ?took, refused, "store: call ended");
            (self.way.ended)(address, outcome.is_ok() && !refused);
            let harmless = match &outcome {
                Ok(_) => refused,
                Err(Failed::NotSent(_)) => true,
                Err(Failed::Unanswered(_)) => method == "GET" && call != WATCH,
            };
            if !harmless || ways == WAYS {
                return outcome.map_err(|failed| no_answer(call, failed.cause()));
            }
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<Answer, Failed> {
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
        let answer = head::read_answer(&mut conn).await?;
        let framing = body::answer_framing(&answer, method)?;
        let mut reader = body::Body::new(framing);
        let whole = reader.read_all(&mut conn, MAX_ANSWER_BYTES).await?;
        if answer.keeps_alive() && framing != body::Framing::Close {
            let until = self.timers.now() + IDLE;
            self.pool.borrow_mut().put(address, conn, until);
        }
        Ok(Answer {
            status: answer.status,
            body: whole,
        })
    }

    async fn connection(&self, address: SocketAddr) -> Result<conn::Conn, Failed> {
        let now = self.timers.now();
        if let Some(conn) = self.pool.borrow_mut().take(address, now) {
            return Ok(conn);
        }
        let connected = dial::connect(address, CONNECT_LIMIT, &self.timers).await;
        connected.map_err(|err| Failed::NotSent(format!("no connection: {err}")))
    }
}
