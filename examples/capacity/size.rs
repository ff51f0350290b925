//! Extrapolates the measured lines to the size of fleet that is planned for in two years.

use fulmarproxy::coordination::membership;

use crate::measure::Slope;

/// Routers in the fleet.
const ROUTERS: f64 = 470.0;
/// Agents in the fleet, one for each backend server.
const AGENTS: f64 = 12_000.0;
/// Budgets in the configuration.
const BUDGETS: f64 = 44_000.0;
/// Regions, which also stand for the holders that share one budget.
const REGIONS: f64 = 8.0;
/// Publications of a changed configuration per day.
const CONFIG_CHANGES_PER_DAY: f64 = 47_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Size of one VM's entry in the list of VMs.
const VM_ENTRY_BYTES: f64 = 150.0;
/// Holder records that all routers together write per second at most. The routers' background task
/// keeps to it: its interval grows with the number of routers.
const MAX_RECORD_WRITES_PER_SECOND: f64 = 100.0;
/// Store reads that each watching router makes for one configuration change.
const READS_PER_CHANGE: f64 = 2.0;

/// Ledger writes per second that one router adds, and that one budget adds, as measured by
/// `cargo run --release --example budgets -- --slopes`.
const LEDGER_WRITES_PER_ROUTER: f64 = 0.07;
const LEDGER_WRITES_PER_BUDGET: f64 = 0.015;

/// Value of the line with this name at `x`; NaN when there is none.
fn predict(slopes: &[Slope], name: &str, x: f64) -> f64 {
    let slope = slopes.iter().find(|slope| slope.name == name);
    slope.map_or(f64::NAN, |slope| slope.fit.intercept + slope.fit.slope * x)
}

/// Prints one line of the table.
fn print_row(role: &str, quantity: &str, figure: String, source: &str) {
    println!("| {role} | {quantity} | {figure} | {source} |");
}

/// Prints the load of a router, an agent and the store.
pub fn print_table(slopes: &[Slope]) {
    println!("\n| Role | What | At size | From |");
    println!("| --- | --- | --- | --- |");
    print_router(slopes);
    print_agent(slopes);
    print_store(slopes);
}

fn print_router(slopes: &[Slope]) {
    let config_bytes = predict(slopes, "configuration memory by budgets", BUDGETS);
    let escrow_bytes = predict(slopes, "escrow memory by budgets", BUDGETS);
    print_row(
        "router",
        "configuration held",
        format!("{:.1} MB", config_bytes / 1e6),
        "configuration memory by budgets",
    );
    print_row(
        "router",
        "accounts held, if it meets every budget",
        format!("{:.1} MB", escrow_bytes / 1e6),
        "escrow memory by budgets",
    );
    let interval = membership::heartbeat_interval(AGENTS as usize, ROUTERS as usize).as_secs_f64();
    let heartbeats = AGENTS * membership::ROUTERS_PER_AGENT as f64 / ROUTERS / interval;
    let heartbeat_bytes = predict(slopes, "heartbeat by prefixes", 0.0);
    print_row(
        "router",
        "heartbeats received",
        format!(
            "{heartbeats:.1}/s, {:.1} KB/s",
            heartbeats * heartbeat_bytes / 1e3
        ),
        "heartbeat by prefixes, membership::heartbeat_interval",
    );
    let gossip_bytes = predict(
        slopes,
        "gossip by heartbeats",
        membership::MAX_REPORTS_PER_MESSAGE as f64,
    );
    // Each second a router contacts this many peers, and about as many contact it; every exchange
    // brings it one message.
    let messages = 2.0 * membership::GOSSIP_FANOUT as f64;
    print_row(
        "router",
        "gossip received",
        format!("{messages:.0}/s, {:.1} KB/s", messages * gossip_bytes / 1e3),
        "gossip by heartbeats",
    );
    let gossip_micros = predict(
        slopes,
        "gossip read and written by heartbeats",
        membership::MAX_REPORTS_PER_MESSAGE as f64,
    );
    print_row(
        "router",
        "processor time of gossip",
        format!("{:.3}% of a core", 2.0 * messages * gossip_micros / 1e4),
        "gossip read and written by heartbeats",
    );
    let changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let chunk_bytes = predict(slopes, "mean budget chunk by budgets", BUDGETS);
    let head_bytes = predict(slopes, "head by budgets", BUDGETS);
    print_row(
        "router",
        "configuration received from a peer",
        format!("{changes:.2}/s, {:.1} KB/s", changes * chunk_bytes / 1e3),
        "mean budget chunk by budgets",
    );
    print_row(
        "router that watches",
        "configuration received from the store",
        format!(
            "{changes:.2}/s, {:.1} KB/s",
            changes * (chunk_bytes + head_bytes) / 1e3
        ),
        "mean budget chunk and head by budgets",
    );
    let list_bytes = (ROUTERS + AGENTS) * VM_ENTRY_BYTES;
    let list_interval = membership::list_interval((ROUTERS + AGENTS) as usize).as_secs_f64();
    print_row(
        "router",
        "list of VMs read",
        format!("{:.1} KB/s", list_bytes / list_interval / 1e3),
        "membership::list_interval",
    );
}

fn print_agent(slopes: &[Slope]) {
    let interval = membership::heartbeat_interval(AGENTS as usize, ROUTERS as usize).as_secs_f64();
    let heartbeats = membership::ROUTERS_PER_AGENT as f64 / interval;
    let heartbeat_bytes = predict(slopes, "heartbeat by prefixes", 0.0);
    print_row(
        "agent",
        "heartbeats sent",
        format!(
            "{heartbeats:.2}/s, {:.2} KB/s",
            heartbeats * heartbeat_bytes / 1e3
        ),
        "heartbeat by prefixes, membership::heartbeat_interval",
    );
    let list_bytes = (ROUTERS + AGENTS) * VM_ENTRY_BYTES;
    let list_interval = membership::list_interval((ROUTERS + AGENTS) as usize).as_secs_f64();
    print_row(
        "agent",
        "list of VMs read",
        format!("{:.1} KB/s", list_bytes / list_interval / 1e3),
        "membership::list_interval",
    );
}

fn print_store(slopes: &[Slope]) {
    let bucket_bytes = predict(slopes, "ledger bucket by shares of 172 budgets", REGIONS);
    print_row(
        "store",
        "largest ledger value, 8 holders a budget",
        format!("{:.0} KB", bucket_bytes / 1e3),
        "ledger bucket by shares of 172 budgets",
    );
    let full_bucket_bytes = predict(slopes, "ledger bucket by shares of 172 budgets", ROUTERS);
    print_row(
        "store",
        "largest ledger value, every router holds every budget",
        format!("{:.0} KB", full_bucket_bytes / 1e3),
        "ledger bucket by shares of 172 budgets",
    );
    let record_bytes = predict(slopes, "holder record by budgets", 1_000.0);
    print_row(
        "store",
        "holder record with 1,000 budgets and 64 agents",
        format!("{:.0} KB", record_bytes / 1e3),
        "holder record by budgets",
    );
    print_row(
        "store",
        "record writes",
        format!("{MAX_RECORD_WRITES_PER_SECOND:.0}/s at most"),
        "bounded by the upkeep interval",
    );
    let router_writes = LEDGER_WRITES_PER_ROUTER * ROUTERS;
    print_row(
        "store",
        "ledger writes by routers",
        format!("{router_writes:.0}/s"),
        "budgets --slopes",
    );
    let budget_writes = LEDGER_WRITES_PER_BUDGET * BUDGETS;
    print_row(
        "store",
        "ledger writes by budgets, if all are in use",
        format!("{budget_writes:.0}/s"),
        "budgets --slopes",
    );
    let changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY;
    let watchers = REGIONS * membership::WATCHERS_PER_REGION as f64;
    print_row(
        "store",
        "waiting watches",
        format!("{watchers:.0}"),
        "membership::WATCHERS_PER_REGION",
    );
    print_row(
        "store",
        "reads for changes",
        format!("{:.0}/s", changes * watchers * READS_PER_CHANGE),
        "two reads a change for each watcher",
    );
}
