//! Compares designs of the token accounting by simulating each on the same seeded workloads.
//! `--slopes` prints how the store calls of the last design grow with routers and with budgets.
//!
//! ```text
//! cargo run --release --example budgets -- --seed 1
//! cargo run --release --example budgets -- --seed 1 --slopes
//! ```

mod fleet;
mod workload;

use getopts::Options;

use fleet::{Design, Fleet};
use workload::Workload;

fn main() {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the simulated requests", "N");
    options.optflag(
        "",
        "slopes",
        "print store calls by number of routers and of budgets",
    );
    let parsed = options.parse(std::env::args().skip(1));
    let parsed = parsed.unwrap_or_else(|err| panic!("{err}"));
    let seed = parsed
        .opt_get_default("seed", 1)
        .expect("--seed takes a number");
    if parsed.opt_present("slopes") {
        print_slopes(seed);
    } else {
        compare_designs(seed);
    }
}

/// Prints one line for each workload and design.
fn compare_designs(seed: u64) {
    println!("seed {seed}");
    println!(
        "| Workload | Version | Requests | Overspend | False refusals | Share | True refusals | Writes/s | Reads/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for workload in Workload::all() {
        for design in Design::ALL {
            let report = Fleet::new(&workload, design, seed).run();
            println!(
                "| {} | {design} | {} | {} | {} | {:.3}% | {} | {:.2} | {:.2} |",
                workload.name,
                report.requests,
                report.overspend,
                report.false_refusals,
                100.0 * report.false_refusals as f64 / report.requests as f64,
                report.true_refusals,
                report.writes as f64 / workload.seconds as f64,
                report.reads as f64 / workload.seconds as f64,
            );
        }
    }
}

/// Prints the store calls of the last design on fault-free workloads of several sizes.
fn print_slopes(seed: u64) {
    println!("seed {seed}");
    println!("| Routers | Budgets | Requests/s | Ledger writes/s | Record writes/s | Reads/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let by_routers = [(2, 10), (4, 10), (8, 10), (16, 10), (32, 10)];
    let by_budgets = [(4, 20), (4, 40), (4, 80), (4, 160)];
    for (routers, budgets) in by_routers.into_iter().chain(by_budgets) {
        let workload = Workload::calm(routers, budgets);
        let report = Fleet::new(&workload, Design::Waiting, seed).run();
        let seconds = workload.seconds as f64;
        println!(
            "| {routers} | {budgets} | {:.1} | {:.2} | {:.2} | {:.2} |",
            report.requests as f64 / seconds,
            (report.writes - report.record_writes) as f64 / seconds,
            report.record_writes as f64 / seconds,
            report.reads as f64 / seconds,
        );
    }
}
