//! One request, from reservation to settlement.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use metrics::counter;

use crate::{
    code::Code,
    coordination::{claims::Claimed, crashes, retry},
    protocol::run,
    router::{
        Router, billing, claims, config_sync, lost_attempts,
        pull::{Next, Pull},
        queue, repeat, request, target,
    },
    state::name,
    transport::timers,
};

/// Parts of an answer that may wait for the caller.
pub const CHUNKS_TO_CALLER: usize = 32;

/// Longest time that a caller may take for the next part of its answer.
const CALLER_LIMIT: Duration = Duration::from_secs(30);

/// When to come back if no backend server can take a request now.
pub const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Counts a request in flight while it lives.
pub struct InFlight(Arc<Router>);

impl InFlight {
    /// Counts one request more.
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

/// Parts of an answer, and at last how it ended.
pub struct Answer {
    /// Parts in order.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// How the answer ended; sent after the last part.
    pub end: async_channel::Receiver<run::RunOutcome>,
}

/// Where the caller waits for its answer; closed when the caller is gone.
type Caller = async_channel::Sender<Result<Answer, request::Refusal>>;

/// What the attempts of a request share.
struct Call<'a> {
    caller: &'a Caller,
    deadline: timers::Now,
    place: Arc<queue::Place>,
}

/// How an attempt began.
enum Begun {
    Answer(Answer),
    Failed(run::RunOutcome),
}

/// Runs a request until its answer begins; it runs on when the future is dropped.
///
/// # Errors
///
/// A refusal that tells whether the request may have run.
pub async fn start(
    router: &Arc<Router>,
    req: &request::Request,
) -> Result<Answer, request::Refusal> {
    let (tx, rx) = async_channel::bounded(1);
    let (runtime, router, req) = (router.runtime.clone(), router.clone(), req.clone());
    runtime.spawn(async move {
        let _in_flight = InFlight::new(&router);
        let started = carry_out(&router, &req, &tx).await;
        let _ = tx.send(started).await;
    });
    rx.recv().await.unwrap_or_else(|_| {
        let mut lost = request::Refusal::not_run(Code::Internal, "the request was lost");
        lost.may_have_run = true;
        Err(lost)
    })
}

async fn carry_out(
    router: &Arc<Router>,
    req: &request::Request,
    caller: &Caller,
) -> Result<Answer, request::Refusal> {
    let deadline = router.runtime.timers.now() + req.deadline;
    let solo = check_crashes(router, req)?;
    let place = take_place(router, req, caller, deadline).await?;
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
    let call = Call {
        caller,
        deadline,
        place: Arc::new(place),
    };
    let answer = dispatch(router, req, &call, solo).await;
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

/// Waits for a place among the requests that run, as long as the caller waits.
async fn take_place(
    router: &Arc<Router>,
    req: &request::Request,
    caller: &Caller,
    deadline: timers::Now,
) -> Result<queue::Place, request::Refusal> {
    let gone = async {
        caller.closed().await;
        let message = "the caller is gone";
        Err(request::Refusal::not_run(Code::CallerGone, message))
    };
    smol::future::or(queue::enter(router, req, deadline), gone).await
}

/// Refuses a request that was there at crashes; tells whether it must run alone.
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
        Code::BudgetUnreachable => refusal.retry_after(BUSY_RETRY),
        _ => refusal,
    }
}

/// Makes attempts until one begins to answer or another one would not be safe.
async fn dispatch(
    router: &Arc<Router>,
    req: &request::Request,
    call: &Call<'_>,
    mut solo: bool,
) -> Result<Answer, request::Refusal> {
    let timers = &router.runtime.timers;
    let pool = req.route.pools.first().cloned().unwrap_or_default();
    router.retries.lock().unwrap().count_request(&pool);
    let mut tried = Vec::new();
    let mut ran = false;
    let mut number = 0;
    let mut failures = 0;
    loop {
        let Some(target) = target::find(router, req, &tried, call.deadline).await else {
            router.escrow.release(&req.budget, req.bound);
            let mut refusal =
                request::Refusal::not_run(Code::NoBackend, "no backend server is available");
            refusal.may_have_run = ran;
            return Err(refusal.retry_after(BUSY_RETRY));
        };
        let vm = target.member.name.clone();
        let left = call.deadline.saturating_sub(timers.now());
        let message = compose(router, req, &target, number, left, solo);
        let outcome = match begin(router, req, call, target, message).await {
            Begun::Answer(answer) => return Ok(answer),
            Begun::Failed(outcome) => outcome,
        };
        number += 1;
        ran |= outcome.ran;
        let full = outcome.code == Code::Overloaded && !outcome.ran;
        match full {
            true => tried.clear(),
            false => tried.push(vm),
        }
        failures += u32::from(!full);
        let again = (full || may_retry(router, req, &pool, &outcome, failures))
            && await_turn(router, &outcome, number, call.deadline).await;
        if !again {
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

fn may_retry(
    router: &Router,
    req: &request::Request,
    pool: &name::Name,
    outcome: &run::RunOutcome,
    number: u32,
) -> bool {
    let failure = retry::Failure {
        code: outcome.code,
        ran: outcome.ran,
        has_ended: outcome.receipt.is_some(),
    };
    number < retry::MAX_ATTEMPTS
        && retry::is_safe(failure, req.idempotent)
        && check_crashes(router, req).is_ok()
        && router.retries.lock().unwrap().take_retry(pool)
}

/// Waits before another attempt; false when it would begin past the deadline.
async fn await_turn(
    router: &Router,
    outcome: &run::RunOutcome,
    number: u32,
    deadline: timers::Now,
) -> bool {
    let timers = &router.runtime.timers;
    let stale = outcome.code == Code::StaleConfig;
    if stale && !config_sync::wait_for_version(router, outcome.config).await {
        return false;
    }
    let pause = retry::backoff(number, &mut router.runtime.rng());
    if timers.now() + pause >= deadline {
        return false;
    }
    timers.sleep(pause).await;
    true
}

/// The refusal that a caller sees of an outcome.
pub fn refusal_of(outcome: &run::RunOutcome) -> request::Refusal {
    let helps = matches!(
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
        retry_after: helps.then(|| outcome.retry_after.max(BUSY_RETRY)),
        key: None,
    }
}

fn compose(
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

/// Waits for the first part of the answer; an attempt that did not run leaves the reservation.
async fn begin(
    router: &Arc<Router>,
    req: &request::Request,
    call: &Call<'_>,
    target: target::Target,
    message: run::RunRequest,
) -> Begun {
    let solo = message.solo;
    let agent = target.member.clone();
    let attempt = (router.fleet.run)(agent.address.clone(), message);
    let mut pull = Pull::new(
        router.clone(),
        agent,
        req.id.clone(),
        attempt,
        call.deadline,
    );
    pull.hold(call.place.clone());
    let gone = async {
        call.caller.closed().await;
        None
    };
    let next = smol::future::or(async { Some(pull.next().await) }, gone).await;
    let next = match next {
        Some(next) => next,
        None => Next::End(abandon(req, &mut pull).await),
    };
    match next {
        Next::Chunk(first) => {
            router
                .ejection
                .lock()
                .unwrap()
                .record_success(&target.member.name);
            Begun::Answer(relay(router.clone(), req, target, pull, first, solo))
        }
        Next::End(outcome) if outcome.code == Code::Ok => {
            ended(router, req, &target, &outcome, solo);
            settle(router, req, &target, &outcome);
            Begun::Answer(empty(outcome))
        }
        Next::End(outcome) => {
            ended(router, req, &target, &outcome, solo);
            if outcome.ran {
                settle(router, req, &target, &outcome);
            }
            Begun::Failed(outcome)
        }
    }
}

/// An answer with no bytes.
pub fn empty(outcome: run::RunOutcome) -> Answer {
    let (end_tx, end) = async_channel::bounded(1);
    let _ = end_tx.try_send(outcome);
    let (_, chunks) = async_channel::bounded(1);
    Answer { chunks, end }
}

/// Notes what an ended attempt tells about its backend server and its request.
fn ended(
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

fn relay(
    router: Arc<Router>,
    req: &request::Request,
    target: target::Target,
    mut pull: Pull,
    first: Vec<u8>,
    solo: bool,
) -> Answer {
    let (tx, chunks) = async_channel::bounded(CHUNKS_TO_CALLER);
    let (end_tx, end) = async_channel::bounded(1);
    let req = req.clone();
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let _in_flight = InFlight::new(&router);
        let mut next = Next::Chunk(first);
        let outcome = loop {
            let chunk = match next {
                Next::Chunk(chunk) => chunk,
                Next::End(outcome) => break outcome,
            };
            let sent = router.runtime.timers.within(CALLER_LIMIT, tx.send(chunk));
            if !matches!(sent.await, Some(Ok(()))) {
                break abandon(&req, &mut pull).await;
            }
            let gone = async {
                tx.closed().await;
                None
            };
            let arrived = smol::future::or(async { Some(pull.next().await) }, gone).await;
            next = match arrived {
                Some(next) => next,
                None => break abandon(&req, &mut pull).await,
            };
        };
        drop(tx);
        ended(&router, &req, &target, &outcome, solo);
        if req.must_claim() && outcome.code != Code::Ok {
            claims::record_outcome(&router, &req, outcome.code);
        }
        settle(&router, &req, &target, &outcome);
        let _ = end_tx.send(outcome).await;
    });
    Answer { chunks, end }
}

/// Waits for the outcome of a request whose caller is gone; with a key, it may come back.
async fn abandon(req: &request::Request, pull: &mut Pull) -> run::RunOutcome {
    counter!("fulmar_callers_gone").increment(1);
    pull.abandon();
    if req.key.is_empty() {
        pull.cancel();
    }
    pull.end().await
}

/// Counts the charge of an attempt; without a receipt the reservation stays.
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
