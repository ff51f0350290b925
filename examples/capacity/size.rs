//! What the measured slopes come to at the two-year size.

use fulmarproxy::coordination::membership;

use crate::measure::Slope;

const ROUTERS: f64 = 470.0;
const AGENTS: f64 = 12_000.0;
const BUDGETS: f64 = 44_000.0;
const REGIONS: f64 = 8.0;
const CHANGES_PER_DAY: f64 = 47_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const VM_ENTRY_BYTES: f64 = 150.0;
const RECORDS_PER_SECOND: f64 = 100.0;
const READS_PER_CHANGE: f64 = 2.0;

/// Store calls that one router's ledger upkeep makes in a second, and one budget's, from
/// `cargo run --release --example budgets -- --slopes`.
const LEDGER_WRITES_PER_ROUTER: f64 = 0.07;
const LEDGER_WRITES_PER_BUDGET: f64 = 0.015;

fn value(slopes: &[Slope], name: &str, x: f64) -> f64 {
    let slope = slopes.iter().find(|slope| slope.name == name);
    slope.map_or(f64::NAN, |slope| slope.fit.base + slope.fit.slope * x)
}

fn row(role: &str, what: &str, figure: String, from: &str) {
    println!("| {role} | {what} | {figure} | {from} |");
}

/// Prints the figures of each role.
pub fn print(slopes: &[Slope]) {
    println!("\n| Role | What | At size | From |");
    println!("| --- | --- | --- | --- |");
    router(slopes);
    agent(slopes);
    store(slopes);
}

fn router(slopes: &[Slope]) {
    let config = value(slopes, "configuration memory by budgets", BUDGETS);
    let escrow = value(slopes, "escrow memory by budgets", BUDGETS);
    row(
        "router",
        "configuration held",
        format!("{:.1} MB", config / 1e6),
        "configuration memory by budgets",
    );
    row(
        "router",
        "accounts held, if it meets every budget",
        format!("{:.1} MB", escrow / 1e6),
        "escrow memory by budgets",
    );
    let period = membership::beat_period(AGENTS as usize, ROUTERS as usize).as_secs_f64();
    let beats = AGENTS * membership::ROUTERS_PER_AGENT as f64 / ROUTERS / period;
    let beat = value(slopes, "heartbeat by prefixes", 0.0);
    row(
        "router",
        "heartbeats received",
        format!("{beats:.1}/s, {:.1} KB/s", beats * beat / 1e3),
        "heartbeat by prefixes, membership::beat_period",
    );
    let gossip = value(
        slopes,
        "gossip by heartbeats",
        membership::REPORTS_PER_MESSAGE as f64,
    );
    let exchanges = 2.0 * membership::PEERS_PER_PERIOD as f64;
    row(
        "router",
        "gossip received",
        format!("{exchanges:.0}/s, {:.1} KB/s", exchanges * gossip / 1e3),
        "gossip by heartbeats",
    );
    let time = value(
        slopes,
        "gossip read and written by heartbeats",
        membership::REPORTS_PER_MESSAGE as f64,
    );
    row(
        "router",
        "processor time of gossip",
        format!("{:.3}% of a core", 2.0 * exchanges * time / 1e4),
        "gossip read and written by heartbeats",
    );
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let chunk = value(slopes, "mean budget chunk by budgets", BUDGETS);
    let head = value(slopes, "head by budgets", BUDGETS);
    row(
        "router",
        "configuration received from a peer",
        format!("{changes:.2}/s, {:.1} KB/s", changes * chunk / 1e3),
        "mean budget chunk by budgets",
    );
    row(
        "router that watches",
        "configuration received from the store",
        format!("{changes:.2}/s, {:.1} KB/s", changes * (chunk + head) / 1e3),
        "mean budget chunk and head by budgets",
    );
    let list = (ROUTERS + AGENTS) * VM_ENTRY_BYTES;
    let pause = membership::list_period((ROUTERS + AGENTS) as usize).as_secs_f64();
    row(
        "router",
        "list of VMs read",
        format!("{:.1} KB/s", list / pause / 1e3),
        "membership::list_period",
    );
}

fn agent(slopes: &[Slope]) {
    let period = membership::beat_period(AGENTS as usize, ROUTERS as usize).as_secs_f64();
    let beats = membership::ROUTERS_PER_AGENT as f64 / period;
    let beat = value(slopes, "heartbeat by prefixes", 0.0);
    row(
        "agent",
        "heartbeats sent",
        format!("{beats:.2}/s, {:.2} KB/s", beats * beat / 1e3),
        "heartbeat by prefixes, membership::beat_period",
    );
    let list = (ROUTERS + AGENTS) * VM_ENTRY_BYTES;
    let pause = membership::list_period((ROUTERS + AGENTS) as usize).as_secs_f64();
    row(
        "agent",
        "list of VMs read",
        format!("{:.1} KB/s", list / pause / 1e3),
        "membership::list_period",
    );
}

fn store(slopes: &[Slope]) {
    let shares = value(slopes, "ledger bucket by shares of 172 budgets", REGIONS);
    row(
        "store",
        "largest ledger value, 8 holders a budget",
        format!("{:.0} KB", shares / 1e3),
        "ledger bucket by shares of 172 budgets",
    );
    let all = value(slopes, "ledger bucket by shares of 172 budgets", ROUTERS);
    row(
        "store",
        "largest ledger value, every router holds every budget",
        format!("{:.0} KB", all / 1e3),
        "ledger bucket by shares of 172 budgets",
    );
    let record = value(slopes, "holder record by budgets", 1_000.0);
    row(
        "store",
        "holder record with 1,000 budgets and 64 agents",
        format!("{:.0} KB", record / 1e3),
        "holder record by budgets",
    );
    row(
        "store",
        "record writes",
        format!("{RECORDS_PER_SECOND:.0}/s at most"),
        "bounded by the upkeep period",
    );
    let ledger = LEDGER_WRITES_PER_ROUTER * ROUTERS;
    row(
        "store",
        "ledger writes by routers",
        format!("{ledger:.0}/s"),
        "budgets --slopes",
    );
    let by_budget = LEDGER_WRITES_PER_BUDGET * BUDGETS;
    row(
        "store",
        "ledger writes by budgets, if all are in use",
        format!("{by_budget:.0}/s"),
        "budgets --slopes",
    );
    let changes = CHANGES_PER_DAY / SECONDS_PER_DAY;
    let watchers = REGIONS * membership::WATCHERS_PER_REGION as f64;
    row(
        "store",
        "waiting watches",
        format!("{watchers:.0}"),
        "membership::WATCHERS_PER_REGION",
    );
    row(
        "store",
        "reads for changes",
        format!("{:.0}/s", changes * watchers * READS_PER_CHANGE),
        "two reads a change for each watcher",
    );
}
