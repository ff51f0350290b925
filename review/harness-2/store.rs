//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Conn, Message},
    json::{self, Json},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A key as it was written, or `None` when it was deleted.
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: VecDeque<Change>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

/// Age of what a read with `stale_ok` returns.
const STALE_AGE: Duration = Duration::from_secs(5);

/// The store.
pub struct Store {
    pub addresses: Vec<SocketAddr>,
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn set(&mut self, key: &str, value: Option<(String, u64)>) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created,
            lease,
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None if self.items.remove(key).is_none() => return,
            None => (),
        }
        self.history.push_back(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            item,
        });
        if self.history.len() > 20_000 {
            self.history.pop_front();
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until < now)
            .map(|(id, _)| *id)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.set(&key, None);
        }
    }
}

fn encode(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created_at\":{},\"lease\":{}",
        json::quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn query(target: &str, name: &str) -> String {
    let pairs = target.split_once('?').map_or("", |(_, query)| query);
    let found = pairs.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    });
    let bytes = found.unwrap_or("").as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    /// Starts the store on bound sockets.
    pub fn start(listeners: Vec<TcpListener>) -> Arc<Self> {
        let addresses = listeners.iter().map(|it| it.local_addr().unwrap());
        let store = Arc::new(Store {
            addresses: addresses.collect(),
            state: Mutex::new(State {
                revision: 5,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        for listener in listeners {
            let serving = store.clone();
            http::serve(listener, move |conn, req| serving.handle(conn, &req));
        }
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                if expiring.state.lock().unwrap().expire() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator or a worker does. Returns once the store has accepted it.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.set(key, Some((json::base64(value), 0)));
        drop(state);
        self.changed.notify_all();
    }

    fn handle(&self, conn: &mut Conn, req: &Message) -> bool {
        let target = req.word(1);
        let path = target.split('?').next().unwrap_or("");
        let (status, body) = match (req.word(0), path) {
            ("GET", "/kv-key") => self.get(&query(target, "key")),
            ("GET", "/kv-range") => self.range(
                &query(target, "path_prefix"),
                &query(target, "after"),
                query(target, "stale_ok") == "1",
            ),
            ("GET", "/kv-watch") => self.watch(
                &query(target, "path_prefix"),
                query(target, "after").parse().unwrap_or(0),
                query(target, "wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "/kv-txn") => self.txn(&json::parse(&req.body).unwrap_or(Json::Null)),
            ("POST", "/kv-lease") => self.lease(&json::parse(&req.body).unwrap_or(Json::Null)),
            ("POST", _) if path.starts_with("/kv-keep/") => {
                self.renew(path["/kv-keep/".len()..].parse().unwrap_or(0))
            }
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let headers = "Content-Type: application/json\r\n";
        conn.write(&http::response(status, headers, &body)).is_ok()
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let revision = state.revision;
        match state.items.get(key) {
            Some(item) => (
                "200 OK",
                format!("{},\"store_revision\":{revision}}}", encode(key, item)),
            ),
            None => (
                "404 Not Found",
                format!("{{\"store_revision\":{revision}}}"),
            ),
        }
    }

    /// The items as they were `age` ago.
    fn items_before(state: &State, age: Duration) -> BTreeMap<String, Item> {
        let mut items = BTreeMap::new();
        let old = state.history.iter().filter(|it| it.at.elapsed() >= age);
        for Change { key, item, .. } in old {
            match item {
                Some(item) => drop(items.insert(key.clone(), item.clone())),
                None => drop(items.remove(key)),
            }
        }
        items
    }

    fn range(&self, prefix: &str, after: &str, is_stale: bool) -> (&'static str, String) {
        let state = self.state.lock().unwrap();
        let items = match is_stale {
            true => Self::items_before(&state, STALE_AGE),
            false => state.items.clone(),
        };
        let found = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<String> = found
            .map(|(key, item)| format!("{}}}", encode(key, item)))
            .collect();
        let (page, has_more) = (&found[..found.len().min(500)], found.len() > 500);
        let revision = state.revision;
        (
            "200 OK",
            format!(
                "{{\"items\":[{}],\"has_more\":{has_more},\"store_revision\":{revision}}}",
                page.join(",")
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|it| it.revision > after && it.key.starts_with(prefix));
            let events = changes.map(|it| match &it.item {
                Some(item) => format!("{}}}", encode(&it.key, item)),
                None => format!(
                    "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
                    json::quote(&it.key),
                    it.revision
                ),
            });
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return (
                    "200 OK",
                    format!(
                        "{{\"events\":[{}],\"store_revision\":{revision}}}",
                        events.join(",")
                    ),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, txn: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let conditions = txn.get("expected_revision").list();
        let current = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
        let holds = conditions
            .iter()
            .all(|it| current(&state, it.get("key").text()) == it.get("revision").number());
        if !holds {
            let items = conditions.iter().map(|it| {
                let key = it.get("key").text();
                match state.items.get(key) {
                    Some(item) => format!("{}}}", encode(key, item)),
                    None => format!("{{\"key\":{},\"revision\":0}}", json::quote(key)),
                }
            });
            let items: Vec<String> = items.collect();
            return (
                "412 Precondition Failed",
                format!("{{\"items\":[{}]}}", items.join(",")),
            );
        }
        let puts = txn.get("puts").list();
        let leases = puts.iter().map(|put| put.get("lease").number());
        if leases
            .filter(|lease| *lease > 0)
            .any(|lease| !state.leases.contains_key(&lease))
        {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let value = put.get("value").text().to_owned();
            let lease = put.get("lease").number();
            state.set(put.get("key").text(), Some((value, lease)));
        }
        for key in txn.get("remove").list() {
            state.set(key.text(), None);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }

    fn lease(&self, body: &Json) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        let ttl_ms = body.get("ttl_ms").number().clamp(1000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        state.next_lease += 1;
        let lease = 7000 + state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (
            "200 OK",
            format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"),
        )
    }

    fn renew(&self, lease: u64) -> (&'static str, String) {
        let mut state = self.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }
}
