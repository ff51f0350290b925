//! Compares policies of routing on the same seeded load, on a virtual clock.
//!
//! `cargo run --release --example routing -- [SEED]`

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    time::Duration,
};

use fulmarproxy::{
    coordination::{load_balancing, roster},
    state::member,
};

const AGENTS: usize = 20;
const SLOTS: usize = 8;
const REQUESTS: usize = 40_000;
const WORKSPACES: usize = 60;

/// Prompt prefixes that an engine keeps.
const CACHED: usize = 8;

/// Age of the load that heartbeats report, in microseconds.
const BEAT_MICROS: u64 = 500_000;

/// Mean time between arrivals, in microseconds.
const ARRIVAL_MICROS: f64 = 7_000.0;

/// Mean service time with a cached prefix, and what reading the prefix adds, in microseconds.
const SERVICE_MICROS: f64 = 700_000.0;
const PREFIX_MICROS: f64 = 300_000.0;

#[derive(Clone, Copy, Debug)]
enum Policy {
    Random,
    RoundRobin,
    TwoChoices,
    Affinity,
}

struct Engine {
    running: usize,
    queue: VecDeque<(u64, Arrival)>,
    cache: VecDeque<u64>,
}

#[derive(Clone, Copy)]
struct Arrival {
    at: u64,
    prefix: u64,
    service: f64,
}

#[derive(Default)]
struct Figures {
    waits: Vec<u64>,
    totals: Vec<u64>,
    hits: usize,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let seed = seed.unwrap_or(1);
    let load = arrivals(seed);
    println!("seed {seed}, {REQUESTS} requests, {AGENTS} backend servers with {SLOTS} slots");
    println!("policy        wait p50 ms   wait p95 ms   total p95 ms   cache hits");
    for policy in [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::Affinity,
    ] {
        let mut found = play(policy, &load, seed);
        let [p50, p95] = [0.5, 0.95].map(|part| quantile(&mut found.waits, part));
        let total = quantile(&mut found.totals, 0.95);
        let hits = 100.0 * found.hits as f64 / REQUESTS as f64;
        let name = format!("{policy:?}");
        println!("{name:<12}{p50:>13.1}{p95:>14.1}{total:>15.1}{hits:>12.1}%");
    }
}

fn quantile(values: &mut [u64], part: f64) -> f64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * part) as usize] as f64 / 1000.0
}

fn exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 0.0;
    let arrival = |_| {
        at += exponential(&mut rng, ARRIVAL_MICROS);
        let workspace = (rng.f64().powi(2) * WORKSPACES as f64) as u64;
        Arrival {
            at: at as u64,
            prefix: 1 + workspace,
            service: exponential(&mut rng, SERVICE_MICROS),
        }
    };
    (0..REQUESTS).map(arrival).collect()
}

fn agent(number: usize) -> roster::Agent {
    let mut roster = roster::Roster::default();
    let member = member::Member {
        name: format!("vm-{number:02}").into(),
        incarnation: 1,
        address: "127.0.0.1:1".into(),
        region: "r".into(),
        zone: "z".into(),
    };
    let load = roster::Load {
        slots: SLOTS as u32,
        ..Default::default()
    };
    roster.record_heartbeat(member, "llm".into(), load, Duration::ZERO);
    roster.all().next().expect("one agent was added").clone()
}

fn play(policy: Policy, load: &[Arrival], seed: u64) -> Figures {
    let mut rng = fastrand::Rng::with_seed(seed + 1);
    let mut agents: Vec<_> = (0..AGENTS).map(agent).collect();
    let index: BTreeMap<_, _> = (0..AGENTS)
        .map(|number| (agents[number].member.name.clone(), number))
        .collect();
    let new = || Engine {
        running: 0,
        queue: VecDeque::new(),
        cache: VecDeque::new(),
    };
    let mut engines: Vec<_> = (0..AGENTS).map(|_| new()).collect();
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut figures = Figures::default();
    let mut reported = 0;
    for (number, arrival) in load.iter().enumerate() {
        while let Some(&Reverse((at, engine))) = ends.peek() {
            if at > arrival.at {
                break;
            }
            ends.pop();
            agents[engine].in_flight -= 1;
            engines[engine].running -= 1;
            begin(&mut engines[engine], engine, at, &mut ends, &mut figures);
        }
        if arrival.at >= reported + BEAT_MICROS {
            reported = arrival.at;
            for (agent, engine) in agents.iter_mut().zip(&engines) {
                agent.load.running = engine.running as u32;
                agent.load.queued = engine.queue.len() as u32;
            }
        }
        let prefix = match policy {
            Policy::Affinity => arrival.prefix,
            _ => 0,
        };
        let chosen = match policy {
            Policy::Random => rng.usize(..AGENTS),
            Policy::RoundRobin => number % AGENTS,
            Policy::TwoChoices | Policy::Affinity => {
                let candidates: Vec<_> = agents.iter().collect();
                let wanted = load_balancing::Criteria {
                    zone: "z",
                    tried: &[],
                    prefix,
                };
                let chosen = load_balancing::choose(&candidates, wanted, &mut rng);
                index[&chosen.expect("there are candidates").member.name]
            }
        };
        agents[chosen].in_flight += 1;
        engines[chosen].queue.push_back((arrival.at, *arrival));
        begin(
            &mut engines[chosen],
            chosen,
            arrival.at,
            &mut ends,
            &mut figures,
        );
    }
    figures
}

/// Begins what waits at an engine while it has free slots.
fn begin(
    engine: &mut Engine,
    number: usize,
    now: u64,
    ends: &mut BinaryHeap<Reverse<(u64, usize)>>,
    figures: &mut Figures,
) {
    while engine.running < SLOTS {
        let Some((at, arrival)) = engine.queue.pop_front() else {
            return;
        };
        engine.running += 1;
        let hit = engine.cache.contains(&arrival.prefix);
        engine.cache.retain(|prefix| *prefix != arrival.prefix);
        engine.cache.push_back(arrival.prefix);
        if engine.cache.len() > CACHED {
            engine.cache.pop_front();
        }
        figures.hits += usize::from(hit);
        let reading = if hit { 0.0 } else { PREFIX_MICROS };
        let end = now + (arrival.service + reading) as u64;
        figures.waits.push(now - at);
        figures.totals.push(end - at);
        ends.push(Reverse((end, number)));
    }
}
