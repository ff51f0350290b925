//! A fleet of child processes on free loopback ports.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use fulmarproxy::{ctl, transport::http};
use serde_json::{Value, json};
use trillium_client::Client;

/// Any error of the benchmark.
pub type Failure = Box<dyn std::error::Error>;

const READY_POLL: Duration = Duration::from_millis(100);
const READY_POLLS: u32 = 300;
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// A child process, ended with the value.
pub struct Process {
    child: Child,
    /// Address of a router for callers, or of a stand-in.
    pub url: String,
    admin: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

/// Platform, engines, agents and routers.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub routers: Vec<Process>,
    client: Client,
    key: PathBuf,
    vms: Vec<Value>,
}

fn command(args: &[&str]) -> Result<Command, Failure> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdout(Stdio::null());
    Ok(command)
}

/// Starts a stand-in and reads the address that it prints.
pub fn standin(args: &[&str]) -> Result<Process, Failure> {
    let mut command = command(&["fulmar-standin"])?;
    let mut child = command.args(args).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    let stdout = child.stdout.take().ok_or("the stand-in has no output")?;
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line.trim_start_matches("Listening on ");
    let url = format!("http://{}", address.trim_end_matches(".\n"));
    Ok(Process {
        child,
        admin: url.clone(),
        url,
    })
}

fn free_address() -> Result<String, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Fleet {
    /// Starts a fleet whose engines get `engine` as flags and whose agents have `slots` slots.
    pub fn start(routers: u64, agents: u64, slots: u64, engine: &[&str]) -> Result<Self, Failure> {
        let key = std::env::temp_dir().join(format!("fulmar-bench-{}.key", std::process::id()));
        std::fs::write(&key, format!("{:032x}", fastrand::u128(..)))?;
        let mut fleet = Self {
            platform: standin(&["platform"])?,
            engines: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            client: http::client(CALL_LIMIT),
            key,
            vms: Vec::new(),
        };
        fleet.publish()?;
        for number in 0..agents {
            fleet.add_agent(number, slots, engine)?;
        }
        for number in 0..routers {
            fleet.add_router(number)?;
        }
        smol::block_on(fleet.wait_ready(agents as usize))?;
        Ok(fleet)
    }

    fn publish(&self) -> Result<(), Failure> {
        let objects = Path::new(env!("CARGO_MANIFEST_DIR")).join("bench/objects");
        let objects = objects.display().to_string();
        let args = ["publish", &objects, "--store", &self.platform.url].map(str::to_owned);
        let publish = ctl::parse(&args, &|_| None)?;
        match smol::block_on(ctl::run(&publish, &mut std::io::sink())) {
            0 => Ok(()),
            status => Err(format!("publishing {objects} ended with status {status}").into()),
        }
    }

    fn add_agent(&mut self, number: u64, slots: u64, engine: &[&str]) -> Result<(), Failure> {
        let slots = slots.to_string();
        let flags = [&["engine", "--slots", &slots], engine].concat();
        let engine = standin(&flags)?;
        let extra = [
            "--service",
            "engines",
            "--backend",
            &engine.url,
            "--slots",
            &slots,
        ];
        let agent = self.member("agent", &format!("backend-{number}"), &extra)?;
        self.engines.push(engine);
        self.agents.push(agent);
        Ok(())
    }

    fn add_router(&mut self, number: u64) -> Result<(), Failure> {
        let listen = free_address()?;
        let store = self.platform.url.clone();
        let extra = ["--listen", &listen, "--store", &store];
        let mut router = self.member("router", &format!("entry-{number}"), &extra)?;
        router.url = format!("http://{listen}");
        self.routers.push(router);
        Ok(())
    }

    fn member(&mut self, role: &str, name: &str, extra: &[&str]) -> Result<Process, Failure> {
        let [fleet, admin] = [free_address()?, free_address()?];
        let vms = format!("{}/vms", self.platform.url);
        let key = self.key.display().to_string();
        let mut args = vec![
            "fulmard", role, "--name", name, "--region", "r", "--zone", "a",
        ];
        args.extend(["--vms", &vms, "--fleet-key-file", &key, "--log", "error"]);
        args.extend(["--fleet-listen", &fleet, "--admin-listen", &admin]);
        args.extend(extra);
        let child = command(&args)?.spawn()?;
        self.vms.push(json!({
            "name": name, "role": role, "address": fleet,
            "region": "r", "zone": "a", "state": "live",
        }));
        let url = String::new();
        Ok(Process { child, url, admin })
    }

    async fn wait_ready(&self, agents: usize) -> Result<(), Failure> {
        let body = serde_json::to_vec(&self.vms)?;
        let list = self.client.post(format!("{}/vms", self.platform.url));
        drop(list.with_body(body).await?.success()?);
        for _ in 0..READY_POLLS {
            if self.is_ready(agents).await {
                return Ok(());
            }
            smol::Timer::after(READY_POLL).await;
        }
        Err("the fleet did not become ready".into())
    }

    async fn is_ready(&self, agents: usize) -> bool {
        for router in &self.routers {
            let url = format!("http://{}/status", router.admin);
            let found: Result<Value, _> = http::get(&self.client, "status", &url).await;
            let ready = found.is_ok_and(|found| {
                let known = found["agents"].as_array().map_or(0, Vec::len);
                known >= agents && found["config"].as_u64() > Some(0)
            });
            if !ready {
                return false;
            }
        }
        true
    }

    /// Reads JSON from a stand-in.
    pub fn read(&self, url: &str) -> Result<Value, Failure> {
        Ok(smol::block_on(http::get(&self.client, "figures", url))?)
    }

    /// Requests that run at the engines.
    pub fn running(&self) -> Result<u64, Failure> {
        let mut running = 0;
        for engine in &self.engines {
            let totals = self.read(&format!("{}/totals", engine.url))?;
            running += totals["running"].as_u64().unwrap_or(0);
        }
        Ok(running)
    }

    /// Addresses of the routers, with commas between them.
    pub fn router_urls(&self) -> String {
        joined(&self.routers)
    }

    /// Addresses of the engines, with commas between them.
    pub fn engine_urls(&self) -> String {
        joined(&self.engines)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key);
    }
}

fn joined(processes: &[Process]) -> String {
    let urls: Vec<&str> = processes.iter().map(|process| &*process.url).collect();
    urls.join(",")
}
