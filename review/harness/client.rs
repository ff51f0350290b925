//! A client, by the platform's pages.

use std::{
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Conn, End, Head};

/// API key of the tenant `desk`.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 when the connection ended or the client left before an answer came.
    pub status: u16,
    /// Head of the answer.
    pub head: Head,
    /// Body as far as it came.
    pub body: Vec<u8>,
    /// Whether the answer is complete by its own framing.
    pub end: End,
    /// Time until the end.
    pub took: Duration,
}

/// Text of a request; `extra` are further header lines, each with its line end.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, extra: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{extra}\
         Content-Length: {len}\r\n\r\n{body}"
    )
}

/// Opens a connection to a gateway; clients allow it a second.
pub fn connect(front: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    Some(Conn::new(stream))
}

/// Sends a request and reads the answer. The client leaves when nothing comes for `patience`.
pub fn exchange(conn: &mut Conn, text: &str, patience: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        head: Head::default(),
        body: Vec::new(),
        end: End::Broken,
        took: Duration::ZERO,
    };
    let _ = conn.stream.set_read_timeout(Some(patience));
    if conn.send(text.as_bytes()).is_ok()
        && let Ok(Some(head)) = conn.head()
    {
        let (body, end) = conn.body(&head, |_| ());
        answer.status = head.status();
        (answer.head, answer.body, answer.end) = (head, body, end);
    }
    answer.took = started.elapsed();
    answer
}

/// Sends one request on a connection of its own.
pub fn ask(front: SocketAddr, text: &str, patience: Duration) -> Option<Answer> {
    let mut conn = connect(front)?;
    Some(exchange(&mut conn, text, patience))
}
