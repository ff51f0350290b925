//! Plays random scenarios and reduces each failure to a scenario file.
//!
//! `cargo run --release --example explore -- --seed N --runs N`

use std::collections::BTreeMap;

#[path = "../../tests/world/mod.rs"]
mod world;

use world::random;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "First seed", "N");
    options.optopt("", "runs", "Number of scenarios", "N");
    let matches = options.parse(&args).expect("usage: --seed N --runs N");
    let seed: u64 = matches
        .opt_get_default("seed", 1)
        .expect("--seed is a number");
    let runs: u64 = matches
        .opt_get_default("runs", 100)
        .expect("--runs is a number");
    let mut shown = BTreeMap::new();
    let (mut red, mut answered, mut sent) = (0, 0, 0);
    for seed in seed..seed + runs {
        let text = random::generate(seed);
        let report = random::run(&text);
        answered += report.answered.0;
        sent += report.answered.1;
        let Some(found) = report.violations.first() else {
            continue;
        };
        red += 1;
        println!("seed {seed}: {:?}: {}", found.guarantee, found.detail);
        let count: &mut u32 = shown.entry(found.guarantee).or_default();
        *count += 1;
        if *count == 1 {
            println!("{}", random::shrink(&text));
        }
    }
    println!("{answered} of {sent} sends were answered whole.");
    println!("{runs} scenarios, {red} with a broken promise: {shown:?}");
}
