//! A drill with real processes: the store of a platform that places gateways comes back from a copy,
//! and one of two gateways dies with it.

// Each test file uses a different part of this module.
mod common;
mod gateway_world;

use std::{
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use base64::Engine as _;
use common::placed_fleet::{call, put, start_gateway, start_store};
use fulmarproxy::{
    standin::{platform_store, scripted_server},
    state::share_ledger::ShareLedger,
};
use gateway_world::{configuration, request_text};
use serde_json::json;

const PREPAID: u64 = 40_000;

/// Tokens of one request: 100 of input and ten events of six.
const REQUEST: u64 = 160;

/// Starts an engine in a thread; returns its address.
fn start_engine(served: &'static AtomicU64) -> String {
    let (tx, rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let executor = Rc::new(smol::LocalExecutor::new());
        let engine = scripted_server::ScriptedServer::new(Rc::new(move |request| {
            served.fetch_add(REQUEST, Ordering::SeqCst);
            scripted_server::signed_event_stream(request, 0..10, Duration::ZERO)
        }));
        smol::block_on(executor.run(async {
            let (listener, address) = platform_store::listener().await.unwrap();
            tx.send(address.to_string()).unwrap();
            engine.serve(listener, executor.clone()).await;
        }));
    });
    rx.recv().unwrap()
}

/// The ledger in the store; `None` when there is none.
fn ledger(store: &str) -> Option<ShareLedger> {
    let request = "GET /kv-key?key=fulmar/budgets/desk HTTP/1.1\r\nHost: s\r\n\r\n";
    let text = call(store, request);
    let item: serde_json::Value = serde_json::from_str(text.split("\r\n\r\n").nth(1)?).ok()?;
    let value = base64::engine::general_purpose::STANDARD.decode(item["value"].as_str()?);
    Some(serde_json::from_slice(&value.unwrap()).unwrap())
}

fn draft(front: &str) -> bool {
    let usage = "X-Token-Usage: 100,60\r\n";
    call(front, &request_text("POST", "/draft/1", usage, "prompt")).contains(" 200 ")
}

#[test]
fn the_prepaid_total_holds_in_a_drill_in_which_a_gateway_dies() {
    static SERVED: AtomicU64 = AtomicU64::new(0);
    let (_store, store) = start_store();
    put(
        &store,
        "op/config",
        &configuration(1, PREPAID, 5000).to_string(),
    );
    let entry = json!({"service": "model", "address": start_engine(&SERVED), "zone": "a",
                       "slots": 8, "state": "ready", "version": "v1", "sequence": 1});
    put(&store, "servers/i-1", &entry.to_string());
    let (first, front) = start_gateway("entry-1", &store);
    let (second, other) = start_gateway("entry-2", &store);
    let before = (0..10).filter(|_| draft(&front) & draft(&other)).count();
    assert!(before > 0);
    let granted = ledger(&store).unwrap().granted();
    // The copy is older than the ledger, and the second gateway dies with what it was granted.
    drop(second);
    let drill = "POST /drill?age_ms=60000&away_ms=300&rewrite_ms=20 HTTP/1.1\r\nHost: s\r\n\
                 Content-Length: 0\r\n\r\n";
    assert!(call(&store, drill).contains("\"era\":2"));
    // The gateway that lives writes its account, and what the other may hold is kept back.
    let after = loop {
        if let Some(ledger) = ledger(&store).filter(|ledger| ledger.settled_era == 2) {
            break ledger;
        }
        thread::sleep(Duration::from_millis(50));
    };
    println!("before: {granted} granted; after: {after:?}");
    assert!(after.granted() >= granted, "{granted} {after:?}");
    // It goes on from the tokens that it holds.
    assert!(draft(&front));
    let served = SERVED.load(Ordering::SeqCst);
    assert!(served <= granted, "{served} of {granted}");
    drop(first);
}
