//! Tokens survive the routers that hold them, in real processes.

mod common;

use fulmarproxy::{
    protocol::kv,
    state::{holder_record, ledger},
    transport::{http, store},
};
use serde_json::{Value, json};

const BUDGET: &str = "fjordforlaget";
const KEY: &str = "fjordforlaget-key";

fn question() -> Value {
    json!({
        "model": "quick",
        "messages": [{ "role": "user", "content": "when is the brief due" }],
        "max_tokens": 20,
    })
}

fn fleet() -> common::Fleet {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_router();
    fleet.add_agent("fortelling", 100);
    fleet.wait_ready(0, 1);
    fleet.wait_ready(1, 1);
    fleet
}

fn entry(fleet: &common::Fleet) -> ledger::Entry {
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
fn a_killed_router_is_fenced_and_its_tokens_come_back() {
    let mut fleet = fleet();
    let (status, body) = fleet.chat(0, KEY, &question());
    assert_eq!(status, 200, "{body}");
    assert_eq!(entry(&fleet).shares.len(), 1);
    fleet.kill_router(0);
    common::wait_for("the dead router to be closed", || {
        holder_states(&fleet).contains(&holder_record::HolderState::Closed)
    });
    let entry = entry(&fleet);
    assert!(entry.shares.is_empty());
    assert_eq!(entry.closed, fleet.engine_tokens() as i64);
    let (status, body) = fleet.chat(0, KEY, &question());
    assert_eq!(status, 200, "{body}");
}

#[test]
fn a_leaving_router_returns_what_it_did_not_spend() {
    let fleet = fleet();
    let (status, body) = fleet.chat(0, KEY, &question());
    assert_eq!(status, 200, "{body}");
    fleet.routers[0].signal("-TERM");
    common::wait_for(
        "the tokens to be returned and the record to be closed",
        || {
            let entry = entry(&fleet);
            let granted: u64 = entry.shares.values().map(|s| s.granted).sum();
            granted == 0 && u64::try_from(entry.closed) == Ok(fleet.engine_tokens())
        },
    );
}

fn knows_a_peer(fleet: &common::Fleet, router: usize) -> bool {
    let url = format!("http://{}/status", fleet.routers[router].admin_address);
    let found: Result<Value, _> = smol::block_on(http::get(&fleet.client, "status", &url));
    let peers = found.map(|found| found["peers"].as_array().map_or(0, Vec::len));
    peers.is_ok_and(|peers| peers > 0)
}

#[test]
fn a_router_draws_from_its_peer_while_the_store_is_down() {
    let fleet = fleet();
    common::wait_for("the asker to know its peer", || knows_a_peer(&fleet, 0));
    let (status, body) = fleet.chat(1, KEY, &question());
    assert_eq!(status, 200, "{body}");
    common::wait_for("the first router to hold enough for both", || {
        let granted: u64 = entry(&fleet).shares.values().map(|s| s.granted).sum();
        granted >= fleet.engine_tokens() + 50
    });
    fleet.platform.signal("-KILL");
    let (status, body) = fleet.chat(0, KEY, &question());
    assert_eq!(status, 200, "{body}");
}
