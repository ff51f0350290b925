//! The scenarios. Each starts a fleet of its own, measures it and returns a report.

use std::{
    thread,
    time::{Duration, Instant},
};

use fulmarproxy::load::{options, report, runner};
use serde_json::{Value, json};

use crate::{
    Flags,
    fleet::{self, BoxError},
    usage,
};

/// Longest latency in milliseconds at which an answer counts as goodput in the overload and
/// fairness scenarios.
const OVERLOAD_DEADLINE_MS: &str = "2000";

/// Time between two samples of the router's memory.
const MEMORY_SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Factor by which the time between two tokens of a stand-in engine grows when all of its slots are
/// taken.
const FULL_BATCH_FACTOR: f64 = 1.5;

/// Runs the load generator with the flags of `fulmar-load`.
fn run_load(args: &[&str]) -> Result<report::Report, BoxError> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let options = options::parse(&args)?.ok_or("the flags ask for help instead of a load")?;
    Ok(runner::run(&options)?)
}

/// Parameters of a load on all routers of a fleet.
struct FleetLoad<'a> {
    fleet: &'a fleet::Fleet,
    /// Requests per second.
    rate: f64,
    seconds: u64,
    seed: u64,
}

impl FleetLoad<'_> {
    /// Runs the load with additional flags. Requests are sent as the workspace `bench`, unless the
    /// flags name other keys.
    fn run(&self, extra: &[&str]) -> Result<report::Report, BoxError> {
        let (rate, seconds) = (self.rate.to_string(), self.seconds.to_string());
        let (seed, targets) = (self.seed.to_string(), self.fleet.router_urls());
        let engines = self.fleet.engine_urls();
        let mut args = vec!["--targets", &targets, "--engines", &engines];
        args.extend(["--store", &self.fleet.platform.url]);
        args.extend(["--rate", &rate, "--seconds", &seconds, "--seed", &seed]);
        args.extend(["--threads", "2"]);
        args.extend(extra);
        if !extra.contains(&"--keys") {
            args.extend(["--keys", "bench-key"]);
        }
        run_load(&args)
    }
}

/// Latency that the fleet adds, compared with a separate engine that is called directly in the same
/// run.
pub fn latency(flags: &Flags) -> Result<Value, BoxError> {
    let engine_flags = ["--token-micros", "200"];
    let agents = flags.number("agents", 2)?;
    let fleet = fleet::Fleet::start(flags.number("routers", 1)?, agents, 256, &engine_flags)?;
    let direct = fleet::start_standin(&["engine", "--token-micros", "200", "--slots", "256"])?;
    let rate = flags.number("rate", 1000)?;
    let load = FleetLoad {
        fleet: &fleet,
        // With --compare, every second request goes to the engine instead of the fleet.
        rate: rate as f64 * 2.0,
        seconds: flags.number("seconds", 10)?,
        seed: flags.number("seed", 1)?,
    };
    let request_flags = [
        "--max-tokens",
        "8..8",
        "--prompt-words",
        "10..10",
        "--stream",
    ];
    let report = load.run(&[&request_flags[..], &["--compare", &direct.url]].concat())?;
    Ok(json!({ "scenario": "latency", "rate": rate, "report": report }))
}

/// A fleet of engines with few slots, whose capacity is calculated from the engines' settings.
struct SizedFleet {
    fleet: fleet::Fleet,
    /// Requests per second that the fleet's engines can answer.
    capacity: f64,
}

impl SizedFleet {
    fn start(flags: &Flags) -> Result<Self, BoxError> {
        const SLOTS: u64 = 8;
        /// Tokens of an answer; `run_with_key` asks for as many.
        const TOKENS: f64 = 20.0;
        /// Time from one token to the next in an empty batch, as in `--token-micros` below.
        const TOKEN_SECONDS: f64 = 0.002;
        let agents = flags.number("agents", 4)?;
        let engine_flags = ["--token-micros", "2000", "--queue", "16"];
        let fleet = fleet::Fleet::start(flags.number("routers", 2)?, agents, SLOTS, &engine_flags)?;
        let answer_seconds = TOKENS * TOKEN_SECONDS * FULL_BATCH_FACTOR;
        let capacity = (agents * SLOTS) as f64 / answer_seconds;
        Ok(Self { fleet, capacity })
    }

    /// Sends `load_factor` times the capacity.
    fn run(&self, load_factor: f64, flags: &Flags) -> Result<report::Report, BoxError> {
        self.run_with_key(load_factor, flags, "bench-key")
    }

    /// Sends `load_factor` times the capacity as the workspace with this key.
    fn run_with_key(
        &self,
        load_factor: f64,
        flags: &Flags,
        key: &str,
    ) -> Result<report::Report, BoxError> {
        let load = FleetLoad {
            fleet: &self.fleet,
            rate: self.capacity * load_factor,
            seconds: flags.number("seconds", 10)?,
            seed: flags.number("seed", 1)?,
        };
        let request_flags = ["--max-tokens", "20..20", "--prompt-words", "5..5"];
        let time_limits = [
            "--deadline-ms",
            OVERLOAD_DEADLINE_MS,
            "--timeout-ms",
            "10000",
        ];
        load.run(&[&request_flags[..], &time_limits, &["--keys", key]].concat())
    }
}

/// Answers per second that were whole and arrived within [`OVERLOAD_DEADLINE_MS`].
fn goodput(report: &report::Report) -> f64 {
    let side = report.fleet.as_ref();
    side.map_or(0.0, |side| side.goodput_per_second)
}

/// Goodput at one and three times the fleet's capacity.
pub fn overload(flags: &Flags) -> Result<Value, BoxError> {
    let sized = SizedFleet::start(flags)?;
    let at_capacity = sized.run(1.0, flags)?;
    let at_triple = sized.run(3.0, flags)?;
    Ok(json!({
        "scenario": "overload",
        "capacity_per_second": sized.capacity,
        "goodput_at_1": goodput(&at_capacity),
        "goodput_at_3": goodput(&at_triple),
        "ratio": goodput(&at_triple) / goodput(&at_capacity),
        "at_1": at_capacity,
        "at_3": at_triple,
    }))
}

/// Goodput of a workspace within its fair share, alone and beside another one that sends more than
/// the fleet's capacity.
pub fn fairness(flags: &Flags) -> Result<Value, BoxError> {
    /// Load of the light workspace in multiples of capacity. Its fair share is half, because the
    /// two workspaces have equal weights.
    const LIGHT_LOAD: f64 = 0.25;
    /// Load of the other workspace in multiples of capacity.
    const FLOOD_LOAD: f64 = 3.0;
    let sized = SizedFleet::start(flags)?;
    let alone = sized.run_with_key(LIGHT_LOAD, flags, "light-key")?;
    let (light, flood) = thread::scope(|scope| {
        let light = scope.spawn(|| {
            let report = sized.run_with_key(LIGHT_LOAD, flags, "light-key");
            report.map_err(|err| err.to_string())
        });
        let flood = sized.run_with_key(FLOOD_LOAD, flags, "bench-key");
        (light.join(), flood)
    });
    let light = light.map_err(|_| "the thread of the light load panicked")??;
    Ok(json!({
        "scenario": "fairness",
        "capacity_per_second": sized.capacity,
        "light_alone": goodput(&alone),
        "light_beside_flood": goodput(&light),
        "ratio": goodput(&light) / goodput(&alone),
        "alone": alone.fleet,
        "light": light.fleet,
        "flood": flood?.fleet,
    }))
}

/// Memory of the router per open stream.
///
/// The streams are opened over `OPENING_SECONDS`. Each lasts `HOLDING_SECONDS` longer than that, so
/// that all of them are open at the same time. The report has the sample with the most open
/// streams.
pub fn streams(flags: &Flags) -> Result<Value, BoxError> {
    /// Time from one token to the next; the `--token-micros` of the engines says the same.
    const TOKEN_SECONDS: u64 = 1;
    const OPENING_SECONDS: u64 = 10;
    const HOLDING_SECONDS: u64 = 10;
    let count = flags.number("count", 2000)?;
    let agents = flags.number("agents", 4)?;
    let slots = 4096;
    let fleet = fleet::Fleet::start(1, agents, slots, &["--token-micros", "1000000"])?;
    let tokens = (OPENING_SECONDS + HOLDING_SECONDS) / TOKEN_SECONDS;
    let tokens = format!("{tokens}..{tokens}");
    let load = FleetLoad {
        fleet: &fleet,
        rate: count as f64 / OPENING_SECONDS as f64,
        seconds: OPENING_SECONDS,
        seed: flags.number("seed", 1)?,
    };
    let pid = fleet.routers[0].pid();
    let idle_kb = usage::resident_kb(pid)?;
    let (report, samples) = thread::scope(|scope| {
        let report = scope.spawn(|| {
            let extra = ["--model", "long", "--stream", "--max-tokens", &tokens];
            load.run(&extra).map_err(|err| err.to_string())
        });
        let mut samples = Vec::new();
        while !report.is_finished() {
            if let (Ok(open_streams), Ok(rss_kb)) =
                (fleet.running_requests(), usage::resident_kb(pid))
            {
                samples.push((open_streams, rss_kb));
            }
            thread::sleep(MEMORY_SAMPLE_INTERVAL);
        }
        (report.join(), samples)
    });
    let report = report.map_err(|_| "the thread of the load panicked")??;
    let (open_streams, rss_kb) = samples.into_iter().max().unwrap_or_default();
    let growth_kb = rss_kb.saturating_sub(idle_kb);
    Ok(json!({
        "scenario": "streams",
        "open_streams": open_streams,
        "router_idle_kb": idle_kb,
        "router_kb": rss_kb,
        "kb_per_stream": growth_kb as f64 / open_streams.max(1) as f64,
        "report": report,
    }))
}

/// Processor seconds that the processes have used so far, together.
fn total_cpu_seconds(processes: &[fleet::Process]) -> Result<f64, BoxError> {
    let seconds: Result<Vec<f64>, _> = processes
        .iter()
        .map(|process| usage::cpu_seconds(process.pid()))
        .collect();
    Ok(seconds?.iter().sum())
}

/// Requests per second of processor time that the routers and the agents use.
pub fn cpu(flags: &Flags) -> Result<Value, BoxError> {
    let (routers, agents) = (flags.number("routers", 1)?, flags.number("agents", 2)?);
    let fleet = fleet::Fleet::start(routers, agents, 256, &["--token-micros", "200"])?;
    let load = FleetLoad {
        fleet: &fleet,
        rate: flags.number("rate", 1000)? as f64,
        seconds: flags.number("seconds", 10)?,
        seed: flags.number("seed", 1)?,
    };
    let cpu_before = (
        total_cpu_seconds(&fleet.routers)?,
        total_cpu_seconds(&fleet.agents)?,
    );
    let request_flags = [
        "--max-tokens",
        "8..8",
        "--prompt-words",
        "10..10",
        "--stream",
    ];
    let report = load.run(&request_flags)?;
    let cpu_used = (
        total_cpu_seconds(&fleet.routers)? - cpu_before.0,
        total_cpu_seconds(&fleet.agents)? - cpu_before.1,
    );
    let whole = report.fleet.as_ref().map_or(0, |side| side.whole) as f64;
    Ok(json!({
        "scenario": "cpu",
        "router_cpu_seconds": cpu_used.0,
        "agents_cpu_seconds": cpu_used.1,
        "requests_per_router_core_second": whole / cpu_used.0,
        "requests_per_agent_core_second": whole / cpu_used.1,
        "report": report,
    }))
}

/// Processor time, memory and platform calls of a fleet that receives no requests.
pub fn control(flags: &Flags) -> Result<Value, BoxError> {
    let (routers, agents) = (flags.number("routers", 2)?, flags.number("agents", 3)?);
    let fleet = fleet::Fleet::start(routers, agents, 16, &[])?;
    let seconds = flags.number("seconds", 20)?;
    let calls_url = format!("{}/calls", fleet.platform.url);
    let cpu_before = (
        total_cpu_seconds(&fleet.routers)?,
        total_cpu_seconds(&fleet.agents)?,
    );
    let calls_before = fleet.get_json(&calls_url)?;
    let start = Instant::now();
    thread::sleep(Duration::from_secs(seconds));
    let elapsed_seconds = start.elapsed().as_secs_f64();
    let cpu_used = (
        total_cpu_seconds(&fleet.routers)? - cpu_before.0,
        total_cpu_seconds(&fleet.agents)? - cpu_before.1,
    );
    let calls_after = fleet.get_json(&calls_url)?;
    let empty = serde_json::Map::new();
    let rates = calls_after.as_object().unwrap_or(&empty).iter();
    let rates = rates.map(|(kind, count)| {
        let earlier = calls_before[kind].as_u64().unwrap_or(0);
        let calls = count.as_u64().unwrap_or(0).saturating_sub(earlier);
        (kind.clone(), json!(calls as f64 / elapsed_seconds))
    });
    Ok(json!({
        "scenario": "control",
        "routers": routers,
        "agents": agents,
        "router_core_share": cpu_used.0 / elapsed_seconds / routers as f64,
        "agent_core_share": cpu_used.1 / elapsed_seconds / agents as f64,
        "router_kb": usage::resident_kb(fleet.routers[0].pid())?,
        "agent_kb": usage::resident_kb(fleet.agents[0].pid())?,
        "platform_calls_per_second": rates.collect::<serde_json::Map<_, _>>(),
    }))
}
