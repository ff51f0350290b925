//! The workloads that all versions are run on.

use std::time::Duration;

/// Where the store can be reached from, and which routers reach one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// No router reaches the store.
    StoreDown,
    /// Routers below the number reach one another and the store, the rest only one another.
    Split(usize),
    /// Routers from the number on reach one another and the store, the rest only one another.
    SplitOther(usize),
    /// A router is killed and replaced every so many seconds.
    Kills(u64),
}

/// Requests, budgets and faults of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub seconds: u64,
    pub routers: usize,
    pub totals: Vec<u64>,
    /// Time that a router should live without the store.
    pub autonomy: Duration,
    /// Share of the requests that go to the first budget; the rest is spread evenly.
    pub hot: f64,
    /// Requests a second of one router.
    pub rate: f64,
    pub fault: Fault,
    /// Seconds in which the fault holds.
    pub faulty: std::ops::Range<u64>,
    /// Second of a top-up of every budget, and its tokens.
    pub top_up: Option<(u64, u64)>,
}

const HOUR: u64 = 3600;
const PLENTY: u64 = 100_000_000;

impl Workload {
    pub fn calm(routers: usize, budgets: usize) -> Self {
        Self {
            name: "calm",
            seconds: HOUR,
            routers,
            totals: vec![PLENTY; budgets],
            autonomy: Duration::from_secs(600),
            hot: 0.2,
            rate: 2.0,
            fault: Fault::None,
            faulty: 0..0,
            top_up: None,
        }
    }

    pub fn all() -> Vec<Self> {
        let calm = Self::calm(4, 10);
        let down = Self {
            name: "store down an hour, autonomy 10 min",
            seconds: 2 * HOUR,
            totals: vec![8_000_000; 10],
            fault: Fault::StoreDown,
            faulty: 1200..1200 + HOUR,
            ..Self::calm(4, 10)
        };
        let longer = Self {
            name: "store down an hour, autonomy 1 h",
            autonomy: Duration::from_secs(HOUR),
            ..down.clone()
        };
        let split = Self {
            name: "split, top-up on the larger side",
            fault: Fault::Split(3),
            totals: vec![1_500_000; 10],
            top_up: Some((3000, 4_000_000)),
            ..down.clone()
        };
        let other = Self {
            name: "split, top-up on the smaller side",
            fault: Fault::SplitOther(3),
            ..split.clone()
        };
        let killed = Self {
            name: "routers killed and replaced",
            fault: Fault::Kills(120),
            faulty: 0..2 * HOUR,
            ..down.clone()
        };
        let ending = Self {
            name: "budgets running out",
            totals: (1..=10).map(|n| n * 250_000).collect(),
            fault: Fault::None,
            ..down.clone()
        };
        let hot = Self {
            name: "one budget hot everywhere",
            totals: vec![9_000_000; 10],
            hot: 0.95,
            fault: Fault::None,
            ..down.clone()
        };
        vec![calm, down, longer, split, other, killed, ending, hot]
    }
}
