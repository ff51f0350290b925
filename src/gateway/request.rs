//! The way of one request: guards, budget, choice of a server, attempts, answer.

use std::{rc::Rc, sync::Arc};

use futures::future;
use metrics::{counter, histogram};

use crate::{
    code::Code,
    coordination::attempts,
    gateway::{
        admission::{self, Admitted, COME_BACK},
        budget, core, directory, exchange, meter,
        refusal::Refusal,
        relay, story,
    },
    platform::headers,
    state::{name, server},
    transport::h1::{conn, fault, head},
};

/// How a request ended, for the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was answered; the connection may go on.
    Answered,
    /// The connection must close.
    Broken,
}

/// Answers one request.
pub async fn serve(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    head: head::RequestHead,
    body: Vec<u8>,
) -> Ended {
    let received = gw.now();
    let id = head.headers.text(headers::REQUEST_ID).unwrap_or_default();
    let story = story::Story::new(gw, id.to_owned());
    let id = &story.id;
    let close = closes(gw, &head);
    let gone = conn::wait_for_close(caller.socket());
    let outcome = {
        let work = std::pin::pin!(answer(gw, caller, &story, head, body, close));
        let gone = std::pin::pin!(gone);
        match future::select(work, gone).await {
            future::Either::Left((outcome, _)) => Some(outcome),
            future::Either::Right(((), _)) => None,
        }
    };
    let took = gw.now() - received;
    let millis = took.as_millis() as u64;
    match outcome {
        None => {
            counter!("fulmar_gateway_requests_total", "outcome" => "caller_gone").increment(1);
            if story.tells_failure() {
                tracing::info!(id, millis, "request: cancelled, the caller left");
            }
            Ended::Broken
        }
        Some(Ok(())) => {
            counter!("fulmar_gateway_requests_total", "outcome" => "answered").increment(1);
            histogram!("fulmar_gateway_request_seconds").record(took.as_secs_f64());
            if story.is_sampled() {
                tracing::info!(id, millis, "request: answered");
            }
            match close {
                true => Ended::Broken,
                false => Ended::Answered,
            }
        }
        Some(Err(Stop::Refuse(refusal))) => {
            let outcome = refusal.code.to_string();
            counter!("fulmar_gateway_requests_total", "outcome" => outcome).increment(1);
            let Refusal {
                code,
                status,
                message,
                ..
            } = &refusal;
            if story.tells_failure() {
                tracing::info!(id, %code, status, millis, message, "request: refused or failed");
            }
            match caller.write(&refusal.bytes(id, close)).await {
                Ok(()) if !close => Ended::Answered,
                _ => Ended::Broken,
            }
        }
        Some(Err(Stop::Broken(cause))) => {
            counter!("fulmar_gateway_requests_total", "outcome" => "broken").increment(1);
            if story.tells_failure() {
                tracing::info!(id, millis, cause, "request: broken off");
            }
            Ended::Broken
        }
    }
}

/// Whether the connection closes after this answer.
pub fn closes(gw: &core::Gateway, head: &head::RequestHead) -> bool {
    gw.is_leaving() || !head.is_1_1 || head.headers.has_token("Connection", "close")
}

/// Why a request got no answer of a server.
enum Stop {
    /// The gateway answers itself.
    Refuse(Refusal),
    /// A part of the answer is out; only the end of the connection can tell that it is not whole.
    Broken(String),
}

impl From<Refusal> for Stop {
    fn from(refusal: Refusal) -> Self {
        Self::Refuse(refusal)
    }
}

async fn answer(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    story: &story::Story,
    head: head::RequestHead,
    body: Vec<u8>,
    close: bool,
) -> Result<(), Stop> {
    let received = gw.now();
    let req = admission::admit(gw, head, body, received)?;
    if story.is_sampled() {
        tell_admitted(gw, story, &req);
    }
    let reservation = set_aside(gw, &req, story).await?;
    let waited = gw.now().saturating_sub(received);
    histogram!("fulmar_gateway_budget_seconds").record(waited.as_secs_f64());
    let limit = req.end().saturating_sub(gw.now());
    let engine = req.service.engine.as_ref();
    let per_event = engine.map_or(1, |engine| engine.tokens_per_event);
    let meter = meter::Meter::new(reservation, req.need.input, per_event);
    let mut stream = relay::Stream::new(meter);
    let work = attempts(gw, caller, &req, story, &mut stream, close);
    if let Some(done) = gw.timers.within(limit, work).await {
        return done;
    }
    let may_have_run = stream.meter.may_have_run();
    stream.meter.sent(may_have_run);
    if stream.is_begun {
        return Err(Stop::Broken("the route's timeout passed".to_owned()));
    }
    let message = "the route's timeout passed";
    match may_have_run {
        true => Err(Refusal::new(Code::DeadlinePassed, message).into()),
        false => Err(Refusal::new(Code::Overloaded, message).into()),
    }
}

/// Tells what an admitted request was judged by.
fn tell_admitted(gw: &core::Gateway, story: &story::Story, req: &Admitted) {
    let workspace = req.out.workspace.as_ref();
    tracing::info!(
        id = story.id,
        route = %req.route.name,
        workspace = workspace.map_or("", |workspace| &workspace.name),
        tokens = req.need.at_most(),
        left = workspace.map_or(0, |workspace| budget::available(gw, &workspace.name)),
        config = gw.deployment().map_or(0, |deployment| deployment.version),
        config_age_ms = gw.now().saturating_sub(gw.config_heard.get()).as_millis() as u64,
        "request: admitted"
    );
}

async fn set_aside(
    gw: &Rc<core::Gateway>,
    req: &Admitted,
    story: &story::Story,
) -> Result<Option<budget::Reservation>, Refusal> {
    let Some(workspace) = &req.out.workspace else {
        return Ok(None);
    };
    if workspace.prepaid_tokens.is_none() || req.need.at_most() == 0 {
        return Ok(None);
    }
    let tokens = req.need.at_most();
    let id = story.is_sampled().then(|| name::Name::from(&*story.id));
    let reserved = budget::reserve(gw, &workspace.name, tokens, id).await;
    reserved.map(Some).map_err(|short| match short {
        budget::Short::Exhausted => {
            let name = &workspace.name;
            let message = format!("{tokens} tokens are not left in the budget of {name}");
            Refusal::new(Code::BudgetSpent, message)
        }
        budget::Short::Unreachable => {
            let name = &workspace.name;
            let message = format!("{tokens} tokens of {name} could not be reached in time");
            Refusal::new(Code::BudgetUnreachable, message).retry_after(COME_BACK)
        }
    })
}

/// Sends the request until a server's answer is passed on or nothing may be tried any more.
async fn attempts(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    story: &story::Story,
    stream: &mut relay::Stream,
    close: bool,
) -> Result<(), Stop> {
    let service = &req.service.name;
    gw.repeats.borrow_mut().count_request(service, gw.now());
    let mut attempts = attempts::Attempts::new(attempts::Limits {
        max_runs: req.route.max_attempts,
        is_repeatable: req.route.kind.is_repeatable(),
    });
    loop {
        if attempts.count() > 0 && !may_repeat(gw, service) {
            return Err(give_up(stream, "the repeats of the service are used up"));
        }
        let Some(server) = choose(gw, req, &attempts) else {
            return Err(give_up(stream, "no backend server is available"));
        };
        attempts.record_send(&server.id);
        if story.is_sampled() {
            let running = gw.placing.borrow().running(&server.id);
            let (id, left) = (&story.id, req.left(gw.now()).as_millis() as u64);
            tracing::info!(id, server = %server.id, running, left, "request: sent");
        }
        let began = gw.now();
        let end = one_attempt(gw, caller, req, &server, stream, close).await;
        let now = gw.now();
        let (cause, not_run) = match end {
            End::Done => {
                let took = gw.now().saturating_sub(began);
                histogram!("fulmar_gateway_server_seconds").record(took.as_secs_f64());
                gw.ejection.borrow_mut().record_success(&server.id);
                return Ok(());
            }
            End::CallerGone(cause) => return Err(Stop::Broken(cause)),
            End::NotRun(cause) => (cause, true),
            End::Failed(cause) => (cause, false),
        };
        gw.ejection.borrow_mut().record_failure(&server.id, now);
        if story.tells_failure() {
            let (id, sends, server) = (&story.id, attempts.count(), &server.id);
            tracing::info!(id, %server, sends, not_run, cause, "request: attempt failed");
        }
        let allowed = attempts.record_failure(not_run, stream.meter.may_have_run());
        if !allowed || req.left(now).is_zero() {
            return Err(give_up(stream, &cause));
        }
        counter!("fulmar_gateway_repeats_total").increment(1);
    }
}

/// Takes one of the repeats that the service has left.
fn may_repeat(gw: &core::Gateway, service: &name::Name) -> bool {
    let mut repeats = gw.repeats.borrow_mut();
    repeats.take_retry(service, gw.allowance(), gw.routers(), gw.now())
}

/// Ends a request that is not sent again: by a refusal, or, where a stream has begun, by the end of
/// the connection.
fn give_up(stream: &relay::Stream, cause: &str) -> Stop {
    if stream.is_begun {
        return Stop::Broken(cause.to_owned());
    }
    let refusal = match stream.meter.may_have_run() {
        true => Refusal::new(Code::BackendFailed, cause),
        false => Refusal::new(Code::NoBackend, cause).retry_after(COME_BACK),
    };
    refusal.into()
}

fn choose(
    gw: &core::Gateway,
    req: &Admitted,
    attempts: &attempts::Attempts,
) -> Option<Arc<server::Server>> {
    let ready = directory::ready(gw, &req.service.name);
    let now = gw.now();
    let (ejection, placing) = (gw.ejection.borrow(), gw.placing.borrow());
    attempts.choose_server(
        &ready,
        |id| ejection.admits(id, now),
        |servers| placing.choose_server(servers, req.part, fastrand::u64(..)),
    )
}

/// How one attempt ended.
enum End {
    Done,
    CallerGone(String),
    NotRun(String),
    Failed(String),
}

async fn one_attempt(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    server: &Arc<server::Server>,
    stream: &mut relay::Stream,
    close: bool,
) -> End {
    let began = gw.now();
    let left = req.left(began);
    let last_event = stream.last_id.clone();
    stream.meter.sending();
    let sent = exchange::attempt(gw, &req.out, server, left, last_event.as_deref()).await;
    let not_run = match &sent {
        Ok(answer) => headers::says_not_run(&answer.head),
        Err(failure) => matches!(failure, exchange::Failure::NotRun(_)),
    };
    stream.meter.sent(!not_run);
    let mut answer = match sent {
        Ok(answer) => answer,
        Err(exchange::Failure::NotRun(cause)) => return End::NotRun(cause),
        Err(exchange::Failure::MayHaveRun(cause)) => return End::Failed(cause),
    };
    let waited = gw.now().saturating_sub(began);
    histogram!("fulmar_gateway_first_byte_seconds").record(waited.as_secs_f64());
    let status = answer.head.status;
    if not_run {
        let drained = relay::read_plain(&mut answer).await;
        if drained.is_ok() {
            answer.finish(gw);
        }
        return End::NotRun(format!("the server turned it away with status {status}"));
    }
    if !headers::is_signed(&answer.head) {
        return End::Failed(format!("an unsigned answer with status {status}"));
    }
    if status == 200 && req.route.kind.is_stream() {
        return pass_stream(gw, caller, answer, stream, close).await;
    }
    if stream.is_begun {
        return End::Failed(format!("status {status} instead of the rest of a stream"));
    }
    pass_plain(gw, caller, req, answer, close).await
}

async fn pass_stream(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    mut answer: exchange::Answer,
    stream: &mut relay::Stream,
    close: bool,
) -> End {
    match stream.pass(caller, &mut answer, close).await {
        Ok(()) => {
            answer.finish(gw);
            End::Done
        }
        Err(relay::Broken::Caller(err)) => End::CallerGone(err.to_string()),
        Err(relay::Broken::Server(err)) => End::Failed(format!("broken off: {err}")),
    }
}

async fn pass_plain(
    gw: &Rc<core::Gateway>,
    caller: &mut conn::Conn,
    req: &Admitted,
    mut answer: exchange::Answer,
    close: bool,
) -> End {
    let status = answer.head.status;
    let body = match relay::read_plain(&mut answer).await {
        Ok(body) => body,
        Err(err) => return End::Failed(cut_short(&err)),
    };
    let head = answer.head.clone();
    answer.finish(gw);
    // A failure that may be repeated is tried elsewhere; the caller repeats it otherwise.
    if status >= 500 && req.route.kind.is_repeatable() && req.route.max_attempts > 1 {
        return End::Failed(format!("the server failed with status {status}"));
    }
    match relay::send_plain(caller, &head, &body, close).await {
        Ok(()) => End::Done,
        Err(err) => End::CallerGone(err.to_string()),
    }
}

fn cut_short(err: &fault::Fault) -> String {
    format!("the answer was cut short: {err}")
}
