//! Cost of reserving and settling tokens, by number of budgets and threads.

use std::{hint::black_box, sync::Arc, thread, time::Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fulmarproxy::{
    coordination::escrow,
    state::{name, receipt},
};

/// Tokens that a request reserves, the upper bound of what it may use.
const RESERVED_TOKENS: u64 = 1000;
/// Tokens that a request turns out to use.
const USED_TOKENS: u64 = 400;

fn granted_escrow(budgets: usize) -> (Arc<escrow::Escrow>, Vec<name::Name>) {
    let escrow = Arc::new(escrow::Escrow::default());
    let name = |index| name::Name::from(format!("budget-{index}"));
    let names: Vec<_> = (0..budgets).map(name).collect();
    for name in &names {
        escrow.with_account(name, |account| account.share.granted = u64::MAX / 2);
    }
    (escrow, names)
}

fn run_rounds(escrow: &escrow::Escrow, names: &[name::Name], agent: u64, rounds: u64) {
    let mut receipt = receipt::Receipt {
        number: 0,
        request: "r".into(),
        budget: names[0].clone(),
        tokens: USED_TOKENS,
        ran: true,
    };
    let base = escrow.covered_through(agent);
    for round in 0..rounds {
        let budget = &names[(round as usize + agent as usize) % names.len()];
        escrow
            .reserve(budget, RESERVED_TOKENS)
            .expect("there is enough");
        receipt.number = base + round + 1;
        receipt.budget = budget.clone();
        black_box(escrow.count_receipt(agent, &receipt));
        escrow.release(budget, RESERVED_TOKENS);
    }
}

fn reserve_and_settle(c: &mut Criterion) {
    let mut group = c.benchmark_group("reserve_and_settle");
    for budgets in [1, 100, 10_000] {
        for threads in [1u64, 2, 4] {
            let (escrow, names) = granted_escrow(budgets);
            let id = BenchmarkId::new(format!("{budgets}_budgets"), format!("{threads}_threads"));
            group.bench_function(id, |bencher| {
                bencher.iter_custom(|rounds| {
                    let start = Instant::now();
                    thread::scope(|scope| {
                        for agent in 0..threads {
                            let (escrow, names) = (&escrow, &names);
                            scope.spawn(move || run_rounds(escrow, names, agent, rounds));
                        }
                    });
                    start.elapsed()
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, reserve_and_settle);
criterion_main!(benches);
