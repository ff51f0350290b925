//! A fleet of child processes that listen on free loopback ports: the platform's stand-in, routers,
//! agents and stand-ins of engines.

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

/// Any error that ends the benchmark.
pub type BoxError = Box<dyn std::error::Error>;

/// Time between two checks whether all routers are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which a fleet that is not ready counts as failed.
const MAX_READY_POLLS: u32 = 300;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A child process, which is killed when the value is dropped.
pub struct Process {
    child: Child,
    /// URL of a router's listener for callers, or of a stand-in; empty for an agent.
    pub url: String,
    /// `IP:port` of the admin listener of a router or agent; the URL of a stand-in.
    admin: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

/// All processes of a fleet. There is one engine for each agent, with the same index.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub agents: Vec<Process>,
    pub routers: Vec<Process>,
    client: Client,
    /// File with the fleet key.
    key_path: PathBuf,
    /// The list of VMs that is posted to the platform.
    vm_list: Vec<Value>,
}

/// Command that runs this executable again; `main` runs the program that the first argument names.
fn own_command(args: &[&str]) -> Result<Command, BoxError> {
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).stdout(Stdio::null());
    Ok(command)
}

/// Starts a stand-in and reads the address that it prints once it listens.
pub fn start_standin(args: &[&str]) -> Result<Process, BoxError> {
    let mut command = own_command(&["fulmar-standin"])?;
    let mut child = command.args(args).stdout(Stdio::piped()).spawn()?;
    let mut line = String::new();
    let stdout = child
        .stdout
        .take()
        .ok_or("the stand-in's standard output is not piped")?;
    BufReader::new(stdout).read_line(&mut line)?;
    let address = line.trim_start_matches("Listening on ");
    let url = format!("http://{}", address.trim_end_matches(".\n"));
    Ok(Process {
        child,
        admin: url.clone(),
        url,
    })
}

/// Address with a port that was free a moment ago. Another process can take the port before the
/// child binds it; the child then fails to start.
fn free_address() -> Result<String, BoxError> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

impl Fleet {
    /// Starts a fleet and waits until it is ready. Each engine has `slots` slots and is started
    /// with `engine_flags`; its agent announces the same number of slots.
    pub fn start(
        routers: u64,
        agents: u64,
        slots: u64,
        engine_flags: &[&str],
    ) -> Result<Self, BoxError> {
        let key_path =
            std::env::temp_dir().join(format!("fulmar-bench-{}.key", std::process::id()));
        std::fs::write(&key_path, format!("{:032x}", fastrand::u128(..)))?;
        let mut fleet = Self {
            platform: start_standin(&["platform"])?,
            engines: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            client: http::client(CALL_TIMEOUT),
            key_path,
            vm_list: Vec::new(),
        };
        fleet.publish_objects()?;
        for number in 0..agents {
            fleet.add_agent(number, slots, engine_flags)?;
        }
        for number in 0..routers {
            fleet.add_router(number)?;
        }
        smol::block_on(fleet.wait_ready(agents as usize))?;
        Ok(fleet)
    }

    fn publish_objects(&self) -> Result<(), BoxError> {
        let objects_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("bench/objects");
        let objects_dir = objects_dir.display().to_string();
        let args = ["publish", &objects_dir, "--store", &self.platform.url].map(str::to_owned);
        let command = ctl::parse(&args, &|_| None)?;
        match smol::block_on(ctl::run(&command, &mut std::io::sink())) {
            0 => Ok(()),
            status => {
                Err(format!("fulmarctl publish {objects_dir} ended with status {status}").into())
            }
        }
    }

    fn add_agent(
        &mut self,
        number: u64,
        slots: u64,
        engine_flags: &[&str],
    ) -> Result<(), BoxError> {
        let slots = slots.to_string();
        let flags = [&["engine", "--slots", &slots], engine_flags].concat();
        let engine = start_standin(&flags)?;
        let extra = [
            "--service",
            "engines",
            "--backend",
            &engine.url,
            "--slots",
            &slots,
        ];
        let agent = self.start_member("agent", &format!("backend-{number}"), &extra)?;
        self.engines.push(engine);
        self.agents.push(agent);
        Ok(())
    }

    fn add_router(&mut self, number: u64) -> Result<(), BoxError> {
        let listen = free_address()?;
        let store = self.platform.url.clone();
        let extra = ["--listen", &listen, "--store", &store];
        let mut router = self.start_member("router", &format!("entry-{number}"), &extra)?;
        router.url = format!("http://{listen}");
        self.routers.push(router);
        Ok(())
    }

    /// Starts a router or an agent and adds it to the list of VMs.
    fn start_member(
        &mut self,
        role: &str,
        name: &str,
        extra: &[&str],
    ) -> Result<Process, BoxError> {
        let [fleet_address, admin] = [free_address()?, free_address()?];
        let vms_url = format!("{}/vms", self.platform.url);
        let key_path = self.key_path.display().to_string();
        let mut args = vec![
            "fulmard", role, "--name", name, "--region", "r", "--zone", "a",
        ];
        args.extend([
            "--vms",
            &vms_url,
            "--fleet-key-file",
            &key_path,
            "--log",
            "error",
        ]);
        args.extend(["--fleet-listen", &fleet_address, "--admin-listen", &admin]);
        args.extend(extra);
        let child = own_command(&args)?.spawn()?;
        self.vm_list.push(json!({
            "name": name, "role": role, "address": fleet_address,
            "region": "r", "zone": "a", "state": "live",
        }));
        let url = String::new();
        Ok(Process { child, url, admin })
    }

    /// Posts the list of VMs to the platform and waits until all routers are ready.
    async fn wait_ready(&self, agents: usize) -> Result<(), BoxError> {
        let body = serde_json::to_vec(&self.vm_list)?;
        let request = self.client.post(format!("{}/vms", self.platform.url));
        drop(request.with_body(body).await?.success()?);
        for _ in 0..MAX_READY_POLLS {
            if self.is_ready(agents).await {
                return Ok(());
            }
            smol::Timer::after(READY_POLL_INTERVAL).await;
        }
        Err("the fleet did not become ready in time".into())
    }

    /// Whether every router knows all agents and follows a published configuration.
    async fn is_ready(&self, agents: usize) -> bool {
        for router in &self.routers {
            let url = format!("http://{}/status", router.admin);
            let status: Result<Value, _> = http::get(&self.client, "status", &url).await;
            let ready = status.is_ok_and(|status| {
                let known_agents = status["agents"].as_array().map_or(0, Vec::len);
                known_agents >= agents && status["config"].as_u64() > Some(0)
            });
            if !ready {
                return false;
            }
        }
        true
    }

    /// Reads a JSON page of a stand-in.
    pub fn get_json(&self, url: &str) -> Result<Value, BoxError> {
        Ok(smol::block_on(http::get(&self.client, "counts", url))?)
    }

    /// Number of requests that the engines are running now.
    pub fn running_requests(&self) -> Result<u64, BoxError> {
        let mut running = 0;
        for engine in &self.engines {
            let totals = self.get_json(&format!("{}/totals", engine.url))?;
            running += totals["running"].as_u64().unwrap_or(0);
        }
        Ok(running)
    }

    /// URLs of the routers, separated by commas.
    pub fn router_urls(&self) -> String {
        join_urls(&self.routers)
    }

    /// URLs of the engines, separated by commas.
    pub fn engine_urls(&self) -> String {
        join_urls(&self.engines)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.key_path);
    }
}

fn join_urls(processes: &[Process]) -> String {
    let urls: Vec<&str> = processes.iter().map(|process| &*process.url).collect();
    urls.join(",")
}
