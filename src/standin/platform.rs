//! Stand-in for the platform of routers and agents: a key-value service and the list of VMs, with
//! faults that tests switch on over HTTP.

use std::{
    collections::HashMap,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::{StreamExt, TryStreamExt, stream};
use serde::Serialize;
use serde_json::json;
use trillium::{Body, Conn, Status};

use crate::{
    error,
    protocol::{kv, vm_list},
    standin::{delayed_list, key_values, reply},
    transport::http,
};

/// Interval at which a watch looks for new changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a transaction's body in bytes. Values are base64-encoded in it, which adds a
/// third, so 1.5 MiB allows for about 1 MiB of values.
const MAX_TXN_BYTES: usize = 3 << 19;

/// Faults that can be switched on over HTTP.
#[derive(Clone, Debug, Default, Serialize, serde::Deserialize)]
pub struct Faults {
    /// Whether all calls to the key-value service fail.
    #[serde(default)]
    pub down: bool,
    /// Delay of each call to the key-value service, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Number of further writes that take effect but are answered with an error, as if the answer
    /// were lost.
    #[serde(default)]
    pub lose_answers: u32,
    /// Whether watches report nothing while they stay open.
    #[serde(default)]
    pub mute_watches: bool,
    /// Number of revisions by which the answers to range requests are outdated.
    #[serde(default)]
    pub stale_reads: u64,
    /// Time until a change of the VM list becomes visible, in milliseconds.
    #[serde(default)]
    pub list_lag_ms: u64,
}

/// State of the stand-in.
#[derive(Debug, Default)]
pub struct Platform {
    key_values: Mutex<key_values::KeyValues>,
    leases: Mutex<HashMap<u64, Lease>>,
    vms: Mutex<delayed_list::DelayedList<vm_list::Vm>>,
    faults: Mutex<Faults>,
    /// Number of calls, by path and by kind.
    calls: Mutex<HashMap<String, u64>>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Starts the stand-in on a bound socket. The key-value service keeps its last `history` changes.
pub fn start(
    listener: TcpListener,
    history: usize,
) -> Result<trillium_smol::Swansong, error::Error> {
    let platform = Arc::new(Platform {
        key_values: Mutex::new(key_values::KeyValues::new(history)),
        ..Platform::default()
    });
    let handler = move |conn: Conn| {
        let platform = platform.clone();
        async move { serve(platform, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(platform: Arc<Platform>, mut conn: Conn) -> Conn {
    let path = conn.path().to_owned();
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(err) => return reply::bad_request(conn, err),
    };
    platform.count_call(&path);
    match path.as_str() {
        "/vms" if body.is_empty() => reply::json(conn, &platform.vms.lock().unwrap().visible()),
        "/vms" => reply::handle_json(conn, &body, |list| platform.set_vms(list)),
        "/faults" => reply::handle_json(conn, &body, |faults| {
            *platform.faults.lock().unwrap() = faults;
        }),
        "/calls" => reply::json(conn, &*platform.calls.lock().unwrap()),
        _ => platform.handle_store_call(conn, &path, &body).await,
    }
}

impl Platform {
    /// Counts a call under its path or its kind, such as `txn_write`.
    fn count_call(&self, what: &str) {
        let mut calls = self.calls.lock().unwrap();
        *calls.entry(what.to_owned()).or_default() += 1;
    }

    fn set_vms(&self, list: Vec<vm_list::Vm>) {
        let lag = Duration::from_millis(self.faults.lock().unwrap().list_lag_ms);
        self.vms.lock().unwrap().set(list, lag);
    }

    async fn handle_store_call(self: Arc<Self>, conn: Conn, path: &str, body: &[u8]) -> Conn {
        let faults = self.faults.lock().unwrap().clone();
        smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return conn
                .with_status(Status::ServiceUnavailable)
                .with_body("down");
        }
        self.expire_leases();
        match path {
            "/v3/kv/range" => self.handle_range(conn, body, faults.stale_reads),
            "/v3/kv/txn" => self.handle_txn(conn, body),
            "/v3/lease/grant" => {
                self.count_call("lease_grant");
                reply::handle_json(conn, body, |req| self.grant_lease(&req))
            }
            "/v3/lease/keepalive" => {
                self.count_call("keepalive");
                reply::handle_json(conn, body, |req| self.renew_lease(&req))
            }
            "/v3/watch" => self.handle_watch(conn, body),
            _ => conn.with_status(Status::NotFound),
        }
    }

    fn handle_range(&self, conn: Conn, body: &[u8], age: u64) -> Conn {
        self.count_call("range");
        reply::handle_json(conn, body, |req| {
            self.key_values.lock().unwrap().stale_range(&req, age)
        })
    }

    fn handle_txn(&self, conn: Conn, body: &[u8]) -> Conn {
        if body.len() > MAX_TXN_BYTES {
            return reply::bad_request(conn, "etcdserver: request is too large");
        }
        let req: kv::TxnRequest = match serde_json::from_slice(body) {
            Ok(req) => req,
            Err(err) => return reply::bad_request(conn, err),
        };
        let has_writes = has_writes(&req);
        self.count_call(if has_writes { "txn_write" } else { "txn_read" });
        let answer = self.key_values.lock().unwrap().txn(&req);
        if has_writes && self.consume_lost_answer() {
            return conn
                .with_status(Status::GatewayTimeout)
                .with_body("answer lost");
        }
        reply::json(conn, &answer)
    }

    /// Whether the answer to the current write gets lost; uses up one lost answer of the fault.
    fn consume_lost_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }

    /// Removes expired leases with their keys.
    fn expire_leases(&self) {
        let now = Instant::now();
        let mut leases = self.leases.lock().unwrap();
        let expired: Vec<u64> = leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            leases.remove(&id);
            self.key_values.lock().unwrap().revoke_lease(id);
        }
    }

    /// Grants a lease under the requested id, or under a random one when that is 0.
    fn grant_lease(&self, req: &kv::LeaseRequest) -> kv::LeaseResponse {
        let id = if req.id.0 == 0 {
            fastrand::u64(1..1 << 62)
        } else {
            req.id.0
        };
        let ttl = Duration::from_secs(req.ttl.0);
        let expires_at = Instant::now() + ttl;
        self.leases
            .lock()
            .unwrap()
            .insert(id, Lease { ttl, expires_at });
        kv::LeaseResponse {
            id: kv::Number(id),
            ttl: req.ttl,
        }
    }

    /// Renews a lease; the TTL in the answer is 0 when it has expired.
    fn renew_lease(&self, req: &kv::LeaseRequest) -> kv::KeepAliveLine {
        let mut leases = self.leases.lock().unwrap();
        let ttl = leases.get_mut(&req.id.0).map_or(0, |lease| {
            lease.expires_at = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        let result = kv::LeaseResponse {
            id: req.id,
            ttl: kv::Number(ttl),
        };
        kv::KeepAliveLine { result }
    }

    /// Opens a watch: a stream of JSON lines, the first of which confirms its creation.
    fn handle_watch(self: Arc<Self>, conn: Conn, body: &[u8]) -> Conn {
        self.count_call("watch");
        let req: kv::WatchRequest = match serde_json::from_slice(body) {
            Ok(req) => req,
            Err(err) => return reply::bad_request(conn, err),
        };
        let mut watch = req.create_request;
        let revision = self.key_values.lock().unwrap().revision();
        if watch.start_revision.0 == 0 {
            watch.start_revision.0 = revision + 1;
        }
        let header = kv::Header {
            revision: kv::Number(revision),
        };
        let created = json_line(&json!({ "result": { "header": header, "created": true } }));
        let changes = stream::unfold(Some((self, watch)), |open| async move {
            let (platform, mut watch) = open?;
            match platform.next_watch_line(&mut watch).await {
                Ok(line) => Some((Ok(line), Some((platform, watch)))),
                Err(WatchEnd::Down) => Some((Err(std::io::Error::other("down")), None)),
                Err(WatchEnd::Canceled(line)) => Some((Ok(line), None)),
            }
        });
        let lines = stream::iter([Ok(created)]).chain(changes);
        conn.ok(Body::new_streaming(Box::pin(lines).into_async_read(), None))
    }

    /// Waits for changes in the watched range and returns them as one line.
    async fn next_watch_line(&self, watch: &mut kv::WatchCreate) -> Result<Vec<u8>, WatchEnd> {
        loop {
            smol::Timer::after(WATCH_POLL_INTERVAL).await;
            let faults = self.faults.lock().unwrap().clone();
            if faults.down {
                return Err(WatchEnd::Down);
            }
            if faults.mute_watches {
                continue;
            }
            self.expire_leases();
            let values = self.key_values.lock().unwrap();
            let changes = values.changes_since(watch);
            let changes =
                changes.map_err(|compacted| WatchEnd::Canceled(canceled_line(compacted)))?;
            let Some((last, _)) = changes.last() else {
                watch.start_revision.0 = watch.start_revision.0.max(values.revision() + 1);
                continue;
            };
            watch.start_revision.0 = last + 1;
            let revision = kv::Number(*last);
            let header = kv::Header { revision };
            let events: Vec<_> = changes.into_iter().map(|(_, event)| event).collect();
            return Ok(json_line(
                &json!({ "result": { "header": header, "events": events } }),
            ));
        }
    }
}

/// Why a watch ended.
enum WatchEnd {
    /// The service went down.
    Down,
    /// The start revision has been discarded from the history; carries the last line to send.
    Canceled(Vec<u8>),
}

/// The last line of a watch whose start revision has been discarded.
fn canceled_line(compacted: key_values::Compacted) -> Vec<u8> {
    let revision = kv::Number(compacted.0);
    json_line(&json!({ "result": { "canceled": true, "compact_revision": revision } }))
}

fn json_line(value: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line
}

/// Whether a transaction may change keys.
fn has_writes(req: &kv::TxnRequest) -> bool {
    let mut operations = req.success.iter().chain(&req.failure);
    operations.any(|op| !matches!(op, kv::Operation::RequestRange(_)))
}
