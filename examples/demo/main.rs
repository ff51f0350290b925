//! Demonstrates a small fleet on loopback: starts a stand-in of the platform, two routers, three
//! agents and a stand-in engine for each agent, and publishes the objects of `examples/haugland`.
//!
//! The child processes are this executable too: their first argument is `fulmard` or
//! `fulmar-standin`.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    time::Duration,
};

use fulmarproxy::{ctl, daemon, standin, transport::http};
use serde_json::{Value, json};

type BoxError = Box<dyn std::error::Error>;

/// Time between two checks whether both routers are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which a fleet that is not ready counts as failed.
const MAX_READY_POLLS: u32 = 100;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((program, rest)) if program == "fulmard" => daemon::main(rest),
        Some((program, rest)) if program == "fulmar-standin" => standin::main::main(rest),
        _ => match run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(err) => {
                eprintln!("demo: {err}.");
                ExitCode::FAILURE
            }
        },
    }
}

/// Child processes, which are killed when the value is dropped.
#[derive(Default)]
struct Children(Vec<Child>);

impl Drop for Children {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Children {
    /// Runs this executable again; `main` runs the program that the first argument names.
    fn start(&mut self, args: &[&str]) -> Result<&mut Child, BoxError> {
        let mut command = Command::new(std::env::current_exe()?);
        let child = command.args(args).stdout(Stdio::piped()).spawn()?;
        self.0.push(child);
        Ok(self.0.last_mut().expect("a child was just added"))
    }

    /// Starts a stand-in and returns the address that it prints once it listens.
    fn start_standin(&mut self, kind: &str) -> Result<String, BoxError> {
        let child = self.start(&["fulmar-standin", kind])?;
        let mut line = String::new();
        let stdout = child
            .stdout
            .take()
            .ok_or("the stand-in's standard output is not piped")?;
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line
            .trim_start_matches("Listening on ")
            .trim_end_matches(".\n")
            .to_owned())
    }
}

/// Address with a port that was free a moment ago. Another process can take the port before the
/// child binds it; the child then fails to start.
fn free_address() -> Result<String, BoxError> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

/// The fleet.
struct Demo {
    children: Children,
    /// URL of the platform's stand-in.
    platform: String,
    /// File with the fleet key.
    key_path: PathBuf,
    /// The list of VMs that is posted to the platform.
    vm_list: Vec<Value>,
    /// Addresses of the routers' admin listeners.
    router_admins: Vec<String>,
}

impl Demo {
    /// Starts a router or an agent and adds it to the list of VMs.
    fn start_member(
        &mut self,
        role: &str,
        name: &str,
        zone: &str,
        extra: &[&str],
    ) -> Result<(), BoxError> {
        let [fleet_address, admin] = [free_address()?, free_address()?];
        let vms_url = format!("{}/vms", self.platform);
        let key_path = self.key_path.display().to_string();
        let mut args = vec!["fulmard", role, "--name", name, "--region", "vestland"];
        args.extend([
            "--zone",
            zone,
            "--vms",
            &vms_url,
            "--fleet-key-file",
            &key_path,
        ]);
        args.extend([
            "--fleet-listen",
            &fleet_address,
            "--admin-listen",
            &admin,
            "--log",
            "warn",
        ]);
        args.extend(extra);
        self.children.start(&args)?;
        self.vm_list.push(json!({
            "name": name, "role": role, "address": fleet_address,
            "region": "vestland", "zone": zone, "state": "live",
        }));
        if role == "router" {
            self.router_admins.push(admin);
        }
        Ok(())
    }

    /// Starts an agent with an engine of its own.
    fn start_agent(&mut self, name: &str, zone: &str) -> Result<(), BoxError> {
        let backend = format!("http://{}", self.children.start_standin("engine")?);
        self.start_member(
            "agent",
            name,
            zone,
            &["--service", "fortelling", "--backend", &backend],
        )
    }

    /// Whether each router knows all three agents.
    async fn is_ready(&self, client: &trillium_client::Client) -> bool {
        for admin in &self.router_admins {
            let url = format!("http://{admin}/status");
            let status: Result<Value, _> = http::get(client, "status", &url).await;
            let known_agents = status
                .ok()
                .and_then(|status| status["agents"].as_array().map(Vec::len));
            if known_agents != Some(3) {
                return false;
            }
        }
        true
    }
}

fn run() -> Result<(), BoxError> {
    let mut children = Children::default();
    let platform = format!("http://{}", children.start_standin("platform")?);
    let key_path = std::env::temp_dir().join(format!("fulmar-demo-{}.key", std::process::id()));
    std::fs::write(&key_path, format!("{:032x}", fastrand::u128(..)))?;
    let mut demo = Demo {
        children,
        platform: platform.clone(),
        key_path,
        vm_list: Vec::new(),
        router_admins: Vec::new(),
    };
    let objects = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/haugland");
    let args = [
        "publish".into(),
        objects.display().to_string(),
        "--store".into(),
        platform.clone(),
    ];
    let command = ctl::parse(&args, &|_| None)?;
    let (first, second) = (free_address()?, free_address()?);
    smol::block_on(ctl::run(&command, &mut std::io::stdout()));
    demo.start_member(
        "router",
        "entry-1",
        "bergen-a",
        &["--listen", &first, "--store", &platform],
    )?;
    demo.start_member(
        "router",
        "entry-2",
        "bergen-b",
        &["--listen", &second, "--store", &platform],
    )?;
    demo.start_agent("backend-1", "bergen-a")?;
    demo.start_agent("backend-2", "bergen-b")?;
    demo.start_agent("backend-3", "stavanger")?;
    smol::block_on(wait_until_ready(&demo, &first, &second))?;
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    Ok(())
}

/// Posts the list of VMs, waits until the routers are ready, and prints how to send a request.
async fn wait_until_ready(demo: &Demo, first: &str, second: &str) -> Result<(), BoxError> {
    let client = http::client(Duration::from_secs(2));
    let body = serde_json::to_vec(&demo.vm_list)?;
    let request = client
        .post(format!("{}/vms", demo.platform))
        .with_body(body);
    drop(request.await?.success()?);
    for _ in 0..MAX_READY_POLLS {
        if demo.is_ready(&client).await {
            println!(
                "Routers at {first} and {second}; platform at {}.",
                demo.platform
            );
            println!("Try:\n");
            println!("  curl -N http://{first}/v1/chat/completions \\");
            println!("    -H 'Authorization: Bearer fjordforlaget-key' \\");
            println!(
                "    -d '{{\"model\":\"quick\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"when is the brief due\"}}]}}'\n"
            );
            println!("Press Enter to stop.");
            return Ok(());
        }
        smol::Timer::after(READY_POLL_INTERVAL).await;
    }
    Err("the fleet did not become ready in time".into())
}
