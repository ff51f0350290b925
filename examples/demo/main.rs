//! Starts stand-ins, two routers and three agents on loopback, and publishes an example.

use std::{
    io::{BufRead, BufReader},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    time::Duration,
};

use fulmarproxy::{ctl, daemon, standin, transport::http};
use serde_json::{Value, json};

type Failure = Box<dyn std::error::Error>;

const READY_POLL: Duration = Duration::from_millis(100);
const READY_POLLS: u32 = 100;

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

/// Child processes, ended with the value.
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
    fn start(&mut self, args: &[&str]) -> Result<&mut Child, Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        let child = command.args(args).stdout(Stdio::piped()).spawn()?;
        self.0.push(child);
        Ok(self.0.last_mut().expect("a child was just added"))
    }

    fn standin(&mut self, kind: &str) -> Result<String, Failure> {
        let child = self.start(&["fulmar-standin", kind])?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("the stand-in has no output")?;
        BufReader::new(stdout).read_line(&mut line)?;
        Ok(line
            .trim_start_matches("Listening on ")
            .trim_end_matches(".\n")
            .to_owned())
    }
}

fn free_address() -> Result<String, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

struct Demo {
    children: Children,
    platform: String,
    key: PathBuf,
    vms: Vec<Value>,
    admins: Vec<String>,
}

impl Demo {
    fn member(
        &mut self,
        role: &str,
        name: &str,
        zone: &str,
        extra: &[&str],
    ) -> Result<(), Failure> {
        let [fleet, admin] = [free_address()?, free_address()?];
        let vms = format!("{}/vms", self.platform);
        let key = self.key.display().to_string();
        let mut args = vec!["fulmard", role, "--name", name, "--region", "vestland"];
        args.extend(["--zone", zone, "--vms", &vms, "--fleet-key-file", &key]);
        args.extend([
            "--fleet-listen",
            &fleet,
            "--admin-listen",
            &admin,
            "--log",
            "warn",
        ]);
        args.extend(extra);
        self.children.start(&args)?;
        self.vms.push(json!({
            "name": name, "role": role, "address": fleet,
            "region": "vestland", "zone": zone, "state": "live",
        }));
        if role == "router" {
            self.admins.push(admin);
        }
        Ok(())
    }

    fn agent(&mut self, name: &str, zone: &str) -> Result<(), Failure> {
        let backend = format!("http://{}", self.children.standin("engine")?);
        self.member(
            "agent",
            name,
            zone,
            &["--service", "fortelling", "--backend", &backend],
        )
    }

    async fn is_ready(&self, client: &trillium_client::Client) -> bool {
        for admin in &self.admins {
            let url = format!("http://{admin}/status");
            let found: Result<Value, _> = http::get(client, "status", &url).await;
            let known = found
                .ok()
                .and_then(|found| found["agents"].as_array().map(Vec::len));
            if known != Some(3) {
                return false;
            }
        }
        true
    }
}

fn run() -> Result<(), Failure> {
    let mut children = Children::default();
    let platform = format!("http://{}", children.standin("platform")?);
    let key = std::env::temp_dir().join(format!("fulmar-demo-{}.key", std::process::id()));
    std::fs::write(&key, format!("{:032x}", fastrand::u128(..)))?;
    let mut demo = Demo {
        children,
        platform: platform.clone(),
        key,
        vms: Vec::new(),
        admins: Vec::new(),
    };
    let objects = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/haugland");
    let args = [
        "publish".into(),
        objects.display().to_string(),
        "--store".into(),
        platform.clone(),
    ];
    let publish = ctl::parse(&args, &|_| None)?;
    let (first, second) = (free_address()?, free_address()?);
    smol::block_on(ctl::run(&publish, &mut std::io::stdout()));
    demo.member(
        "router",
        "entry-1",
        "bergen-a",
        &["--listen", &first, "--store", &platform],
    )?;
    demo.member(
        "router",
        "entry-2",
        "bergen-b",
        &["--listen", &second, "--store", &platform],
    )?;
    demo.agent("backend-1", "bergen-a")?;
    demo.agent("backend-2", "bergen-b")?;
    demo.agent("backend-3", "stavanger")?;
    smol::block_on(wait_and_show(&demo, &first, &second))?;
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    Ok(())
}

async fn wait_and_show(demo: &Demo, first: &str, second: &str) -> Result<(), Failure> {
    let client = http::client(Duration::from_secs(2));
    let body = serde_json::to_vec(&demo.vms)?;
    let list = client
        .post(format!("{}/vms", demo.platform))
        .with_body(body);
    drop(list.await?.success()?);
    for _ in 0..READY_POLLS {
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
        smol::Timer::after(READY_POLL).await;
    }
    Err("the fleet did not become ready".into())
}
