//! Requests that a gateway accepts after a stop signal and cannot finish: what their callers get.

mod common;
mod gateway_world;

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use common::placed_fleet::{call, put, start_gateway, start_store};
use gateway_world::{configuration, request_text};
use serde_json::json;

/// Timeout of the routes, longer than the grace of 3 s.
const TIMEOUT_MS: u64 = 10_000;

/// Starts a server that reads requests and never answers; returns its address.
fn start_silent_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            thread::spawn(move || while conn.read(&mut [0; 4096]).is_ok_and(|len| len > 0) {});
        }
    });
    address
}

/// Sends a request on a connection that is open and returns what comes back until it is closed.
fn send(conn: &mut TcpStream, path: &str) -> String {
    let usage = "X-Token-Usage: 100,60\r\n";
    let text = request_text("POST", path, usage, "prompt");
    conn.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = conn.read_to_string(&mut answer);
    answer
}

/// Guards against requests that are cut without an answer when the process exits (LOST).
#[test]
fn requests_that_are_not_finished_in_the_grace_are_answered() {
    let (_store_process, store) = start_store();
    put(
        &store,
        "op/config",
        &configuration(1, 4_000_000, TIMEOUT_MS).to_string(),
    );
    for (number, service) in ["plain", "model"].iter().enumerate() {
        let entry = json!({"service": service, "address": start_silent_server(), "zone": "a", "slots": 8,
                           "state": "ready", "version": "v1", "sequence": 1});
        put(&store, &format!("servers/i-{number}"), &entry.to_string());
    }
    let (gateway, front) = start_gateway("entry-1", &store);
    let unknown = request_text("GET", "/unknown/1", "", "");
    assert!(call(&front, &unknown).contains(" 404 "));
    let open = || TcpStream::connect(&front).unwrap();
    let conns = [
        ("/book/1", open()),
        ("/look/1", open()),
        ("/draft/1", open()),
        ("/ask/1", open()),
    ];
    gateway.signal("-TERM");
    thread::sleep(Duration::from_millis(300));
    thread::scope(|scope| {
        for (path, mut conn) in conns {
            scope.spawn(move || {
                let answer = send(&mut conn, path);
                assert!(answer.starts_with("HTTP/1.1 502 "), "{path}: {answer:?}");
                assert!(answer.contains("\"run\":\"unknown\""), "{path}: {answer}");
            });
        }
    });
}
