//! HTTP listener for callers.

use std::{net::TcpListener, sync::Arc, time::Duration};

use futures::{TryStreamExt, stream};
use metrics::counter;
use trillium::{Body, Conn, KnownHeaderName, Status};

use crate::{
    code::Code,
    error,
    protocol::run,
    router::{Router, dispatch, raw_request, request},
    transport::http,
};

/// Time within which a caller must send its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves callers on a bound socket.
pub fn start(
    router: Arc<Router>,
    listener: TcpListener,
) -> Result<trillium_smol::Swansong, error::Error> {
    let handler = move |conn: Conn| {
        let router = router.clone();
        async move { serve(&router, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(router: &Arc<Router>, mut conn: Conn) -> Conn {
    let in_flight = dispatch::InFlight::new(router);
    match answer(router, &mut conn, in_flight).await {
        Ok((status, body)) => conn.with_status(status).with_body(body).halt(),
        Err(refusal) => refuse(conn, &refusal),
    }
}

async fn answer(
    router: &Arc<Router>,
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
        body: Vec::new(),
    };
    raw.body = read_body(router, conn).await?;
    let started = conn.cancel_on_disconnect(router.start_request(&raw)).await;
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
    let collected = conn.cancel_on_disconnect(collect(answer)).await;
    collected.unwrap_or_else(|| Err(caller_gone()))
}

/// Reads the request body; refuses one that is too large or takes too long.
async fn read_body(router: &Router, conn: &mut Conn) -> Result<Vec<u8>, request::Refusal> {
    let timers = &router.runtime.timers;
    let body = conn.request_body();
    let read = timers.within(BODY_TIMEOUT, body.read_bytes()).await;
    let Some(read) = read else {
        let message = format!("the body took longer than {} s", BODY_TIMEOUT.as_secs());
        return Err(request::Refusal::not_run(Code::BadRequest, message));
    };
    read.map_err(|err| {
        let code = match err {
            trillium_http::Error::ReceivedBodyTooLong(_) => Code::TooLarge,
            _ => Code::BadRequest,
        };
        request::Refusal::not_run(code, err.to_string())
    })
}

fn caller_gone() -> request::Refusal {
    let mut refusal = request::Refusal::not_run(Code::CallerGone, "the caller is gone");
    refusal.may_have_run = true;
    refusal
}

/// Collects the chunks of an answer that is not streamed; an incomplete answer becomes an error.
async fn collect(answer: dispatch::Answer) -> Result<(Status, Body), request::Refusal> {
    let mut bytes = Vec::new();
    while let Ok(chunk) = answer.chunks.recv().await {
        bytes.extend_from_slice(&chunk);
    }
    match answer.end.recv().await {
        Ok(end) if is_complete(&end, bytes.len() as u64) => {
            let status = Status::try_from(end.status).unwrap_or(Status::Ok);
            Ok((status, bytes.into()))
        }
        Ok(end) if end.code == Code::Ok => Err(answer_lost()),
        Ok(end) => Err(dispatch::refusal_of(&end)),
        Err(_) => Err(answer_lost()),
    }
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

fn incomplete_answer() -> std::io::Error {
    std::io::Error::other("the answer is incomplete")
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
