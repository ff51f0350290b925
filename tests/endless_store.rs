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
    time::Duration,
};

use common::placed::Placed;

/// Connections that get bytes without end.
const ENDLESS: usize = 4;

/// Other calls, and bytes that may be forwarded without end until they are answered: 32 MiB a call.
const CALLS: usize = 20;
const MAX_BYTES: u64 = 640 << 20;

/// Time limit that only stops a test that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

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
    let before = taken.load(Ordering::Relaxed);
    for _ in 0..CALLS {
        let mut conn = open(&address, "/other");
        conn.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
        let mut text = String::new();
        conn.read_to_string(&mut text).unwrap();
        assert!(text.ends_with("done"), "{text}");
    }
    let meanwhile = taken.load(Ordering::Relaxed) - before;
    assert!(meanwhile <= MAX_BYTES, "{} MiB meanwhile", meanwhile >> 20);
    assert!(
        carrier.child.try_wait().unwrap().is_none(),
        "the carrier runs"
    );
}
