//! No prepaid tokens are lost when a router is killed, shuts down or cannot reach the store.
//!
//! The tests run routers, an agent and the store as real processes.

mod common;

use fulmarproxy::{
    protocol::kv,
    state::{holder_record, ledger},
    transport::{http, store},
};
use serde_json::{Value, json};

const BUDGET: &str = "fjordforlaget";
const KEY: &str = "fjordforlaget-key";

fn chat_request() -> Value {
    json!({
        "model": "quick",
        "messages": [{ "role": "user", "content": "when is the brief due" }],
        "max_tokens": 20,
    })
}

fn start_fleet() -> common::Fleet {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_router();
    fleet.add_agent("fortelling", 100);
    fleet.wait_ready(0, 1);
    fleet.wait_ready(1, 1);
    fleet
}

/// Entry of the budget in the ledger, as stored.
fn ledger_entry(fleet: &common::Fleet) -> ledger::Entry {
    let store = store::Store::over_http(&fleet.platform_url(""));
    let bucket = ledger::bucket_of(BUDGET);
    let key = store::bucket_key(bucket);
    let found = smol::block_on(store.get(&key)).unwrap().unwrap();
    let bucket: ledger::Bucket = kv::decode(&found).unwrap();
    bucket.entries[BUDGET].clone()
}

fn holder_states(fleet: &common::Fleet) -> Vec<holder_record::HolderState> {
    let store = store::Store::over_http(&fleet.platform_url(""));
    let (found, _) = smol::block_on(store.list(store::HOLDER_PREFIX)).unwrap();
    let records = found.iter().map(|kv| {
        let record: holder_record::HolderRecord = kv::decode(kv).unwrap();
        record.state
    });
    records.collect()
}

#[test]
fn a_killed_router_is_fenced_and_its_unspent_tokens_are_freed() {
    let mut fleet = start_fleet();
    let (status, body) = fleet.chat(0, KEY, &chat_request());
    assert_eq!(status, 200, "{body}");
    assert_eq!(ledger_entry(&fleet).shares.len(), 1);
    fleet.kill_router(0);
    common::wait_for("the record of the killed router to be closed", || {
        holder_states(&fleet).contains(&holder_record::HolderState::Closed)
    });
    let entry = ledger_entry(&fleet);
    assert!(entry.shares.is_empty());
    assert_eq!(entry.closed, fleet.engine_tokens() as i64);
    let (status, body) = fleet.chat(0, KEY, &chat_request());
    assert_eq!(status, 200, "{body}");
}

#[test]
fn a_leaving_router_returns_its_unspent_tokens() {
    let fleet = start_fleet();
    let (status, body) = fleet.chat(0, KEY, &chat_request());
    assert_eq!(status, 200, "{body}");
    fleet.routers[0].signal("-TERM");
    common::wait_for(
        "the tokens to be returned and the record to be closed",
        || {
            let entry = ledger_entry(&fleet);
            let granted: u64 = entry.shares.values().map(|s| s.granted).sum();
            granted == 0 && u64::try_from(entry.closed) == Ok(fleet.engine_tokens())
        },
    );
}

/// Whether a router has read its peer from the list of VMs.
fn lists_a_peer(fleet: &common::Fleet, router: usize) -> bool {
    let url = format!("http://{}/status", fleet.routers[router].admin_address);
    let found: Result<Value, _> = smol::block_on(http::get(&fleet.client, "status", &url));
    let peers = found.map(|found| found["peers"].as_array().map_or(0, Vec::len));
    peers.is_ok_and(|peers| peers > 0)
}

#[test]
fn a_router_draws_from_its_peer_while_the_store_is_down() {
    let fleet = start_fleet();
    common::wait_for("the first router to list its peer", || {
        lists_a_peer(&fleet, 0)
    });
    let (status, body) = fleet.chat(1, KEY, &chat_request());
    assert_eq!(status, 200, "{body}");
    common::wait_for(
        "the routers to hold enough tokens for both requests",
        || {
            let granted: u64 = ledger_entry(&fleet)
                .shares
                .values()
                .map(|s| s.granted)
                .sum();
            granted >= fleet.engine_tokens() + 50
        },
    );
    fleet.platform.signal("-KILL");
    let (status, body) = fleet.chat(0, KEY, &chat_request());
    assert_eq!(status, 200, "{body}");
}
