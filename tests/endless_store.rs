//! Bytes without end from the store through a carrier, which forwards them for gateways.

mod common;

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::placed::Placed;

/// Connections that get bytes without end, and time within which another call must be answered.
const ENDLESS: usize = 4;
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Starts a store that answers a call of `/endless` without end; returns its address.
fn start_store() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            thread::spawn(move || answer(conn));
        }
    });
    address
}

fn answer(mut conn: TcpStream) -> Option<()> {
    let mut line = String::new();
    BufReader::new(conn.try_clone().ok()?)
        .read_line(&mut line)
        .ok()?;
    conn.write_all(b"HTTP/1.1 200 OK\r\n\r\n").ok()?;
    let block = vec![b'x'; 256 * 1024];
    while line.contains("/endless") {
        conn.write_all(&block).ok()?;
    }
    conn.write_all(b"done").ok()
}

fn open(carrier: &str, path: &str) -> TcpStream {
    let mut conn = TcpStream::connect(carrier).unwrap();
    conn.write_all(format!("GET {path} HTTP/1.1\r\n\r\n").as_bytes())
        .unwrap();
    conn
}

/// Guards against a carrier that copies for one caller only, as long as both sides are fast.
#[test]
fn calls_are_forwarded_beside_answers_without_end() {
    let store = start_store();
    let mut carrier = Placed::start("carrier", "vm-1", &store);
    carrier.pass_log_on(false);
    let address = carrier.address("fleet");
    let taken = Arc::new(AtomicU64::new(0));
    for _ in 0..ENDLESS {
        let (mut conn, taken) = (open(&address, "/endless"), taken.clone());
        thread::spawn(move || {
            let mut buf = vec![0; 1 << 20];
            while let Ok(len @ 1..) = conn.read(&mut buf) {
                taken.fetch_add(len as u64, Ordering::Relaxed);
            }
        });
    }
    while taken.load(Ordering::Relaxed) < 100 << 20 {
        thread::sleep(Duration::from_millis(10));
    }
    let began = Instant::now();
    for _ in 0..20 {
        let mut conn = open(&address, "/other");
        conn.set_read_timeout(Some(ANSWER_TIME)).unwrap();
        let mut text = String::new();
        conn.read_to_string(&mut text).unwrap();
        assert!(text.ends_with("done"), "{text}");
    }
    assert!(
        began.elapsed() < ANSWER_TIME,
        "20 calls took {:?}",
        began.elapsed()
    );
    assert!(
        carrier.child.try_wait().unwrap().is_none(),
        "the carrier runs"
    );
}
