//! A drill with real processes: the store of a platform that places gateways comes back from a copy,
//! and one of two gateways dies with it.

// Each test file uses a different part of this module.
mod common;
mod gateway_world;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    rc::Rc,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use base64::Engine as _;
use common::placed::Placed;
use fulmarproxy::{
    standin::{platform_store, scripted_server},
    state::share_ledger::ShareLedger,
};
use gateway_world::{configuration, request_text};
use serde_json::json;

const PREPAID: u64 = 40_000;

/// Tokens of one request: 100 of input and ten events of six.
const REQUEST: u64 = 160;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn call(address: &str, request: &str) -> String {
    let mut conn = TcpStream::connect(address).unwrap();
    conn.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    let mut reader = BufReader::new(conn);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap() == 0 {
            return text;
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        text.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    if text.to_ascii_lowercase().contains("chunked") {
        // The last chunk ends the response; a broken one ends the connection.
        let mut line = String::new();
        while line != "0\r\n" {
            line.clear();
            if reader.read_line(&mut line).unwrap() == 0 {
                return text;
            }
            text.push_str(&line);
        }
        return text;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    text.push_str(&String::from_utf8_lossy(&body));
    text
}

fn put(store: &str, key: &str, value: &str) {
    let len = value.len();
    let request =
        format!("POST /put?key={key} HTTP/1.1\r\nHost: s\r\nContent-Length: {len}\r\n\r\n{value}");
    assert!(call(store, &request).contains(" 200 "));
}

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

/// Starts a gateway and waits until it is ready; returns it with its address for callers.
fn start_gateway(vm: &str, store: &str) -> (Placed, String) {
    let mut gateway = Placed::start("gateway", vm, store);
    gateway.pass_log_on(std::env::var("FULMAR_DRILL_LOG").is_ok());
    let probe = "GET /readiness HTTP/1.1\r\nHost: g\r\n\r\n";
    let ready = gateway.address("ready");
    while !call(&ready, probe).contains(" 200 ") {
        thread::sleep(Duration::from_millis(20));
    }
    let front = gateway.address("front");
    (gateway, front)
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
    let mut child = Command::new(env!("CARGO_BIN_EXE_fulmar-standin"))
        .arg("platform-store")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let _store = Process(child);
    let store = line.trim().trim_start_matches("Listening on ");
    let store = store.trim_end_matches('.').to_owned();
    put(
        &store,
        "op/config",
        &configuration(1, PREPAID, 5000).to_string(),
    );
    let entry = json!({"service": "model", "address": start_engine(&SERVED), "zone": "a",
                       "slots": 8, "state": "ready", "sequence": 1});
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
