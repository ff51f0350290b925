//! Handles one request: admission, reservation of tokens, choice of a server, attempts, response.

use std::{rc::Rc, time::Duration};

use futures::future;
use metrics::{counter, histogram};

use crate::{
    code::Code,
    coordination::{attempts, placement},
    gateway::{
        admission::{self, Admitted, UNAVAILABLE_RETRY_AFTER},
        budget, core, directory, exchange, meter,
        refusal::Refusal,
        relay, request_log,
    },
    platform::headers,
    state::name,
    transport::h1::{conn, fault, head},
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

/// Why no complete response of a server was relayed.
enum RequestError {
    /// The gateway responds itself.
    Refuse(Refusal),
    /// A part of the response may have been sent. Closing the connection is the only way to tell
    /// the caller that the response is incomplete.
    Aborted(String),
}

impl From<Refusal> for RequestError {
    fn from(refusal: Refusal) -> Self {
        Self::Refuse(refusal)
    }
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
    let reservation = reserve_tokens(gw, &req, log).await?;
    let waited = gw.now().saturating_sub(received);
    histogram!("fulmar_gateway_budget_seconds").record(waited.as_secs_f64());
    let limit = req.cutoff().saturating_sub(gw.now());
    let engine = req.service.engine.as_ref();
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let meter = meter::TokenMeter::new(reservation, req.token_need.input, per_event);
    let mut stream = relay::EventStream::new(meter);
    let mut failure = None;
    let work = run_attempts(gw, caller, &req, log, &mut stream, &mut failure, close);
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

/// A server's whole answer that says that the request failed there.
struct ServerFailure {
    head: head::ResponseHead,
    body: Vec<u8>,
}

/// Sends the request to one server after another until a response has been relayed or no further
/// attempt is allowed. `failure` is set to the last failure that a server answered with, which has
/// not been relayed.
async fn run_attempts(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    log: &request_log::RequestLog,
    stream: &mut relay::EventStream,
    failure: &mut Option<ServerFailure>,
    close: bool,
) -> Result<(), RequestError> {
    let service = &req.service.name;
    gw.retry_windows
        .borrow_mut()
        .count_request(service, gw.now());
    let mut attempts = attempts::Attempts::new(attempts::Limits {
        max_runs: req.route.max_attempts,
        is_retryable: req.route.kind.is_retryable(),
    });
    loop {
        if attempts.count() > 0 && !take_retry(gw, service) {
            return Err(final_error(
                stream,
                "the repeats of the service are used up",
            ));
        }
        let placed = match choose_server(gw, req, &attempts) {
            Choice::Placed(placed) => placed,
            Choice::AllClosed(opens_at) => return Err(closed_error(gw, stream, opens_at)),
            Choice::None => return Err(final_error(stream, "no backend server is available")),
        };
        // A process that was held up may find both the close and the next step ready at once.
        if caller.is_closed() {
            let cause = "the caller disconnected before the request was sent";
            return Err(RequestError::Aborted(cause.to_owned()));
        }
        if req.time_left(gw.now()).is_zero() {
            return Err(final_error(stream, "the deadline has passed"));
        }
        let server = &placed.server;
        attempts.record_send(&server.id);
        if log.is_sampled() {
            let running = gw.placement.borrow().running(&server.id);
            let (id, left) = (&log.id, req.time_left(gw.now()).as_millis() as u64);
            tracing::info!(id, server = %server.id, running, left, "request: sent");
        }
        let started = gw.now();
        let end = try_server(gw, caller, req, &placed, stream, close).await;
        let now = gw.now();
        let (cause, not_run) = match end {
            AttemptOutcome::Done => {
                let took = gw.now().saturating_sub(started);
                histogram!("fulmar_gateway_server_seconds").record(took.as_secs_f64());
                gw.ejection.borrow_mut().record_success(&server.id);
                return Ok(());
            }
            AttemptOutcome::CallerGone(cause) => return Err(RequestError::Aborted(cause)),
            AttemptOutcome::NotRun(cause) => (cause, true),
            AttemptOutcome::Failed(cause) => (cause, false),
            AttemptOutcome::ServerFailed(answer) => {
                let status = answer.head.status;
                *failure = Some(answer);
                (format!("the server failed with status {status}"), false)
            }
        };
        // A server that says when it can be used again needs no guess at that time.
        let opens_at = gw.announcements.borrow().opens_at(server, now);
        if opens_at.is_none() {
            gw.ejection.borrow_mut().record_failure(&server.id, now);
        }
        if log.may_log_failure() {
            let (id, sends, server) = (&log.id, attempts.count(), &server.id);
            tracing::info!(id, %server, sends, not_run, cause, "request: attempt failed");
        }
        let allowed = attempts.record_failure(not_run, stream.meter.may_have_run());
        if !allowed || req.time_left(now).is_zero() {
            return Err(match opens_at {
                Some(opens_at) => closed_error(gw, stream, opens_at),
                None => final_error(stream, &cause),
            });
        }
        counter!("fulmar_gateway_repeats_total").increment(1);
    }
}

/// Takes one of the retries that are left to the service; false when there is none.
fn take_retry(gw: &core::Gateway, service: &name::Name) -> bool {
    let mut retry_windows = gw.retry_windows.borrow_mut();
    retry_windows.take_retry(service, gw.retry_allowance(), gw.router_count(), gw.now())
}

/// Error for a request that is not retried any more: a refusal or, if a part of a stream has been
/// relayed, an aborted response.
fn final_error(stream: &relay::EventStream, cause: &str) -> RequestError {
    if stream.is_started {
        return RequestError::Aborted(cause.to_owned());
    }
    let refusal = match stream.meter.may_have_run() {
        true => Refusal::new(Code::BackendFailed, cause),
        false => Refusal::new(Code::NoBackend, cause).retry_after(UNAVAILABLE_RETRY_AFTER),
    };
    refusal.into()
}

/// Error for a request when the servers that it could use have named a time, the earliest of which
/// is `opens_at`.
fn closed_error(
    gw: &core::Gateway,
    stream: &relay::EventStream,
    opens_at: Duration,
) -> RequestError {
    let message = "the backend servers take no requests for now";
    if stream.is_started || stream.meter.may_have_run() {
        return final_error(stream, message);
    }
    let after = opens_at.saturating_sub(gw.now());
    Refusal::new(Code::BackendsClosed, message)
        .retry_after(after)
        .into()
}

/// Where the next attempt at a request goes.
enum Choice {
    Placed(placement::Placed),
    /// Every ready server has named a time; the earliest one.
    AllClosed(Duration),
    /// The service has no ready server.
    None,
}

/// Chooses the server for the next attempt.
fn choose_server(gw: &core::Gateway, req: &Admitted, attempts: &attempts::Attempts) -> Choice {
    let ready = directory::ready_servers(gw, &req.service.name);
    let now = gw.now();
    let open = gw.announcements.borrow().open(&ready, now);
    let (ejection, placement) = (gw.ejection.borrow(), gw.placement.borrow());
    let chosen = attempts.choose_server(
        &open.servers,
        |id| ejection.admits(id, now),
        |servers| placement.choose_server(servers, &req.prompt, fastrand::u64(..)),
    );
    match (chosen, open.opens_at) {
        (Some(placed), _) => Choice::Placed(placed),
        (None, Some(opens_at)) => Choice::AllClosed(opens_at),
        (None, None) => Choice::None,
    }
}

/// How one attempt ended; the texts are causes.
enum AttemptOutcome {
    /// The whole response was relayed.
    Done,
    /// Writing to the caller failed.
    CallerGone(String),
    /// The attempt failed and the request certainly did not run.
    NotRun(String),
    /// The attempt failed and the request may have run.
    Failed(String),
    /// The server ran the request and answered that it failed.
    ServerFailed(ServerFailure),
}

/// Makes one attempt: sends the request to a server, checks the response and relays it.
async fn try_server(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    placed: &placement::Placed,
    stream: &mut relay::EventStream,
    close: bool,
) -> AttemptOutcome {
    let started = gw.now();
    let left = req.time_left(started);
    let last_event = stream.last_id.clone();
    stream.meter.begin_send();
    let sent = exchange::attempt(gw, &req.outgoing, placed, left, last_event.as_deref()).await;
    let not_run = match &sent {
        Ok(response) => headers::was_not_executed(&response.head),
        Err(failure) => matches!(failure, exchange::AttemptError::NotRun(_)),
    };
    stream.meter.record_send_result(!not_run);
    let mut response = match sent {
        Ok(response) => response,
        Err(exchange::AttemptError::NotRun(cause)) => return AttemptOutcome::NotRun(cause),
        Err(exchange::AttemptError::MayHaveRun(cause)) => return AttemptOutcome::Failed(cause),
    };
    let waited = gw.now().saturating_sub(started);
    histogram!("fulmar_gateway_first_byte_seconds").record(waited.as_secs_f64());
    let status = response.head.status;
    if not_run {
        let drained = relay::read_body(&mut response).await;
        if drained.is_ok() {
            response.recycle(gw);
        }
        return AttemptOutcome::NotRun(format!("the server turned it away with status {status}"));
    }
    if !headers::is_signed(&response.head) {
        return AttemptOutcome::Failed(format!("an unsigned answer with status {status}"));
    }
    if status == 200 && req.route.kind.is_stream() {
        return relay_stream(gw, caller, response, stream, close).await;
    }
    if stream.is_started {
        return AttemptOutcome::Failed(format!("status {status} instead of the rest of a stream"));
    }
    relay_response(gw, caller, req, response, close).await
}

async fn relay_stream(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    mut response: exchange::Response,
    stream: &mut relay::EventStream,
    close: bool,
) -> AttemptOutcome {
    match stream.relay(caller, &mut response, close).await {
        Ok(()) => {
            response.recycle(gw);
            AttemptOutcome::Done
        }
        Err(relay::RelayError::Caller(err)) => AttemptOutcome::CallerGone(err.to_string()),
        Err(relay::RelayError::Server(err)) => AttemptOutcome::Failed(format!("broken off: {err}")),
    }
}

async fn relay_response(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    mut response: exchange::Response,
    close: bool,
) -> AttemptOutcome {
    let status = response.head.status;
    let body = match relay::read_body(&mut response).await {
        Ok(body) => body,
        Err(err) => return AttemptOutcome::Failed(truncation_message(&err)),
    };
    let head = response.head.clone();
    response.recycle(gw);
    // A server error is retried here if the route allows it. When it can't be, the response is
    // relayed, and retrying is up to the caller.
    if status >= 500 && req.route.kind.is_retryable() && req.route.max_attempts > 1 {
        return AttemptOutcome::ServerFailed(ServerFailure { head, body });
    }
    match relay::send_response(caller, &head, &body, close).await {
        Ok(()) => AttemptOutcome::Done,
        Err(err) => AttemptOutcome::CallerGone(err.to_string()),
    }
}

fn truncation_message(err: &fault::Fault) -> String {
    format!("the answer was cut short: {err}")
}
