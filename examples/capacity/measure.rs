//! Measurements of sizes and times on the real code.

use std::{hint::black_box, time::Instant};

use fulmarproxy::{
    coordination::{config_chunks, escrow},
    protocol::{fleet_capnp, wire},
};

use crate::{fit::Fit, sample};

const REPEATS: u32 = 200;
const PAGE_BYTES: f64 = 4096.0;

/// A slope and the points that it was fitted to.
pub struct Slope {
    /// What was measured, and by what it grows.
    pub name: &'static str,
    /// Unit of the measured figure.
    pub unit: &'static str,
    /// Points.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: Fit,
}

fn slope(
    name: &'static str,
    unit: &'static str,
    sizes: &[u64],
    measure: impl Fn(u64) -> f64,
) -> Slope {
    let points: Vec<_> = sizes
        .iter()
        .map(|size| (*size as f64, measure(*size)))
        .collect();
    let fit = Fit::through(&points);
    Slope {
        name,
        unit,
        points,
        fit,
    }
}

fn json_bytes(value: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}

/// Microseconds that one call takes, the median over rounds.
fn micros(mut call: impl FnMut()) -> f64 {
    let mut rounds: Vec<f64> = (0..9)
        .map(|_| {
            let start = Instant::now();
            for _ in 0..REPEATS {
                call();
            }
            start.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[rounds.len() / 2]
}

/// Resident memory of this process, in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Memory that a value holds; the value is kept, so that its memory is not used again.
fn held<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident();
    std::mem::forget(black_box(make()));
    resident() - before
}

fn beat_message(prefixes: u64) -> Vec<u8> {
    let mut beat = sample::beat(1);
    beat.prefixes = (0..prefixes).collect();
    let mut message = capnp::message::Builder::new_default();
    wire::write_beat(
        &beat,
        message.init_root::<fleet_capnp::agent_beat::Builder<'_>>(),
    );
    capnp::serialize::write_message_to_words(&message)
}

fn gossip_message(beats: u64) -> Vec<u8> {
    let gossip = sample::gossip(beats, 0);
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

fn reserve_and_release(budgets: u64) -> f64 {
    let escrow = escrow::Escrow::default();
    let names: Vec<String> = (0..budgets).map(|n| format!("budget-{n:05}")).collect();
    for name in &names {
        escrow.with_account(name, |account| account.share.granted = 1_000_000);
    }
    let mut next = 0;
    micros(|| {
        next = (next + 1) % names.len();
        let reserved = escrow.reserve(&names[next], 100);
        assert!(reserved.is_ok(), "the account holds enough");
        escrow.release(&names[next], 100);
    })
}

/// Measures every slope.
pub fn all() -> Vec<Slope> {
    let few = [16, 64, 256, 1024];
    let many = [1_000, 4_000, 16_000, 44_000];
    vec![
        slope(
            "configuration memory by budgets",
            "bytes",
            &[11_000, 22_000, 44_000, 88_000],
            |n| held(|| sample::set(870, n)),
        ),
        slope(
            "escrow memory by budgets",
            "bytes",
            &[11_000, 22_000, 44_000, 88_000],
            |n| {
                held(|| {
                    let escrow = escrow::Escrow::default();
                    for number in 0..n {
                        let budget = format!("budget-{number:05}");
                        escrow.with_account(&budget, |account| account.share.granted = 1);
                    }
                    escrow
                })
            },
        ),
        slope("holder record by budgets", "bytes", &few, |n| {
            json_bytes(&sample::record(n, 64))
        }),
        slope("holder record by agents", "bytes", &few, |n| {
            json_bytes(&sample::record(64, n))
        }),
        slope("ledger bucket by budgets", "bytes", &few, |n| {
            json_bytes(&sample::bucket(n, 8))
        }),
        slope(
            "ledger bucket by shares of 172 budgets",
            "bytes",
            &[1, 4, 8, 16],
            |n| json_bytes(&sample::bucket(172, n)),
        ),
        slope("configuration JSON by budgets", "bytes", &many, |n| {
            json_bytes(&sample::set(870, n))
        }),
        slope("largest chunk by budgets", "bytes", &many, |n| {
            let chunks = config_chunks::split(&sample::set(870, n));
            let sizes =
                chunks.map(|chunks| chunks.contents.values().map(json_bytes).fold(0.0, f64::max));
            sizes.unwrap_or(0.0)
        }),
        slope("mean budget chunk by budgets", "bytes", &many, |n| {
            let chunks = config_chunks::split(&sample::set(0, n)).unwrap_or_default();
            let sizes: f64 = chunks.contents.values().map(json_bytes).sum();
            sizes / chunks.contents.len().max(1) as f64
        }),
        slope("head by budgets", "bytes", &many, |n| {
            let chunks = config_chunks::split(&sample::set(870, n)).unwrap_or_default();
            json_bytes(&chunks.digests)
        }),
        slope("heartbeat by prefixes", "bytes", &[0, 16, 64, 256], |n| {
            beat_message(n).len() as f64
        }),
        slope("gossip by heartbeats", "bytes", &[4, 16, 64, 256], |n| {
            gossip_message(n).len() as f64
        }),
        slope(
            "gossip read and written by heartbeats",
            "microseconds",
            &[4, 16, 64, 256],
            |n| micros(|| read_gossip(&black_box(gossip_message(n)))),
        ),
        slope(
            "record written as JSON by budgets",
            "microseconds",
            &few,
            |n| {
                let record = sample::record(n, 64);
                micros(|| {
                    black_box(json_bytes(&record));
                })
            },
        ),
        slope(
            "reserve and release by budgets",
            "microseconds",
            &[1, 100, 1_000, 10_000],
            reserve_and_release,
        ),
    ]
}
