//! A model engine's stand-in: batches, streams tokens at a set rate and counts what it ran.

use std::{
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde::Deserialize;
use serde_json::json;
use trillium::{Conn, KnownHeaderName, Status};

use crate::{
    error,
    protocol::chat,
    standin::{batch, counts, crash, engine_run, load_report, orders, prefix_cache, reply},
    transport::http,
};

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time from one token to the next in an empty batch.
    pub token_interval: Duration,
    /// Time to read one prompt token that is not cached.
    pub prompt_token_time: Duration,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Blocks of prompt prefixes kept in memory.
    pub cache: usize,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// When and how it crashes.
    pub crash: crash::Options,
    /// Whether orders with old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Time that an order takes.
    pub order_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            token_interval: Duration::from_millis(1),
            prompt_token_time: Duration::ZERO,
            slots: 64,
            queue: 1024,
            cache: 4096,
            load_lag: Duration::ZERO,
            crash: crash::Options::default(),
            checks_fencing: false,
            order_time: Duration::ZERO,
        }
    }
}

/// State of an engine.
pub struct Engine {
    pub(super) options: Options,
    pub(super) batch: Arc<batch::Batch>,
    pub(super) cache: Mutex<prefix_cache::PrefixCache>,
    pub(super) counts: counts::Counts,
    pub(super) crashes: crash::Crashes,
    load: load_report::LoadReport,
    orders: orders::Orders,
}

/// Priority that a request carries, lower first.
#[derive(Deserialize)]
struct Priority {
    #[serde(default)]
    priority: i64,
}

/// Starts the stand-in on a bound socket.
pub fn start(
    listener: TcpListener,
    options: Options,
) -> Result<trillium_smol::Swansong, error::Error> {
    let engine = Arc::new(Engine::new(options));
    let handler = move |conn: Conn| {
        let engine = engine.clone();
        async move { serve(engine, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(engine: Arc<Engine>, mut conn: Conn) -> Conn {
    let body = match conn.request_body().read_bytes().await {
        Ok(body) => body,
        Err(err) => return reply::bad_request(conn, err),
    };
    match conn.path() {
        "/counts" => reply::json(conn, &engine.all_counts()),
        "/totals" => reply::json(conn, &engine.totals()),
        _ if engine.crashes.is_down() => engine.refuse(conn, "restarting"),
        "/load" => reply::json(conn, &engine.load()),
        "/orders" => engine.order(conn, &body).await,
        _ => run(engine, conn, &body).await,
    }
}

async fn run(engine: Arc<Engine>, mut conn: Conn, body: &[u8]) -> Conn {
    let req: chat::ChatRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(err) => return reply::bad_request(conn, err),
    };
    let priority = serde_json::from_slice::<Priority>(body).map_or(0, |found| found.priority);
    let id = conn.request_headers().get_str("x-request-id");
    let id = id.unwrap_or_default().to_owned();
    let generation = engine.crashes.generation();
    let entered = engine.batch.enter(priority);
    let Some(entered) = conn.cancel_on_disconnect(entered).await else {
        return conn;
    };
    let Ok(slot) = entered else {
        return engine.refuse(conn, "the queue is full");
    };
    if generation != engine.crashes.generation() {
        return reply::broken(conn);
    }
    let run = engine_run::Run::begin(engine, slot, id, &req);
    if req.stream {
        conn.insert_response_header(KnownHeaderName::ContentType, "text/event-stream");
        return conn.ok(run.stream_answer());
    }
    match conn.cancel_on_disconnect(run.whole_answer()).await {
        Some(Ok(answer)) => reply::json(conn, &answer),
        Some(Err(engine_run::Crashed)) | None => reply::broken(conn),
    }
}

impl Engine {
    fn new(options: Options) -> Self {
        Self {
            batch: batch::Batch::new(options.slots, options.queue),
            cache: Mutex::new(prefix_cache::PrefixCache::new(options.cache)),
            counts: counts::Counts::default(),
            crashes: crash::Crashes::new(options.crash.clone()),
            load: load_report::LoadReport::new(options.load_lag),
            orders: orders::Orders::new(options.checks_fencing),
            options,
        }
    }

    /// Records the present load for the lagging report.
    pub(super) fn record_load(&self) {
        self.load.record(self.batch.filling());
    }

    /// Crashes under every run.
    pub(super) fn crash(&self) {
        self.counts.with(|totals| totals.crashes += 1);
        self.crashes.crash();
    }

    fn refuse(&self, conn: Conn, message: &str) -> Conn {
        self.counts.with(|totals| totals.refused += 1);
        let body = json!({ "error": { "message": message, "run": "not run" } });
        reply::json_with(conn, Status::ServiceUnavailable, &body)
    }

    fn totals(&self) -> serde_json::Value {
        let mut totals = counts::Totals::default();
        self.counts.with(|found| {
            let (runs, tokens) = (
                std::mem::take(&mut found.runs),
                std::mem::take(&mut found.tokens_by_id),
            );
            totals = found.clone();
            (found.runs, found.tokens_by_id) = (runs, tokens);
        });
        self.with_state(&totals)
    }

    fn all_counts(&self) -> serde_json::Value {
        self.with_state(&self.counts.totals())
    }

    fn with_state(&self, totals: &counts::Totals) -> serde_json::Value {
        let filling = self.batch.filling();
        let mut value = json!(totals);
        value["running"] = filling.running.into();
        value["waiting"] = filling.waiting.into();
        value["largest_batch"] = filling.largest.into();
        value["generation"] = self.crashes.generation().into();
        value["orders"] = json!(self.orders.counts());
        value
    }

    fn load(&self) -> serde_json::Value {
        let filling = self.load.lagged();
        json!({
            "running": filling.running,
            "waiting": filling.waiting,
            "slots": self.options.slots,
            "generation": self.crashes.generation(),
        })
    }

    async fn order(&self, conn: Conn, body: &[u8]) -> Conn {
        let order: orders::Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(err) => return reply::bad_request(conn, err),
        };
        if let Err(newest) = self.orders.take(&order) {
            return reply::json_with(conn, Status::Conflict, &json!({ "newest": newest }));
        }
        smol::Timer::after(self.options.order_time).await;
        self.orders.apply(order);
        reply::json(conn, &json!({ "newest": self.orders.counts().newest }))
    }
}
