//! One request, from reservation to settlement.

use std::sync::Arc;

use metrics::counter;

use crate::{
    code::Code,
    coordination::balance,
    protocol::run,
    router::{Router, billing, request, resolve},
    state::{member, name},
    transport::{fleet, timers},
};

const ATTEMPTS: u32 = 3;
const CHUNKS_TO_CALLER: usize = 32;

/// Parts of an answer, and at last how it ended.
pub struct Answer {
    /// Parts in order.
    pub chunks: async_channel::Receiver<Vec<u8>>,
    /// How the answer ended; sent after the last part.
    pub end: async_channel::Receiver<run::RunOutcome>,
}

/// An agent that was chosen.
struct Target {
    member: member::Member,
    service: name::Name,
}

/// Runs a request until its answer begins.
///
/// # Errors
///
/// A refusal that tells whether the request may have run.
pub async fn start(
    router: &Arc<Router>,
    req: &request::Request,
) -> Result<Answer, request::Refusal> {
    let arrived = router.runtime.timers.now();
    let reserved = billing::reserve(router, &req.budget, req.bound).await;
    reserved.map_err(|code| budget_refusal(code, req))?;
    let mut tried = Vec::new();
    let mut last = request::Refusal::not_run(Code::NoBackend, "no backend server is available");
    for number in 0..ATTEMPTS {
        let Some(target) = choose(router, req, &tried) else {
            break;
        };
        tried.push(target.member.name.clone());
        let left = req
            .deadline
            .saturating_sub(router.runtime.timers.now() - arrived);
        let message = compose(router, req, &target, number, left);
        let attempt = (router.fleet.run)(target.member.address.clone(), message);
        match begin(router, req, target, attempt, left).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) if refusal.may_have_run => return Err(refusal),
            Err(refusal) => {
                let reason = refusal.code.to_string();
                counter!("fulmar_retries", "reason" => reason).increment(1);
                last = refusal;
            }
        }
    }
    router.escrow.release(&req.budget, req.bound);
    Err(last)
}

fn budget_refusal(code: Code, req: &request::Request) -> request::Refusal {
    let message = format!(
        "budget {:?} has no {} tokens to reserve",
        req.budget, req.bound
    );
    request::Refusal::not_run(code, message)
}

fn choose(router: &Router, req: &request::Request, tried: &[name::Name]) -> Option<Target> {
    let now = router.runtime.timers.now();
    let mut roster = router.roster.lock().unwrap();
    let mut candidates: Vec<_> = roster.available(&req.services, now).collect();
    candidates.retain(|agent| router.registry.admits(agent.member.incarnation));
    let zone = &router.member.zone;
    let agent = balance::choose(&candidates, zone, tried, &mut router.runtime.rng())?;
    let target = Target {
        member: agent.member.clone(),
        service: agent.service.clone(),
    };
    roster.count(&target.member.name, 1);
    Some(target)
}

fn compose(
    router: &Router,
    req: &request::Request,
    target: &Target,
    attempt: u32,
    left: timers::Now,
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
        acked: router.billing.acked(target.member.incarnation),
        key: req.key.clone(),
        fingerprint: req.fingerprint,
        body: req.body.clone(),
        path: String::new(),
        method: String::new(),
        stream: req.stream,
        solo: false,
        prefix: 0,
        idempotent: req.route.idempotent,
    }
}

/// Waits for the first part of the answer; a refused attempt leaves the reservation as it is.
async fn begin(
    router: &Arc<Router>,
    req: &request::Request,
    target: Target,
    attempt: fleet::Attempt,
    left: timers::Now,
) -> Result<Answer, request::Refusal> {
    let first = router
        .runtime
        .timers
        .within(left, attempt.chunks.recv())
        .await;
    if let Some(Ok(first)) = first {
        return Ok(relay(router.clone(), req, target, attempt, first));
    }
    drop(attempt.chunks);
    let outcome = attempt.outcome.recv().await;
    router.roster.lock().unwrap().count(&target.member.name, -1);
    let outcome = outcome.unwrap_or_else(|_| fleet::lost("the attempt was lost"));
    if outcome.code == Code::NoBackend {
        router.roster.lock().unwrap().suspect(&target.member.name);
    }
    if outcome.ran {
        settle(router, req, &target, &outcome);
    }
    Err(request::Refusal {
        code: outcome.code,
        message: outcome.message,
        may_have_run: outcome.ran,
        retry_after: None,
    })
}

fn relay(
    router: Arc<Router>,
    req: &request::Request,
    target: Target,
    attempt: fleet::Attempt,
    first: Vec<u8>,
) -> Answer {
    let (tx, chunks) = async_channel::bounded(CHUNKS_TO_CALLER);
    let (end_tx, end) = async_channel::bounded(1);
    let req = req.clone();
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let mut next = Some(first);
        while let Some(chunk) = next {
            if tx.send(chunk).await.is_err() {
                break;
            }
            next = attempt.chunks.recv().await.ok();
        }
        drop(attempt.chunks);
        let outcome = attempt
            .outcome
            .recv()
            .await
            .unwrap_or_else(|_| fleet::lost("the attempt was lost"));
        router.roster.lock().unwrap().count(&target.member.name, -1);
        settle(&router, &req, &target, &outcome);
        let _ = end_tx.send(outcome).await;
    });
    Answer { chunks, end }
}

/// Counts the charge of an attempt; without a receipt the reservation stays.
fn settle(router: &Router, req: &request::Request, target: &Target, outcome: &run::RunOutcome) {
    if let Some(receipt) = &outcome.receipt {
        router.escrow.settle(target.member.incarnation, receipt);
        router.escrow.release(&req.budget, req.bound);
    } else if !outcome.ran {
        router.escrow.release(&req.budget, req.bound);
    } else {
        resolve::later(router, req, &target.member);
    }
}
