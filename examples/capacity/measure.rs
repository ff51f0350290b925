//! Measurements of message sizes, memory and times of the library's own code.

use std::{hint::black_box, time::Instant};

use fulmarproxy::{
    coordination::{config_chunks, escrow},
    protocol::{fleet_capnp, wire},
};

use crate::{fit::LinearFit, sample};

/// Calls that are timed together, because one is too short to time.
const CALLS_PER_ROUND: u32 = 200;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Measured points and the line fitted to them.
pub struct Slope {
    /// The measured quantity, and what it grows with.
    pub name: &'static str,
    /// Unit of the measured values.
    pub unit: &'static str,
    /// Pairs of size and measured value.
    pub points: Vec<(f64, f64)>,
    /// The fitted line.
    pub fit: LinearFit,
}

/// Measures at each size and fits a line to the results.
fn measure_slope(
    name: &'static str,
    unit: &'static str,
    sizes: &[u64],
    measure: impl Fn(u64) -> f64,
) -> Slope {
    let points: Vec<_> = sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect();
    let fit = LinearFit::least_squares(&points);
    Slope {
        name,
        unit,
        points,
        fit,
    }
}

/// Size of a value as JSON.
fn json_bytes(value: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}

/// Mean microseconds per call in a round of [`CALLS_PER_ROUND`] calls; the median of 9 rounds.
fn median_micros(mut call: impl FnMut()) -> f64 {
    let mut rounds: Vec<f64> = (0..9)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..CALLS_PER_ROUND {
                call();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(CALLS_PER_ROUND)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[rounds.len() / 2]
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Memory that a value takes, as growth of the resident memory. The value is leaked, so that later
/// measurements cannot reuse its memory, which would hide their growth.
fn retained_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident_bytes();
    std::mem::forget(black_box(make()));
    resident_bytes() - before
}

/// A heartbeat with a number of prefixes, encoded as Cap'n Proto.
fn heartbeat_message(prefixes: u64) -> Vec<u8> {
    let mut heartbeat = sample::heartbeat(1);
    heartbeat.prefixes = (0..prefixes).collect();
    let mut message = capnp::message::Builder::new_default();
    wire::write_heartbeat(
        &heartbeat,
        message.init_root::<fleet_capnp::agent_beat::Builder<'_>>(),
    );
    capnp::serialize::write_message_to_words(&message)
}

/// A gossip message with a number of heartbeats, encoded as Cap'n Proto.
fn gossip_message(heartbeats: u64) -> Vec<u8> {
    let gossip = sample::gossip(heartbeats, 0);
    let mut message = capnp::message::Builder::new_default();
    wire::write_gossip(
        &gossip,
        message.init_root::<fleet_capnp::gossip::Builder<'_>>(),
    );
    capnp::serialize::write_message_to_words(&message)
}

fn read_gossip(mut bytes: &[u8]) {
    let options = capnp::message::ReaderOptions::new();
    if let Ok(message) = capnp::serialize::read_message_from_flat_slice(&mut bytes, options) {
        let root = message.get_root::<fleet_capnp::gossip::Reader<'_>>();
        let _ = black_box(root.map(wire::read_gossip));
    }
}

/// Microseconds to reserve and release tokens, with a number of budgets used in turn.
fn reserve_and_release(budgets: u64) -> f64 {
    let escrow = escrow::Escrow::default();
    let names: Vec<String> = (0..budgets).map(|n| format!("budget-{n:05}")).collect();
    for name in &names {
        escrow.with_account(name, |account| account.share.granted = 1_000_000);
    }
    let mut next = 0;
    median_micros(|| {
        next = (next + 1) % names.len();
        let reserved = escrow.reserve(&names[next], 100);
        assert!(
            reserved.is_ok(),
            "each account has more tokens than are reserved"
        );
        escrow.release(&names[next], 100);
    })
}

/// Measures every slope.
pub fn measure_all() -> Vec<Slope> {
    let small_sizes = [16, 64, 256, 1024];
    let large_sizes = [1_000, 4_000, 16_000, 44_000];
    vec![
        measure_slope(
            "configuration memory by budgets",
            "bytes",
            &[11_000, 22_000, 44_000, 88_000],
            |n| retained_bytes(|| sample::configuration(870, n)),
        ),
        measure_slope(
            "escrow memory by budgets",
            "bytes",
            &[11_000, 22_000, 44_000, 88_000],
            |n| {
                retained_bytes(|| {
                    let escrow = escrow::Escrow::default();
                    for number in 0..n {
                        let budget = format!("budget-{number:05}");
                        escrow.with_account(&budget, |account| account.share.granted = 1);
                    }
                    escrow
                })
            },
        ),
        measure_slope("holder record by budgets", "bytes", &small_sizes, |n| {
            json_bytes(&sample::record(n, 64))
        }),
        measure_slope("holder record by agents", "bytes", &small_sizes, |n| {
            json_bytes(&sample::record(64, n))
        }),
        measure_slope("ledger bucket by budgets", "bytes", &small_sizes, |n| {
            json_bytes(&sample::bucket(n, 8))
        }),
        measure_slope(
            // 172 is the mean number of budgets in a bucket: 44,000 budgets over 256 buckets.
            "ledger bucket by shares of 172 budgets",
            "bytes",
            &[1, 4, 8, 16],
            |n| json_bytes(&sample::bucket(172, n)),
        ),
        measure_slope(
            "configuration JSON by budgets",
            "bytes",
            &large_sizes,
            |n| json_bytes(&sample::configuration(870, n)),
        ),
        measure_slope("largest chunk by budgets", "bytes", &large_sizes, |n| {
            let chunks = config_chunks::split(&sample::configuration(870, n));
            let sizes =
                chunks.map(|chunks| chunks.contents.values().map(json_bytes).fold(0.0, f64::max));
            sizes.unwrap_or(0.0)
        }),
        measure_slope("mean budget chunk by budgets", "bytes", &large_sizes, |n| {
            let chunks = config_chunks::split(&sample::configuration(0, n)).unwrap_or_default();
            let sizes: f64 = chunks.contents.values().map(json_bytes).sum();
            sizes / chunks.contents.len().max(1) as f64
        }),
        measure_slope("head by budgets", "bytes", &large_sizes, |n| {
            let chunks = config_chunks::split(&sample::configuration(870, n)).unwrap_or_default();
            json_bytes(&chunks.digests)
        }),
        measure_slope("heartbeat by prefixes", "bytes", &[0, 16, 64, 256], |n| {
            heartbeat_message(n).len() as f64
        }),
        measure_slope("gossip by heartbeats", "bytes", &[4, 16, 64, 256], |n| {
            gossip_message(n).len() as f64
        }),
        measure_slope(
            "gossip read and written by heartbeats",
            "microseconds",
            &[4, 16, 64, 256],
            |n| median_micros(|| read_gossip(&black_box(gossip_message(n)))),
        ),
        measure_slope(
            "record written as JSON by budgets",
            "microseconds",
            &small_sizes,
            |n| {
                let record = sample::record(n, 64);
                median_micros(|| {
                    black_box(json_bytes(&record));
                })
            },
        ),
        measure_slope(
            "reserve and release by budgets",
            "microseconds",
            &[1, 100, 1_000, 10_000],
            reserve_and_release,
        ),
    ]
}
