//! The life of one request: queueing, reservation of tokens, attempts at agents, and settlement.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use metrics::counter;

use crate::{
    code::Code,
    coordination::{claims::Claimed, crashes, memory::account::Phase, retry},
    protocol::run,
    router::{
        Router,
        attempt_reader::{AttemptEvent, AttemptReader},
        billing, body_reading, claims, config_sync, lost_attempts, memory, queue, repeat, request,
        target,
    },
    state::name,
    transport::timers,
};

/// Chunks of an answer that are buffered for a slow caller.
pub const CALLER_BUFFER_CHUNKS: usize = 32;

/// Time within which a caller must take the next chunk of its answer; after that it counts as gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay that a refused caller is told to wait when the cause is expected to pass soon, such as
/// having no available backend server.
pub const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Arc<Router>);

impl InFlight {
    /// Adds one request in flight.
    pub fn new(router: &Arc<Router>) -> Self {
        router.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(router.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A running answer: its chunks, then its outcome.
pub struct Answer {
    /// Chunks of the answer, in order.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// Outcome of the answer; sent after the last chunk.
    pub end: async_channel::Receiver<run::RunOutcome>,
    /// Charge for the chunks that the caller has not taken, if they are charged.
    pub holding: Option<Arc<memory::Holding>>,
}

/// Channel on which the caller waits for its answer; closed when the caller has disconnected.
type CallerChannel = async_channel::Sender<Result<Answer, request::Refusal>>;

/// State shared by all attempts of a request.
struct RequestContext<'a> {
    caller: &'a CallerChannel,
    deadline: timers::Now,
    permit: Arc<queue::Permit>,
}

/// Result of starting an attempt.
enum AttemptStart {
    /// The answer has begun, or has already ended without any bytes.
    Answer(Answer),
    /// The attempt ended before the first chunk of an answer.
    Failed(run::RunOutcome),
}

/// Starts a request and waits until its answer begins. The request is a task of its own and
/// continues when the returned future is dropped.
///
/// # Errors
///
/// A refusal, which states whether the request may have run.
pub async fn start(
    router: &Arc<Router>,
    req: &request::Request,
) -> Result<Answer, request::Refusal> {
    let (tx, rx) = async_channel::bounded(1);
    let (runtime, router, req) = (router.runtime.clone(), router.clone(), req.clone());
    runtime.spawn(async move {
        let _in_flight = InFlight::new(&router);
        let started = run_request(&router, &req, &tx).await;
        let _ = tx.send(started).await;
    });
    rx.recv().await.unwrap_or_else(|_| {
        let mut lost = request::Refusal::not_run(Code::Internal, "the request was lost");
        lost.may_have_run = true;
        Err(lost)
    })
}

/// Runs a request up to the first chunk of its answer.
///
/// A call that must not run twice is claimed in the store before the first attempt. When no
/// attempt begins to answer, the claim is released if the call certainly did not run; otherwise the
/// failure is recorded with it.
async fn run_request(
    router: &Arc<Router>,
    req: &request::Request,
    caller: &CallerChannel,
) -> Result<Answer, request::Refusal> {
    let deadline = router.runtime.timers.now() + req.deadline;
    let solo = check_crashes(router, req)?;
    let permit = acquire_permit(router, req, caller, deadline).await?;
    let reserved = billing::reserve(router, &req.budget, req.bound).await;
    reserved.map_err(|code| budget_refusal(code, req))?;
    if req.must_claim() {
        match claims::claim(router, req).await {
            Claimed::New => {}
            found => {
                router.escrow.release(&req.budget, req.bound);
                return repeat::answer(router, req, found, deadline).await;
            }
        }
    }
    let context = RequestContext {
        caller,
        deadline,
        permit: Arc::new(permit),
    };
    let answer = run_attempts(router, req, &context, solo).await;
    if let Err(refusal) = &answer
        && req.must_claim()
    {
        match refusal.may_have_run {
            true => claims::record_outcome(router, req, refusal.code),
            false => claims::release(router, req),
        }
    }
    answer
}

/// Waits for a permit to run, until the caller disconnects.
async fn acquire_permit(
    router: &Arc<Router>,
    req: &request::Request,
    caller: &CallerChannel,
    deadline: timers::Now,
) -> Result<queue::Permit, request::Refusal> {
    let disconnected = async {
        caller.closed().await;
        let message = "the caller is gone";
        Err(request::Refusal::not_run(Code::CallerGone, message))
    };
    smol::future::or(queue::acquire(router, req, deadline), disconnected).await
}

/// Refuses a request that ran while several backend servers crashed; returns whether the request
/// must run alone because it is suspected of a crash.
fn check_crashes(router: &Router, req: &request::Request) -> Result<bool, request::Refusal> {
    let now = router.runtime.timers.now();
    let verdict = router.crashes.lock().unwrap().verdict(req.fingerprint, now);
    match verdict {
        crashes::Verdict::Run => Ok(false),
        crashes::Verdict::Solo => Ok(true),
        crashes::Verdict::Refuse(left) => {
            let message = "backend servers crashed while the same request ran";
            let refusal = request::Refusal::not_run(Code::CrashSuspect, message);
            Err(refusal.retry_after(left))
        }
    }
}

fn budget_refusal(code: Code, req: &request::Request) -> request::Refusal {
    let message = format!(
        "budget {:?} has no {} tokens to reserve",
        req.budget, req.bound
    );
    let refusal = request::Refusal::not_run(code, message);
    match code {
        Code::BudgetUnreachable => refusal.retry_after(BUSY_RETRY_AFTER),
        _ => refusal,
    }
}

/// Makes attempts until one begins to answer, or until a further attempt would be unsafe or past
/// the limits.
async fn run_attempts(
    router: &Arc<Router>,
    req: &request::Request,
    context: &RequestContext<'_>,
    mut solo: bool,
) -> Result<Answer, request::Refusal> {
    let timers = &router.runtime.timers;
    let pool = req.route.pools.first().cloned().unwrap_or_default();
    router.retries.lock().unwrap().count_request(&pool);
    let mut tried = Vec::new();
    let mut ran = false;
    let mut attempts = 0;
    let mut failures = 0;
    loop {
        let Some(target) = target::find(router, req, &tried, context.deadline).await else {
            router.escrow.release(&req.budget, req.bound);
            let mut refusal =
                request::Refusal::not_run(Code::NoBackend, "no backend server is available");
            refusal.may_have_run = ran;
            return Err(refusal.retry_after(BUSY_RETRY_AFTER));
        };
        let vm = target.member.name.clone();
        let left = context.deadline.saturating_sub(timers.now());
        let message = build_run_request(router, req, &target, attempts, left, solo);
        let outcome = match start_attempt(router, req, context, target, message).await {
            AttemptStart::Answer(answer) => return Ok(answer),
            AttemptStart::Failed(outcome) => outcome,
        };
        attempts += 1;
        ran |= outcome.ran;
        // An overloaded server refused the attempt without running it. That does not count as a
        // failure, and every server may be tried again.
        let full = outcome.code == Code::Overloaded && !outcome.ran;
        match full {
            true => tried.clear(),
            false => tried.push(vm),
        }
        failures += u32::from(!full);
        let retry = (full || may_retry(router, req, &pool, &outcome, failures))
            && wait_before_retry(router, &outcome, attempts, context.deadline).await;
        if !retry {
            if !outcome.ran {
                router.escrow.release(&req.budget, req.bound);
            }
            let mut refusal = refusal_of(&outcome);
            refusal.may_have_run |= ran;
            return Err(refusal);
        }
        let reason = outcome.code.to_string();
        counter!("fulmar_retries", "reason" => reason).increment(1);
        solo |= outcome.code == Code::BackendCrashed;
        if outcome.ran {
            let reserved = billing::reserve(router, &req.budget, req.bound).await;
            reserved.map_err(|_| refusal_of(&outcome))?;
        }
    }
}

/// Whether the limits, the kind of failure, the crash records and the pool's retry budget allow
/// another attempt; takes one retry from that budget if so.
fn may_retry(
    router: &Router,
    req: &request::Request,
    pool: &name::Name,
    outcome: &run::RunOutcome,
    failures: u32,
) -> bool {
    let failure = retry::Failure {
        code: outcome.code,
        ran: outcome.ran,
        has_ended: outcome.receipt.is_some(),
    };
    failures < retry::MAX_ATTEMPTS
        && retry::is_safe(failure, req.idempotent)
        && check_crashes(router, req).is_ok()
        && router.retries.lock().unwrap().take_retry(pool)
}

/// Waits for the backoff before the next attempt. After a refusal for an outdated configuration it
/// first waits for the agent's version.
///
/// Returns false when the attempt must not be made: the configuration did not arrive, or the
/// deadline would have passed.
async fn wait_before_retry(
    router: &Router,
    outcome: &run::RunOutcome,
    attempts: u32,
    deadline: timers::Now,
) -> bool {
    let timers = &router.runtime.timers;
    let stale = outcome.code == Code::StaleConfig;
    if stale && !config_sync::wait_for_version(router, outcome.config).await {
        return false;
    }
    let delay = retry::backoff(attempts, &mut router.runtime.rng());
    if timers.now() + delay >= deadline {
        return false;
    }
    timers.sleep(delay).await;
    true
}

/// Converts the outcome of a failed attempt into the refusal that the caller gets.
pub fn refusal_of(outcome: &run::RunOutcome) -> request::Refusal {
    let is_transient = matches!(
        outcome.code,
        Code::Overloaded
            | Code::NoBackend
            | Code::Draining
            | Code::StaleConfig
            | Code::WrongAgent
            | Code::BackendRefused
    );
    request::Refusal {
        code: outcome.code,
        message: outcome.message.clone(),
        may_have_run: outcome.ran || outcome.code >= Code::BackendFailed,
        retry_after: is_transient.then(|| outcome.retry_after.max(BUSY_RETRY_AFTER)),
        key: None,
    }
}

fn build_run_request(
    router: &Router,
    req: &request::Request,
    target: &target::Target,
    attempt: u32,
    left: timers::Now,
    solo: bool,
) -> run::RunRequest {
    run::RunRequest {
        id: req.id.clone(),
        attempt,
        holder: router.member.incarnation,
        agent: target.member.incarnation,
        config: router.config().config.version,
        workspace: req.workspace.clone(),
        budget: req.budget.clone(),
        route: req.route.name.clone(),
        service: target.service.clone(),
        bound: req.bound,
        deadline: left,
        priority: req.route.priority,
        acked: router
            .billing
            .acknowledged_receipt(target.member.incarnation),
        key: req.key.clone(),
        fingerprint: req.fingerprint,
        body: req.body.clone(),
        path: req.path.clone(),
        method: req.method.clone(),
        stream: req.stream,
        solo,
        prefix: req.prefix,
        idempotent: req.idempotent,
    }
}

/// Starts an attempt and waits for the first chunk of its answer.
///
/// The reservation of an attempt that did not run is kept for the next attempt.
async fn start_attempt(
    router: &Arc<Router>,
    req: &request::Request,
    context: &RequestContext<'_>,
    target: target::Target,
    message: run::RunRequest,
) -> AttemptStart {
    let solo = message.solo;
    let agent = target.member.clone();
    let attempt = (router.fleet.run)(agent.address.clone(), message);
    let mut reader = AttemptReader::new(
        router.clone(),
        agent,
        req.id.clone(),
        attempt,
        context.deadline,
    );
    reader.hold(context.permit.clone());
    let disconnected = async {
        context.caller.closed().await;
        None
    };
    let next = smol::future::or(async { Some(reader.next().await) }, disconnected).await;
    let next = match next {
        Some(next) => next,
        None => AttemptEvent::End(abandon(req, &mut reader).await),
    };
    match next {
        AttemptEvent::Chunk(first) => {
            router
                .ejection
                .lock()
                .unwrap()
                .record_success(&target.member.name);
            AttemptStart::Answer(relay(router.clone(), req, target, reader, first, solo))
        }
        AttemptEvent::End(outcome) if outcome.code == Code::Ok => {
            record_outcome(router, req, &target, &outcome, solo);
            settle(router, req, &target, &outcome);
            AttemptStart::Answer(empty_answer(outcome))
        }
        AttemptEvent::End(outcome) => {
            record_outcome(router, req, &target, &outcome, solo);
            if outcome.ran {
                settle(router, req, &target, &outcome);
            }
            AttemptStart::Failed(outcome)
        }
    }
}

/// An answer that ended without any bytes.
pub fn empty_answer(outcome: run::RunOutcome) -> Answer {
    let (end_tx, end) = async_channel::bounded(1);
    let _ = end_tx.try_send(outcome);
    let (_, chunks) = async_channel::bounded(1);
    Answer {
        chunks,
        end,
        holding: None,
    }
}

/// Updates the roster, the ejection state, the crash records and the claim from the outcome of an
/// attempt.
fn record_outcome(
    router: &Arc<Router>,
    req: &request::Request,
    target: &target::Target,
    outcome: &run::RunOutcome,
    solo: bool,
) {
    let now = router.runtime.timers.now();
    let agent = &target.member;
    router.roster.lock().unwrap().add_in_flight(&agent.name, -1);
    if outcome.code == Code::NoBackend {
        router.roster.lock().unwrap().mark_suspect(&agent.name);
    }
    if matches!(
        outcome.code,
        Code::BackendFailed | Code::BackendRefused | Code::AgentLost | Code::BackendCrashed
    ) {
        router
            .ejection
            .lock()
            .unwrap()
            .record_failure(&agent.name, now);
    }
    let mut crashes = router.crashes.lock().unwrap();
    match outcome.code {
        Code::BackendCrashed if outcome.ran => {
            crashes.record_crash(agent.incarnation, req.fingerprint, now);
        }
        Code::Ok if solo && outcome.ran => crashes.clear(req.fingerprint, now),
        _ => {}
    }
    drop(crashes);
    if req.must_claim() && outcome.code == Code::Ok {
        claims::record_outcome(router, req, Code::Ok);
    }
}

/// Passes the chunks of an answer on to the caller in a task, then records the outcome and settles
/// the charge. When the caller has disconnected or is too slow, the rest is not passed on.
fn relay(
    router: Arc<Router>,
    req: &request::Request,
    target: target::Target,
    mut reader: AttemptReader,
    first: Vec<u8>,
    solo: bool,
) -> Answer {
    let (tx, chunks) = async_channel::bounded(CALLER_BUFFER_CHUNKS);
    let (end_tx, end) = async_channel::bounded(1);
    let req = req.clone();
    let runtime = router.runtime.clone();
    if let Some(caller) = &req.caller {
        body_reading::keep(&caller.request, req.body.len());
    }
    let holding = req.caller.as_ref().map(|it| Arc::new(it.open_response()));
    let charged = holding.clone();
    runtime.spawn(async move {
        let _in_flight = InFlight::new(&router);
        let mut next = AttemptEvent::Chunk(first);
        let mut largest = 0;
        let outcome = loop {
            let chunk = match next {
                AttemptEvent::Chunk(chunk) => chunk,
                AttemptEvent::End(outcome) => break outcome,
            };
            largest = largest.max(chunk.len());
            if !is_affordable(charged.as_deref(), tx.len(), largest).await {
                break abandon(&req, &mut reader).await;
            }
            let sent = router.runtime.timers.within(CALLER_TIMEOUT, tx.send(chunk));
            if !matches!(sent.await, Some(Ok(()))) {
                break abandon(&req, &mut reader).await;
            }
            let disconnected = async {
                tx.closed().await;
                None
            };
            let received =
                smol::future::or(async { Some(reader.next().await) }, disconnected).await;
            next = match received {
                Some(next) => next,
                None => break abandon(&req, &mut reader).await,
            };
        };
        // What is left waits for the caller.
        if let Some(charged) = charged {
            charged.set_phase(Phase::Caller);
        }
        drop(tx);
        record_outcome(&router, &req, &target, &outcome, solo);
        if req.must_claim() && outcome.code != Code::Ok {
            claims::record_outcome(&router, &req, outcome.code);
        }
        settle(&router, &req, &target, &outcome);
        let _ = end_tx.send(outcome).await;
    });
    Answer {
        chunks,
        end,
        holding,
    }
}

/// Charges the chunks of an answer that its caller has not taken, and the next one, each for the size of the largest so
/// far. The answer waits for its caller when there are several. False when memory is short.
async fn is_affordable(holding: Option<&memory::Holding>, waiting: usize, largest: usize) -> bool {
    let Some(holding) = holding else {
        return true;
    };
    // A caller that takes its chunks leaves one at most.
    holding.set_phase(match waiting > 1 {
        true => Phase::Caller,
        false => Phase::Server,
    });
    holding.charge((waiting + 1) * largest).await.is_ok()
}

/// Waits for the outcome of a request whose caller has disconnected.
///
/// Without an idempotency key the attempt is cancelled. With one it continues, because the caller
/// may repeat the request and read the answer then.
async fn abandon(req: &request::Request, reader: &mut AttemptReader) -> run::RunOutcome {
    counter!("fulmar_callers_gone").increment(1);
    reader.abandon();
    if req.key.is_empty() {
        reader.cancel();
    }
    reader.end().await
}

/// Charges the budget for an attempt, or releases the reservation when it did not run. The
/// reservation of an attempt that may have run, but whose receipt is missing, stays until its agent
/// reports the outcome or is known to have been replaced or removed.
fn settle(
    router: &Router,
    req: &request::Request,
    target: &target::Target,
    outcome: &run::RunOutcome,
) {
    if let Some(receipt) = &outcome.receipt {
        router
            .escrow
            .count_receipt(target.member.incarnation, receipt);
        router.escrow.release(&req.budget, req.bound);
    } else if !outcome.ran {
        router.escrow.release(&req.budget, req.bound);
    } else {
        lost_attempts::track(router, req, target);
    }
}
