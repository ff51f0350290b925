//! Forwards a request: chooses servers, makes attempts, and relays the response.

use std::{rc::Rc, time::Duration};

use metrics::{counter, histogram};

use crate::{
    coordination::{attempts, placing::placement, response_end::End},
    gateway::{
        admission::Admitted, choosing, core, crash_reports, exchange, held, overload, plain_room,
        relay, request_error, request_log, response_end,
    },
    platform::headers,
    state::{name, server},
    transport::h1::{body, conn, fault, head},
};

/// Time for which the body of a response that states that the request did not run is read, to reuse
/// the connection. The request waits meanwhile.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// A server's whole answer that says that the request failed there.
pub struct ServerFailure {
    /// Head of the answer.
    pub head: head::ResponseHead,
    /// Whole body.
    pub body: held::Held,
}

/// Sends the request to one server after another until a response has been relayed or no further
/// attempt is allowed. `failure` is set to the last failure that a server answered with, which has
/// not been relayed.
///
/// # Errors
///
/// [`request_error::RequestError`] tells whether the gateway may still answer by itself.
pub async fn run_attempts(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    log: &request_log::RequestLog,
    stream: &mut relay::EventStream,
    failure: &mut Option<ServerFailure>,
    close: bool,
) -> Result<(), request_error::RequestError> {
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
            return Err(request_error::final_error(
                stream,
                "the repeats of the service are used up",
            ));
        }
        if attempts.count() > 0 {
            plain_room::enter_again(gw, req, attempts.sends_left(), stream).await?;
        }
        if let Some(refusal) = overload::stale_refusal(gw) {
            return Err(request_error::stale_error(stream, refusal));
        }
        let placed = match choosing::place(gw, req, &attempts, &stream.origin).await {
            Ok(placed) => placed,
            Err(unplaced) => {
                let left = req.time_left(gw.now());
                return Err(request_error::unplaced_error(gw, stream, unplaced, left));
            }
        };
        // A process that was held up may find both the close and the next step ready at once.
        if caller.is_closed() {
            let cause = "the caller disconnected before the request was sent";
            return Err(request_error::RequestError::Aborted(cause.to_owned()));
        }
        if req.time_left(gw.now()).is_zero() {
            return Err(request_error::final_error(
                stream,
                request_error::LATE_MESSAGE,
            ));
        }
        let server = &placed.server;
        count_placement(&placed);
        gw.crash_notes
            .suspects
            .borrow_mut()
            .begin_trial(&req.outgoing.keys, gw.now());
        attempts.record_send(&server.id);
        log.record_send();
        if log.is_sampled() {
            let running = gw.placement.borrow().running(&server.id);
            let (id, left) = (&log.id, req.time_left(gw.now()).as_millis() as u64);
            tracing::info!(id, server = %server.id, running, left, "request: sent");
        }
        log_resumption(req, server, log, stream);
        let started = gw.now();
        let isolation = crash_reports::IsolationGuard::new(gw, server, &req.outgoing.keys);
        let end = try_server(gw, caller, req, &placed, log, stream, close).await;
        let now = gw.now();
        let is_blamed = !matches!(end, AttemptOutcome::LinkSlow(_));
        let (cause, not_run) = match end {
            AttemptOutcome::Done(status) => {
                let took = gw.now().saturating_sub(started);
                histogram!("fulmar_gateway_server_seconds").record(took.as_secs_f64());
                gw.ejection.borrow_mut().record_success(&server.id);
                if let Some(slot) = &req.slot {
                    // A server that fails requests at once has no room that others could use.
                    slot.end((status < 500).then_some(&server.id));
                }
                if (200..300).contains(&status) {
                    crash_reports::record_success(gw, &req.outgoing.keys);
                }
                return Ok(());
            }
            AttemptOutcome::CallerGone(cause) => {
                return Err(request_error::RequestError::Aborted(cause));
            }
            AttemptOutcome::NotRun(cause) | AttemptOutcome::LinkSlow(cause) => (cause, true),
            AttemptOutcome::Failed(cause) => (cause, false),
            AttemptOutcome::Disconnected(cause) => {
                if crash_reports::has_crashed(gw, server).await {
                    crash_reports::record_crash(gw, server, &req.outgoing, started);
                }
                (cause, false)
            }
            AttemptOutcome::Crashed(cause) => {
                crash_reports::record_crash(gw, server, &req.outgoing, started);
                (cause, false)
            }
            AttemptOutcome::ServerFailed(answer) => {
                let status = answer.head.status;
                *failure = Some(answer);
                (format!("the server failed with status {status}"), false)
            }
        };
        drop(isolation);
        // A server that says when it can be used again needs no guess at that time.
        let opens_at = gw.announcements.borrow().opens_at(server, now);
        if opens_at.is_none() && is_blamed {
            gw.ejection.borrow_mut().record_failure(&server.id, now);
        }
        if log.may_log_failure() {
            let (id, sends, server) = (&log.id, attempts.count(), &server.id);
            tracing::info!(id, %server, sends, not_run, cause, "request: attempt failed");
        }
        let allowed = attempts.record_failure(not_run, stream.meter.may_have_run());
        if !allowed || req.time_left(now).is_zero() {
            return Err(match opens_at {
                Some(opens_at) => request_error::closed_error(gw, stream, opens_at),
                None => request_error::final_error(stream, &cause),
            });
        }
        counter!("fulmar_gateway_repeats_total").increment(1);
    }
}

/// Counts on what the choice of a server was based, and whether it is the one that has read the prefix.
fn count_placement(placed: &placement::Placed) {
    let by = match placed.report_age {
        Some(_) => "report",
        None => "own_counts",
    };
    let server = if placed.is_first { "first" } else { "other" };
    counter!("fulmar_gateway_placements_total", "by" => by, "server" => server).increment(1);
}

/// Logs for a sampled request on what the choice of its server was based, and what came of it.
fn log_first_event(placed: &placement::Placed, took: Duration, log: &request_log::RequestLog) {
    if !log.is_sampled() {
        return;
    }
    let (state, expected) = (&placed.state, &placed.expected);
    tracing::info!(
        id = log.id,
        server = %placed.server.id,
        first = placed.is_first,
        tokens = placed.unread_tokens,
        unread = state.unread_tokens as u64,
        running = state.running as u64,
        slowness = state.slowness,
        report_age_ms = placed.report_age.map(|age| age.as_millis() as u64),
        expected_ms = expected.first_event_ms as u64,
        others_ms = expected.others_ms as u64,
        took_ms = took.as_millis() as u64,
        "placing: first event"
    );
}

/// Counts and logs a request that asks a server for the rest of a stream.
fn log_resumption(
    req: &Admitted,
    server: &server::Server,
    log: &request_log::RequestLog,
    stream: &relay::EventStream,
) {
    let by_caller = headers::resumption(&req.outgoing.head.headers);
    let (by, resumes) = match (&stream.last_id, by_caller) {
        (Some(_), _) => ("gateway", &*log.id),
        (None, Some(resumption)) => ("caller", resumption.first_request),
        (None, None) => return,
    };
    counter!("fulmar_gateway_resumptions_total", "by" => by).increment(1);
    if log.may_log_failure() {
        let (id, server, software) = (&log.id, &server.id, &server.software);
        tracing::info!(id, by, resumes, %server, %software, "request: resumes a stream");
    }
}

/// Takes one of the retries that are left to the service; false when there is none.
fn take_retry(gw: &core::Gateway, service: &name::Name) -> bool {
    let mut retry_windows = gw.retry_windows.borrow_mut();
    let routers = gw.known_router_count();
    retry_windows.take_retry(service, gw.retry_allowance(), routers, gw.now())
}

/// How one attempt ended; the texts are causes.
enum AttemptOutcome {
    /// The whole response, with this status, was relayed.
    Done(u16),
    /// Writing to the caller failed.
    CallerGone(String),
    /// The attempt failed and the request certainly did not run.
    NotRun(String),
    /// As [`Self::NotRun`], through no fault of the server.
    LinkSlow(String),
    /// The attempt failed and the request may have run.
    Failed(String),
    /// As [`Self::Failed`], and the server ended the connection.
    Disconnected(String),
    /// As [`Self::Failed`], and the server has crashed.
    Crashed(String),
    /// The server ran the request and answered that it failed.
    ServerFailed(ServerFailure),
}

/// Makes one attempt: sends the request to a server, checks the response and relays it.
async fn try_server(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    placed: &placement::Placed,
    log: &request_log::RequestLog,
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
        Err(failure) => matches!(
            failure,
            exchange::AttemptError::NotRun(_) | exchange::AttemptError::LinkSlow(_)
        ),
    };
    stream.meter.record_send_result(!not_run);
    let mut response = match sent {
        Ok(response) => response,
        Err(exchange::AttemptError::NotRun(cause)) => return AttemptOutcome::NotRun(cause),
        Err(exchange::AttemptError::LinkSlow(cause)) => return AttemptOutcome::LinkSlow(cause),
        Err(exchange::AttemptError::MayHaveRun(cause)) => return AttemptOutcome::Failed(cause),
        Err(exchange::AttemptError::Disconnected(cause)) => {
            return AttemptOutcome::Disconnected(cause);
        }
    };
    let waited = gw.now().saturating_sub(started);
    histogram!("fulmar_gateway_first_byte_seconds").record(waited.as_secs_f64());
    let status = response.head.status;
    if not_run {
        plain_room::record_rejection(gw, req, &placed.server, status);
        let evidence = response.evidence;
        let reading = relay::read_body(gw, &mut response);
        let drained = gw.timers.within(DRAIN_TIMEOUT, reading).await;
        if let Some(Ok(_)) = drained {
            response.recycle(gw);
        }
        let cause = format!("the server turned it away with status {status} ({evidence})");
        return AttemptOutcome::NotRun(cause);
    }
    if !headers::is_signed(&response.head) {
        return AttemptOutcome::Failed(format!("an unsigned answer with status {status}"));
    }
    if headers::promises_not_run(status) && !req.route.kind.is_retryable() {
        // The caller would take the status for the promise that the server did not give.
        return AttemptOutcome::Failed(format!("status {status} that does not state 'not run'"));
    }
    if status == 200 && req.route.kind.is_stream() && relay::is_event_stream(&response.head) {
        if req.service.engine.is_some() {
            let took = response.measure_speed(gw, placed);
            let expected = placed.expected.first_event_ms / 1000.0;
            histogram!("fulmar_gateway_expected_first_event_seconds").record(expected);
            log_first_event(placed, took, log);
        }
        let began = gw.now();
        let outcome = relay_stream(gw, caller, response, stream, close).await;
        if let (Some(_), AttemptOutcome::Done(_)) = (&req.service.engine, &outcome) {
            let now = gw.now();
            let took = now.saturating_sub(began);
            let mut slot_times = gw.slot_times.borrow_mut();
            slot_times.record(&req.service.name, took, now);
        }
        return outcome;
    }
    if stream.is_started {
        return AttemptOutcome::Failed(format!("status {status} instead of the rest of a stream"));
    }
    relay_response(gw, caller, req, response, stream, close).await
}

async fn relay_stream(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    mut response: exchange::Response,
    stream: &mut relay::EventStream,
    close: bool,
) -> AttemptOutcome {
    let second_conn = response_end::SecondConn::open(gw, &response);
    let mut relayed = stream.relay_events(caller, &mut response, close).await;
    if relayed.is_ok() {
        if let Some(cut) = cut_off(gw, &response, second_conn).await {
            return cut;
        }
        relayed = stream.finish(caller, &response.head, close).await;
    }
    match relayed {
        Ok(()) => {
            let status = response.head.status;
            response.recycle(gw);
            AttemptOutcome::Done(status)
        }
        Err(relay::RelayError::Caller(err)) => AttemptOutcome::CallerGone(err.to_string()),
        Err(relay::RelayError::Server(err)) => failed_read(&err, format!("broken off: {err}")),
        Err(relay::RelayError::Broken(cause)) => match response.framing {
            body::Framing::Close => AttemptOutcome::Disconnected(cause),
            body::Framing::Length(_) | body::Framing::Chunked => AttemptOutcome::Failed(cause),
        },
    }
}

async fn relay_response(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    mut response: exchange::Response,
    stream: &mut relay::EventStream,
    close: bool,
) -> AttemptOutcome {
    let status = response.head.status;
    let second_conn = response_end::SecondConn::open(gw, &response);
    let body = match relay::read_body(gw, &mut response).await {
        Ok(body) => body,
        Err(err) => return failed_read(&err, format!("the answer was cut short: {err}")),
    };
    if let Some(cut) = cut_off(gw, &response, second_conn).await {
        return cut;
    }
    let head = response.head.clone();
    response.recycle(gw);
    // A server error is retried here if the route allows it. When it can't be, the response is
    // relayed, and retrying is up to the caller.
    if status >= 500 && req.route.kind.is_retryable() && req.route.max_attempts > 1 {
        return AttemptOutcome::ServerFailed(ServerFailure { head, body });
    }
    stream.is_started = true;
    match relay::send_response(caller, &head, &body, close).await {
        Ok(()) => AttemptOutcome::Done(status),
        Err(err) => AttemptOutcome::CallerGone(err.to_string()),
    }
}

/// Outcome of an attempt whose response may have more to it than was read; `None` when it is complete.
async fn cut_off(
    gw: &Rc<core::Gateway>,
    response: &exchange::Response,
    second_conn: Option<response_end::SecondConn>,
) -> Option<AttemptOutcome> {
    let (end, evidence) = response_end::check(gw, response, second_conn).await;
    let cause = |what| {
        let evidence = evidence.map_or(String::new(), |evidence| format!(" ({evidence})"));
        format!("the answer ended with its connection, and the server {what}{evidence}")
    };
    match end {
        End::Complete => None,
        End::Crashed => Some(AttemptOutcome::Crashed(cause("has crashed"))),
        End::Doubtful => Some(AttemptOutcome::Failed(cause("may have ended"))),
    }
}

/// Outcome of an attempt whose response could not be read to its end.
fn failed_read(err: &fault::Fault, cause: String) -> AttemptOutcome {
    match err.is_ended_by_peer() {
        true => AttemptOutcome::Disconnected(cause),
        false => AttemptOutcome::Failed(cause),
    }
}
