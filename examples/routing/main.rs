//! Compares policies for choosing a backend server, by simulating each on the same seeded requests
//! with a virtual clock.
//!
//! The policies `TwoChoices` and `Affinity` call the library's [`load_balancing::choose`], with
//! prompt prefixes in the latter only.
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

/// Backend servers, each with an engine.
const AGENTS: usize = 20;
/// Requests that an engine runs at once.
const SLOTS: usize = 8;
const REQUESTS: usize = 40_000;
/// Workspaces, each with a prompt prefix of its own.
const WORKSPACES: usize = 60;

/// Prompt prefixes that an engine caches; the least recently used one is evicted.
const CACHED_PREFIXES: usize = 8;

/// Time between two reports of the engines' load to the router, in microseconds. In
/// between, the router works with the last reported load.
const LOAD_REPORT_INTERVAL_MICROS: u64 = 500_000;

/// Mean time between the arrivals of two requests, in microseconds.
const MEAN_INTERARRIVAL_MICROS: f64 = 7_000.0;

/// Mean service time with a cached prefix, and the time that reading an uncached prefix adds, in
/// microseconds.
const MEAN_SERVICE_MICROS: f64 = 700_000.0;
const PREFIX_READ_MICROS: f64 = 300_000.0;

/// How the router chooses a backend server.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Random,
    RoundRobin,
    /// The less loaded of two random ones.
    TwoChoices,
    /// One that probably caches the prompt prefix, if it is not fully loaded; else as above.
    Affinity,
}

/// A simulated engine.
struct Engine {
    running: usize,
    /// Waiting requests with their arrival times, in order of arrival.
    queue: VecDeque<(u64, Request)>,
    /// Cached prefixes, the least recently used one first.
    cached_prefixes: VecDeque<u64>,
}

#[derive(Clone, Copy)]
struct Request {
    arrival_micros: u64,
    prefix: u64,
    /// Service time with a cached prefix.
    service_micros: f64,
}

/// Results of one policy, with times in microseconds.
#[derive(Default)]
struct Results {
    /// Time that each request waited for a slot.
    waits: Vec<u64>,
    /// Time from arrival to completion of each request.
    latencies: Vec<u64>,
    cache_hits: usize,
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|arg| arg.parse().ok());
    let seed = seed.unwrap_or(1);
    let requests = generate_requests(seed);
    println!("seed {seed}, {REQUESTS} requests, {AGENTS} backend servers with {SLOTS} slots");
    println!("policy        wait p50 ms   wait p95 ms   total p95 ms   cache hits");
    for policy in [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoices,
        Policy::Affinity,
    ] {
        let mut results = simulate(policy, &requests, seed);
        let [p50, p95] = [0.5, 0.95].map(|rank| quantile(&mut results.waits, rank));
        let total = quantile(&mut results.latencies, 0.95);
        let cache_hits = 100.0 * results.cache_hits as f64 / REQUESTS as f64;
        let name = format!("{policy:?}");
        println!("{name:<12}{p50:>13.1}{p95:>14.1}{total:>15.1}{cache_hits:>12.1}%");
    }
}

/// Quantile of values in microseconds, as milliseconds.
fn quantile(values: &mut [u64], rank: f64) -> f64 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * rank) as usize] as f64 / 1000.0
}

/// An exponentially distributed random number.
fn exponential(rng: &mut fastrand::Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.f64()).ln()
}

/// The requests in order of arrival, with exponential interarrival and service times.
fn generate_requests(seed: u64) -> Vec<Request> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut at = 0.0;
    let request = |_| {
        at += exponential(&mut rng, MEAN_INTERARRIVAL_MICROS);
        // Squaring favours low numbers, so that a few workspaces send most of the requests.
        let workspace = (rng.f64().powi(2) * WORKSPACES as f64) as u64;
        Request {
            arrival_micros: at as u64,
            prefix: 1 + workspace,
            service_micros: exponential(&mut rng, MEAN_SERVICE_MICROS),
        }
    };
    (0..REQUESTS).map(request).collect()
}

/// An agent that has reported an idle engine.
fn idle_agent(number: usize) -> roster::Agent {
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
    roster
        .all()
        .next()
        .expect("the roster has the agent that was just added")
        .clone()
}

/// Routes the requests by one policy and simulates the engines.
fn simulate(policy: Policy, requests: &[Request], seed: u64) -> Results {
    let mut rng = fastrand::Rng::with_seed(seed + 1);
    let mut agents: Vec<_> = (0..AGENTS).map(idle_agent).collect();
    let index: BTreeMap<_, _> = (0..AGENTS)
        .map(|number| (agents[number].member.name.clone(), number))
        .collect();
    let idle_engine = || Engine {
        running: 0,
        queue: VecDeque::new(),
        cached_prefixes: VecDeque::new(),
    };
    let mut engines: Vec<_> = (0..AGENTS).map(|_| idle_engine()).collect();
    let mut completions: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut results = Results::default();
    let mut last_report = 0;
    for (number, request) in requests.iter().enumerate() {
        while let Some(&Reverse((at, engine))) = completions.peek() {
            if at > request.arrival_micros {
                break;
            }
            completions.pop();
            agents[engine].in_flight -= 1;
            engines[engine].running -= 1;
            start_queued(
                &mut engines[engine],
                engine,
                at,
                &mut completions,
                &mut results,
            );
        }
        if request.arrival_micros >= last_report + LOAD_REPORT_INTERVAL_MICROS {
            last_report = request.arrival_micros;
            for (agent, engine) in agents.iter_mut().zip(&engines) {
                agent.load.running = engine.running as u32;
                agent.load.queued = engine.queue.len() as u32;
            }
        }
        let prefix = match policy {
            Policy::Affinity => request.prefix,
            _ => 0,
        };
        let chosen = match policy {
            Policy::Random => rng.usize(..AGENTS),
            Policy::RoundRobin => number % AGENTS,
            Policy::TwoChoices | Policy::Affinity => {
                let candidates: Vec<_> = agents.iter().collect();
                let criteria = load_balancing::Criteria {
                    zone: "z",
                    tried: &[],
                    prefix,
                };
                let chosen = load_balancing::choose(&candidates, criteria, &mut rng);
                index[&chosen.expect("there are candidates").member.name]
            }
        };
        agents[chosen].in_flight += 1;
        engines[chosen]
            .queue
            .push_back((request.arrival_micros, *request));
        start_queued(
            &mut engines[chosen],
            chosen,
            request.arrival_micros,
            &mut completions,
            &mut results,
        );
    }
    results
}

/// Starts queued requests of an engine while it has free slots; computes when each completes.
fn start_queued(
    engine: &mut Engine,
    number: usize,
    now: u64,
    completions: &mut BinaryHeap<Reverse<(u64, usize)>>,
    results: &mut Results,
) {
    while engine.running < SLOTS {
        let Some((arrival_micros, request)) = engine.queue.pop_front() else {
            return;
        };
        engine.running += 1;
        let hit = engine.cached_prefixes.contains(&request.prefix);
        engine
            .cached_prefixes
            .retain(|prefix| *prefix != request.prefix);
        engine.cached_prefixes.push_back(request.prefix);
        if engine.cached_prefixes.len() > CACHED_PREFIXES {
            engine.cached_prefixes.pop_front();
        }
        results.cache_hits += usize::from(hit);
        let prefix_read = if hit { 0.0 } else { PREFIX_READ_MICROS };
        let end = now + (request.service_micros + prefix_read) as u64;
        results.waits.push(now - arrival_micros);
        results.latencies.push(end - arrival_micros);
        completions.push(Reverse((end, number)));
    }
}
