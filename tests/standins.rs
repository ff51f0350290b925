//! Tests of the stand-ins and of the fault-injecting proxy, whose behaviour other tests rely on.

mod common;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    time::{Duration, Instant},
};

use common::proxy;
use fulmarproxy::{
    protocol::kv,
    standin::{batch, crash, engine, key_values, orders, plain, platform},
    transport::{http, store},
};
use futures::AsyncReadExt;
use serde_json::{Value, json};
use smol::block_on;

/// A delay that lasts longer than any test.
const NEVER: Duration = Duration::from_secs(3600);

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    (listener, url)
}

fn engine(options: engine::Options) -> String {
    let (listener, url) = bind();
    drop(engine::start(listener, options).unwrap());
    url
}

fn platform(history: usize) -> String {
    let (listener, url) = bind();
    drop(platform::start(listener, history).unwrap());
    url
}

fn read(url: &str) -> Value {
    block_on(http::get(&http::client(common::WAIT_TIMEOUT), "test", url)).unwrap()
}

fn send(url: &str, body: &Value) -> u16 {
    let conn = http::client(common::WAIT_TIMEOUT)
        .post(url)
        .with_body(body.to_string());
    block_on(async { conn.await.unwrap().status().unwrap() as u16 })
}

fn prompt(text: &str, tokens: u64) -> Value {
    json!({ "model": "m", "messages": [{ "content": text }], "max_tokens": tokens, "stream": true })
}

/// Sends a streaming request and reads the first byte of its answer, so that it holds a slot.
fn open(url: &str, id: &str, body: &Value) -> trillium_client::Conn {
    let conn = http::streaming_client()
        .post(url)
        .with_request_header("x-request-id", id.to_owned())
        .with_body(body.to_string());
    block_on(async {
        let mut conn = conn.await.unwrap();
        let mut first = [0; 1];
        conn.response_body().read_exact(&mut first).await.unwrap();
        conn
    })
}

/// Waits until a count of an engine has a value.
fn wait_count(url: &str, name: &str, value: u64) {
    let url = format!("{url}/counts");
    common::wait_for(name, || read(&url)[name] == value);
}

#[test]
fn an_engine_batches_queues_and_refuses() {
    let url = engine(engine::Options {
        slots: 2,
        queue_capacity: 1,
        load_lag: NEVER,
        ..engine::Options::default()
    });
    let long = prompt("a b", 1_000_000);
    let running = [open(&url, "r1", &long), open(&url, "r2", &long)];
    let third = smol::spawn(
        http::streaming_client()
            .post(&*url)
            .with_body(long.to_string())
            .into_future(),
    );
    wait_count(&url, "waiting", 1);
    assert_eq!(send(&url, &long), 503);
    let counts = read(&format!("{url}/counts"));
    assert_eq!(
        (&counts["largest_batch"], &counts["refused"]),
        (&json!(2), &json!(1))
    );
    assert_eq!(
        read(&format!("{url}/load"))["running"],
        0,
        "the report lags"
    );
    drop(running);
    wait_count(&url, "cancelled", 2);
    drop(block_on(third).unwrap());
    wait_count(&url, "cancelled", 3);
    let counts = read(&format!("{url}/counts"));
    let by_id: u64 = counts["tokens_by_id"]
        .as_object()
        .unwrap()
        .values()
        .map(|n| n.as_u64().unwrap())
        .sum();
    assert_eq!(counts["tokens"], by_id);
    assert!(by_id < 1_000_000, "{by_id}");
}

#[test]
fn a_batch_serves_lower_priorities_first() {
    let batch = batch::Batch::new(1, 2);
    block_on(async {
        let slot = batch.acquire(0).await.unwrap();
        let mut late = Box::pin(batch.acquire(2));
        let mut early = Box::pin(batch.acquire(1));
        assert!(futures::poll!(&mut late).is_pending());
        assert!(futures::poll!(&mut early).is_pending());
        assert_eq!(batch.acquire(0).await.unwrap_err(), batch::QueueFull);
        drop(slot);
        let slot = early.await.unwrap();
        assert!(futures::poll!(&mut late).is_pending());
        drop(late);
        drop(slot);
        assert_eq!(
            (batch.occupancy().running, batch.occupancy().waiting),
            (0, 0)
        );
    });
}

#[test]
fn a_soft_crash_aborts_running_and_queued_requests() {
    let url = engine(engine::Options {
        slots: 2,
        crash: crash::Options {
            trigger: Some("boom".to_owned()),
            soft: true,
            restart_time: Duration::from_millis(50),
        },
        token_interval: Duration::from_millis(20),
        ..engine::Options::default()
    });
    let send_later = |text: &str| {
        let body = prompt(text, 1_000_000).to_string();
        let conn = http::streaming_client().post(&*url).with_body(body);
        smol::spawn(async move {
            let mut conn = conn.await?;
            conn.response_body().read_string().await
        })
    };
    let mut running = open(&url, "innocent", &prompt("a", 1_000_000));
    let first = open(&url, "holder", &prompt("b", 1_000_000));
    let boom = send_later("boom");
    wait_count(&url, "waiting", 1);
    let queued = [boom, send_later("c")];
    wait_count(&url, "waiting", 2);
    drop(first);
    for broken in queued {
        assert!(block_on(broken).is_err());
    }
    assert!(block_on(running.response_body().read_string()).is_err());
    common::wait_for("the restart", || send(&url, &prompt("a", 1)) == 200);
    assert_eq!(read(&format!("{url}/load"))["generation"], 2);
    let counts = read(&format!("{url}/counts"));
    assert_eq!(counts["crashes"], 1);
    assert_eq!(counts["cancelled"], 1, "only the dropped request");
}

#[test]
fn a_hard_crash_ends_the_process() {
    let mut process = common::start_standin(&["engine", "--crash-on", "boom"]);
    let url = format!("http://{}", process.address);
    let conn = http::client(common::WAIT_TIMEOUT)
        .post(&*url)
        .with_body(prompt("boom", 4).to_string());
    block_on(async {
        if let Ok(mut conn) = conn.await {
            assert!(conn.response_body().read_string().await.is_err());
        }
    });
    assert_eq!(
        process.child.wait().unwrap().code(),
        Some(crash::CRASH_EXIT_CODE)
    );
}

#[test]
fn an_engine_counts_cached_prefixes() {
    let url = engine(engine::Options {
        cache_blocks: 2,
        ..engine::Options::default()
    });
    let words = |word: &str| vec![word; 40].join(" ");
    for (text, cached) in [("a", 0), ("a", 32), ("b", 32), ("a", 32)] {
        assert_eq!(send(&url, &prompt(&words(text), 1)), 200);
        assert_eq!(
            read(&format!("{url}/totals"))["cached_tokens"],
            cached,
            "{text}"
        );
    }
}

#[test]
fn an_engine_checks_fencing_numbers_when_configured() {
    let order = |fencing: u64| json!({ "action": "load", "subject": "adapter", "version": fencing, "fencing": fencing });
    for (checks, status) in [(true, 409), (false, 200)] {
        let url = engine(engine::Options {
            checks_fencing: checks,
            ..engine::Options::default()
        });
        let orders = format!("{url}/orders");
        assert_eq!(send(&orders, &order(5)), 200);
        assert_eq!(send(&orders, &order(4)), status);
        let counts: Value = read(&format!("{url}/counts"));
        assert_eq!(counts["orders"]["newest"], 5);
        assert_eq!(counts["orders"]["refused"]["4"].is_u64(), checks);
        assert_eq!(
            counts["orders"]["in_force"]["load adapter"],
            if checks { 5 } else { 4 }
        );
    }
    assert_eq!(orders::Orders::new(true).counts().newest, 0);
}

#[test]
fn a_plain_service_can_drop_the_answer_to_an_executed_call() {
    let (listener, url) = bind();
    drop(plain::start(listener, plain::Options::default()).unwrap());
    assert_eq!(
        send(&format!("{url}/faults"), &json!({ "drop_answers": 1 })),
        200
    );
    let call = || {
        let conn = http::client(common::WAIT_TIMEOUT)
            .put(format!("{url}/claims/7"))
            .with_request_header("idempotency-key", "k1")
            .with_body("{}");
        block_on(async { conn.await?.response_body().read_string().await })
    };
    assert!(call().is_err());
    assert!(call().is_ok());
    let counts = read(&format!("{url}/counts"));
    assert_eq!(
        (&counts["calls"], &counts["by_key"]["k1"]),
        (&json!(2), &json!(2))
    );
    assert_eq!(counts["by_path"]["PUT /claims/7"], 2);
}

#[test]
fn a_change_of_the_vm_list_becomes_visible_after_the_lag() {
    let url = platform(10);
    let list = |name: &str| {
        json!([{ "name": name, "role": "agent", "address": "127.0.0.1:1",
                 "region": "r", "zone": "a", "state": "live" }])
    };
    let (vms, faults) = (format!("{url}/vms"), format!("{url}/faults"));
    assert_eq!(send(&vms, &list("first")), 200);
    send(&faults, &json!({ "list_lag_ms": NEVER.as_millis() as u64 }));
    assert_eq!(send(&vms, &list("second")), 200);
    assert_eq!(read(&vms)[0]["name"], "first");
    send(&faults, &json!({ "list_lag_ms": 1 }));
    send(&vms, &list("third"));
    common::wait_for("the third list", || read(&vms)[0]["name"] == "third");
}

#[test]
fn each_fault_of_the_store_takes_effect() {
    let url = platform(10);
    let store = store::Store::over_http(&url);
    let fault = |faults: Value| assert_eq!(send(&format!("{url}/faults"), &faults), 200);
    let first = block_on(store.put_if("k", &1, 0, 0)).unwrap();
    let store::Put::Written(revision) = first else {
        panic!("{first:?}");
    };
    fault(json!({ "down": true }));
    assert!(block_on(store.get("k")).is_err());
    fault(json!({ "slow_ms": 30 }));
    let began = Instant::now();
    assert!(block_on(store.get("k")).is_ok());
    assert!(began.elapsed() >= Duration::from_millis(30));
    fault(json!({ "lose_answers": 1 }));
    assert!(block_on(store.put_if("k", &2, revision, 0)).is_err());
    assert_eq!(block_on(store.get("k")).unwrap().unwrap().value, "2".into());
    fault(json!({ "stale_reads": 1 }));
    assert_eq!(block_on(store.get("k")).unwrap().unwrap().value, "1".into());
    fault(json!({}));
    block_on(store.get_many(&["k".to_owned()])).unwrap();
    block_on(store.grant_lease(9)).unwrap();
    let calls = read(&format!("{url}/calls"));
    assert_eq!(
        (&calls["txn_write"], &calls["txn_read"]),
        (&json!(2), &json!(1))
    );
    assert_eq!(
        (&calls["range"], &calls["lease_grant"]),
        (&json!(3), &json!(1))
    );
}

/// Opens a watch, calls `unmute` and reads lines until one satisfies a condition.
fn watch_until(url: &str, start: u64, unmute: impl FnOnce(), wanted: impl Fn(&Value) -> bool) {
    let req = kv::WatchRequest {
        create_request: kv::WatchCreate {
            key: "k".into(),
            range_end: None,
            start_revision: kv::Number(start),
        },
    };
    let body = serde_json::to_string(&req).unwrap();
    let conn = http::streaming_client()
        .post(format!("{url}/v3/watch"))
        .with_body(body);
    block_on(async {
        let mut conn = conn.await.unwrap();
        unmute();
        let mut lines = futures::io::BufReader::new(conn.response_body());
        loop {
            let mut line = String::new();
            futures::AsyncBufReadExt::read_line(&mut lines, &mut line)
                .await
                .unwrap();
            assert!(!line.is_empty(), "the watch ended");
            if wanted(&serde_json::from_str(&line).unwrap()) {
                return;
            }
        }
    });
}

#[test]
fn a_watch_is_muted_and_cancelled_past_the_history() {
    let url = platform(2);
    let faults = format!("{url}/faults");
    send(&faults, &json!({ "mute_watches": true }));
    let store = store::Store::over_http(&url);
    let mut revision = 0;
    for value in 0..4 {
        let put = block_on(store.put_if("k", &value, revision, 0)).unwrap();
        let store::Put::Written(written) = put else {
            panic!("{put:?}");
        };
        revision = written;
    }
    let unmute = || assert_eq!(send(&faults, &json!({})), 200);
    watch_until(&url, revision, unmute, |line| {
        line["result"]["events"][0]["kv"]["key"].is_string()
    });
    watch_until(
        &url,
        1,
        || (),
        |line| line["result"]["canceled"] == true && line["result"]["compact_revision"] == "3",
    );
}

#[test]
fn stale_ranges_return_earlier_contents() {
    fn holds(writes: Vec<(u8, bool)>) -> bool {
        let mut values = key_values::KeyValues::new(usize::MAX);
        let all = kv::RangeRequest {
            key: "".into(),
            range_end: Some(kv::prefix_end("k")),
        };
        let mut seen = vec![values.range(&all).kvs];
        for (number, delete) in writes {
            let key = kv::Bytes::from(&*format!("k{}", number % 4));
            let operation = if delete {
                kv::Operation::RequestDeleteRange(kv::DeleteRequest {
                    key,
                    range_end: None,
                })
            } else {
                let value = kv::Bytes(vec![number]);
                kv::Operation::RequestPut(kv::PutRequest {
                    key,
                    value,
                    lease: kv::Number(0),
                })
            };
            let success = vec![operation];
            values.txn(&kv::TxnRequest {
                success,
                ..Default::default()
            });
            seen.push(values.range(&all).kvs);
        }
        let mut past = seen.iter().rev().zip(0..);
        past.all(|(kvs, age)| values.stale_range(&all, age).kvs == *kvs)
    }
    quickcheck::QuickCheck::new().quickcheck(holds as fn(Vec<(u8, bool)>) -> bool);
}

/// Starts a server that sends back what it receives.
fn echo() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut from = stream.try_clone().unwrap();
                let _ = std::io::copy(&mut from, &mut stream);
            });
        }
    });
    address
}

fn connect(proxy: &proxy::Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).unwrap();
    stream
}

fn echoes(stream: &mut TcpStream, text: &[u8; 4]) -> bool {
    let mut buf = [0; 4];
    stream.write_all(text).unwrap();
    stream.read_exact(&mut buf).is_ok() && &buf == text
}

#[test]
fn the_proxy_freezes_open_connections_but_not_new_ones() {
    let proxy = proxy::Proxy::start(&echo());
    let mut old = connect(&proxy);
    assert!(echoes(&mut old, b"one."));
    proxy.freeze_open_connections(proxy::Direction::ToClient);
    old.write_all(b"late").unwrap();
    let mut new = connect(&proxy);
    assert!(echoes(&mut new, b"two."));
    old.set_nonblocking(true).unwrap();
    let blocked = old.read(&mut [0; 4]).unwrap_err();
    assert_eq!(blocked.kind(), std::io::ErrorKind::WouldBlock);
    old.set_nonblocking(false).unwrap();
    proxy.heal();
    let mut buf = [0; 4];
    old.read_exact(&mut buf).unwrap();
    assert_eq!(&buf, b"late");
}

#[test]
fn the_proxy_delays_and_cuts() {
    let proxy = proxy::Proxy::start(&echo());
    let mut stream = connect(&proxy);
    proxy.delay(Duration::from_millis(20));
    let began = Instant::now();
    assert!(echoes(&mut stream, b"slow"));
    assert!(began.elapsed() >= Duration::from_millis(40));
    proxy.cut();
    assert!(matches!(stream.read(&mut [0; 4]), Ok(0) | Err(_)));
    let refused = connect(&proxy).read(&mut [0; 4]);
    assert!(matches!(refused, Ok(0) | Err(_)));
    proxy.heal();
    assert!(echoes(&mut connect(&proxy), b"back"));
    assert_eq!(proxy.accepted_connections(), 2);
}
