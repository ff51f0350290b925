//! Test environment: a gateway with a simulated store and simulated backend servers in one process.

// Each test file uses a different part of this module.
#![allow(dead_code)]

use std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use fulmarproxy::{
    gateway::{
        budget, config_sync, core, directory, front, releases, replenishing, rollback,
        stream_origins, upkeep, watching,
    },
    platform::settings,
    standin::{platform_store, scripted_server},
    transport::{
        h1::{body, conn, dial, head},
        timers,
    },
};
use serde_json::{Value, json};

/// API key of the workspace `desk`.
pub const KEY: &str = "secret-of-desk";

/// Time limit of a whole test and of a connection attempt. It only stops a test that hangs; no test
/// asserts that something takes that long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway with its store, and the addresses of its listeners.
pub struct TestEnv {
    pub executor: Rc<smol::LocalExecutor<'static>>,
    pub store: Rc<platform_store::PlatformStore>,
    pub gw: Rc<core::Gateway>,
    pub front_address: SocketAddr,
    pub fleet_address: SocketAddr,
    pub store_address: SocketAddr,
    timers: timers::Timers,
    server_count: RefCell<u32>,
}

/// A response as a caller received it.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: head::Headers,
    pub body: Vec<u8>,
    pub whole: bool,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The operator's configuration with the given budget of `desk` and timeout of its routes.
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

/// Runs a test in an environment with a configuration.
pub fn run_test(configuration: &Value, test: impl AsyncFnOnce(TestEnv)) {
    let executor = Rc::new(smol::LocalExecutor::new());
    let running = executor.clone();
    let timers = timers::Timers::default();
    let work = async {
        let env = TestEnv::new(executor, configuration).await;
        test(env).await;
    };
    let outcome = smol::block_on(running.run(timers.within(TEST_TIMEOUT, work)));
    assert!(outcome.is_some(), "the test did not end");
}

/// Starts a gateway; returns its addresses for callers and for other routers.
async fn start_gateway(
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
        heartbeat: Duration::from_secs(1),
        grace: Duration::from_secs(8),
        drain: Duration::from_secs(2),
        config_apply: Duration::from_secs(2),
        stable_window: Duration::from_secs(3),
        pass_time: None,
        retries_per_request: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 50.0,
        limits: settings::Limits::default(),
        is_first_start: true,
    };
    let gw = core::Gateway::new(settings, executor);
    gw.set_peers([].into());
    let listener = front::bind(any_port()).await.unwrap();
    let front = listener.local_addr().unwrap();
    config_sync::start(&gw);
    directory::start(&gw);
    watching::start(&gw);
    rollback::start(&gw);
    let fleet = budget::start(&gw).await.unwrap();
    replenishing::start(&gw);
    releases::start(&gw);
    stream_origins::start(&gw);
    upkeep::start(&gw);
    front::start(&gw, listener);
    (gw, front, fleet)
}

impl TestEnv {
    async fn new(executor: Rc<smol::LocalExecutor<'static>>, configuration: &Value) -> Self {
        let store = Rc::new(platform_store::PlatformStore::default());
        store.put("op/config", &configuration.to_string());
        let (listener, address) = platform_store::listener().await.unwrap();
        let serving = store.clone().serve(listener, executor.clone());
        executor.spawn(serving).detach();
        let (gw, front, fleet) = start_gateway("entry-1", address, executor.clone()).await;
        let env = Self {
            executor,
            store,
            gw,
            front_address: front,
            fleet_address: fleet,
            store_address: address,
            timers: timers::Timers::default(),
            server_count: RefCell::new(0),
        };
        env.until(|env| env.gw.not_ready_reason().is_none()).await;
        env
    }

    /// Starts a second gateway with the same store and lists the two as each other's peers. Returns
    /// its address for callers.
    pub async fn start_second_gateway(&self) -> SocketAddr {
        self.start_peer().await.1
    }

    /// As [`Self::start_second_gateway`]; returns the gateway too.
    pub async fn start_peer(&self) -> (Rc<core::Gateway>, SocketAddr) {
        let (gw, front, fleet) =
            start_gateway("entry-2", self.store_address, self.executor.clone()).await;
        gw.set_peers([(self.gw.holder(), self.fleet_address)].into());
        self.gw.set_peers([(gw.holder(), fleet)].into());
        self.until(|_| gw.not_ready_reason().is_none()).await;
        (gw, front)
    }

    /// Starts a second gateway that no other knows and that knows none; returns its address for callers.
    pub async fn start_stranger(&self) -> SocketAddr {
        let (gw, front, _) =
            start_gateway("entry-2", self.store_address, self.executor.clone()).await;
        self.until(|_| gw.not_ready_reason().is_none()).await;
        front
    }

    /// Starts a gateway with a store at an address; returns it with its fleet address. It knows no others.
    pub async fn start_member(
        &self,
        vm: &str,
        store: SocketAddr,
    ) -> (Rc<core::Gateway>, SocketAddr) {
        let (gw, _, fleet) = self.start_entry(vm, store).await;
        (gw, fleet)
    }

    /// As [`Self::start_member`]; returns its address for callers and its fleet address.
    pub async fn start_entry(
        &self,
        vm: &str,
        store: SocketAddr,
    ) -> (Rc<core::Gateway>, SocketAddr, SocketAddr) {
        let started = start_gateway(vm, store, self.executor.clone()).await;
        self.until(|_| started.0.not_ready_reason().is_none()).await;
        started
    }

    /// Waits until a condition holds.
    pub async fn until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            self.timers.sleep(Duration::from_millis(5)).await;
        }
    }

    pub async fn sleep(&self, millis: u64) {
        self.timers.sleep(Duration::from_millis(millis)).await;
    }

    /// Starts a backend server and waits until the gateway has it in its list.
    pub async fn start_server(
        &self,
        service: &str,
        answer: impl Fn(&scripted_server::ReceivedRequest) -> Vec<scripted_server::Step> + 'static,
    ) -> Rc<scripted_server::ScriptedServer> {
        self.start_server_of(service, "v1", answer).await
    }

    /// As [`Self::start_server`], for a server with this version of its software.
    pub async fn start_server_of(
        &self,
        service: &str,
        software: &str,
        answer: impl Fn(&scripted_server::ReceivedRequest) -> Vec<scripted_server::Step> + 'static,
    ) -> Rc<scripted_server::ScriptedServer> {
        let server = scripted_server::ScriptedServer::new(Rc::new(answer));
        let (listener, address) = platform_store::listener().await.unwrap();
        let serving = server.clone().serve(listener, self.executor.clone());
        self.executor.spawn(serving).detach();
        self.list_server_of(service, software, address).await;
        server
    }

    /// Lists a backend server at an address and waits until the gateway has it in its list.
    pub async fn list_server(&self, service: &str, address: SocketAddr) {
        self.list_server_of(service, "v1", address).await;
    }

    async fn list_server_of(&self, service: &str, software: &str, address: SocketAddr) {
        let number = {
            let mut server_count = self.server_count.borrow_mut();
            *server_count += 1;
            *server_count
        };
        let entry = json!({"service": service, "address": address.to_string(), "zone": "zone-a",
                           "slots": 8, "state": "ready", "version": software,
                           "sequence": 1});
        self.store
            .put(&format!("servers/i-{number}"), &entry.to_string());
        let id = format!("i-{number}");
        self.until(|env| env.gw.directory.borrow().servers.contains_key(id.as_str()))
            .await;
    }

    /// Connects a caller.
    pub async fn connect(&self) -> conn::Conn {
        dial::connect(self.front_address, TEST_TIMEOUT, &self.timers)
            .await
            .unwrap()
    }

    /// Sends a request on a new connection and reads the response.
    pub async fn send(&self, method: &str, path: &str, extra: &str, body: &str) -> Response {
        let mut conn = self.connect().await;
        conn.write(request_text(method, path, extra, body).as_bytes())
            .await
            .unwrap();
        read_response(&mut conn, method).await
    }

    /// Tokens of `desk` that this router has spent.
    pub fn spent_tokens(&self) -> u64 {
        let shares = self.gw.shares.borrow();
        shares.get("desk").map_or(0, |share| share.spent())
    }

    /// Version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        let deployment: Option<Arc<_>> = self.gw.deployment();
        deployment.map_or(0, |deployment| deployment.version)
    }
}

/// Bytes of a caller's request.
pub fn request_text(method: &str, path: &str, extra: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: r1\r\n\
         Authorization: Token {KEY}\r\nX-Deadline-Ms: 5000\r\n{extra}Content-Length: {len}\r\n\r\n\
         {body}"
    )
}

/// Reads one response, as far as it arrives.
pub async fn read_response(conn: &mut conn::Conn, method: &str) -> Response {
    let head = head::read_response(conn).await.unwrap();
    let framing = body::response_framing(&head, method).unwrap();
    let mut reader = body::Body::new(framing);
    let mut body = Vec::new();
    let whole = loop {
        match reader.next(conn).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Response {
        status: head.status,
        headers: head.headers,
        body,
        whole,
    }
}
