//! One attempt at the backend server.

use std::sync::atomic::{AtomicU32, Ordering};

use futures::AsyncReadExt;

use crate::{
    agent::{Agent, usage},
    code::Code,
    protocol::{fleet_capnp, run},
    transport::timers,
};

const READ_BYTES: usize = 16 * 1024;
const CHAT_PATH: &str = "/v1/chat/completions";

/// Counts a running request while it lives.
struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What became of the exchange with the backend server.
struct Exchange {
    code: Code,
    ran: bool,
    message: String,
    status: u16,
    length: u64,
    tokens: Option<u64>,
}

impl Exchange {
    fn failed(code: Code, ran: bool, message: impl ToString) -> Self {
        Self {
            code,
            ran,
            message: message.to_string(),
            status: 0,
            length: 0,
            tokens: None,
        }
    }
}

/// Runs a request and charges it.
pub async fn run(
    agent: &Agent,
    req: &run::RunRequest,
    sink: &fleet_capnp::sink::Client,
) -> run::RunOutcome {
    let _running = Running::new(&agent.running);
    let exchange = timers::within(req.deadline, exchange(agent, req, sink)).await;
    let exchange = exchange
        .unwrap_or_else(|| Exchange::failed(Code::DeadlinePassed, true, "the deadline passed"));
    let receipt = exchange.ran.then(|| {
        let tokens = exchange.tokens.unwrap_or(req.bound).min(req.bound);
        let (id, budget) = (req.id.clone(), req.budget.clone());
        agent
            .receipts
            .lock()
            .unwrap()
            .charge(req.holder, id, budget, tokens)
    });
    run::RunOutcome {
        code: exchange.code,
        ran: exchange.ran,
        receipt,
        message: exchange.message,
        config: agent.config.load(Ordering::Relaxed),
        retry_after: std::time::Duration::ZERO,
        status: exchange.status,
        length: exchange.length,
    }
}

async fn exchange(
    agent: &Agent,
    req: &run::RunRequest,
    sink: &fleet_capnp::sink::Client,
) -> Exchange {
    let plain = !req.path.is_empty();
    let path = if plain { req.path.as_str() } else { CHAT_PATH };
    let url = format!("{}{path}", agent.settings.backend);
    let method = match req.method.parse::<trillium::Method>() {
        Ok(method) if plain => method,
        _ => trillium::Method::Post,
    };
    let conn = agent.client.build_conn(method, url.as_str());
    let conn = conn.with_request_header("content-type", "application/json");
    let conn = conn.with_request_header("x-request-id", req.id.to_string());
    let mut conn = conn.with_body(req.body.clone());
    if let Err(err) = (&mut conn).await {
        return Exchange::failed(Code::BackendFailed, true, err);
    }
    let status = conn.status().map_or(0, |status| status as u16);
    if status == 503 || status == 429 {
        return Exchange::failed(Code::BackendRefused, false, format!("status {status}"));
    }
    let mut exchange = relay(&mut conn, sink, req.stream && !plain).await;
    exchange.status = status;
    if plain {
        exchange.tokens = Some(req.bound);
    }
    exchange
}

async fn relay(
    conn: &mut trillium_client::Conn,
    sink: &fleet_capnp::sink::Client,
    stream: bool,
) -> Exchange {
    let mut meter = usage::Meter::default();
    let mut body = conn.response_body();
    let mut buf = vec![0; READ_BYTES];
    let mut offset = 0;
    loop {
        let read = match body.read(&mut buf).await {
            Ok(0) => break,
            Ok(read) => read,
            Err(err) => return Exchange::failed(Code::BackendFailed, true, err),
        };
        meter.read(&buf[..read]);
        if let Err(err) = send(sink, offset, &buf[..read]).await {
            return Exchange::failed(Code::CallerGone, true, err);
        }
        offset += read as u64;
    }
    if stream && !meter.is_finished() {
        return Exchange::failed(Code::BackendFailed, true, "the stream has no end");
    }
    let usage = meter.finish();
    Exchange {
        code: Code::Ok,
        ran: true,
        message: String::new(),
        status: 0,
        length: offset,
        tokens: usage.map(|usage| usage.prompt_tokens + usage.completion_tokens),
    }
}

async fn send(
    sink: &fleet_capnp::sink::Client,
    offset: u64,
    data: &[u8],
) -> Result<(), capnp::Error> {
    let mut message = sink.chunk_request();
    message.get().set_offset(offset);
    message.get().set_data(data);
    message.send().promise.await?;
    Ok(())
}
