//! One gateway with a store and backend servers in this process.

// Each test file uses its own part of this.
#![allow(dead_code)]

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use fulmarproxy::{
    gateway::{budget, core, directory, follow, front},
    platform::settings,
    standin::{placed_server, placed_store},
    transport::{
        h1::{body, conn, dial, head},
        timers,
    },
};
use serde_json::{Value, json};

/// Key of the workspace `desk`.
pub const KEY: &str = "secret-of-desk";

/// Longest time that anything here may take; a wait that ends sooner asserts nothing by it.
const PATIENCE: Duration = Duration::from_secs(20);

/// A gateway and what stands around it.
pub struct World {
    pub executor: Rc<smol::LocalExecutor<'static>>,
    pub store: Rc<placed_store::PlacedStore>,
    pub gw: Rc<core::Gateway>,
    pub front: SocketAddr,
    pub fleet: SocketAddr,
    pub address: SocketAddr,
    timers: timers::Timers,
    listed: RefCell<u32>,
}

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub headers: head::Headers,
    pub body: Vec<u8>,
    pub whole: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The operator's configuration with a budget and the timeout of its routes.
pub fn configuration(version: u64, prepaid: u64, timeout_ms: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resume: bool| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1,
            "service": service, "max_attempts": 2, "stream_resume": resume, "target_gap_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("draft", "streaming", "model", false),
            route("ask", "streaming", "model", true),
            route("book", "non_idempotent", "plain", false),
            route("look", "idempotent", "plain", false),
        ],
        "services": [
            {"name": "model", "health_check": "/health", "max_connections": 50,
             "engine": {"slots": 8, "kv_capacity_tokens": 100000, "stride": 6}},
            {"name": "plain", "health_check": "/health", "max_connections": 50},
        ],
        "limits": {"max_header_bytes": 4096, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "desk", "api_keys": [KEY], "prepaid": prepaid}],
    })
}

/// Plays a test in a world with a configuration.
pub fn play(configuration: &Value, test: impl AsyncFnOnce(World)) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let running = executor.clone();
    let timers = timers::Timers::default();
    let played = async {
        let world = World::new(executor, configuration).await;
        test(world).await;
    };
    let done = smol::block_on(running.run(timers.within(PATIENCE, played)));
    assert!(done.is_some(), "the test did not end");
}

/// Starts a gateway; returns where callers and other routers find it.
async fn gateway(
    vm: &str,
    store: SocketAddr,
    executor: Rc<smol::LocalExecutor<'static>>,
) -> (Rc<core::Gateway>, SocketAddr, SocketAddr) {
    let settings = settings::Settings {
        vm: vm.into(),
        listen: any_port(),
        ready_listen: any_port(),
        fleet_listen: any_port(),
        admin_listen: any_port(),
        store,
        grace: Duration::from_secs(8),
        repeats_per_request: 0.2,
        repeat_window: Duration::from_secs(10),
        repeat_slack: 50.0,
    };
    let gw = core::Gateway::new(settings, executor);
    let listener = front::bind(any_port()).await.unwrap();
    let front = listener.local_addr().unwrap();
    follow::start(&gw);
    directory::start(&gw);
    let fleet = budget::start(&gw).await.unwrap();
    front::start(&gw, listener);
    (gw, front, fleet)
}

impl World {
    async fn new(executor: Rc<smol::LocalExecutor<'static>>, configuration: &Value) -> Self {
        let store = Rc::new(placed_store::PlacedStore::default());
        store.put("op/config", &configuration.to_string());
        let (listener, address) = placed_store::listener().await.unwrap();
        let serving = store.clone().serve(listener, executor.clone());
        executor.spawn(serving).detach();
        let (gw, front, fleet) = gateway("entry-1", address, executor.clone()).await;
        let world = Self {
            executor,
            store,
            gw,
            front,
            fleet,
            address,
            timers: timers::Timers::default(),
            listed: RefCell::new(0),
        };
        world.until(|world| world.gw.unready().is_none()).await;
        world
    }

    /// Starts another gateway before the same store; the two know each other. Returns where its
    /// callers find it.
    pub async fn another(&self) -> SocketAddr {
        let (gw, front, fleet) = gateway("entry-2", self.address, self.executor.clone()).await;
        gw.note_peers([(self.gw.holder(), self.fleet)].into());
        self.gw.note_peers([(gw.holder(), fleet)].into());
        self.until(|_| gw.unready().is_none()).await;
        front
    }

    /// Waits until something holds.
    pub async fn until(&self, holds: impl Fn(&Self) -> bool) {
        while !holds(self) {
            self.timers.sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn sleep(&self, millis: u64) {
        self.timers.sleep(Duration::from_millis(millis)).await;
    }

    /// Starts a backend server and waits until the gateway knows it.
    pub async fn server(
        &self,
        service: &str,
        answer: impl Fn(&placed_server::Arrived) -> Vec<placed_server::Step> + 'static,
    ) -> Rc<placed_server::PlacedServer> {
        let server = placed_server::PlacedServer::new(Rc::new(answer));
        let (listener, address) = placed_store::listener().await.unwrap();
        let serving = server.clone().serve(listener, self.executor.clone());
        self.executor.spawn(serving).detach();
        let number = {
            let mut listed = self.listed.borrow_mut();
            *listed += 1;
            *listed
        };
        let entry = json!({"service": service, "address": address.to_string(), "zone": "zone-a",
                           "slots": 8, "state": "ready", "sequence": 1});
        self.store
            .put(&format!("servers/i-{number}"), &entry.to_string());
        let id = format!("i-{number}");
        self.until(|world| world.gw.known.borrow().servers.contains_key(id.as_str()))
            .await;
        server
    }

    /// Connects a caller.
    pub async fn connect(&self) -> conn::Conn {
        dial::connect(self.front, PATIENCE, &self.timers)
            .await
            .unwrap()
    }

    /// Sends a request and reads its answer.
    pub async fn ask(&self, method: &str, path: &str, extra: &str, body: &str) -> Got {
        let mut conn = self.connect().await;
        conn.write(request(method, path, extra, body).as_bytes())
            .await
            .unwrap();
        read(&mut conn, method).await
    }

    /// Tokens of `desk` that this router has spent.
    pub fn spent(&self) -> u64 {
        let shares = self.gw.shares.borrow();
        shares.get("desk").map_or(0, |share| share.spent())
    }

    /// Version in force.
    pub fn version(&self) -> u64 {
        let deployment: Option<Arc<_>> = self.gw.deployment();
        deployment.map_or(0, |deployment| deployment.version)
    }
}

/// Bytes of a caller's request.
pub fn request(method: &str, path: &str, extra: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n\
         Authorization: Token {KEY}\r\nX-Deadline-Ms: 5000\r\n{extra}Content-Length: {len}\r\n\r\n\
         {body}"
    )
}

/// Reads one answer, whole or up to where it broke off.
pub async fn read(conn: &mut conn::Conn, method: &str) -> Got {
    let head = head::read_answer(conn).await.unwrap();
    let framing = body::answer_framing(&head, method).unwrap();
    let mut reader = body::Body::new(framing);
    let mut body = Vec::new();
    let whole = loop {
        match reader.next(conn).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Got {
        status: head.status,
        headers: head.headers,
        body,
        whole,
    }
}
