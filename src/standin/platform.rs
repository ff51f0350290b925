//! The platform's stand-in: key-value service and list of VMs.

use std::{
    collections::HashMap,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use futures::{TryStreamExt, stream};
use serde::{Serialize, de::DeserializeOwned};
use trillium::{Body, Conn, KnownHeaderName, Status};

use crate::{
    error,
    protocol::{kv, vm_list},
    standin::key_values,
    transport::http,
};

const WATCH_POLL: Duration = Duration::from_millis(20);

/// Faults that can be switched on over HTTP.
#[derive(Clone, Debug, Default, Serialize, serde::Deserialize)]
pub struct Faults {
    /// Whether every call of the key-value service fails.
    #[serde(default)]
    pub down: bool,
    /// Delay of every call, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// How many of the next writes take effect without an answer.
    #[serde(default)]
    pub lose_answers: u32,
    /// Whether watches report nothing while they stay open.
    #[serde(default)]
    pub mute_watches: bool,
}

/// State of the platform's stand-in.
#[derive(Debug, Default)]
pub struct Platform {
    values: Mutex<key_values::KeyValues>,
    leases: Mutex<HashMap<u64, Lease>>,
    vms: Mutex<Vec<vm_list::Vm>>,
    faults: Mutex<Faults>,
    calls: Mutex<HashMap<String, u64>>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Starts the stand-in on a bound socket.
pub fn start(listener: TcpListener) -> Result<trillium_smol::Swansong, error::Error> {
    let platform = Arc::new(Platform::default());
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
        Err(err) => {
            return conn
                .with_status(Status::BadRequest)
                .with_body(err.to_string());
        }
    };
    *platform
        .calls
        .lock()
        .unwrap()
        .entry(path.clone())
        .or_default() += 1;
    match path.as_str() {
        "/vms" if body.is_empty() => json(conn, &*platform.vms.lock().unwrap()),
        "/vms" => set(conn, &platform.vms, &body),
        "/faults" => set(conn, &platform.faults, &body),
        "/calls" => json(conn, &*platform.calls.lock().unwrap()),
        _ => platform.store_call(conn, &path, &body).await,
    }
}

fn json(mut conn: Conn, answer: &impl Serialize) -> Conn {
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    conn.ok(serde_json::to_vec(answer).unwrap_or_default())
}

fn set<T: DeserializeOwned>(conn: Conn, slot: &Mutex<T>, body: &[u8]) -> Conn {
    match serde_json::from_slice(body) {
        Ok(value) => {
            *slot.lock().unwrap() = value;
            conn.ok("")
        }
        Err(err) => conn
            .with_status(Status::BadRequest)
            .with_body(err.to_string()),
    }
}

impl Platform {
    async fn store_call(self: Arc<Self>, conn: Conn, path: &str, body: &[u8]) -> Conn {
        let faults = self.faults.lock().unwrap().clone();
        smol::Timer::after(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return conn
                .with_status(Status::ServiceUnavailable)
                .with_body("down");
        }
        self.end_leases();
        match path {
            "/v3/kv/range" => answer(conn, body, |req| self.values.lock().unwrap().range(&req)),
            "/v3/kv/txn" => self.txn(conn, body),
            "/v3/lease/grant" => answer(conn, body, |req| self.grant(&req)),
            "/v3/lease/keepalive" => answer(conn, body, |req| self.keep(&req)),
            "/v3/watch" => self.watch(conn, body),
            _ => conn.with_status(Status::NotFound),
        }
    }

    fn txn(&self, conn: Conn, body: &[u8]) -> Conn {
        let conn = answer(conn, body, |req| self.values.lock().unwrap().txn(&req));
        let mut faults = self.faults.lock().unwrap();
        let writes = body.windows(11).any(|part| part == b"request_put");
        if writes && faults.lose_answers > 0 {
            faults.lose_answers -= 1;
            return conn
                .with_status(Status::GatewayTimeout)
                .with_body("answer lost");
        }
        conn
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut leases = self.leases.lock().unwrap();
        let ended: Vec<u64> = leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            leases.remove(&id);
            self.values.lock().unwrap().end_lease(id);
        }
    }

    fn grant(&self, req: &kv::LeaseRequest) -> kv::LeaseResponse {
        let id = if req.id.0 == 0 {
            fastrand::u64(1..1 << 62)
        } else {
            req.id.0
        };
        let ttl = Duration::from_secs(req.ttl.0);
        let ends = Instant::now() + ttl;
        self.leases.lock().unwrap().insert(id, Lease { ttl, ends });
        kv::LeaseResponse {
            id: kv::Number(id),
            ttl: req.ttl,
        }
    }

    fn keep(&self, req: &kv::LeaseRequest) -> kv::KeepAliveLine {
        let mut leases = self.leases.lock().unwrap();
        let ttl = leases.get_mut(&req.id.0).map_or(0, |lease| {
            lease.ends = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        let result = kv::LeaseResponse {
            id: req.id,
            ttl: kv::Number(ttl),
        };
        kv::KeepAliveLine { result }
    }

    fn watch(self: Arc<Self>, conn: Conn, body: &[u8]) -> Conn {
        let req: kv::WatchRequest = match serde_json::from_slice(body) {
            Ok(req) => req,
            Err(err) => {
                return conn
                    .with_status(Status::BadRequest)
                    .with_body(err.to_string());
            }
        };
        let mut watch = req.create_request;
        if watch.start_revision.0 == 0 {
            watch.start_revision.0 = self.values.lock().unwrap().revision() + 1;
        }
        let lines = stream::unfold((self, watch), |(platform, mut watch)| async move {
            let line = platform.next_line(&mut watch).await;
            Some((line, (platform, watch)))
        });
        conn.ok(Body::new_streaming(Box::pin(lines).into_async_read(), None))
    }

    async fn next_line(&self, watch: &mut kv::WatchCreate) -> std::io::Result<Vec<u8>> {
        loop {
            smol::Timer::after(WATCH_POLL).await;
            let faults = self.faults.lock().unwrap().clone();
            if faults.down {
                return Err(std::io::Error::other("down"));
            }
            if faults.mute_watches {
                continue;
            }
            self.end_leases();
            let values = self.values.lock().unwrap();
            let changes = values.since(watch);
            let Some((last, _)) = changes.last() else {
                continue;
            };
            watch.start_revision.0 = last + 1;
            let revision = kv::Number(*last);
            let result = kv::WatchResult {
                header: kv::Header { revision },
                events: changes.into_iter().map(|(_, event)| event).collect(),
            };
            let mut line = serde_json::to_vec(&kv::WatchLine { result })?;
            line.push(b'\n');
            return Ok(line);
        }
    }
}

fn answer<Q: DeserializeOwned, A: Serialize>(
    conn: Conn,
    body: &[u8],
    call: impl FnOnce(Q) -> A,
) -> Conn {
    match serde_json::from_slice(body) {
        Ok(req) => json(conn, &call(req)),
        Err(err) => conn
            .with_status(Status::BadRequest)
            .with_body(err.to_string()),
    }
}
