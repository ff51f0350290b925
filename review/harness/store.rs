//! Stand-in for the platform's store: keys with revisions, watches, conditional writes and leases.
//! It loses nothing, and it answers every call after 4 ms.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Conn,
    json::{self, Json},
};

/// Time after which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Entry {
    value: String,
    revision: u64,
    created_at: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    item: Option<String>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    entries: BTreeMap<String, Entry>,
    history: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
    /// How old stale reads are.
    staleness: Duration,
    /// Former states of the keys, each with the time at which it ended, for stale reads.
    former: Vec<(Instant, BTreeMap<String, Entry>)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Address of the store.
    pub address: SocketAddr,
}

fn item(key: &str, entry: &Entry) -> String {
    let Entry {
        value,
        revision,
        created_at,
        lease,
    } = entry;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created_at\":{created_at},\"lease\":{lease}}}"
    )
}

impl State {
    /// Begins a change of the keys.
    fn begin_change(&mut self) {
        if !self.staleness.is_zero() {
            self.former.push((Instant::now(), self.entries.clone()));
        }
        self.revision += 1;
    }

    /// The keys as a read sees them.
    fn seen(&self, is_stale: bool) -> &BTreeMap<String, Entry> {
        let is_newer = |(ended, _): &&(Instant, _)| is_stale && ended.elapsed() < self.staleness;
        let former = self.former.iter().find(is_newer);
        former.map_or(&self.entries, |(_, entries)| entries)
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created_at = self.entries.get(key).map_or(revision, |it| it.created_at);
        let entry = Entry {
            value,
            revision,
            created_at,
            lease,
        };
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item(key, &entry)),
        });
        self.entries.insert(key.to_owned(), entry);
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.history.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.begin_change();
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn write(&mut self, body: &Json) -> (u16, String) {
        let holds = |row: &Json| {
            let known = self.entries.get(row.get("key").text());
            known.map_or(0, |it| it.revision) == row.get("revision").number()
        };
        let rows = body.get("expected_revision").list();
        if !rows.iter().all(holds) {
            let items = rows.iter().map(|row| {
                let key = row.get("key").text();
                match self.entries.get(key) {
                    Some(entry) => item(key, entry),
                    None => format!("{{\"key\":\"{key}\",\"revision\":0}}"),
                }
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if puts
            .iter()
            .any(|put| lease(put) != 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, "{}".to_owned());
        }
        let removed: Vec<&str> = body.get("remove").list().iter().map(Json::text).collect();
        let mut keys = puts
            .iter()
            .map(|put| put.get("key").text())
            .chain(removed.iter().copied());
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        self.begin_change();
        for put in puts {
            self.put(
                put.get("key").text(),
                put.get("value").text().to_owned(),
                lease(put),
            );
        }
        for key in removed {
            self.remove(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> String {
        let found = self.seen(is_stale).iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut items: Vec<String> = found.map(|(key, entry)| item(key, entry)).collect();
        let has_more = items.len() > 500;
        items.truncate(500);
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}")
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<String> {
        let found = self.history.iter();
        let found = found.filter(|it| it.revision > after && it.key.starts_with(prefix));
        let event = |it: &Change| match &it.item {
            Some(item) => item.clone(),
            None => format!(
                "{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}",
                it.key, it.revision
            ),
        };
        found.map(event).collect()
    }
}

fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| json::percent_decode(value))
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let mut store = Self {
            shared: Arc::default(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        store.address = store.listen(&Arc::default());
        let ending = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ending.shared.0.lock().unwrap().end_leases();
                ending.shared.1.notify_all();
            }
        });
        store
    }

    /// Listens for calls on a further port. While `is_silent` is set, calls get no response there; a
    /// connection on which a response was lost returns nothing further.
    pub fn listen(&self, is_silent: &Arc<AtomicBool>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let (serving, is_silent) = (self.clone(), is_silent.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, is_silent) = (serving.clone(), is_silent.clone());
                thread::spawn(move || store.serve(stream, &is_silent));
            }
        });
        address
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.begin_change();
        state.put(key, json::base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Has stale reads see the keys as they were some time before.
    pub fn set_staleness(&self, staleness: Duration) {
        self.shared.0.lock().unwrap().staleness = staleness;
    }

    /// Removes a key as a worker's end does.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.begin_change();
        state.remove(key);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, is_silent: &AtomicBool) {
        let mut conn = Conn::new(stream);
        let mut has_lost = false;
        while let Ok(Some(head)) = conn.head() {
            let (body, _) = conn.body(&head, |_| ());
            let body = String::from_utf8_lossy(&body).into_owned();
            thread::sleep(ANSWER_TIME);
            has_lost |= is_silent.load(Ordering::SeqCst);
            if has_lost {
                continue;
            }
            let (status, text) = self.answer(head.method(), head.target(), &body);
            has_lost |= is_silent.load(Ordering::SeqCst);
            if has_lost {
                continue;
            }
            let len = text.len();
            let bytes = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len}\r\n\r\n{text}"
            );
            if conn.send(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let path = target.split('?').next().unwrap_or_default();
        let body = json::parse(body).unwrap_or(Json::Literal("null"));
        if path == "/kv-watch" {
            return self.watch(target);
        }
        let mut state = self.shared.0.lock().unwrap();
        state.end_leases();
        let id = path
            .rsplit('/')
            .next()
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let answer = match (method, path) {
            ("GET", "/kv-key") => {
                let key = parameter(target, "key");
                match state.entries.get(&key) {
                    Some(entry) => (200, item(&key, entry)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter(target, "path_prefix"), parameter(target, "after"));
                (
                    200,
                    state.range(&prefix, &after, parameter(target, "stale_ok") == "1"),
                )
            }
            ("POST", "/kv-txn") => state.write(&body),
            ("POST", "/kv-lease") => {
                state.next_lease += 1;
                let (id, ttl_ms) = (state.next_lease, body.get("ttl_ms").number());
                let ttl = Duration::from_millis(ttl_ms);
                let ends_at = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends_at });
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.ends_at = Instant::now() + lease.ttl;
                    (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => match state.end_lease(id) {
                true => (200, "{}".to_owned()),
                false => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        };
        self.shared.1.notify_all();
        answer
    }

    fn watch(&self, target: &str) -> (u16, String) {
        let prefix = parameter(target, "path_prefix");
        let after = parameter(target, "after").parse().unwrap_or(0);
        let wait_ms = parameter(target, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state.changes(&prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let text = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return (200, text);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
