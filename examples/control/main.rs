//! Measures the control plane: starts routers, agents and a stand-in of the platform as child
//! processes on loopback, and sends no requests.
//!
//! `control publish N...` measures, for each number of routers, how long a published configuration
//! takes until it is in force, and the store calls per second. `control agents N...` and
//! `control budgets N...` measure processor time, memory and bytes per second of a router for each
//! number of agents or budgets, and fit a line to each figure.
//!
//! The child processes are this executable too: their first argument is `fulmard` or
//! `fulmar-standin`.

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

type BoxError = Box<dyn std::error::Error>;

/// Publications that are timed in each condition of the store.
const PUBLICATIONS: u64 = 20;
/// Time between two reads of a router's status.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time of an HTTP call, and of the wait for a version.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before a measurement, for the fleet to settle after a start or a publication.
const SETTLE_TIME: Duration = Duration::from_secs(12);
/// Time over which rates are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Routers in the measurements of agents and budgets.
const ROUTERS: usize = 4;
/// Clock ticks per second, the unit of processor time in `/proc/PID/stat` (`USER_HZ` of Linux).
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let result = match args.split_first() {
        Some((program, rest)) if program == "fulmard" => return daemon::main(rest),
        Some((program, rest)) if program == "fulmar-standin" => return standin::main::main(rest),
        Some((measurement, sizes)) => measure(measurement, sizes),
        None => Err("expected publish, agents or budgets, followed by one or more sizes".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("control: {err}.");
            ExitCode::FAILURE
        }
    }
}

/// Runs a measurement at each size and prints the fitted lines, if there are any.
fn measure(measurement: &str, sizes: &[String]) -> Result<(), BoxError> {
    let mut points = Vec::new();
    for size in sizes {
        let size: usize = size.parse()?;
        match measurement {
            "publish" => smol::block_on(measure_publication(size))?,
            "agents" => points.push((size, smol::block_on(measure_load(ROUTERS, size, 10))?)),
            "budgets" => points.push((size, smol::block_on(measure_load(ROUTERS, 4, size))?)),
            other => return Err(format!("unknown measurement {other:?}").into()),
        }
    }
    for (name, index) in [
        ("cpu", 0),
        ("rss_mb", 1),
        ("sent_bytes", 2),
        ("received_bytes", 3),
    ] {
        let line: Vec<_> = points.iter().map(|(x, y)| (*x as f64, y[index])).collect();
        if line.len() > 1 {
            let (slope, intercept) = fit_line(&line);
            println!("fit {name}: {intercept:.4} + {slope:.6} per unit");
        }
    }
    Ok(())
}

/// Fits a line by ordinary least squares; returns its slope and its value at zero.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let sxy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let sxx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = sxy / sxx;
    (slope, y - slope * x)
}

/// Objects with 100 budgets, of which only the first has this total. Successive publications differ
/// in that one budget alone.
fn objects_with_total(total: u64) -> object_set::ObjectSet {
    let mut set = objects(100, 1);
    if let Some(budget) = set.budgets.get_mut("budget-0") {
        budget.prepaid_tokens = total;
    }
    set
}

/// The child processes, which are killed when the value is dropped.
struct Fleet {
    children: Vec<Child>,
    /// Process id and address of the admin listener of each router.
    routers: Vec<(u32, String)>,
    /// The list of VMs that is posted to the platform.
    vm_list: Vec<Value>,
    /// URL of the platform's stand-in.
    platform: String,
    /// File with the fleet key.
    key_path: PathBuf,
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

/// Address with a port that was free a moment ago. Another process can take the port before the
/// child binds it; the child then fails to start.
fn free_address() -> Result<String, BoxError> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string())
}

/// Objects with a number of budgets, all with the same total.
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
    /// Starts the platform's stand-in; routers and agents are added by
    /// [`start_member`](Self::start_member).
    fn start() -> Result<Self, BoxError> {
        let key_path =
            std::env::temp_dir().join(format!("fulmar-control-{}.key", std::process::id()));
        fs::write(&key_path, format!("{:032x}", fastrand::u128(..)))?;
        let mut fleet = Self {
            children: Vec::new(),
            routers: Vec::new(),
            vm_list: Vec::new(),
            platform: String::new(),
            key_path,
            client: http::client(TIMEOUT),
        };
        let mut child = Command::new(std::env::current_exe()?)
            .args(["fulmar-standin", "platform"])
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let stdout = child
            .stdout
            .take()
            .ok_or("the stand-in's standard output is not piped")?;
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

    /// Starts a router or an agent and adds it to the list of VMs.
    fn start_member(&mut self, role: &str, index: usize, extra: &[&str]) -> Result<(), BoxError> {
        let [listen, fleet_address, admin] = [free_address()?, free_address()?, free_address()?];
        let name = format!("{role}-{index}");
        let zone = format!("z{}", index % 4);
        let vms_url = format!("{}/vms", self.platform);
        let key_path = self.key_path.display().to_string();
        let mut command = Command::new(std::env::current_exe()?);
        command.args([
            "fulmard", role, "--name", &name, "--region", "r", "--zone", &zone,
        ]);
        command.args([
            "--vms",
            &vms_url,
            "--fleet-key-file",
            &key_path,
            "--log",
            "error",
        ]);
        command.args(["--fleet-listen", &fleet_address, "--admin-listen", &admin]);
        if role == "router" {
            command.args(["--listen", &listen]);
        }
        let child = command.args(extra).stdout(Stdio::null()).spawn()?;
        if role == "router" {
            self.routers.push((child.id(), admin));
        }
        self.children.push(child);
        self.vm_list.push(
            json!({ "name": name, "role": role, "address": fleet_address, "region": "r",
            "zone": zone, "state": "live" }),
        );
        Ok(())
    }

    async fn post(&self, path: &str, body: &Value) -> Result<(), BoxError> {
        let request = self.client.post(format!("{}{path}", self.platform));
        drop(request.with_body(body.to_string()).await?.success()?);
        Ok(())
    }

    async fn status(&self, admin: &str) -> Option<Value> {
        let url = format!("http://{admin}/status");
        http::get(&self.client, "status", &url).await.ok()
    }

    /// Waits until every router follows a version or a newer one; returns the time since `start`
    /// that each took.
    async fn wait_for_version(
        &self,
        version: u64,
        start: Instant,
    ) -> Result<Vec<Duration>, BoxError> {
        let waits = self.routers.iter().map(|(_, admin)| async move {
            while start.elapsed() < TIMEOUT {
                let status = self.status(admin).await;
                if status.is_some_and(|status| status["config"].as_u64() >= Some(version)) {
                    return Some(start.elapsed());
                }
                smol::Timer::after(POLL_INTERVAL).await;
            }
            None
        });
        let waited = future::join_all(waits).await;
        let waited: Option<Vec<_>> = waited.into_iter().collect();
        Ok(waited.ok_or("a router did not follow the published version in time")?)
    }

    /// Number of calls that the platform has received so far, by path and by kind of call.
    async fn calls(&self) -> Result<Value, BoxError> {
        let url = format!("{}/calls", self.platform);
        Ok(http::get(&self.client, "calls", &url).await?)
    }

    /// Bytes that a router has sent or received on links to other members; 0 when unknown.
    async fn link_bytes(&self, admin: &str, direction: &str) -> f64 {
        let request = self.client.get(format!("http://{admin}/metrics"));
        let Ok(mut response) = request.await else {
            return 0.0;
        };
        let page = response
            .response_body()
            .read_string()
            .await
            .unwrap_or_default();
        let sample = format!("fulmar_link_bytes{{direction=\"{direction}\"}} ");
        let found = page.lines().find_map(|text| text.strip_prefix(&sample));
        found.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    }
}

/// Processor seconds that a process has used so far, and its resident memory in megabytes.
fn process_usage(pid: u32) -> Result<(f64, f64), BoxError> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
    Ok((ticks / TICKS_PER_SECOND, resident.unwrap_or(0.0) / 1024.0))
}

/// Times publications until they are in force. Every second router cannot reach the store and
/// learns of them from its peers.
async fn measure_publication(routers: usize) -> Result<(), BoxError> {
    let mut fleet = Fleet::start()?;
    let platform = fleet.platform.clone();
    let unreachable = format!("http://{}", free_address()?);
    for index in 0..routers {
        let reaches_store = index % 2 == 0;
        let store = if reaches_store {
            &platform
        } else {
            &unreachable
        };
        fleet.start_member("router", index, &["--store", store])?;
    }
    fleet.post("/vms", &json!(fleet.vm_list)).await?;
    ctl::publish_set(&fleet.store(), &objects(100, 1), None).await?;
    fleet.wait_for_version(1, Instant::now()).await?;
    smol::Timer::after(SETTLE_TIME).await;
    let mut total = 1;
    for (name, faults) in [
        ("calm", json!({})),
        ("store slow by 300 ms", json!({ "slow_ms": 300 })),
    ] {
        fleet.post("/faults", &faults).await?;
        let mut with_store = Histogram::<u64>::new(3)?;
        let mut without_store = Histogram::<u64>::new(3)?;
        for _ in 0..PUBLICATIONS {
            total += 1;
            let version =
                ctl::publish_set(&fleet.store(), &objects_with_total(total), None).await?;
            for (index, took) in fleet
                .wait_for_version(version, Instant::now())
                .await?
                .iter()
                .enumerate()
            {
                let histogram = if index % 2 == 0 {
                    &mut with_store
                } else {
                    &mut without_store
                };
                histogram.record(took.as_millis() as u64)?;
            }
            let pause = Duration::from_millis(fastrand::u64(100..600));
            smol::Timer::after(pause).await;
        }
        let quantiles = |h: &Histogram<u64>| {
            let [p50, p99] = [h.value_at_quantile(0.5), h.value_at_quantile(0.99)];
            format!("p50 {p50} ms, p99 {p99} ms, max {} ms", h.max())
        };
        println!(
            "{routers} routers, {name}, with the store: {}",
            quantiles(&with_store)
        );
        println!(
            "{routers} routers, {name}, without the store: {}",
            quantiles(&without_store)
        );
    }
    fleet.post("/faults", &json!({})).await?;
    measure_store_calls(&fleet, routers).await
}

/// Prints how many calls per second the platform receives while nothing is published.
async fn measure_store_calls(fleet: &Fleet, routers: usize) -> Result<(), BoxError> {
    smol::Timer::after(SETTLE_TIME).await;
    let before = fleet.calls().await?;
    smol::Timer::after(MEASUREMENT_TIME).await;
    let after = fleet.calls().await?;
    for (kind, count) in after.as_object().into_iter().flatten() {
        let calls = count.as_u64().unwrap_or(0) - before[kind].as_u64().unwrap_or(0);
        let rate = calls as f64 / MEASUREMENT_TIME.as_secs_f64();
        println!("{routers} routers, no publication: {kind} {rate:.2} calls a second");
    }
    Ok(())
}

/// Processor time in percent of a core, memory in megabytes, and bytes sent and received per
/// second, each averaged over the routers.
async fn measure_load(routers: usize, agents: usize, budgets: usize) -> Result<[f64; 4], BoxError> {
    let mut fleet = Fleet::start()?;
    let platform = fleet.platform.clone();
    for index in 0..routers {
        fleet.start_member("router", index, &["--store", &platform])?;
    }
    for index in 0..agents {
        let backend = ["--service", "s", "--backend", "http://127.0.0.1:9"];
        fleet.start_member("agent", index, &backend)?;
    }
    fleet.post("/vms", &json!(fleet.vm_list)).await?;
    ctl::publish_set(&fleet.store(), &objects(budgets, 1), None).await?;
    fleet.wait_for_version(1, Instant::now()).await?;
    smol::Timer::after(SETTLE_TIME).await;
    let before = total_usage(&fleet).await?;
    smol::Timer::after(MEASUREMENT_TIME).await;
    let after = total_usage(&fleet).await?;
    let rate = |index: usize| {
        (after[index] - before[index]) / MEASUREMENT_TIME.as_secs_f64() / routers as f64
    };
    let usage = [rate(0) * 100.0, after[1] / routers as f64, rate(2), rate(3)];
    let [cpu, memory, sent, received] = usage;
    println!(
        "{routers} routers, {agents} agents, {budgets} budgets: {cpu:.2}% of a core, {memory:.1} MB, {sent:.0} B/s sent, {received:.0} B/s received per router"
    );
    Ok(usage)
}

/// Processor seconds, megabytes, and bytes sent and received so far, each summed over the routers.
async fn total_usage(fleet: &Fleet) -> Result<[f64; 4], BoxError> {
    let mut sums = [0.0; 4];
    for (pid, admin) in &fleet.routers {
        let (cpu, memory) = process_usage(*pid)?;
        sums[0] += cpu;
        sums[1] += memory;
        sums[2] += fleet.link_bytes(admin, "sent").await;
        sums[3] += fleet.link_bytes(admin, "received").await;
    }
    Ok(sums)
}
