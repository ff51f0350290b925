//! A plain service's stand-in: takes any call and counts its effects.

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

/// How a plain service behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Time that each call takes before its effect.
    pub delay: Duration,
}

/// Faults that can be switched on over HTTP.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Faults {
    /// How many of the next calls take effect without an answer.
    #[serde(default)]
    pub drop_answers: u32,
}

/// Effects so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Effects {
    /// All calls.
    pub calls: u64,
    /// Calls by request id.
    pub by_request: HashMap<String, u64>,
    /// Calls by idempotency key.
    pub by_key: HashMap<String, u64>,
    /// Calls by method and path.
    pub by_path: HashMap<String, u64>,
    /// Answers dropped.
    pub dropped: u64,
}

#[derive(Default)]
struct Plain {
    options: Options,
    faults: Mutex<Faults>,
    effects: Mutex<Effects>,
}

/// Starts the stand-in on a bound socket.
pub fn start(
    listener: TcpListener,
    options: Options,
) -> Result<trillium_smol::Swansong, error::Error> {
    let plain = Arc::new(Plain {
        options,
        ..Plain::default()
    });
    let handler = move |conn: Conn| {
        let plain = plain.clone();
        async move { serve(&plain, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(plain: &Plain, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(err) => return reply::bad_request(conn, err),
    };
    match conn.path() {
        "/counts" => reply::json(conn, &*plain.effects.lock().unwrap()),
        "/faults" => reply::answer(conn, &body, |faults| {
            *plain.faults.lock().unwrap() = faults;
        }),
        _ => plain.call(conn, &body).await,
    }
}

impl Plain {
    async fn call(&self, conn: Conn, body: &[u8]) -> Conn {
        smol::Timer::after(self.options.delay).await;
        let number = self.take_effect(&conn);
        if self.drops_answer() {
            self.effects.lock().unwrap().dropped += 1;
            return reply::broken(conn);
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

    fn take_effect(&self, conn: &Conn) -> u64 {
        let mut effects = self.effects.lock().unwrap();
        effects.calls += 1;
        let path = format!("{} {}", conn.method(), conn.path());
        *effects.by_path.entry(path).or_default() += 1;
        let headers = conn.request_headers();
        if let Some(id) = headers.get_str("x-request-id") {
            *effects.by_request.entry(id.to_owned()).or_default() += 1;
        }
        if let Some(key) = headers.get_str("idempotency-key") {
            *effects.by_key.entry(key.to_owned()).or_default() += 1;
        }
        effects.calls
    }

    fn drops_answer(&self) -> bool {
        let mut faults = self.faults.lock().unwrap();
        let drops = faults.drop_answers > 0;
        faults.drop_answers = faults.drop_answers.saturating_sub(1);
        drops
    }
}
