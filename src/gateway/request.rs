//! Handles one request: admission, reservation of tokens, forwarding, and the answer when that fails.

use std::rc::Rc;

use futures::future;
use metrics::{counter, histogram};

use crate::{
    code::Code,
    gateway::{
        admission::{self, Admitted, UNAVAILABLE_RETRY_AFTER},
        budget, core, crash_reports,
        forwarding::{self, RequestError},
        meter,
        refusal::Refusal,
        relay, request_log,
    },
    platform::headers,
    state::name,
    transport::h1::{conn, head},
};

/// What happens to the caller's connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request was answered and the connection can be reused.
    KeepOpen,
    /// The connection must be closed.
    Close,
}

/// Answers one request and logs and counts its outcome. The request is cancelled when the caller
/// closes the connection.
pub async fn serve(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    head: head::RequestHead,
    body: Vec<u8>,
) -> NextStep {
    let received = gw.now();
    let id = head.headers.text(headers::REQUEST_ID).unwrap_or_default();
    let log = request_log::RequestLog::new(gw, id.to_owned());
    let id = &log.id;
    let close = closes_connection(gw, &head);
    let caller_gone = conn::wait_for_close(caller.socket());
    let outcome = {
        let work = std::pin::pin!(respond(gw, caller, &log, head, body, close));
        let caller_gone = std::pin::pin!(caller_gone);
        match future::select(work, caller_gone).await {
            future::Either::Left((outcome, _)) => Some(outcome),
            future::Either::Right(((), _)) => None,
        }
    };
    let took = gw.now() - received;
    let millis = took.as_millis() as u64;
    match outcome {
        None => {
            counter!("fulmar_gateway_requests_total", "outcome" => "caller_gone").increment(1);
            if log.may_log_failure() {
                tracing::info!(id, millis, "request: cancelled, the caller disconnected");
            }
            NextStep::Close
        }
        Some(Ok(())) => {
            counter!("fulmar_gateway_requests_total", "outcome" => "answered").increment(1);
            histogram!("fulmar_gateway_request_seconds").record(took.as_secs_f64());
            if log.is_sampled() {
                tracing::info!(id, millis, "request: answered");
            }
            match close {
                true => NextStep::Close,
                false => NextStep::KeepOpen,
            }
        }
        Some(Err(RequestError::Refuse(refusal))) => {
            let outcome = refusal.code.to_string();
            counter!("fulmar_gateway_requests_total", "outcome" => outcome).increment(1);
            let Refusal {
                code,
                status,
                message,
                ..
            } = &refusal;
            if log.may_log_failure() {
                tracing::info!(id, %code, status, millis, message, "request: refused or failed");
            }
            match caller.write(&refusal.bytes(id, close)).await {
                Ok(()) if !close => NextStep::KeepOpen,
                _ => NextStep::Close,
            }
        }
        Some(Err(RequestError::Aborted(cause))) => {
            counter!("fulmar_gateway_requests_total", "outcome" => "broken").increment(1);
            if log.may_log_failure() {
                tracing::info!(id, millis, cause, "request: response aborted");
            }
            NextStep::Close
        }
    }
}

/// Whether the connection is closed after the response.
pub fn closes_connection(gw: &core::Gateway, head: &head::RequestHead) -> bool {
    gw.is_draining() || !head.is_1_1 || head.headers.has_token("Connection", "close")
}

async fn respond(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    log: &request_log::RequestLog,
    head: head::RequestHead,
    body: Vec<u8>,
    close: bool,
) -> Result<(), RequestError> {
    let received = gw.now();
    let req = admission::admit(gw, head, body, received)?;
    if log.is_sampled() {
        log_admitted(gw, log, &req);
    }
    if crash_reports::refuses(gw, &req.outgoing.keys) {
        return Err(forwarding::crash_refusal().into());
    }
    let reservation = reserve_tokens(gw, &req, log).await?;
    let waited = gw.now().saturating_sub(received);
    histogram!("fulmar_gateway_budget_seconds").record(waited.as_secs_f64());
    let limit = req.cutoff().saturating_sub(gw.now());
    let engine = req.service.engine.as_ref();
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let meter = meter::TokenMeter::new(reservation, req.token_need.input, per_event);
    let mut stream = relay::EventStream::new(gw, meter);
    let mut failure = None;
    let work = forwarding::run_attempts(gw, caller, &req, log, &mut stream, &mut failure, close);
    let ended = match gw.timers.within(limit, work).await {
        Some(ended) => ended,
        None => Err(timeout_error(&mut stream)),
    };
    match (ended, failure) {
        // The server's own answer says more than one from here would.
        (Err(RequestError::Refuse(_)), Some(failure)) => {
            counter!("fulmar_gateway_failures_relayed_total").increment(1);
            if log.may_log_failure() {
                let (id, status) = (&log.id, failure.head.status);
                tracing::info!(
                    id,
                    status,
                    "request: the last server's failure is passed on"
                );
            }
            let sent = relay::send_response(caller, &failure.head, &failure.body, close).await;
            sent.map_err(|err| RequestError::Aborted(err.to_string()))
        }
        (ended, _) => ended,
    }
}

/// Error for a request that has not ended when its route's timeout passes.
fn timeout_error(stream: &mut relay::EventStream) -> RequestError {
    const MESSAGE: &str = "the route's timeout passed";
    let may_have_run = stream.meter.may_have_run();
    stream.meter.record_send_result(may_have_run);
    if stream.is_started {
        return RequestError::Aborted(MESSAGE.to_owned());
    }
    match may_have_run {
        true => Refusal::new(Code::DeadlinePassed, MESSAGE).into(),
        false => Refusal::new(Code::Overloaded, MESSAGE).into(),
    }
}

/// Logs the data on which the admission of a request was based.
fn log_admitted(gw: &core::Gateway, log: &request_log::RequestLog, req: &Admitted) {
    let workspace = req.outgoing.workspace.as_ref();
    tracing::info!(
        id = log.id,
        route = %req.route.name,
        workspace = workspace.map_or("", |workspace| &workspace.name),
        tokens = req.token_need.max_total(),
        left = workspace.map_or(0, |workspace| budget::available(gw, &workspace.name)),
        config = gw.deployment().map_or(0, |deployment| deployment.version),
        config_age_ms = gw.now().saturating_sub(gw.config_confirmed_at.get()).as_millis() as u64,
        "request: admitted"
    );
}

/// Reserves the tokens that the request needs at most; `None` when its workspace has no prepaid
/// budget or the request needs no tokens.
async fn reserve_tokens(
    gw: &Rc<core::Gateway>,
    req: &Admitted,
    log: &request_log::RequestLog,
) -> Result<Option<budget::Reservation>, Refusal> {
    let Some(workspace) = &req.outgoing.workspace else {
        return Ok(None);
    };
    if workspace.prepaid_tokens.is_none() || req.token_need.max_total() == 0 {
        return Ok(None);
    }
    let tokens = req.token_need.max_total();
    let id = log.is_sampled().then(|| name::Name::from(&*log.id));
    let reserved = budget::reserve(gw, &workspace.name, tokens, id).await;
    reserved.map(Some).map_err(|err| match err {
        budget::ReserveError::Exhausted => {
            let name = &workspace.name;
            let message = format!("{tokens} tokens are not left in the budget of {name}");
            Refusal::new(Code::BudgetSpent, message)
        }
        budget::ReserveError::Unreachable => {
            let name = &workspace.name;
            let message = format!("{tokens} tokens of {name} could not be reached in time");
            Refusal::new(Code::BudgetUnreachable, message).retry_after(UNAVAILABLE_RETRY_AFTER)
        }
    })
}
