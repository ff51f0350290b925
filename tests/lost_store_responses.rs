//! Responses of the platform's store that are lost while their connections stay open, and connections
//! to the store that go silent: what gateways still learn.

mod gateway_world;

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use fulmarproxy::{
    coordination::configuration::watch_pacing,
    platform::store::{RouteCallbacks, Store, StoreError},
    standin::platform_store,
    transport::timers::Timers,
};
use gateway_world::{TestEnv, configuration, run_test};
use serde_json::json;

const AMPLE_BUDGET: u64 = 100_000_000;
const TIMEOUT_MS: u64 = 3000;

/// Longest response time of a slow store.
const SLOW_RESPONSE: Duration = Duration::from_millis(250);

/// Time limit of one call, and the delay after a failed one.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_DELAY: Duration = Duration::from_millis(250);

fn publish(env: &TestEnv, version: u64) {
    let text = configuration(version, AMPLE_BUDGET, TIMEOUT_MS).to_string();
    env.store.put("op/config", &text);
}

/// Loses the responses to the watches of the configuration and of the list of servers.
fn lose_watches(env: &TestEnv) {
    env.store.faults.lost_watches.set(2);
    publish(env, 2);
    let entry = json!({"service": "plain", "address": "127.0.0.1:9", "zone": "zone-a", "slots": 8,
                       "state": "ready", "version": "v1", "sequence": 1});
    env.store.put("servers/i-late", &entry.to_string());
}

/// Guards against following an old configuration, and an old list of servers, for as long as a watch
/// without a response lasts (CONFIG, DRAIN), at a gateway that makes no other calls.
#[test]
fn a_lost_response_to_a_watch_holds_up_no_change() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        lose_watches(&env);
        env.until(|env| env.store.faults.lost_watches.get() == 0)
            .await;
        assert_eq!(env.config_version(), 1);
        env.until(|env| env.config_version() == 2).await;
        env.until(|env| env.gw.directory.borrow().servers.contains_key("i-late"))
            .await;
    });
}

/// Guards against the same by connections that go silent, those that are idle among them.
#[test]
fn silent_connections_hold_up_no_change() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let store = &env.store;
        store.faults.silent_connections.set(store.connections.get());
        publish(&env, 2);
        env.until(|env| env.config_version() == 2).await;
    });
}

/// Guards against a watch that lasts too long for what it missed to be read in time.
#[test]
fn a_lost_watch_is_noticed_within_the_stable_window() {
    for millis in (2000..=30_000).step_by(100) {
        let window = Duration::from_millis(millis);
        let noticed = watch_pacing::wait(window) + CALL_TIMEOUT;
        let read = noticed + RETRY_DELAY + SLOW_RESPONSE;
        assert!(read <= window, "{window:?}: {read:?}");
    }
}

/// Guards against taking a refusal of a watch for the change that it waits for.
#[test]
fn a_refused_watch_brings_no_change() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.store.faults.refused_watches.set(2);
        env.until(|env| env.store.faults.refused_watches.get() == 0)
            .await;
        env.sleep(100).await;
        for prefix in [&env.gw.watch_notes.config, &env.gw.watch_notes.servers] {
            assert_eq!(prefix.borrow().behind_since(), None);
            assert!(!prefix.borrow().is_response_arriving());
        }
    });
}

/// A client of the store at an address.
fn client(address: SocketAddr) -> Store {
    let route = RouteCallbacks {
        next_address: Box::new(move || address),
        record_outcome: Box::new(|_, _| ()),
    };
    Store::new(route, Timers::default())
}

/// Guards against trying idle connections one by one when all of them have gone silent.
#[test]
fn a_call_gets_through_although_all_idle_connections_are_silent() {
    let executor = Rc::new(smol::LocalExecutor::new());
    let work = async {
        let store = Rc::new(platform_store::PlatformStore::default());
        store.put("a", "1");
        let (listener, address) = platform_store::listener().await.unwrap();
        let serving = store.clone().serve(listener, executor.clone());
        executor.spawn(serving).detach();
        let client = client(address);
        let calls = (0..4).map(|_| client.get("a"));
        let results = futures::future::join_all(calls).await;
        assert!(results.iter().all(Result::is_ok));
        let opened = store.connections.get();
        assert_eq!(opened, 4);
        store.faults.silent_connections.set(opened);
        let read: Result<_, StoreError> = client.get("a").await;
        assert_eq!(read.unwrap().value, b"1");
    };
    smol::block_on(executor.run(work));
}

/// Starts a server that answers each call with the bytes and closes the connection.
fn start_server(answer: Arc<Mutex<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            let lines = BufReader::new(conn.try_clone().unwrap()).lines();
            let ended = lines.map_while(Result::ok).any(|line| line.is_empty());
            if ended {
                let bytes = answer.lock().unwrap().clone();
                let _ = conn.write_all(&bytes);
            }
        }
    });
    address
}

/// Guards against a list of servers without entries, or a missing configuration, that comes from a response
/// which was cut.
#[test]
fn a_cut_response_of_the_store_is_none() {
    const BODY: &str = r#"{"items":[],"has_more":false,"store_revision":7}"#;
    let framings = [
        format!("Content-Length: {}\r\n\r\n{BODY}", BODY.len()),
        format!(
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{BODY}\r\n0\r\n\r\n",
            BODY.len()
        ),
        format!("\r\n{BODY}"),
    ];
    let answer = Arc::new(Mutex::new(Vec::new()));
    let client = client(start_server(answer.clone()));
    for framing in framings {
        let whole = format!("HTTP/1.1 200 OK\r\n{framing}").into_bytes();
        for cut in 0..whole.len() {
            *answer.lock().unwrap() = whole[..cut].to_vec();
            let read = smol::block_on(client.range("servers/", false));
            assert!(read.is_err(), "{framing:?} cut at {cut}: {read:?}");
        }
        *answer.lock().unwrap() = whole;
        let read = smol::block_on(client.range("servers/", false));
        assert_eq!(read.unwrap().store_revision, 7);
    }
}
