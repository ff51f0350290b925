//! Starts a small fleet as separate processes on free loopback ports.
#![allow(dead_code)]

pub mod disturbed_fleet;
pub mod early_server;
pub mod former_placing;
pub mod mixed_load;
pub mod mixed_requests;
pub mod placed;
pub mod placed_fleet;
pub mod proxy;
pub mod seeds;
pub mod servers;
pub mod slow_link;
pub mod virtual_engine;

use std::{
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use fulmarproxy::transport::http;
use serde_json::{Value, json};
use trillium_client::Client;

/// Maximum wait for a condition or a response.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A child process that is killed when its value is dropped.
pub struct Process {
    pub child: Child,
    pub name: String,
    pub address: String,
    pub admin_address: String,
    pub fleet_address: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success(), "kill {signal} {pid}");
    }
}

/// A fleet under test: a stand-in for the platform, engines, agents and routers.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub routers: Vec<Process>,
    pub client: Client,
    /// Environment variables of routers and agents that are started from now on.
    pub env: Vec<(&'static str, String)>,
    key_file: PathBuf,
    vms: Vec<Value>,
}

/// Address on which the operating system chooses the port.
const ANY_PORT: &str = "127.0.0.1:0";

/// Reads the first line of a process's output, which names the addresses it listens on.
fn first_line(child: &mut Child) -> String {
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    assert!(line.starts_with("Listening"), "the process did not start");
    line
}

/// Returns a command for one of the binaries of this project.
fn binary(name: &str) -> Command {
    let path = match name {
        "fulmard" => env!("CARGO_BIN_EXE_fulmard"),
        "fulmarctl" => env!("CARGO_BIN_EXE_fulmarctl"),
        _ => env!("CARGO_BIN_EXE_fulmar-standin"),
    };
    Command::new(path)
}

/// Starts a stand-in for an engine, a plain service or the platform; all its addresses are the one
/// that it prints.
pub fn start_standin(args: &[&str]) -> Process {
    let mut child = binary("fulmar-standin")
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let line = first_line(&mut child);
    let address = line
        .trim_start_matches("Listening on ")
        .trim_end_matches(".\n")
        .to_owned();
    Process {
        child,
        name: args[0].to_owned(),
        admin_address: address.clone(),
        fleet_address: address.clone(),
        address,
    }
}

impl Fleet {
    /// Starts a stand-in for the platform and publishes the objects of an example. The fleet has no
    /// members yet.
    pub fn start(example: &str) -> Self {
        let key_file = std::env::temp_dir().join(format!(
            "fulmar-{}-{}.key",
            std::process::id(),
            fastrand::u64(..)
        ));
        std::fs::write(&key_file, "a key for tests only").unwrap();
        let fleet = Self {
            platform: start_standin(&["platform"]),
            engines: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            client: http::client(WAIT_TIMEOUT),
            env: Vec::new(),
            key_file,
            vms: Vec::new(),
        };
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(example);
        fleet.publish(&dir);
        fleet
    }

    /// Returns the path of the file with the fleet key.
    pub fn key_file(&self) -> String {
        self.key_file.display().to_string()
    }

    pub fn platform_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.platform.address)
    }

    /// Publishes the objects in a directory with `fulmarctl`.
    pub fn publish(&self, dir: &Path) {
        let status = binary("fulmarctl")
            .args([
                "publish",
                dir.to_str().unwrap(),
                "--store",
                &self.platform_url(""),
            ])
            .stdout(Stdio::null())
            .status()
            .unwrap();
        assert!(status.success(), "publish {}", dir.display());
    }

    /// Starts a router or an agent with extra flags; the platform does not list it yet.
    pub fn start_daemon(&self, role: &str, name: &str, zone: &str, extra: &[&str]) -> Process {
        let mut command = binary("fulmard");
        command.envs(self.env.iter().cloned());
        command.args([role, "--name", name, "--region", "r", "--zone", zone]);
        command.args(["--fleet-listen", ANY_PORT, "--admin-listen", ANY_PORT]);
        command.args(["--log", "debug"]).stdout(Stdio::piped());
        command.args(["--fleet-key-file", self.key_file.to_str().unwrap()]);
        command
            .args(["--vms", &self.platform_url("/vms")])
            .args(extra);
        if role == "router" {
            command.args(["--listen", ANY_PORT]);
            if !extra.contains(&"--store") {
                command.args(["--store", &self.platform_url("")]);
            }
        }
        let mut child = command.spawn().unwrap();
        let line = first_line(&mut child);
        let address = |what: &str| {
            let after = line.split(&format!("{what} ")).nth(1).unwrap_or_default();
            after
                .split([',', ' '])
                .next()
                .unwrap()
                .trim()
                .trim_end_matches('.')
                .to_owned()
        };
        Process {
            name: name.to_owned(),
            address: address("callers"),
            admin_address: address("admin"),
            fleet_address: address("fleet"),
            child,
        }
    }

    /// Adds or replaces a VM in the platform's list of VMs.
    fn list_vm(&mut self, role: &str, name: &str, address: &str) {
        self.vms.retain(|vm| vm["name"] != name);
        self.vms.push(json!({
            "name": name, "role": role, "address": address,
            "region": "r", "zone": "a", "state": "live",
        }));
        let body = serde_json::to_vec(&self.vms).unwrap();
        let conn = self.client.post(self.platform_url("/vms")).with_body(body);
        let response = smol::block_on(async { conn.await.unwrap().success() });
        assert!(response.is_ok(), "the list of VMs is set");
    }

    /// Kills a router, then removes its VM from the platform's list.
    pub fn kill_router(&mut self, index: usize) {
        let router = self.routers.remove(index);
        self.vms.retain(|vm| vm["name"] != *router.name);
        drop(router);
        let body = serde_json::to_vec(&self.vms).unwrap();
        let conn = self.client.post(self.platform_url("/vms")).with_body(body);
        let response = smol::block_on(async { conn.await.unwrap().success() });
        assert!(response.is_ok(), "the list of VMs is set");
    }

    /// Starts a router and lists its VM; returns its index in `routers`.
    pub fn add_router(&mut self) -> usize {
        let name = format!("entry-{}", self.routers.len());
        let router = self.start_daemon("router", &name, "a", &[]);
        self.list_vm("router", &name, &router.fleet_address);
        self.routers.push(router);
        self.routers.len() - 1
    }

    /// Starts an engine and its agent; returns the agent's index in `agents`.
    pub fn add_agent(&mut self, service: &str, token_micros: u64) -> usize {
        self.add_engine_and_agent(service, token_micros, &[])[1]
    }

    /// Starts an engine with extra flags and its agent; returns their indices in `engines` and
    /// `agents`.
    pub fn add_engine_and_agent(
        &mut self,
        service: &str,
        token_micros: u64,
        flags: &[&str],
    ) -> [usize; 2] {
        let micros = token_micros.to_string();
        let mut args = vec!["engine", "--token-micros", &micros];
        args.extend(flags);
        let engine = start_standin(&args);
        self.add_agent_for(service, &engine.address.clone());
        self.engines.push(engine);
        [self.engines.len() - 1, self.agents.len() - 1]
    }

    /// Starts a plain service and its agent; returns the service.
    pub fn add_plain_service(&mut self, service: &str) -> Process {
        let plain = start_standin(&["plain"]);
        self.add_agent_for(service, &plain.address);
        plain
    }

    /// Starts an agent for the backend server at an address and lists its VM.
    pub fn add_agent_for(&mut self, service: &str, backend: &str) {
        let name = format!("backend-{}", self.agents.len());
        let backend = format!("http://{backend}");
        let flags = ["--service", service, "--backend", &backend];
        let agent = self.start_daemon("agent", &name, "a", &flags);
        self.list_vm("agent", &name, &agent.fleet_address);
        self.agents.push(agent);
    }

    /// Waits until a router has a configuration and knows at least `agents` agents.
    pub fn wait_ready(&self, router: usize, agents: usize) {
        let status = format!("http://{}/status", self.routers[router].admin_address);
        wait_for("the router to know its agents", || {
            let found: Result<Value, _> =
                smol::block_on(http::get(&self.client, "status", &status));
            found.is_ok_and(|found| {
                found["config"].as_u64() > Some(0)
                    && found["agents"]
                        .as_array()
                        .is_some_and(|known| known.len() >= agents)
            })
        });
    }

    /// Sends a chat request to a router; returns the status and body of the response.
    pub fn chat(&self, router: usize, key: &str, body: &Value) -> (u16, String) {
        let url = format!(
            "http://{}/v1/chat/completions",
            self.routers[router].address
        );
        let conn = self.client.post(url).with_body(body.to_string());
        let conn = conn.with_request_header("authorization", format!("Bearer {key}"));
        smol::block_on(async {
            let mut conn = conn.await.unwrap();
            let status = conn.status().unwrap() as u16;
            let body = conn.response_body().read_string().await.unwrap_or_default();
            (status, body)
        })
    }

    /// Tokens that all engines together have processed.
    pub fn engine_tokens(&self) -> u64 {
        let tokens = self.engines.iter().map(|engine| {
            let url = format!("http://{}/counts", engine.address);
            let counts: Value = smol::block_on(http::get(&self.client, "counts", &url)).unwrap();
            counts["tokens"].as_u64().unwrap()
        });
        tokens.sum()
    }

    /// Tokens of a budget that are spent according to the holder records in the store.
    pub fn billed_tokens(&self, budget: &str) -> u64 {
        let store = fulmarproxy::transport::store::Store::over_http(&self.platform_url(""));
        let (found, _) = smol::block_on(store.list("fulmar/holder/")).unwrap();
        let spent = found.iter().map(|kv| {
            let record: Value = serde_json::from_slice(&kv.value.0).unwrap();
            record["budgets"][budget]["spent"].as_u64().unwrap_or(0)
        });
        spent.sum()
    }
}

/// Polls a condition until it holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "waited {WAIT_TIMEOUT:?} for {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
