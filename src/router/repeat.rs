//! Repeats of calls that were claimed before: answered from a kept answer, and never run again.

use std::sync::Arc;

use crate::{
    code::Code,
    coordination::claims::Claimed,
    protocol::messages,
    router::{
        Router, exchange,
        pull::{Next, Pull},
        request, target,
    },
    transport::timers,
};

/// Answers a repeat of a claimed call: never by running it, but from a kept answer if there is one.
pub async fn answer(
    router: &Arc<Router>,
    req: &request::Request,
    found: Claimed,
    deadline: timers::Now,
) -> Result<exchange::Answer, request::Refusal> {
    let claim = match found {
        Claimed::AlreadyClaimed(claim) => claim,
        Claimed::Refused(code) => return Err(claim_refusal(code, req)),
        Claimed::New => unreachable!("a new claim is dispatched"),
    };
    let agent = {
        let now = router.runtime.timers.now();
        let roster = router.roster.lock().unwrap();
        let known: Vec<_> = roster.available(&req.services, now).collect();
        target::home(&target::with_leaving(&roster, known, req, now), req, &[])
            .map(|agent| agent.member.clone())
    };
    if let Some(agent) = agent {
        let resume = messages::Resume {
            agent: agent.incarnation,
            id: claim.id.clone(),
            offset: 0,
            holder: router.member.incarnation,
        };
        let attempt = (router.fleet.resume)(agent.address.clone(), resume);
        let mut pull = Pull::new(router.clone(), agent, claim.id.clone(), attempt, deadline);
        match pull.next().await {
            Next::Chunk(first) => return Ok(replay(router.clone(), pull, first)),
            Next::End(outcome) if outcome.code == Code::Ok => return Ok(exchange::empty(outcome)),
            Next::End(_) => {}
        }
    }
    let known = claim.outcome.and_then(Code::from_number);
    let outcome = known.map_or("is not known".to_owned(), |code| format!("was {code}"));
    let message = format!("the call was claimed before and its outcome {outcome}");
    let mut refusal = request::Refusal::not_run(Code::AlreadyClaimed, message);
    refusal.may_have_run = true;
    Err(refusal)
}

fn claim_refusal(code: Code, req: &request::Request) -> request::Refusal {
    let message = match code {
        Code::KeyReused => format!("key {:?} came with another body", req.key),
        Code::KeyExpired => format!("key {:?} is past its retention", req.key),
        _ => "the call could not be claimed in the store".to_owned(),
    };
    let mut refusal = request::Refusal::not_run(code, message);
    refusal.may_have_run = code == Code::KeyExpired;
    match code {
        Code::ClaimUnavailable => refusal.retry_after(exchange::BUSY_RETRY),
        _ => refusal,
    }
}

/// Sends a kept answer again; it costs nothing.
fn replay(router: Arc<Router>, mut pull: Pull, first: Vec<u8>) -> exchange::Answer {
    let (tx, chunks) = async_channel::bounded(exchange::CHUNKS_TO_CALLER);
    let (end_tx, end) = async_channel::bounded(1);
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let _in_flight = exchange::InFlight::new(&router);
        let mut next = Next::Chunk(first);
        let outcome = loop {
            let chunk = match next {
                Next::Chunk(chunk) => chunk,
                Next::End(outcome) => break outcome,
            };
            if tx.send(chunk).await.is_err() {
                return;
            }
            next = pull.next().await;
        };
        drop(tx);
        let _ = end_tx.send(outcome).await;
    });
    exchange::Answer { chunks, end }
}
