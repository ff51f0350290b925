//! Measures the control plane with real processes on loopback.
//!
//! `control publish N...` measures the time from a publication to its being in force and the calls
//! of the store for each number of routers. `control agents N...` and `control budgets N...`
//! measure processor time, memory and bytes a second of a router as agents or budgets grow.

use std::{
    fs,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, ExitCode, Stdio},
    time::{Duration, Instant},
};

use fulmarproxy::{
    ctl, daemon, standin,
    state::{budget, object_set},
    transport::{http, store},
};
use futures::future;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use trillium_client::Client;

type Failure = Box<dyn std::error::Error>;

const ROUNDS: u64 = 20;
const POLL: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(60);
const SETTLE: Duration = Duration::from_secs(12);
const WINDOW: Duration = Duration::from_secs(20);
const ROUTERS: usize = 4;
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let result = match args.split_first() {
        Some((program, rest)) if program == "fulmard" => return daemon::main(rest),
        Some((program, rest)) if program == "fulmar-standin" => return standin::main::main(rest),
        Some((what, sizes)) => measure(what, sizes),
        None => Err("expected publish, agents or budgets, and sizes".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("control: {err}.");
            ExitCode::FAILURE
        }
    }
}

fn measure(what: &str, sizes: &[String]) -> Result<(), Failure> {
    let mut points = Vec::new();
    for size in sizes {
        let size: usize = size.parse()?;
        match what {
            "publish" => smol::block_on(publish(size))?,
            "agents" => points.push((size, smol::block_on(load(ROUTERS, size, 10))?)),
            "budgets" => points.push((size, smol::block_on(load(ROUTERS, 4, size))?)),
            other => return Err(format!("unknown measurement {other:?}").into()),
        }
    }
    for (name, figure) in [
        ("cpu", 0),
        ("rss_mb", 1),
        ("sent_bytes", 2),
        ("received_bytes", 3),
    ] {
        let line: Vec<_> = points.iter().map(|(x, y)| (*x as f64, y[figure])).collect();
        if line.len() > 1 {
            let (slope, start) = fit(&line);
            println!("fit {name}: {start:.4} + {slope:.6} per unit");
        }
    }
    Ok(())
}

/// Least squares: slope and value at zero.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let above: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let below: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = above / below;
    (slope, y - slope * x)
}

/// A set whose first budget alone differs from one publication to the next.
fn changed(total: u64) -> object_set::ObjectSet {
    let mut set = objects(100, 1);
    if let Some(budget) = set.budgets.get_mut("budget-0") {
        budget.prepaid_tokens = total;
    }
    set
}

/// Processes, ended with the value.
struct Fleet {
    children: Vec<Child>,
    routers: Vec<(u32, String)>,
    vms: Vec<Value>,
    platform: String,
    key: PathBuf,
    client: Client,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn free_address() -> Result<String, Failure> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

fn objects(budgets: usize, total: u64) -> object_set::ObjectSet {
    let mut set = object_set::ObjectSet::default();
    for index in 0..budgets {
        let name = format!("budget-{index}").into();
        let budget = budget::Budget {
            name,
            prepaid_tokens: total,
            autonomy_seconds: 600,
        };
        set.budgets.insert(budget.name.clone(), budget);
    }
    set
}

impl Fleet {
    fn start() -> Result<Self, Failure> {
        let key = std::env::temp_dir().join(format!("fulmar-control-{}.key", std::process::id()));
        fs::write(&key, format!("{:032x}", fastrand::u128(..)))?;
        let mut fleet = Self {
            children: Vec::new(),
            routers: Vec::new(),
            vms: Vec::new(),
            platform: String::new(),
            key,
            client: http::client(LIMIT),
        };
        let mut child = Command::new(std::env::current_exe()?)
            .args(["fulmar-standin", "platform"])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("the stand-in has no output")?;
        std::io::BufRead::read_line(&mut std::io::BufReader::new(stdout), &mut line)?;
        fleet.children.push(child);
        let address = line
            .trim_start_matches("Listening on ")
            .trim_end_matches(".\n");
        fleet.platform = format!("http://{address}");
        Ok(fleet)
    }

    fn store(&self) -> store::Store {
        store::Store::over_http(&self.platform)
    }

    fn member(&mut self, role: &str, index: usize, extra: &[&str]) -> Result<(), Failure> {
        let [listen, fleet, admin] = [free_address()?, free_address()?, free_address()?];
        let name = format!("{role}-{index}");
        let zone = format!("z{}", index % 4);
        let vms = format!("{}/vms", self.platform);
        let key = self.key.display().to_string();
        let mut command = Command::new(std::env::current_exe()?);
        command.args([
            "fulmard", role, "--name", &name, "--region", "r", "--zone", &zone,
        ]);
        command.args(["--vms", &vms, "--fleet-key-file", &key, "--log", "error"]);
        command.args(["--fleet-listen", &fleet, "--admin-listen", &admin]);
        if role == "router" {
            command.args(["--listen", &listen]);
        }
        let child = command.args(extra).stdout(Stdio::null()).spawn()?;
        if role == "router" {
            self.routers.push((child.id(), admin));
        }
        self.children.push(child);
        self.vms.push(
            json!({ "name": name, "role": role, "address": fleet, "region": "r",
            "zone": zone, "state": "live" }),
        );
        Ok(())
    }

    async fn post(&self, path: &str, body: &Value) -> Result<(), Failure> {
        let conn = self.client.post(format!("{}{path}", self.platform));
        drop(conn.with_body(body.to_string()).await?.success()?);
        Ok(())
    }

    async fn status(&self, admin: &str) -> Option<Value> {
        let url = format!("http://{admin}/status");
        http::get(&self.client, "status", &url).await.ok()
    }

    /// Waits until every router runs a version; returns the time that each took.
    async fn wait(&self, version: u64, start: Instant) -> Result<Vec<Duration>, Failure> {
        let waits = self.routers.iter().map(|(_, admin)| async move {
            while start.elapsed() < LIMIT {
                let found = self.status(admin).await;
                if found.is_some_and(|found| found["config"].as_u64() >= Some(version)) {
                    return Some(start.elapsed());
                }
                smol::Timer::after(POLL).await;
            }
            None
        });
        let waited = future::join_all(waits).await;
        let waited: Option<Vec<_>> = waited.into_iter().collect();
        Ok(waited.ok_or("a router did not run the version in time")?)
    }

    async fn calls(&self) -> Result<Value, Failure> {
        let url = format!("{}/calls", self.platform);
        Ok(http::get(&self.client, "calls", &url).await?)
    }

    async fn link_bytes(&self, admin: &str, direction: &str) -> f64 {
        let conn = self.client.get(format!("http://{admin}/metrics"));
        let Ok(mut conn) = conn.await else { return 0.0 };
        let page = conn.response_body().read_string().await.unwrap_or_default();
        let line = format!("fulmar_link_bytes{{direction=\"{direction}\"}} ");
        let found = page.lines().find_map(|text| text.strip_prefix(&line));
        found.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    }
}

/// Seconds of processor time and megabytes of memory that a process has used.
fn usage(pid: u32) -> Result<(f64, f64), Failure> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
    Ok((ticks / TICKS_PER_SECOND, resident.unwrap_or(0.0) / 1024.0))
}

async fn publish(routers: usize) -> Result<(), Failure> {
    let mut fleet = Fleet::start()?;
    let platform = fleet.platform.clone();
    let away = format!("http://{}", free_address()?);
    for index in 0..routers {
        let reaches = index % 2 == 0;
        let store = if reaches { &platform } else { &away };
        fleet.member("router", index, &["--store", store])?;
    }
    fleet.post("/vms", &json!(fleet.vms)).await?;
    ctl::publish_set(&fleet.store(), &objects(100, 1), None).await?;
    fleet.wait(1, Instant::now()).await?;
    smol::Timer::after(SETTLE).await;
    let mut total = 1;
    for (name, faults) in [
        ("calm", json!({})),
        ("store slow by 300 ms", json!({ "slow_ms": 300 })),
    ] {
        fleet.post("/faults", &faults).await?;
        let mut with = Histogram::<u64>::new(3)?;
        let mut without = Histogram::<u64>::new(3)?;
        for _ in 0..ROUNDS {
            total += 1;
            let version = ctl::publish_set(&fleet.store(), &changed(total), None).await?;
            for (index, took) in fleet
                .wait(version, Instant::now())
                .await?
                .iter()
                .enumerate()
            {
                let histogram = if index % 2 == 0 {
                    &mut with
                } else {
                    &mut without
                };
                histogram.record(took.as_millis() as u64)?;
            }
            let pause = Duration::from_millis(fastrand::u64(100..600));
            smol::Timer::after(pause).await;
        }
        let line = |h: &Histogram<u64>| {
            let [p50, p99] = [h.value_at_quantile(0.5), h.value_at_quantile(0.99)];
            format!("p50 {p50} ms, p99 {p99} ms, max {} ms", h.max())
        };
        println!("{routers} routers, {name}, with the store: {}", line(&with));
        println!(
            "{routers} routers, {name}, without the store: {}",
            line(&without)
        );
    }
    fleet.post("/faults", &json!({})).await?;
    store_calls(&fleet, routers).await
}

async fn store_calls(fleet: &Fleet, routers: usize) -> Result<(), Failure> {
    smol::Timer::after(SETTLE).await;
    let before = fleet.calls().await?;
    smol::Timer::after(WINDOW).await;
    let after = fleet.calls().await?;
    for (path, count) in after.as_object().into_iter().flatten() {
        let calls = count.as_u64().unwrap_or(0) - before[path].as_u64().unwrap_or(0);
        let rate = calls as f64 / WINDOW.as_secs_f64();
        println!("{routers} routers, no publication: {path} {rate:.2} calls a second");
    }
    Ok(())
}

/// Processor time, memory and bytes a second of a router, averaged over the routers.
async fn load(routers: usize, agents: usize, budgets: usize) -> Result<[f64; 4], Failure> {
    let mut fleet = Fleet::start()?;
    let platform = fleet.platform.clone();
    for index in 0..routers {
        fleet.member("router", index, &["--store", &platform])?;
    }
    for index in 0..agents {
        let backend = ["--service", "s", "--backend", "http://127.0.0.1:9"];
        fleet.member("agent", index, &backend)?;
    }
    fleet.post("/vms", &json!(fleet.vms)).await?;
    ctl::publish_set(&fleet.store(), &objects(budgets, 1), None).await?;
    fleet.wait(1, Instant::now()).await?;
    smol::Timer::after(SETTLE).await;
    let before = snapshot(&fleet).await?;
    smol::Timer::after(WINDOW).await;
    let after = snapshot(&fleet).await?;
    let rate =
        |index: usize| (after[index] - before[index]) / WINDOW.as_secs_f64() / routers as f64;
    let figures = [rate(0) * 100.0, after[1] / routers as f64, rate(2), rate(3)];
    let [cpu, memory, sent, received] = figures;
    println!(
        "{routers} routers, {agents} agents, {budgets} budgets: {cpu:.2}% of a core, {memory:.1} MB, {sent:.0} B/s sent, {received:.0} B/s received per router"
    );
    Ok(figures)
}

async fn snapshot(fleet: &Fleet) -> Result<[f64; 4], Failure> {
    let mut sums = [0.0; 4];
    for (pid, admin) in &fleet.routers {
        let (cpu, memory) = usage(*pid)?;
        sums[0] += cpu;
        sums[1] += memory;
        sums[2] += fleet.link_bytes(admin, "sent").await;
        sums[3] += fleet.link_bytes(admin, "received").await;
    }
    Ok(sums)
}
