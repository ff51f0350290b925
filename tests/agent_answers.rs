//! Responses of a backend server to its agent that break off or have a status that is none.

mod common;

use std::time::Duration;

use common::early_server::{self, End};
use fulmarproxy::transport::backend::{Backend, Call};
use futures::StreamExt;

/// Size of an upload that the buffers of the kernel do not hold.
const LONG_UPLOAD: usize = 4_000_000;

const PLAYS: usize = 12;

const CLOSE: End = End::Close(Duration::from_millis(20));

/// URL of a server that answers each request as soon as its head has arrived.
fn start_server(answer: &str, end: End) -> String {
    format!("http://{}", early_server::start(answer.to_owned(), end))
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
            let url = start_server(
                &format!("HTTP/1.1 200 OK\r\n{head}\r\npart"),
                End::Reset(delay),
            );
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
        let url = start_server(&answer, CLOSE);
        assert_eq!(call(&url, 1), None, "{status}");
    }
    let url = start_server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", CLOSE);
    assert_eq!(call(&url, 1), Some((200, b"ok".to_vec())));
}
