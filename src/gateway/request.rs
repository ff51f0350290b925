//! Handles one request: admission, reservation of tokens, forwarding, and the answer when that fails.

use std::{rc::Rc, time::Duration};

use futures::{StreamExt, future, stream::FuturesUnordered};
use metrics::{counter, histogram};

use crate::{
    code::Code,
    coordination::{budgets::waiting, origin_search::Origin},
    gateway::{
        admission::{self, Admitted, UNAVAILABLE_RETRY_AFTER},
        budget, core, crash_reports, forwarding, meter, overload, plain_room,
        refusal::Refusal,
        relay,
        request_error::{self, RequestError},
        request_log, reserving, stream_origins,
    },
    platform::headers,
    state::name,
    transport::h1::{conn, head},
};

/// Longest time for which it is found out where a stream began, as a fraction of the time that a request
/// has left.
const MAX_ORIGIN_WAIT: f64 = 0.25;

/// Time within which a caller must take a refusal, and the failure of a server that is passed on after the route's
/// timeout may have passed. The latter may have several megabytes.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
const FAILURE_TIMEOUT: Duration = Duration::from_secs(5);

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
    // Polled only when the caller's socket wakes it; by itself it would peek at the socket at each event.
    let mut caller_gone: FuturesUnordered<_> = [conn::wait_for_close(caller.socket())]
        .into_iter()
        .collect();
    let outcome = {
        let work = std::pin::pin!(respond(gw, caller, &log, head, body, close));
        match future::select(work, caller_gone.next()).await {
            future::Either::Left((outcome, _)) => Some(outcome),
            future::Either::Right(_) => None,
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
            let bytes = refusal.bytes(id, close);
            match gw
                .timers
                .within(REFUSAL_TIMEOUT, caller.write(&bytes))
                .await
            {
                Some(Ok(())) if !close => NextStep::KeepOpen,
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
    gw.is_draining()
        || gw.outdated().is_some()
        || !head.is_1_1
        || head.headers.has_token("Connection", "close")
        || overload::closes_connection(gw, gw.now())
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
    if let Some(refusal) = overload::stale_refusal(gw) {
        return Err(refusal.into());
    }
    let req = admission::admit(gw, head, body, received)?;
    let exiting = async {
        gw.exiting().await;
        Err(admission::draining_refusal().into())
    };
    let preparing = prepare(gw, req, log);
    let prepared = smol::future::or(preparing, exiting).await?;
    forward(gw, caller, log, prepared, close).await
}

/// A request that may be sent.
struct Prepared {
    req: Admitted,
    reservation: Option<reserving::Reservation>,
    /// Hash under which the origin of its stream is noted, and the origin.
    stream: (Option<u64>, Origin),
}

/// Waits until an admitted request may be sent: where its stream began is known, its service has room, and its
/// tokens are reserved.
async fn prepare(
    gw: &Rc<core::Gateway>,
    mut req: Admitted,
    log: &request_log::RequestLog,
) -> Result<Prepared, RequestError> {
    if log.is_sampled() {
        log_admitted(gw, log, &req);
    }
    if let Some(refusal) = overload::refusal(gw, &req) {
        return Err(refusal.into());
    }
    if crash_reports::refuses(gw, &req.outgoing.keys) {
        return Err(request_error::crash_refusal().into());
    }
    let stream = stream_origin(gw, &mut req, log).await?;
    plain_room::enter(gw, &mut req, log).await?;
    let reservation = reserve_tokens(gw, &req, log).await?;
    if let (Some(slot), Some(_)) = (&req.slot, &reservation) {
        slot.forbid_waits();
    }
    let waited = gw.now().saturating_sub(req.received);
    histogram!("fulmar_gateway_budget_seconds").record(waited.as_secs_f64());
    Ok(Prepared {
        req,
        reservation,
        stream,
    })
}

/// Sends a request to servers and relays the response, until the route's timeout passes or the process exits.
async fn forward(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    log: &request_log::RequestLog,
    prepared: Prepared,
    close: bool,
) -> Result<(), RequestError> {
    let Prepared {
        req,
        reservation,
        stream: (key, origin),
    } = prepared;
    let limit = req.cutoff().saturating_sub(gw.now());
    let engine = req.service.engine.as_ref();
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let meter = meter::TokenMeter::new(reservation, req.token_need.input, per_event);
    // Elsewhere a server may begin anew, whatever the caller has received.
    let is_resumable = req.route.kind.is_resumable();
    let resumption = headers::resumption(&req.outgoing.head.headers).filter(|_| is_resumable);
    let received = resumption.and_then(|it| it.last_event.parse().ok());
    let max_events = req.token_need.max_output.div_ceil(per_event.max(1));
    let max_events = (max_events > 0).then_some(max_events);
    let mut stream = relay::EventStream::new(gw, meter, key, origin, received, max_events);
    let mut failure = None;
    let work = forwarding::run_attempts(gw, caller, &req, log, &mut stream, &mut failure, close);
    let work = async { Some(gw.timers.within(limit, work).await) };
    let exiting = async {
        gw.exiting().await;
        None
    };
    let ended = match smol::future::or(work, exiting).await {
        Some(Some(ended)) => ended,
        Some(None) => Err(timeout_error(&mut stream)),
        None => Err(exit_error(&mut stream)),
    };
    if let Some(slot) = &req.slot {
        slot.end(None);
    }
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
            let sending = relay::send_response(caller, &failure.head, &failure.body, close);
            match gw.timers.within(FAILURE_TIMEOUT, sending).await {
                Some(sent) => sent.map_err(|err| RequestError::Aborted(err.to_string())),
                None => Err(RequestError::Aborted("not taken in time".to_owned())),
            }
        }
        (ended, _) => ended,
    }
}

/// Finds out which release began the stream that a request takes up again, and sends the request to that
/// service. Returns the hash under which the origin is noted, too; `None` when no stream can be resumed.
///
/// # Errors
///
/// A refusal when the release can't be found out, or the route leads to another service by now.
async fn stream_origin(
    gw: &Rc<core::Gateway>,
    req: &mut Admitted,
    log: &request_log::RequestLog,
) -> Result<(Option<u64>, Origin), Refusal> {
    if !req.route.kind.is_resumable() {
        return Ok((None, Origin::NotBegun));
    }
    let workspace = req.outgoing.workspace.as_ref().map(|it| &it.name);
    let Some(resumption) = headers::resumption(&req.outgoing.head.headers) else {
        let key = stream_origins::stream_key(workspace, &log.id);
        return Ok((Some(key), Origin::NotBegun));
    };
    let first_request = match resumption.first_request {
        "" => &*log.id,
        first_request => first_request,
    };
    let key = stream_origins::stream_key(workspace, first_request);
    let services = req.target_services();
    let limit = req.time_left(gw.now()).mul_f64(MAX_ORIGIN_WAIT);
    let finding = stream_origins::find(gw, key, &services);
    let found = gw.timers.within(limit, finding).await;
    let origin = found.unwrap_or(Origin::Unknown);
    if log.may_log_failure() {
        let id = &log.id;
        tracing::info!(
            id,
            first_request,
            ?origin,
            "request: takes a stream up again"
        );
    }
    follow_origin(gw, req, &origin)?;
    Ok((Some(key), origin))
}

/// Sends a request that takes a stream up again to the service that began it.
///
/// # Errors
///
/// As for the search for the origin.
pub fn follow_origin(
    gw: &core::Gateway,
    req: &mut Admitted,
    origin: &Origin,
) -> Result<(), Refusal> {
    match origin {
        Origin::Release(release) => {
            let service = gw
                .deployment()
                .and_then(|it| it.services.get(&release.service).cloned())
                .filter(|_| req.target_services().contains(&release.service));
            let message = "the route leads to another service than the one that began the stream";
            req.send_to(service.ok_or_else(|| Refusal::new(Code::StreamLost, message))?);
            Ok(())
        }
        Origin::Unknown => {
            let message = "which software began the stream cannot be found out for now";
            let refusal = Refusal::new(Code::StreamOriginUnknown, message);
            Err(refusal.retry_after(UNAVAILABLE_RETRY_AFTER))
        }
        Origin::Lost | Origin::NotBegun => {
            let message = "no router knows which software began the stream";
            Err(Refusal::new(Code::StreamLost, message))
        }
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

/// Error for a request that has not ended when the process exits.
fn exit_error(stream: &mut relay::EventStream) -> RequestError {
    let may_have_run = stream.meter.may_have_run();
    stream.meter.record_send_result(may_have_run);
    match may_have_run {
        true => request_error::final_error(stream, "this router stops before the server answered"),
        false => admission::draining_refusal().into(),
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

/// Reserves the tokens that the request needs at most; `None` when it is not charged for any.
async fn reserve_tokens(
    gw: &Rc<core::Gateway>,
    req: &Admitted,
    log: &request_log::RequestLog,
) -> Result<Option<reserving::Reservation>, Refusal> {
    let Some((workspace, tokens)) = req.charged() else {
        return Ok(None);
    };
    let id = log.is_sampled().then(|| name::Name::from(&*log.id));
    let reserved = reserving::reserve(gw, &workspace.name, tokens, id).await;
    let left = req.time_left(gw.now());
    reserved
        .map(Some)
        .map_err(|refused| token_refusal(&workspace.name, tokens, refused, left))
}

/// Refusal of a request whose tokens are not to be had, with the time that its caller has left.
pub fn token_refusal(
    workspace: &str,
    tokens: u64,
    refused: waiting::Refused,
    left: Duration,
) -> Refusal {
    match refused {
        waiting::Refused::Exhausted => {
            let message = format!("{tokens} tokens are not left in the budget of {workspace}");
            Refusal::new(Code::BudgetSpent, message)
        }
        _ => {
            let reason = refused.reason();
            let message = format!("{tokens} tokens of {workspace} cannot be reached now: {reason}");
            Refusal::new(Code::BudgetUnreachable, message).retry_after(refused.retry_after(left))
        }
    }
}
