//! The workloads that every design is simulated on.

use std::time::Duration;

/// A fault: which routers lose the store or one another, or are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing fails.
    None,
    /// No router reaches the store.
    StoreDown,
    /// A network partition. Routers with an index below the number reach one another and the store,
    /// the others only one another.
    Split(usize),
    /// The same partition with the store on the other side: routers with an index from the number
    /// on reach one another and the store, the others only one another.
    SplitOther(usize),
    /// Every this many seconds, the next router in turn is killed and replaced, whether or not it
    /// is within `fault_seconds`.
    Kills(u64),
}

/// Requests, budgets and faults of one run.
#[derive(Clone, Debug)]
pub struct Workload {
    pub name: &'static str,
    pub seconds: u64,
    pub routers: usize,
    /// Prepaid total of each budget.
    pub totals: Vec<u64>,
    /// Time for which a router should hold enough tokens to manage without the store.
    pub autonomy: Duration,
    /// Part of the requests that is sent to the first budget; the others go to a random budget.
    pub hot_share: f64,
    /// Requests per second that arrive at each router.
    pub requests_per_second: f64,
    pub fault: Fault,
    /// Seconds in which the store or peers are unreachable.
    pub fault_seconds: std::ops::Range<u64>,
    /// Second at which every budget is topped up, and the tokens added to each.
    pub top_up: Option<(u64, u64)>,
}

const SECONDS_PER_HOUR: u64 = 3600;
/// A total that the requests of a run do not use up.
const AMPLE_TOTAL: u64 = 100_000_000;

impl Workload {
    /// A workload without faults and with ample budgets.
    pub fn calm(routers: usize, budgets: usize) -> Self {
        Self {
            name: "calm",
            seconds: SECONDS_PER_HOUR,
            routers,
            totals: vec![AMPLE_TOTAL; budgets],
            autonomy: Duration::from_secs(600),
            hot_share: 0.2,
            requests_per_second: 2.0,
            fault: Fault::None,
            fault_seconds: 0..0,
            top_up: None,
        }
    }

    /// The workloads that the designs are compared on.
    pub fn all() -> Vec<Self> {
        let calm = Self::calm(4, 10);
        let down = Self {
            name: "store down an hour, autonomy 10 min",
            seconds: 2 * SECONDS_PER_HOUR,
            totals: vec![8_000_000; 10],
            fault: Fault::StoreDown,
            fault_seconds: 1200..1200 + SECONDS_PER_HOUR,
            ..Self::calm(4, 10)
        };
        let long_autonomy = Self {
            name: "store down an hour, autonomy 1 h",
            autonomy: Duration::from_secs(SECONDS_PER_HOUR),
            ..down.clone()
        };
        let split = Self {
            name: "split, top-up on the larger side",
            fault: Fault::Split(3),
            totals: vec![1_500_000; 10],
            top_up: Some((3000, 4_000_000)),
            ..down.clone()
        };
        let split_other = Self {
            name: "split, top-up on the smaller side",
            fault: Fault::SplitOther(3),
            ..split.clone()
        };
        let killed = Self {
            name: "routers killed and replaced",
            fault: Fault::Kills(120),
            fault_seconds: 0..2 * SECONDS_PER_HOUR,
            ..down.clone()
        };
        let exhausting = Self {
            name: "budgets running out",
            totals: (1..=10).map(|n| n * 250_000).collect(),
            fault: Fault::None,
            ..down.clone()
        };
        let hot = Self {
            name: "one budget hot everywhere",
            totals: vec![9_000_000; 10],
            hot_share: 0.95,
            fault: Fault::None,
            ..down.clone()
        };
        vec![
            calm,
            down,
            long_autonomy,
            split,
            split_other,
            killed,
            exhausting,
            hot,
        ]
    }
}
