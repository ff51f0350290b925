//! Engines that cut their answers off, or write one twice: what an agent takes from its connections.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use fulmarproxy::transport::backend::{Backend, Call};
use futures::StreamExt;

/// Reads one request to its end; `None` when the peer has closed the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<()> {
    let (mut body_len, mut awaits_interim) = (0, false);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            body_len = value.trim().parse().unwrap();
        }
        if line == "expect: 100-continue" {
            awaits_interim = true;
        }
        if line.is_empty() {
            break;
        }
    }
    if awaits_interim {
        let conn = reader.get_mut();
        conn.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").ok()?;
    }
    reader.read_exact(&mut vec![0; body_len]).ok()
}

/// Starts an engine; `answer` writes the answer to a request, of which it gets the number on its
/// connection, and returns whether the connection stays open. Returns the engine's URL.
fn start_engine(answer: impl Fn(&mut TcpStream, usize) -> bool + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(conn.try_clone().unwrap());
                let mut number = 0;
                while read_request(&mut reader).is_some() && answer(&mut conn, number) {
                    number += 1;
                }
            });
        }
    });
    url
}

fn call() -> Call {
    Call {
        method: "POST".to_owned(),
        path: "/book/1".to_owned(),
        request_id: "r1".to_owned(),
        idempotency_key: String::new(),
        body: b"{}".to_vec(),
    }
}

/// Makes a call; returns the status and the body, `None` when the answer has no proper end.
fn send(backend: &Backend) -> Option<(u16, Vec<u8>)> {
    smol::block_on(async {
        let mut response = (backend.send)(call()).await.ok()?;
        let mut body = Vec::new();
        while let Some(part) = response.body.next().await {
            body.extend_from_slice(&part.ok()?);
        }
        Some((response.status, body))
    })
}

/// Guards against an agent that believes 'not run' of a call which its engine runs, because the engine
/// wrote an earlier refusal once more (REFUSED, TWICE).
#[test]
fn a_second_copy_of_an_engines_refusal_answers_no_other_call() {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
    let calls = AtomicUsize::new(0);
    let url = start_engine(move |conn, number| {
        let is_first = calls.fetch_add(1, Ordering::Relaxed) == 0;
        if number > 0 {
            let _ = conn.write_all(REFUSAL);
        }
        conn.write_all(if is_first { REFUSAL } else { ANSWER })
            .is_ok()
    });
    let backend = Backend::over_http(&url);
    assert_eq!(send(&backend), Some((503, Vec::new())));
    for _ in 0..4 {
        assert_eq!(send(&backend), Some((200, b"done".to_vec())));
    }
}

/// Guards against an answer that looks whole although its engine stopped within the head or the body
/// (MIXED).
#[test]
fn an_engines_answer_that_is_cut_anywhere_is_none() {
    const WHOLE: [&str; 3] = [
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndone",
    ];
    for whole in WHOLE {
        let head_len = whole.find("\r\n\r\n").unwrap() + 4;
        // A body without a length has no end that could be missing.
        let is_framed = !whole.contains("event-stream");
        let cuts = if is_framed { whole.len() } else { head_len };
        let calls = AtomicUsize::new(0);
        let url = start_engine(move |conn, _| {
            let cut = calls.fetch_add(1, Ordering::Relaxed);
            let _ = conn.write_all(&whole.as_bytes()[..cut.min(whole.len())]);
            false
        });
        let backend = Backend::over_http(&url);
        for cut in 0..cuts {
            assert_eq!(send(&backend), None, "{whole:?} cut at {cut}");
        }
    }
}
