//! Stand-in for the key-value store of the platform that places gateways, written from its
//! documentation. Its client is [`crate::platform::store`].

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base64::Engine as _;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::transport::{
    h1::{body, conn, fault, head},
    timers,
};

/// Maximum size of a request's head and of its body, in bytes.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// Size from which on a response may be one that [`Faults::stalled_responses`] stops, in bytes.
const MIN_STALLED_BYTES: usize = 100_000;

/// State of the store at a time, from which it can come back.
struct Copy {
    taken_at: Duration,
    entries: BTreeMap<String, Entry>,
    revision: u64,
}

/// Current value of a key.
#[derive(Clone, Debug)]
struct Entry {
    /// Value in base64.
    value: String,
    revision: u64,
    lease: u64,
}

/// A past change of a key, for watches.
#[derive(Clone, Debug)]
struct HistoryEntry {
    key: String,
    revision: u64,
    /// Value in base64; `None` when the key was removed.
    value: Option<String>,
}

/// Faults that a test switches on.
#[derive(Default)]
pub struct Faults {
    /// Whether all calls are refused with status 503.
    pub unavailable: Cell<bool>,
    /// Number of further writes that take effect and whose connection is closed without a response.
    pub dropped_responses: Cell<u32>,
    /// Number of further writes that take effect and never get a response, while the connection
    /// stays open.
    pub hanging_responses: Cell<u32>,
    /// Number of further watches whose responses are lost. Their connections stay open and return
    /// nothing further.
    pub lost_watches: Cell<u32>,
    /// Number of further watches that are refused with status 503.
    pub refused_watches: Cell<u32>,
    /// Number of further responses of 100 kB or more that stop in their middle, while the connection stays open.
    pub stalled_responses: Cell<u32>,
    /// Number of connections, in the order in which they were accepted, that return nothing further.
    pub silent_connections: Cell<u32>,
    /// Number of further conditional writes that conflict, as with another writer's.
    pub conflicting_writes: Cell<u32>,
    /// Whether watches report no changes.
    pub mutes_watches: Cell<bool>,
    /// Number of further responses whose `Store-Era` header has this text instead of the era; an
    /// empty text leaves the header out.
    pub wrong_eras: RefCell<Vec<String>>,
}

/// An in-memory store.
#[derive(Default)]
pub struct PlatformStore {
    entries: RefCell<BTreeMap<String, Entry>>,
    history: RefCell<Vec<HistoryEntry>>,
    revision: Cell<u64>,
    /// Revision up to which the history has been discarded.
    compacted_revision: Cell<u64>,
    /// Era that responses name; 0 for none.
    era: Cell<u64>,
    /// States after each change while the store has eras, oldest first.
    copies: RefCell<Vec<Copy>>,
    timers: timers::Timers,
    /// Notified after each change.
    changed: event_listener::Event,
    /// Notified when waiting watches are to be cut off.
    watches_cancelled: event_listener::Event,
    /// Faults of the store.
    pub faults: Faults,
    /// Number of calls received, by path.
    pub calls: RefCell<BTreeMap<String, u32>>,
    /// Number of connections accepted.
    pub connections: Cell<u32>,
}

#[derive(Deserialize)]
struct WriteRequest {
    #[serde(default)]
    expected_revision: Vec<ExpectedRevision>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct ExpectedRevision {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

/// Value of a query parameter in a request target; empty when it is missing.
fn query_parameter<'a>(target: &'a str, name: &str) -> &'a str {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found.next().map_or("", |(_, value)| value)
}

impl PlatformStore {
    /// Writes a value directly, in place of the operator or a backend server.
    pub fn put(&self, key: &str, value: &str) {
        self.put_bytes(key, value.as_bytes());
    }

    /// As [`Self::put`], for a value that need not be text.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.put_encoded(
            key,
            &base64::engine::general_purpose::STANDARD.encode(value),
        );
    }

    /// As [`Self::put`], for a value that need not be base64; responses contain it as it is.
    pub fn put_encoded(&self, key: &str, value: &str) {
        self.apply(key, Some(value.to_owned()), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.apply(key, None, 0);
    }

    /// The decoded value of a key; `None` when the key does not exist or its value is not text.
    pub fn text(&self, key: &str) -> Option<String> {
        let entries = self.entries.borrow();
        let value = &entries.get(key)?.value;
        let bytes = base64::engine::general_purpose::STANDARD
            .decode(value)
            .ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Discards the history and closes the connections of waiting watches.
    pub fn compact(&self) {
        self.compacted_revision.set(self.revision.get());
        self.history.borrow_mut().clear();
        self.watches_cancelled.notify(usize::MAX);
    }

    /// Has the store name its era in responses, and keep the states that it can come back from.
    pub fn begin_eras(&self) {
        self.era.set(1);
        self.keep_copy();
    }

    /// Era that responses name.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Comes back from a copy that is `age` old, in a new era. Entries under leases are gone, and
    /// so are those of the operator and of backend servers, which write theirs again; they are
    /// returned in the order of their keys.
    pub fn roll_back(&self, age: Duration) -> Vec<(String, String)> {
        let now = self.timers.now();
        let copies = self.copies.borrow();
        let found = copies.iter().rfind(|copy| copy.taken_at + age <= now);
        let (mut entries, revision) = match found.or(copies.first()) {
            Some(copy) => (copy.entries.clone(), copy.revision),
            None => return Vec::new(),
        };
        drop(copies);
        let newest = self.entries.borrow().clone();
        let is_rewritten = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        entries.retain(|key, entry| entry.lease == 0 && !is_rewritten(key));
        *self.entries.borrow_mut() = entries;
        self.revision.set(revision);
        self.history.borrow_mut().clear();
        self.compacted_revision.set(revision);
        self.era.set(self.era.get() + 1);
        self.copies.borrow_mut().clear();
        self.keep_copy();
        self.watches_cancelled.notify(usize::MAX);
        let rewritten = newest.into_iter().filter(|(key, _)| is_rewritten(key));
        rewritten
            .filter_map(|(key, entry)| {
                let bytes = base64::engine::general_purpose::STANDARD
                    .decode(entry.value)
                    .ok()?;
                Some((key, String::from_utf8(bytes).ok()?))
            })
            .collect()
    }

    /// Id of the leases of this era.
    fn lease(&self) -> u64 {
        7 + self.era.get() * 1000
    }

    /// Writes the body under the key that the query names, as the operator or a server does.
    fn put_text(&self, target: &str, body: &[u8]) -> (u16, Value) {
        self.put(
            query_parameter(target, "key"),
            &String::from_utf8_lossy(body),
        );
        (200, json!({"revision": self.revision.get()}))
    }

    /// Drill by command: the store is away for `away_ms`, comes back from a copy that is `age_ms`
    /// old, and the entries of the operator and of servers are written again, one every `rewrite_ms`.
    async fn drill(&self, target: &str) -> (u16, Value) {
        let millis = |name: &str| {
            let value = query_parameter(target, name).parse().unwrap_or(0);
            Duration::from_millis(value)
        };
        self.faults.unavailable.set(true);
        self.timers.sleep(millis("away_ms")).await;
        let rewritten = self.roll_back(millis("age_ms"));
        self.faults.unavailable.set(false);
        for (key, value) in &rewritten {
            self.timers.sleep(millis("rewrite_ms")).await;
            self.put(key, value);
        }
        (200, json!({"era": self.era.get()}))
    }

    fn keep_copy(&self) {
        if self.era.get() > 0 {
            self.copies.borrow_mut().push(Copy {
                taken_at: self.timers.now(),
                entries: self.entries.borrow().clone(),
                revision: self.revision.get(),
            });
        }
    }

    /// Sets a key, or removes it when `value` is `None`, under a new revision.
    fn apply(&self, key: &str, value: Option<String>, lease: u64) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let mut entries = self.entries.borrow_mut();
        match &value {
            Some(value) => {
                let value = value.clone();
                entries.insert(
                    key.to_owned(),
                    Entry {
                        value,
                        revision,
                        lease,
                    },
                );
            }
            None => {
                entries.remove(key);
            }
        }
        let key = key.to_owned();
        self.history.borrow_mut().push(HistoryEntry {
            key,
            revision,
            value,
        });
        drop(entries);
        self.keep_copy();
        self.changed.notify(usize::MAX);
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(
        self: Rc<Self>,
        listener: async_net::TcpListener,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            let number = self.connections.get() + 1;
            self.connections.set(number);
            let serving = async move {
                let mut conn = conn::Conn::new(stream);
                while let Ok(true) = store.serve_request(&mut conn, number).await {}
            };
            executor.spawn(serving).detach();
        }
    }

    /// Serves one call on the connection with this number; returns whether the connection stays open.
    async fn serve_request(
        &self,
        conn: &mut conn::Conn,
        number: u32,
    ) -> Result<bool, fault::Fault> {
        let Some(head) = head::read_request(conn, MAX_REQUEST_BYTES).await? else {
            return Ok(false);
        };
        let framing = body::request_framing(&head.headers)?;
        let body = body::Body::new(framing)
            .read_all(conn, MAX_REQUEST_BYTES)
            .await?;
        let path = head.target.split('?').next().unwrap_or_default().to_owned();
        *self.calls.borrow_mut().entry(path.clone()).or_default() += 1;
        if self.faults.unavailable.get() {
            return self.respond(conn, 503, &Value::Null).await;
        }
        let refused = self.faults.refused_watches.get();
        if path == "/kv-watch" && refused > 0 {
            self.faults.refused_watches.set(refused - 1);
            return self.respond(conn, 503, &Value::Null).await;
        }
        let (status, value) = match path.as_str() {
            "/kv-key" => self.get(&head.target),
            "/kv-range" => self.range(&head.target),
            "/kv-watch" => match self.watch(&head.target).await {
                Some(answer) => answer,
                None => return Ok(false),
            },
            "/kv-txn" => self.write(&body),
            // All leases of an era have the same id, and none expires.
            "/kv-lease" => (200, json!({"lease": self.lease(), "ttl_ms": 20000})),
            path if path == format!("/kv-keep/{}", self.lease()) => (200, json!({"ttl_ms": 20000})),
            "/put" => self.put_text(&head.target, &body),
            "/drill" => self.drill(&head.target).await,
            _ => (404, Value::Null),
        };
        let dropped = self.faults.dropped_responses.get();
        if path == "/kv-txn" && dropped > 0 {
            self.faults.dropped_responses.set(dropped - 1);
            return Ok(false);
        }
        let hanging = self.faults.hanging_responses.get();
        if path == "/kv-txn" && hanging > 0 {
            self.faults.hanging_responses.set(hanging - 1);
            std::future::pending::<()>().await;
        }
        let lost = self.faults.lost_watches.get();
        if path == "/kv-watch" && lost > 0 {
            self.faults.lost_watches.set(lost - 1);
            std::future::pending::<()>().await;
        }
        if number <= self.faults.silent_connections.get() {
            std::future::pending::<()>().await;
        }
        self.respond(conn, status, &value).await
    }

    async fn respond(
        &self,
        conn: &mut conn::Conn,
        status: u16,
        value: &Value,
    ) -> Result<bool, fault::Fault> {
        let body = value.to_string();
        let len = body.len();
        let named = match self.faults.wrong_eras.borrow_mut().pop() {
            Some(wrong) => wrong,
            None if self.era.get() > 0 => self.era.get().to_string(),
            None => String::new(),
        };
        let era = match named.is_empty() {
            true => String::new(),
            false => format!("Store-Era: {named}\r\n"),
        };
        let bytes = format!("HTTP/1.1 {status} X\r\n{era}Content-Length: {len}\r\n\r\n{body}");
        let stalled = self.faults.stalled_responses.get();
        if bytes.len() >= MIN_STALLED_BYTES && stalled > 0 {
            self.faults.stalled_responses.set(stalled - 1);
            conn.write(&bytes.as_bytes()[..bytes.len() / 2]).await?;
            std::future::pending::<()>().await;
        }
        conn.write(bytes.as_bytes()).await?;
        Ok(true)
    }

    fn item_json(&self, key: &str, entry: Option<&Entry>) -> Value {
        match entry {
            Some(entry) => json!({
                "key": key, "value": entry.value, "revision": entry.revision,
                "lease": entry.lease, "store_revision": self.revision.get(),
            }),
            None => json!({"key": key, "revision": 0}),
        }
    }

    fn get(&self, target: &str) -> (u16, Value) {
        let key = query_parameter(target, "key");
        let entries = self.entries.borrow();
        match entries.get(key) {
            Some(entry) => (200, self.item_json(key, Some(entry))),
            None => (404, Value::Null),
        }
    }

    fn range(&self, target: &str) -> (u16, Value) {
        let prefix = query_parameter(target, "path_prefix");
        let entries = self.entries.borrow();
        let found = entries.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<Value> = found
            .map(|(key, entry)| self.item_json(key, Some(entry)))
            .collect();
        let store_revision = self.revision.get();
        (
            200,
            json!({"items": items, "has_more": false, "store_revision": store_revision}),
        )
    }

    /// Waits for changes after a revision; `None` when the watch is cut off.
    async fn watch(&self, target: &str) -> Option<(u16, Value)> {
        let prefix = query_parameter(target, "path_prefix");
        let after: u64 = query_parameter(target, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query_parameter(target, "wait_ms").parse().unwrap_or(0));
        let waiting = async {
            loop {
                let changed = self.changed.listen();
                if !self.faults.mutes_watches.get() {
                    if after < self.compacted_revision.get() {
                        return Some((410, Value::Null));
                    }
                    let events = self.events_after(prefix, after);
                    if !events.is_empty() {
                        let revision = self.revision.get();
                        return Some((200, json!({"events": events, "store_revision": revision})));
                    }
                }
                changed.await;
            }
        };
        let cancelled = self.watches_cancelled.listen();
        let cancelled = async {
            cancelled.await;
            None
        };
        let timers = timers::Timers::default();
        let answered = timers
            .within(wait, smol::future::or(waiting, cancelled))
            .await;
        let revision = self.revision.get();
        answered.unwrap_or(Some((
            200,
            json!({"events": [], "store_revision": revision}),
        )))
    }

    /// Changes after a revision of keys with a prefix.
    fn events_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let history = self.history.borrow();
        let found = history
            .iter()
            .filter(|entry| entry.revision > after && entry.key.starts_with(prefix));
        let events = found.map(|entry| match &entry.value {
            Some(value) => json!({"key": entry.key, "value": value, "revision": entry.revision}),
            None => json!({"key": entry.key, "revision": entry.revision, "deleted": true}),
        });
        events.collect()
    }

    /// Executes a conditional write; responds with 412 and the current items when a key does not
    /// have the expected revision.
    fn write(&self, body: &[u8]) -> (u16, Value) {
        let Ok(write) = serde_json::from_slice::<WriteRequest>(body) else {
            return (400, Value::Null);
        };
        let entries = self.entries.borrow();
        let revision = |key: &str| entries.get(key).map_or(0, |entry| entry.revision);
        let holds = |expected: &ExpectedRevision| revision(&expected.key) == expected.revision;
        let conflicts = self.faults.conflicting_writes.get();
        self.faults
            .conflicting_writes
            .set(conflicts.saturating_sub(1));
        if conflicts > 0 || !write.expected_revision.iter().all(holds) {
            let keys = write.expected_revision.iter().map(|expected| &expected.key);
            let items: Vec<Value> = keys
                .map(|key| self.item_json(key, entries.get(key)))
                .collect();
            return (412, json!({"items": items}));
        }
        drop(entries);
        for put in write.puts {
            self.apply(&put.key, Some(put.value), put.lease);
        }
        for key in write.remove {
            self.apply(&key, None, 0);
        }
        (200, json!({"revision": self.revision.get()}))
    }
}

/// Serves a store with eras until the process ends.
///
/// # Errors
///
/// The error of the socket.
pub fn run(listener: std::net::TcpListener) -> std::io::Result<()> {
    let executor = Rc::new(smol::LocalExecutor::new());
    let store = Rc::new(PlatformStore::default());
    store.begin_eras();
    smol::block_on(executor.run(async {
        let listener = async_net::TcpListener::try_from(listener)?;
        store.serve(listener, executor.clone()).await;
        Ok(())
    }))
}

/// Binds a listener to a free port on the loopback address.
///
/// # Errors
///
/// The error of the socket.
pub async fn listener() -> std::io::Result<(async_net::TcpListener, SocketAddr)> {
    let listener = async_net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
