//! Gateways whose connections to the store go silent, for a time or for good, at different moments and in series
//! that overlap with reloads, while the operator and servers write.
//!
//! `SILENT_STORE=10..60 cargo test --test silent_store_soak` plays other seeds, and holds the gateways to the
//! times of the platform.

// Each test file uses a different part of these modules.
mod common;
mod gateway_world;

use std::{
    thread,
    time::{Duration, Instant},
};

use common::{
    placed::Placed,
    placed_fleet::{call, put, start_gateway, start_store},
    proxy::{Direction, Proxy},
};
use gateway_world::configuration;
use serde_json::json;

const SEEDS: &str = "SILENT_STORE";

/// Time after the store is whole again within which a gateway must know what was written before.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Time within which a gateway must follow a change while the store is whole.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Stops a play that hangs, in place of the two times above when no seeds are given.
const HANG_TIME: Duration = Duration::from_secs(15);

const ROUNDS: u32 = 3;

/// A gateway with its proxy to the store.
struct Member {
    gateway: Placed,
    proxy: Proxy,
}

/// What has been written to the store.
struct Written {
    store: String,
    version: u64,
    servers: usize,
}

impl Written {
    fn publish(&mut self) {
        self.version += 1;
        let text = configuration(self.version, 1_000_000, 3000).to_string();
        put(&self.store, "op/config", &text);
    }

    fn list_server(&mut self) {
        self.servers += 1;
        let entry = json!({"service": "plain", "address": format!("127.0.0.1:{}", self.servers), "zone": "a",
                           "slots": 8, "state": "ready", "version": "v1", "sequence": 1});
        let key = format!("servers/i-{}", self.servers);
        put(&self.store, &key, &entry.to_string());
    }

    fn write_any(&mut self, rng: &mut fastrand::Rng) {
        match rng.bool() {
            true => self.publish(),
            false => self.list_server(),
        }
    }
}

/// Version in force and number of servers known at a gateway.
fn known(gateway: &Placed) -> (u64, usize) {
    let text = call(
        &gateway.address("admin"),
        "GET /metrics HTTP/1.1\r\nHost: g\r\n\r\n",
    );
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let version = value("fulmar_gateway_config_version ");
    (version as u64, value("fulmar_gateway_servers ") as usize)
}

/// Waits until a gateway knows all that was written; returns how long it took since `begin`.
fn wait_until_known(member: &Member, written: &Written, begin: Instant) -> Option<Duration> {
    while begin.elapsed() < HANG_TIME {
        if known(&member.gateway) == (written.version, written.servers) {
            return Some(begin.elapsed());
        }
        thread::sleep(Duration::from_millis(10));
    }
    None
}

/// Checks that all gateways know what was written within a time.
fn check(
    members: &[Member],
    written: &Written,
    begin: Instant,
    limit: Duration,
    case: &str,
) -> Result<(), String> {
    let is_strict = std::env::var(SEEDS).is_ok();
    thread::scope(|scope| {
        let waits: Vec<_> = members
            .iter()
            .map(|member| scope.spawn(move || wait_until_known(member, written, begin)))
            .collect();
        for (number, wait) in waits.into_iter().enumerate() {
            let took = wait.join().expect("the wait ends");
            println!("{case}: entry-{number} after {took:?}");
            if took.is_none_or(|took| is_strict && took > limit) {
                return Err(format!(
                    "{case}: entry-{number} after {took:?}, {limit:?} allowed"
                ));
            }
        }
        Ok(())
    })
}

/// Disturbs the connections of some gateways to the store, and ends it.
fn disturb(members: &[Member], written: &mut Written, rng: &mut fastrand::Rng) {
    let disturbed: Vec<_> = members.iter().filter(|_| rng.u8(..3) > 0).collect();
    for _ in 0..rng.usize(1..4) {
        for member in &disturbed {
            match rng.u8(..4) {
                0 => member.proxy.freeze_open_connections(Direction::ToClient),
                1 => member.gateway.signal("-HUP"),
                _ => member.proxy.freeze(Direction::ToClient),
            }
            thread::sleep(Duration::from_millis(rng.u64(..300)));
        }
        for _ in 0..rng.usize(..3) {
            written.write_any(rng);
        }
        thread::sleep(Duration::from_millis(rng.u64(..1500)));
        for member in &disturbed {
            if rng.bool() {
                member.proxy.thaw_new_connections();
            }
        }
    }
    for member in &disturbed {
        member.proxy.thaw_new_connections();
    }
}

fn play(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (_process, store) = start_store();
    let mut written = Written {
        store,
        version: 0,
        servers: 0,
    };
    written.publish();
    written.list_server();
    let members: Vec<_> = (0..rng.usize(2..5))
        .map(|number| {
            let proxy = Proxy::start(&written.store);
            let (gateway, _) = start_gateway(&format!("entry-{number}"), proxy.address());
            Member { gateway, proxy }
        })
        .collect();
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(rng.u64(..3000)));
        disturb(&members, &mut written, &mut rng);
        let case = format!("seed {seed}, round {round}");
        let whole_at = Instant::now();
        let whole = format!("{case}, whole again");
        check(&members, &written, whole_at, STABLE_WINDOW, &whole)?;
        thread::sleep(STABLE_WINDOW.saturating_sub(whole_at.elapsed()));
        written.publish();
        written.list_server();
        check(&members, &written, Instant::now(), APPLY_TIME, &case)?;
    }
    Ok(())
}

/// Guards against gateways that follow an old configuration or list of servers after the store is whole again
/// (CONFIG, DRAIN).
#[test]
fn gateways_follow_the_store_after_its_responses_were_lost() {
    common::seeds::play(SEEDS, "0..2", play);
}
