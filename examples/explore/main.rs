//! Simulates random scenarios and prints those that violate a guarantee. The first violation of
//! each guarantee is reduced to a short scenario, which can be kept as a file in `tests/scenarios`.
//!
//! `cargo run --release --example explore -- --seed N --runs N`

use std::collections::BTreeMap;

#[path = "../../tests/world/mod.rs"]
mod world;

use world::random;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut flags = getopts::Options::new();
    flags.optopt(
        "",
        "seed",
        "Seed of the first scenario; each further one adds 1",
        "N",
    );
    flags.optopt("", "runs", "Number of scenarios, 100 by default", "N");
    let matches = flags
        .parse(&args)
        .expect("usage: explore [--seed N] [--runs N]");
    let seed: u64 = matches
        .opt_get_default("seed", 1)
        .expect("--seed takes a number");
    let runs: u64 = matches
        .opt_get_default("runs", 100)
        .expect("--runs takes a number");
    // Number of failed scenarios by the first guarantee that they violate.
    let mut failures = BTreeMap::new();
    let (mut failed, mut answered, mut sent) = (0, 0, 0);
    for seed in seed..seed + runs {
        let text = random::generate(seed);
        let report = random::run(&text);
        answered += report.answered.0;
        sent += report.answered.1;
        let Some(violation) = report.violations.first() else {
            continue;
        };
        failed += 1;
        println!(
            "seed {seed}: {:?}: {}",
            violation.guarantee, violation.detail
        );
        let count: &mut u32 = failures.entry(violation.guarantee).or_default();
        *count += 1;
        if *count == 1 {
            println!("{}", random::shrink(&text));
        }
    }
    println!("{answered} of {sent} sends were answered whole.");
    println!("{runs} scenarios, {failed} with a broken promise: {failures:?}");
}
