//! Stand-in for a plain backend server, one that runs no model: accepts every call and counts it.

use std::{
    collections::HashMap,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::json;
use trillium::Conn;

use crate::{error, standin::reply, transport::http};

/// Configuration of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Time that each call takes before it is counted as executed.
    pub delay: Duration,
}

/// Faults that can be switched on over HTTP.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Faults {
    /// Number of further calls that are executed but whose connection is aborted before the answer.
    #[serde(default)]
    pub drop_answers: u32,
}

/// Counts of the executed calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallCounts {
    /// All executed calls.
    pub calls: u64,
    /// Calls by request id.
    pub by_request: HashMap<String, u64>,
    /// Calls by idempotency key.
    pub by_key: HashMap<String, u64>,
    /// Calls by method and path.
    pub by_path: HashMap<String, u64>,
    /// Executed calls without an answer.
    pub dropped: u64,
}

#[derive(Default)]
struct PlainService {
    options: Options,
    faults: Mutex<Faults>,
    counts: Mutex<CallCounts>,
}

/// Starts a plain service on a bound socket.
pub fn start(
    listener: TcpListener,
    options: Options,
) -> Result<trillium_smol::Swansong, error::Error> {
    let service = Arc::new(PlainService {
        options,
        ..PlainService::default()
    });
    let handler = move |conn: Conn| {
        let service = service.clone();
        async move { serve(&service, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(service: &PlainService, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(err) => return reply::bad_request(conn, err),
    };
    match conn.path() {
        "/counts" => reply::json(conn, &*service.counts.lock().unwrap()),
        "/faults" => reply::handle_json(conn, &body, |faults| {
            *service.faults.lock().unwrap() = faults;
        }),
        _ => service.call(conn, &body).await,
    }
}

impl PlainService {
    async fn call(&self, conn: Conn, body: &[u8]) -> Conn {
        smol::Timer::after(self.options.delay).await;
        let number = self.record_call(&conn);
        if self.consume_dropped_answer() {
            self.counts.lock().unwrap().dropped += 1;
            return reply::aborted(conn);
        }
        let answer = json!({
            "method": conn.method().as_str(),
            "path": conn.path(),
            "id": conn.request_headers().get_str("x-request-id"),
            "received": body.len(),
            "number": number,
        });
        reply::json(conn, &answer)
    }

    /// Counts a call as executed and returns its number.
    fn record_call(&self, conn: &Conn) -> u64 {
        let mut counts = self.counts.lock().unwrap();
        counts.calls += 1;
        let path = format!("{} {}", conn.method(), conn.path());
        *counts.by_path.entry(path).or_default() += 1;
        let headers = conn.request_headers();
        if let Some(id) = headers.get_str("x-request-id") {
            *counts.by_request.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = headers.get_str("idempotency-key") {
            *counts.by_key.entry(key.to_owned()).or_default() += 1;
        }
        counts.calls
    }

    /// Whether the answer to the current call is dropped; uses up one dropped answer of the fault.
    fn consume_dropped_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let drops = faults.drop_answers > 0;
        faults.drop_answers = faults.drop_answers.saturating_sub(1);
        drops
    }
}
