//! Stand-in for a model engine: batches requests, streams tokens at a configured rate, executes
//! orders and counts what it did.

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
    standin::{batch, counters, crash, engine_run, load_report, orders, prefix_cache, reply},
    transport::http,
};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time from one token to the next while the batch is empty. A fuller batch is slower.
    pub token_interval: Duration,
    /// Processing time of each prompt token that is not cached.
    pub prompt_token_time: Duration,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot.
    pub queue_capacity: usize,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Delay with which `/load` reports the load.
    pub load_lag: Duration,
    /// When and how the engine crashes.
    pub crash: crash::Options,
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time that the execution of an order takes.
    pub order_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            token_interval: Duration::from_millis(1),
            prompt_token_time: Duration::ZERO,
            slots: 64,
            queue_capacity: 1024,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            crash: crash::Options::default(),
            checks_fencing: false,
            order_time: Duration::ZERO,
        }
    }
}

/// A running engine.
pub struct Engine {
    pub(super) options: Options,
    pub(super) batch: Arc<batch::Batch>,
    pub(super) prefix_cache: Mutex<prefix_cache::PrefixCache>,
    pub(super) counters: counters::Counters,
    pub(super) crash_state: crash::CrashState,
    load_report: load_report::LoadReport,
    orders: orders::Orders,
}

/// The priority field of a request; lower values are served first.
#[derive(Deserialize)]
struct Priority {
    #[serde(default)]
    priority: i64,
}

/// Starts an engine on a bound socket.
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
        "/counts" => reply::json(conn, &engine.counts_json()),
        "/totals" => reply::json(conn, &engine.totals_json()),
        _ if engine.crash_state.is_restarting() => engine.refuse(conn, "restarting"),
        "/load" => reply::json(conn, &engine.load_json()),
        "/orders" => engine.execute_order(conn, &body).await,
        _ => run(engine, conn, &body).await,
    }
}

/// Runs a chat request.
///
/// The connection is aborted when the engine crashes, also while the request is still queued.
async fn run(engine: Arc<Engine>, mut conn: Conn, body: &[u8]) -> Conn {
    let req: chat::ChatRequest = match serde_json::from_slice(body) {
        Ok(req) => req,
        Err(err) => return reply::bad_request(conn, err),
    };
    let priority = serde_json::from_slice::<Priority>(body).map_or(0, |found| found.priority);
    let id = conn.request_headers().get_str("x-request-id");
    let id = id.unwrap_or_default().to_owned();
    let generation = engine.crash_state.generation();
    let admission = engine.batch.acquire(priority);
    let Some(admission) = conn.cancel_on_disconnect(admission).await else {
        return conn;
    };
    let Ok(slot) = admission else {
        return engine.refuse(conn, "the queue is full");
    };
    if generation != engine.crash_state.generation() {
        return reply::aborted(conn);
    }
    let run = engine_run::Run::start(engine, slot, id, &req);
    if req.stream {
        conn.insert_response_header(KnownHeaderName::ContentType, "text/event-stream");
        return conn.ok(run.stream_answer());
    }
    match conn.cancel_on_disconnect(run.whole_answer()).await {
        Some(Ok(answer)) => reply::json(conn, &answer),
        Some(Err(engine_run::Crashed)) | None => reply::aborted(conn),
    }
}

impl Engine {
    fn new(options: Options) -> Self {
        Self {
            batch: batch::Batch::new(options.slots, options.queue_capacity),
            prefix_cache: Mutex::new(prefix_cache::PrefixCache::new(options.cache_blocks)),
            counters: counters::Counters::default(),
            crash_state: crash::CrashState::new(options.crash.clone()),
            load_report: load_report::LoadReport::new(options.load_lag),
            orders: orders::Orders::new(options.checks_fencing),
            options,
        }
    }

    /// Records the current load for the delayed report.
    pub(super) fn record_load(&self) {
        self.load_report.record(self.batch.occupancy());
    }

    /// Counts a crash and crashes, which aborts all runs.
    pub(super) fn crash(&self) {
        self.counters.update(|counts| counts.crashes += 1);
        self.crash_state.crash();
    }

    /// Refuses a request with status 503 as not run, and counts it.
    fn refuse(&self, conn: Conn, message: &str) -> Conn {
        self.counters.update(|counts| counts.refused += 1);
        let body = json!({ "error": { "message": message, "run": "not run" } });
        reply::json_with_status(conn, Status::ServiceUnavailable, &body)
    }

    /// The counters without those by request id, which grow with every request.
    fn totals_json(&self) -> serde_json::Value {
        let mut counts = counters::Counts::default();
        self.counters.update(|found| {
            let (runs, tokens) = (
                std::mem::take(&mut found.runs),
                std::mem::take(&mut found.tokens_by_id),
            );
            counts = found.clone();
            (found.runs, found.tokens_by_id) = (runs, tokens);
        });
        self.with_engine_state(&counts)
    }

    /// All counters, with those by request id.
    fn counts_json(&self) -> serde_json::Value {
        self.with_engine_state(&self.counters.snapshot())
    }

    /// Adds the state of the batch, the crash generation and the orders to the counters.
    fn with_engine_state(&self, counts: &counters::Counts) -> serde_json::Value {
        let occupancy = self.batch.occupancy();
        let mut value = json!(counts);
        value["running"] = occupancy.running.into();
        value["waiting"] = occupancy.waiting.into();
        value["largest_batch"] = occupancy.largest_batch.into();
        value["generation"] = self.crash_state.generation().into();
        value["orders"] = json!(self.orders.counts());
        value
    }

    /// The delayed load, as `/load` returns it.
    fn load_json(&self) -> serde_json::Value {
        let occupancy = self.load_report.lagged();
        json!({
            "running": occupancy.running,
            "waiting": occupancy.waiting,
            "slots": self.options.slots,
            "generation": self.crash_state.generation(),
        })
    }

    /// Executes an order, or refuses it when its fencing number is outdated.
    async fn execute_order(&self, conn: Conn, body: &[u8]) -> Conn {
        let order: orders::Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(err) => return reply::bad_request(conn, err),
        };
        if let Err(newest) = self.orders.accept(&order) {
            return reply::json_with_status(conn, Status::Conflict, &json!({ "newest": newest }));
        }
        smol::Timer::after(self.options.order_time).await;
        self.orders.apply(order);
        reply::json(conn, &json!({ "newest": self.orders.counts().newest }))
    }
}
