//! Compares versions of the token design on the same seeded workloads.
//!
//! ```text
//! cargo run --release --example budgets -- --seed 1
//! cargo run --release --example budgets -- --seed 1 --slopes
//! ```

mod fleet;
mod workload;

use getopts::Options;

use fleet::{Fleet, Version};
use workload::Workload;

fn main() {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the workloads", "N");
    options.optflag(
        "",
        "slopes",
        "store calls by number of routers and of budgets",
    );
    let parsed = options.parse(std::env::args().skip(1));
    let parsed = parsed.unwrap_or_else(|err| panic!("{err}"));
    let seed = parsed
        .opt_get_default("seed", 1)
        .expect("a seed is a number");
    if parsed.opt_present("slopes") {
        slopes(seed);
    } else {
        versions(seed);
    }
}

fn versions(seed: u64) {
    println!("seed {seed}");
    println!(
        "| Workload | Version | Requests | Overspend | False refusals | Share | True refusals | Writes/s | Reads/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for workload in Workload::all() {
        for version in Version::ALL {
            let report = Fleet::new(&workload, version, seed).run();
            println!(
                "| {} | {version} | {} | {} | {} | {:.3}% | {} | {:.2} | {:.2} |",
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

fn slopes(seed: u64) {
    println!("seed {seed}");
    println!("| Routers | Budgets | Requests/s | Ledger writes/s | Record writes/s | Reads/s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let sizes = [(2, 10), (4, 10), (8, 10), (16, 10), (32, 10)];
    let budgets = [(4, 20), (4, 40), (4, 80), (4, 160)];
    for (routers, budgets) in sizes.into_iter().chain(budgets) {
        let workload = Workload::calm(routers, budgets);
        let report = Fleet::new(&workload, Version::Waiting, seed).run();
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
