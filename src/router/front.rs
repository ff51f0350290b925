//! The listener for callers.

use std::{net::TcpListener, sync::Arc, time::Duration};

use futures::{TryStreamExt, stream};
use metrics::counter;
use trillium::{Body, Conn, KnownHeaderName, Status};

use crate::{
    code::Code,
    error,
    protocol::run,
    router::{Router, ask, exchange, request},
    transport::http,
};

/// Longest time that a caller may take to send its body.
const BODY_TIME: Duration = Duration::from_secs(20);

/// Starts the listener on a bound socket.
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
    let in_flight = exchange::InFlight::new(router);
    match answer(router, &mut conn, in_flight).await {
        Ok((status, body)) => conn.with_status(status).with_body(body).halt(),
        Err(refusal) => refuse(conn, &refusal),
    }
}

async fn answer(
    router: &Arc<Router>,
    conn: &mut Conn,
    in_flight: exchange::InFlight,
) -> Result<(Status, Body), request::Refusal> {
    let headers = conn.request_headers();
    let mut ask = ask::Ask {
        authorization: headers
            .get_str(KnownHeaderName::Authorization)
            .map(str::to_owned),
        key: headers.get_str("idempotency-key").map(str::to_owned),
        method: conn.method().to_string(),
        path: conn.path_and_query().to_owned(),
        body: Vec::new(),
    };
    ask.body = read_body(router, conn).await?;
    let asked = conn.cancel_on_disconnect(router.ask(&ask)).await;
    let (req, answer) = asked.unwrap_or_else(|| Err(caller_gone()))?;
    conn.insert_response_header("x-request-id", req.id.to_string());
    if req.stream {
        conn.insert_response_header(KnownHeaderName::ContentType, "text/event-stream");
        return Ok((Status::Ok, streamed(answer, in_flight)));
    }
    if req.must_claim() {
        conn.insert_response_header("idempotency-key", req.key.to_string());
    }
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    let whole = conn.cancel_on_disconnect(whole(answer)).await;
    whole.unwrap_or_else(|| Err(caller_gone()))
}

/// Reads a body within the limits of size and time.
async fn read_body(router: &Router, conn: &mut Conn) -> Result<Vec<u8>, request::Refusal> {
    let timers = &router.runtime.timers;
    let body = conn.request_body();
    let read = timers.within(BODY_TIME, body.read_bytes()).await;
    let Some(read) = read else {
        let message = format!("the body took longer than {} s", BODY_TIME.as_secs());
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

/// Collects a whole answer.
async fn whole(answer: exchange::Answer) -> Result<(Status, Body), request::Refusal> {
    let mut bytes = Vec::new();
    while let Ok(chunk) = answer.chunks.recv().await {
        bytes.extend_from_slice(&chunk);
    }
    match answer.end.recv().await {
        Ok(end) if is_whole(&end, bytes.len() as u64) => {
            let status = Status::try_from(end.status).unwrap_or(Status::Ok);
            Ok((status, bytes.into()))
        }
        Ok(end) if end.code == Code::Ok => Err(cut_short()),
        Ok(end) => Err(exchange::refusal_of(&end)),
        Err(_) => Err(cut_short()),
    }
}

fn cut_short() -> request::Refusal {
    let mut refusal = request::Refusal::not_run(Code::Internal, "the answer was lost");
    refusal.may_have_run = true;
    refusal
}

fn is_whole(end: &run::RunOutcome, sent: u64) -> bool {
    end.code == Code::Ok && end.length == sent
}

/// Streams an answer; one that is not whole ends in an error event and a broken connection.
fn streamed(answer: exchange::Answer, in_flight: exchange::InFlight) -> Body {
    enum Step {
        Chunks(exchange::Answer, u64),
        Broken,
        Ended,
    }
    let start = (Step::Chunks(answer, 0), in_flight);
    let parts = stream::unfold(start, |(step, in_flight)| async move {
        let next = match step {
            Step::Chunks(answer, sent) => match answer.chunks.recv().await {
                Ok(chunk) => {
                    let sent = sent + chunk.len() as u64;
                    Some((Ok(chunk), Step::Chunks(answer, sent)))
                }
                Err(_) => match answer.end.recv().await {
                    Ok(end) if is_whole(&end, sent) => Some((Ok(Vec::new()), Step::Ended)),
                    Ok(end) => Some((Ok(error_event(&end)), Step::Broken)),
                    Err(_) => Some((Err(broken()), Step::Ended)),
                },
            },
            Step::Broken => Some((Err(broken()), Step::Ended)),
            Step::Ended => None,
        };
        next.map(|(part, step)| (part, (step, in_flight)))
    });
    Body::new_streaming(Box::pin(parts).into_async_read(), None)
}

fn broken() -> std::io::Error {
    std::io::Error::other("the answer is not whole")
}

fn error_event(end: &run::RunOutcome) -> Vec<u8> {
    let body = error_body(end.code, &end.message, true);
    format!("event: error\ndata: {body}\n\n").into_bytes()
}

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
