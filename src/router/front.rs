//! HTTP listener for callers.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use futures::{AsyncRead, FutureExt, TryStreamExt, stream};
use metrics::counter;
use trillium::{Body, Conn, KnownHeaderName, Status};
use trillium_http::{HttpConfig, HttpContext};

use crate::{
    code::Code,
    coordination::{
        limits::callers::State,
        memory::{account::Phase, growth, plan},
    },
    error,
    protocol::run,
    router::{Router, body_reading, caller_conn, dispatch, memory, raw_request, request},
    transport::h1::accept,
};

/// Binds the listener.
///
/// # Errors
///
/// The error of the socket.
pub fn bind(address: SocketAddr) -> Result<async_net::TcpListener, error::Error> {
    Ok(accept::bind(address, plan::SOCKET_BYTES)?)
}

/// Serves callers on a bound socket. The returned handle stops to accept connections and lets requests in progress
/// finish.
pub fn start(router: &Arc<Router>, listener: async_net::TcpListener) -> trillium_smol::Swansong {
    // The handler bounds bodies; the limit of the library is above that, so that the excess is noticed here.
    let max_body = 2 * router.settings.max_body_bytes as u64;
    let config = HttpConfig::default().with_received_body_max_len(max_body);
    let context = Arc::new(HttpContext::new().with_config(config));
    let swansong = context.swansong().clone();
    let router = router.clone();
    let accepting = swansong.clone();
    smol::spawn(async move {
        let timers = router.runtime.timers.clone();
        loop {
            let next = accept::next(&listener, "router", &timers);
            let Some(stream) = accepting.interrupt(next).await else {
                return;
            };
            match router.callers.enter() {
                Some(slot) => {
                    let serving = serve_connection(router.clone(), context.clone(), stream, slot);
                    smol::spawn(serving).detach();
                }
                None => refuse_connection(stream),
            }
            // Connections that were closed for this one must end before the next ones are accepted.
            smol::future::yield_now().await;
        }
    })
    .detach();
    swansong
}

/// Refuses a connection for which there is no room; the refusal is lost if it cannot be sent at once.
fn refuse_connection(mut stream: async_net::TcpStream) {
    let body = error_body(Code::Overloaded, "too many connections are open", false).to_string();
    let len = body.len();
    let refusal = format!(
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: {}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {len}\r\n\r\n{body}",
        dispatch::BUSY_RETRY_AFTER.as_secs()
    );
    let writing = futures::AsyncWriteExt::write_all(&mut stream, refusal.as_bytes());
    if let Some(Err(err)) = writing.now_or_never() {
        tracing::debug!(%err, "router: a refusal could not be sent");
    }
}

/// Serves the requests on a connection.
async fn serve_connection(
    router: Arc<Router>,
    context: Arc<HttpContext>,
    stream: async_net::TcpStream,
    slot: Arc<caller_conn::Slot>,
) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "router: the connection of a caller is gone");
        return;
    }
    let stream = caller_conn::CallerStream::new(stream, slot.clone());
    let served = context.run(stream, |conn| {
        let (router, slot) = (router.clone(), slot.clone());
        async move {
            let conn = serve(&router, &slot, Conn::from(conn)).await;
            let mut conn = conn.into_inner::<caller_conn::CallerStream>();
            conn.after_send(move |_| slot.set_state(State::Idle));
            conn
        }
    });
    if let Err(err) = served.await {
        tracing::debug!(%err, "router: the connection of a caller ended");
    }
}

async fn serve(router: &Arc<Router>, slot: &Arc<caller_conn::Slot>, mut conn: Conn) -> Conn {
    let in_flight = dispatch::InFlight::new(router);
    match answer(router, slot, &mut conn, in_flight).await {
        Ok((status, body)) => conn.with_status(status).with_body(body).halt(),
        Err(refusal) => refuse(conn, &refusal),
    }
}

async fn answer(
    router: &Arc<Router>,
    slot: &Arc<caller_conn::Slot>,
    conn: &mut Conn,
    in_flight: dispatch::InFlight,
) -> Result<(Status, Body), request::Refusal> {
    let headers = conn.request_headers();
    let mut raw = raw_request::RawRequest {
        authorization: headers
            .get_str(KnownHeaderName::Authorization)
            .map(str::to_owned),
        key: headers.get_str("idempotency-key").map(str::to_owned),
        method: conn.method().to_string(),
        path: conn.path_and_query().to_owned(),
        ..Default::default()
    };
    let received = body_reading::read(router, slot, conn).await;
    slot.set_state(State::Busy);
    let received = received.inspect_err(|_| {
        // The rest of the body is not read to its end.
        conn.insert_response_header(KnownHeaderName::Connection, "close");
        slot.linger.set();
    })?;
    raw.body = received.bytes;
    let caller = Arc::new(memory::CallerMemory {
        request: received.holding,
        close: slot.close.clone(),
    });
    raw.caller = Some(caller.clone());
    let started = conn.cancel_on_disconnect(router.start_request(&raw)).await;
    drop(raw);
    let (req, answer) = started.unwrap_or_else(|| Err(caller_gone()))?;
    conn.insert_response_header("x-request-id", req.id.to_string());
    if req.stream {
        conn.insert_response_header(KnownHeaderName::ContentType, "text/event-stream");
        return Ok((Status::Ok, stream_body(answer, in_flight)));
    }
    if req.must_claim() {
        conn.insert_response_header("idempotency-key", req.key.to_string());
    }
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    let collected = conn.cancel_on_disconnect(collect(answer, &caller)).await;
    collected.unwrap_or_else(|| Err(caller_gone()))
}

fn caller_gone() -> request::Refusal {
    let mut refusal = request::Refusal::not_run(Code::CallerGone, "the caller is gone");
    refusal.may_have_run = true;
    refusal
}

/// Collects the chunks of an answer that is not streamed; an incomplete answer becomes an error.
async fn collect(
    answer: dispatch::Answer,
    caller: &memory::CallerMemory,
) -> Result<(Status, Body), request::Refusal> {
    let holding = caller.open_response();
    let mut bytes = Vec::new();
    while let Ok(chunk) = answer.chunks.recv().await {
        let needed = bytes.len() + chunk.len();
        if needed > bytes.capacity() {
            let capacity = growth::capacity(bytes.capacity(), needed, usize::MAX);
            let charged = holding.charge(capacity).await;
            charged.map_err(|_| no_memory_for_answer())?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&chunk);
    }
    match answer.end.recv().await {
        Ok(end) if is_complete(&end, bytes.len() as u64) => {
            let status = Status::try_from(end.status).unwrap_or(Status::Ok);
            Ok((status, held_body(bytes, holding)))
        }
        Ok(end) if end.code == Code::Ok => Err(answer_lost()),
        Ok(end) => Err(dispatch::refusal_of(&end)),
        Err(_) => Err(answer_lost()),
    }
}

/// A whole answer, and the memory that it holds until the caller has taken it.
struct HeldAnswer {
    rest: io::Cursor<Vec<u8>>,
    holding: memory::Holding,
}

impl AsyncRead for HeldAnswer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.holding.record_progress();
        Poll::Ready(io::Read::read(&mut self.rest, buf))
    }
}

fn held_body(bytes: Vec<u8>, holding: memory::Holding) -> Body {
    holding.set_phase(Phase::Caller);
    let len = bytes.len() as u64;
    let rest = io::Cursor::new(bytes);
    Body::new_streaming(HeldAnswer { rest, holding }, Some(len))
}

/// The refusal of a request that ran and whose answer cannot be held.
fn no_memory_for_answer() -> request::Refusal {
    let mut refusal =
        request::Refusal::not_run(Code::Internal, "the memory for answers is used up");
    refusal.may_have_run = true;
    refusal
}

fn answer_lost() -> request::Refusal {
    let mut refusal = request::Refusal::not_run(Code::Internal, "the answer was lost");
    refusal.may_have_run = true;
    refusal
}

/// Whether the answer succeeded and all of its bytes were passed on.
fn is_complete(end: &run::RunOutcome, sent: u64) -> bool {
    end.code == Code::Ok && end.length == sent
}

/// Streams an answer. After an incomplete answer an error event follows and the connection is
/// closed before the end of the body, so that the caller cannot take the answer for complete.
fn stream_body(answer: dispatch::Answer, in_flight: dispatch::InFlight) -> Body {
    enum StreamState {
        /// The answer and the number of bytes sent so far.
        Sending(dispatch::Answer, u64),
        /// The error event was sent; the connection is to be closed.
        Failed,
        Done,
    }
    let initial = (StreamState::Sending(answer, 0), in_flight);
    let parts = stream::unfold(initial, |(state, in_flight)| async move {
        let next = match state {
            StreamState::Sending(answer, sent) => match answer.chunks.recv().await {
                Ok(chunk) => {
                    if let Some(holding) = &answer.holding {
                        holding.record_progress();
                    }
                    let sent = sent + chunk.len() as u64;
                    Some((Ok(chunk), StreamState::Sending(answer, sent)))
                }
                Err(_) => match answer.end.recv().await {
                    Ok(end) if is_complete(&end, sent) => Some((Ok(Vec::new()), StreamState::Done)),
                    Ok(end) => Some((Ok(error_event(&end)), StreamState::Failed)),
                    Err(_) => Some((Err(incomplete_answer()), StreamState::Done)),
                },
            },
            StreamState::Failed => Some((Err(incomplete_answer()), StreamState::Done)),
            StreamState::Done => None,
        };
        next.map(|(part, state)| (part, (state, in_flight)))
    });
    Body::new_streaming(Box::pin(parts).into_async_read(), None)
}

fn incomplete_answer() -> io::Error {
    io::Error::other("the answer is incomplete")
}

fn error_event(end: &run::RunOutcome) -> Vec<u8> {
    let body = error_body(end.code, &end.message, true);
    format!("event: error\ndata: {body}\n\n").into_bytes()
}

/// The JSON error object, which states whether the request may have run.
fn error_body(code: Code, message: &str, may_have_run: bool) -> serde_json::Value {
    serde_json::json!({
        "error": {
            "code": code as u16,
            "name": code.to_string(),
            "message": message,
            "run": if may_have_run { "may have run" } else { "not run" },
        }
    })
}

/// Counts a refusal and writes it as the answer to the caller.
fn refuse(conn: Conn, refusal: &request::Refusal) -> Conn {
    let code = refusal.code;
    counter!("fulmar_refusals", "code" => code.to_string()).increment(1);
    let status = Status::try_from(code.http_status()).unwrap_or(Status::InternalServerError);
    let body = error_body(code, &refusal.message, refusal.may_have_run);
    let mut conn = conn.with_status(status).with_body(body.to_string());
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    if let Some(key) = &refusal.key {
        conn.insert_response_header("idempotency-key", key.to_string());
    }
    if let Some(delay) = refusal.retry_after {
        conn.insert_response_header(
            KnownHeaderName::RetryAfter,
            delay.as_secs().max(1).to_string(),
        );
    }
    conn
}
