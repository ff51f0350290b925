//! Responses of a backend server to its agent that break off or have a status that is none.

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use fulmarproxy::transport::backend::{Backend, Call};
use futures::StreamExt;

/// Size of an upload that the buffers of the kernel do not hold.
const LONG_UPLOAD: usize = 4_000_000;

const PLAYS: usize = 12;

/// Starts a server that answers each request as soon as its head has arrived; returns its URL. It resets the
/// connection after a delay, or closes it properly a moment later.
fn start_server(answer: &str, resets_after: Option<Duration>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let answer = answer.to_owned();
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            let mut received = Vec::new();
            while !received.windows(4).any(|found| found == b"\r\n\r\n") {
                let mut bytes = [0; 512];
                let len = conn.read(&mut bytes).unwrap_or(0);
                if len == 0 {
                    break;
                }
                received.extend_from_slice(&bytes[..len]);
            }
            let _ = conn.write_all(answer.as_bytes());
            match resets_after {
                Some(delay) => {
                    thread::sleep(delay);
                    let socket = socket2::Socket::from(conn);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                }
                None => thread::sleep(Duration::from_millis(20)),
            }
        }
    });
    url
}

/// Calls the server; returns the status and body of a complete answer.
fn call(url: &str, upload: usize) -> Option<(u16, Vec<u8>)> {
    let backend = Backend::over_http(url);
    let call = Call {
        method: "POST".to_owned(),
        path: "/".to_owned(),
        request_id: "r1".to_owned(),
        idempotency_key: String::new(),
        body: vec![b'x'; upload],
    };
    smol::block_on(async {
        let mut response = (backend.send)(call).await.ok()?;
        let mut body = Vec::new();
        while let Some(part) = response.body.next().await {
            body.extend_from_slice(&part.ok()?);
        }
        Some((response.status, body))
    })
}

/// Guards against a part of a body as a complete answer at an agent (MIXED).
#[test]
fn an_answer_that_is_reset_during_an_upload_is_not_complete() {
    for delay in [0, 1, 5].map(Duration::from_millis) {
        for head in ["", "Connection: close\r\n"] {
            let url = start_server(&format!("HTTP/1.1 200 OK\r\n{head}\r\npart"), Some(delay));
            let found = (0..PLAYS).filter_map(|_| call(&url, LONG_UPLOAD));
            assert_eq!(found.count(), 0, "{head:?}, reset after {delay:?}");
        }
    }
}

/// Guards against an answer whose status the client library does not know as a success at an agent (MIXED).
#[test]
fn an_answer_with_an_impossible_status_is_none() {
    for status in [
        "000 None",
        "099 X",
        "101 Switching Protocols",
        "600 X",
        "999 X",
    ] {
        let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\nboom");
        let url = start_server(&answer, None);
        assert_eq!(call(&url, 1), None, "{status}");
    }
    let url = start_server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", None);
    assert_eq!(call(&url, 1), Some((200, b"ok".to_vec())));
}
