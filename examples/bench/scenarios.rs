//! The scenarios, each a load on a fleet of its own.

use std::{
    thread,
    time::{Duration, Instant},
};

use fulmarproxy::load::{options, report, runner};
use serde_json::{Value, json};

use crate::{
    Flags,
    fleet::{self, Failure},
    usage,
};

/// Longest time of a request in the overload scenarios, in milliseconds.
const OVERLOAD_DEADLINE_MS: &str = "2000";

/// Time between two readings of memory.
const SAMPLE_PERIOD: Duration = Duration::from_millis(250);

/// How much longer a token takes in a full batch.
const FULL_BATCH_FACTOR: f64 = 1.5;

fn load(args: &[&str]) -> Result<report::Report, Failure> {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    let options = options::parse(&args)?.ok_or("no load is asked for")?;
    Ok(runner::run(&options)?)
}

/// Flags of a load on a whole fleet.
struct Load<'a> {
    fleet: &'a fleet::Fleet,
    rate: f64,
    seconds: u64,
    seed: u64,
}

impl Load<'_> {
    fn run(&self, extra: &[&str]) -> Result<report::Report, Failure> {
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
        load(&args)
    }
}

/// Latency that the fleet adds to an engine's.
pub fn latency(flags: &Flags) -> Result<Value, Failure> {
    let engine = ["--token-micros", "200"];
    let agents = flags.number("agents", 2)?;
    let fleet = fleet::Fleet::start(flags.number("routers", 1)?, agents, 256, &engine)?;
    let direct = fleet::standin(&["engine", "--token-micros", "200", "--slots", "256"])?;
    let rate = flags.number("rate", 1000)?;
    let load = Load {
        fleet: &fleet,
        // Every second request goes to the engine.
        rate: rate as f64 * 2.0,
        seconds: flags.number("seconds", 10)?,
        seed: flags.number("seed", 1)?,
    };
    let fixed = [
        "--max-tokens",
        "8..8",
        "--prompt-words",
        "10..10",
        "--stream",
    ];
    let report = load.run(&[&fixed[..], &["--compare", &direct.url]].concat())?;
    Ok(json!({ "scenario": "latency", "rate": rate, "report": report }))
}

/// Flags and capacity of the fleet of the overload scenarios.
struct Crowded {
    fleet: fleet::Fleet,
    capacity: f64,
}

impl Crowded {
    fn start(flags: &Flags) -> Result<Self, Failure> {
        const SLOTS: u64 = 8;
        const TOKENS: f64 = 20.0;
        const TOKEN_SECONDS: f64 = 0.002;
        let agents = flags.number("agents", 4)?;
        let engine = ["--token-micros", "2000", "--queue", "16"];
        let fleet = fleet::Fleet::start(flags.number("routers", 2)?, agents, SLOTS, &engine)?;
        let answer_seconds = TOKENS * TOKEN_SECONDS * FULL_BATCH_FACTOR;
        let capacity = (agents * SLOTS) as f64 / answer_seconds;
        Ok(Self { fleet, capacity })
    }

    fn load(&self, times: f64, flags: &Flags) -> Result<report::Report, Failure> {
        self.load_keys(times, flags, "bench-key")
    }

    fn load_keys(&self, times: f64, flags: &Flags, keys: &str) -> Result<report::Report, Failure> {
        let load = Load {
            fleet: &self.fleet,
            rate: self.capacity * times,
            seconds: flags.number("seconds", 10)?,
            seed: flags.number("seed", 1)?,
        };
        let fixed = ["--max-tokens", "20..20", "--prompt-words", "5..5"];
        let limits = [
            "--deadline-ms",
            OVERLOAD_DEADLINE_MS,
            "--timeout-ms",
            "10000",
        ];
        load.run(&[&fixed[..], &limits, &["--keys", keys]].concat())
    }
}

fn goodput(report: &report::Report) -> f64 {
    let side = report.fleet.as_ref();
    side.map_or(0.0, |side| side.goodput_per_second)
}

/// Goodput at one and three times capacity.
pub fn overload(flags: &Flags) -> Result<Value, Failure> {
    let crowded = Crowded::start(flags)?;
    let once = crowded.load(1.0, flags)?;
    let thrice = crowded.load(3.0, flags)?;
    Ok(json!({
        "scenario": "overload",
        "capacity_per_second": crowded.capacity,
        "goodput_at_1": goodput(&once),
        "goodput_at_3": goodput(&thrice),
        "ratio": goodput(&thrice) / goodput(&once),
        "at_1": once,
        "at_3": thrice,
    }))
}

/// A workspace within its share, alone and beside one that floods.
pub fn fairness(flags: &Flags) -> Result<Value, Failure> {
    const LIGHT_SHARE: f64 = 0.25;
    const FLOOD: f64 = 3.0;
    let crowded = Crowded::start(flags)?;
    let alone = crowded.load_keys(LIGHT_SHARE, flags, "light-key")?;
    let (light, flood) = thread::scope(|scope| {
        let light = scope.spawn(|| {
            let found = crowded.load_keys(LIGHT_SHARE, flags, "light-key");
            found.map_err(|err| err.to_string())
        });
        let flood = crowded.load_keys(FLOOD, flags, "bench-key");
        (light.join(), flood)
    });
    let light = light.map_err(|_| "the light load panicked")??;
    Ok(json!({
        "scenario": "fairness",
        "capacity_per_second": crowded.capacity,
        "light_alone": goodput(&alone),
        "light_beside_flood": goodput(&light),
        "ratio": goodput(&light) / goodput(&alone),
        "alone": alone.fleet,
        "light": light.fleet,
        "flood": flood?.fleet,
    }))
}

/// Memory of the router for each open stream.
pub fn streams(flags: &Flags) -> Result<Value, Failure> {
    const TOKEN_SECONDS: u64 = 1;
    const OPENING_SECONDS: u64 = 10;
    const HOLDING_SECONDS: u64 = 10;
    let count = flags.number("count", 2000)?;
    let agents = flags.number("agents", 4)?;
    let slots = 4096;
    let fleet = fleet::Fleet::start(1, agents, slots, &["--token-micros", "1000000"])?;
    let tokens = (OPENING_SECONDS + HOLDING_SECONDS) / TOKEN_SECONDS;
    let tokens = format!("{tokens}..{tokens}");
    let load = Load {
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
            if let (Ok(open), Ok(kb)) = (fleet.running(), usage::resident_kb(pid)) {
                samples.push((open, kb));
            }
            thread::sleep(SAMPLE_PERIOD);
        }
        (report.join(), samples)
    });
    let report = report.map_err(|_| "the load panicked")??;
    let (open, kb) = samples.into_iter().max().unwrap_or_default();
    let grown = kb.saturating_sub(idle_kb);
    Ok(json!({
        "scenario": "streams",
        "open_streams": open,
        "router_idle_kb": idle_kb,
        "router_kb": kb,
        "kb_per_stream": grown as f64 / open.max(1) as f64,
        "report": report,
    }))
}

fn cpu_of(processes: &[fleet::Process]) -> Result<f64, Failure> {
    let seconds: Result<Vec<f64>, _> = processes
        .iter()
        .map(|process| usage::cpu_seconds(process.pid()))
        .collect();
    Ok(seconds?.iter().sum())
}

/// Processor time of router and agents for each request.
pub fn cpu(flags: &Flags) -> Result<Value, Failure> {
    let (routers, agents) = (flags.number("routers", 1)?, flags.number("agents", 2)?);
    let fleet = fleet::Fleet::start(routers, agents, 256, &["--token-micros", "200"])?;
    let load = Load {
        fleet: &fleet,
        rate: flags.number("rate", 1000)? as f64,
        seconds: flags.number("seconds", 10)?,
        seed: flags.number("seed", 1)?,
    };
    let before = (cpu_of(&fleet.routers)?, cpu_of(&fleet.agents)?);
    let fixed = [
        "--max-tokens",
        "8..8",
        "--prompt-words",
        "10..10",
        "--stream",
    ];
    let report = load.run(&fixed)?;
    let used = (
        cpu_of(&fleet.routers)? - before.0,
        cpu_of(&fleet.agents)? - before.1,
    );
    let whole = report.fleet.as_ref().map_or(0, |side| side.whole) as f64;
    Ok(json!({
        "scenario": "cpu",
        "router_cpu_seconds": used.0,
        "agents_cpu_seconds": used.1,
        "requests_per_router_core_second": whole / used.0,
        "requests_per_agent_core_second": whole / used.1,
        "report": report,
    }))
}

/// Cost of control without requests.
pub fn control(flags: &Flags) -> Result<Value, Failure> {
    let (routers, agents) = (flags.number("routers", 2)?, flags.number("agents", 3)?);
    let fleet = fleet::Fleet::start(routers, agents, 16, &[])?;
    let seconds = flags.number("seconds", 20)?;
    let calls_url = format!("{}/calls", fleet.platform.url);
    let before = (cpu_of(&fleet.routers)?, cpu_of(&fleet.agents)?);
    let calls = fleet.read(&calls_url)?;
    let start = Instant::now();
    thread::sleep(Duration::from_secs(seconds));
    let length = start.elapsed().as_secs_f64();
    let used = (
        cpu_of(&fleet.routers)? - before.0,
        cpu_of(&fleet.agents)? - before.1,
    );
    let later = fleet.read(&calls_url)?;
    let empty = serde_json::Map::new();
    let rates = later.as_object().unwrap_or(&empty).iter();
    let rates = rates.map(|(kind, count)| {
        let earlier = calls[kind].as_u64().unwrap_or(0);
        let made = count.as_u64().unwrap_or(0).saturating_sub(earlier);
        (kind.clone(), json!(made as f64 / length))
    });
    Ok(json!({
        "scenario": "control",
        "routers": routers,
        "agents": agents,
        "router_core_share": used.0 / length / routers as f64,
        "agent_core_share": used.1 / length / agents as f64,
        "router_kb": usage::resident_kb(fleet.routers[0].pid())?,
        "agent_kb": usage::resident_kb(fleet.agents[0].pid())?,
        "platform_calls_per_second": rates.collect::<serde_json::Map<_, _>>(),
    }))
}
