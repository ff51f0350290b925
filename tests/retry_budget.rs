//! Retries of a service within a window, summed over gateways that are processes of their own.

// Each test file uses a different part of these modules.
mod common;
mod gateway_world;

use std::{
    collections::HashSet,
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::{Duration, Instant},
};

use common::placed_fleet::{call, put, start_gateway, start_store};
use fulmarproxy::standin::{platform_store, scripted_server};
use gateway_world::{configuration, request_text};
use serde_json::json;

/// The allowance in the settings of the gateways.
const WINDOW: Duration = Duration::from_secs(10);
const PER_REQUEST: f64 = 0.2;
const SLACK: f64 = 50.0;

/// Requests for each gateway at a time.
const BURST: usize = 60;

const NAMES: [&str; 4] = ["entry-1", "entry-2", "entry-3", "entry-4"];

/// Ids of requests, with the times at which they were sent or arrived.
type Log = Arc<Mutex<Vec<(Instant, String)>>>;

/// Starts a server that fails every request; returns its address.
fn start_failing_server(arrivals: &Log) -> String {
    let (tx, rx) = mpsc::channel();
    let arrivals = arrivals.clone();
    thread::spawn(move || {
        let executor = Rc::new(smol::LocalExecutor::new());
        let server = scripted_server::ScriptedServer::new(Rc::new(move |request| {
            let id = request.head.headers.text("X-Request-Id");
            let id = id.unwrap_or_default().to_owned();
            arrivals.lock().unwrap().push((Instant::now(), id));
            scripted_server::signed_response(request, 500, "failed")
        }));
        smol::block_on(executor.run(async {
            let (listener, address) = platform_store::listener().await.unwrap();
            tx.send(address.to_string()).unwrap();
            server.serve(listener, executor.clone()).await;
        }));
    });
    rx.recv().unwrap()
}

/// Sends a burst of requests to each gateway at the same time.
fn send_bursts(fronts: &[String], sent: &Log) {
    thread::scope(|scope| {
        for front in fronts {
            scope.spawn(move || {
                for _ in 0..BURST {
                    let id = format!("{:016x}", fastrand::u64(..));
                    let text = request_text("POST", "/look/1", "", &id);
                    sent.lock().unwrap().push((Instant::now(), id.clone()));
                    call(
                        front,
                        &text.replace("X-Request-Id: r1", &format!("X-Request-Id: {id}")),
                    );
                }
            });
        }
    });
}

/// Checks the retries in each window; returns how many there were in all.
fn check_windows(sent: &Log, arrivals: &Log) -> usize {
    let (sent, mut arrivals) = (sent.lock().unwrap(), arrivals.lock().unwrap().clone());
    arrivals.sort();
    let mut seen = HashSet::new();
    let is_retry = |(at, id): (Instant, String)| (!seen.insert(id)).then_some(at);
    let retries: Vec<Instant> = arrivals.into_iter().filter_map(is_retry).collect();
    for end in &retries {
        let retried = retries
            .iter()
            .filter(|at| *at <= end && **at + WINDOW > *end);
        // The requests of this window, of the one half a window before, or of the one before.
        let requested = [0, 1, 2].map(|halves| {
            let end = *end - WINDOW / 2 * halves;
            let within = |at: &Instant| *at <= end && *at + WINDOW > end;
            sent.iter().filter(|(at, _)| within(at)).count()
        });
        let requested = requested.into_iter().max().unwrap_or(0);
        let allowed = requested as f64 * PER_REQUEST + SLACK;
        let retried = retried.count();
        assert!(
            retried as f64 <= allowed,
            "{retried} retries of {requested} requests, {allowed} allowed"
        );
    }
    retries.len()
}

/// Guards against gateways that each use the slack of the whole fleet because they don't know the
/// others yet, or use theirs again after a restart.
#[test]
fn the_retries_of_gateways_that_start_and_start_again_stay_within_the_allowance() {
    let (sent, arrivals) = (Log::default(), Log::default());
    let (_store, store) = start_store();
    let config = configuration(1, 40_000, 5000).to_string();
    put(&store, "op/config", &config);
    for number in 0..3 {
        let entry = json!({"service": "plain", "address": start_failing_server(&arrivals),
                           "zone": "a", "slots": 8, "state": "ready", "version": "v1", "sequence": 1});
        put(&store, &format!("servers/i-{number}"), &entry.to_string());
    }
    for _ in 0..3 {
        let gateways = NAMES.map(|name| start_gateway(name, &store));
        let fronts: Vec<String> = gateways.iter().map(|(_, front)| front.clone()).collect();
        send_bursts(&fronts, &sent);
    }
    let retries = check_windows(&sent, &arrivals);
    assert!(retries > 0, "nothing was retried");
}
