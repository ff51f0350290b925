//! Repeats of calls that an idempotency key has claimed before. They are answered from the answer
//! that an agent kept, and never run again.

use std::sync::Arc;

use crate::{
    code::Code,
    coordination::claims::Claimed,
    protocol::messages,
    router::{
        Router,
        attempt_reader::{AttemptEvent, AttemptReader},
        dispatch, request, target,
    },
    transport::timers,
};

/// Answers a repeat of a claimed call from the answer that an agent kept.
///
/// The call is not run again. When no answer is kept, the caller is refused with the outcome of the
/// claimed call, as far as it is known.
pub async fn answer(
    router: &Arc<Router>,
    req: &request::Request,
    found: Claimed,
    deadline: timers::Now,
) -> Result<dispatch::Answer, request::Refusal> {
    let claim = match found {
        Claimed::AlreadyClaimed(claim) => claim,
        Claimed::Refused(code) => return Err(claim_refusal(code, req)),
        Claimed::New => unreachable!("a new claim is dispatched"),
    };
    let agent = {
        let now = router.runtime.timers.now();
        let roster = router.roster.lock().unwrap();
        let available: Vec<_> = roster.available(&req.services, now).collect();
        target::rendezvous_agent(
            &target::with_draining(&roster, available, req, now),
            req,
            &[],
        )
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
        let mut reader =
            AttemptReader::new(router.clone(), agent, claim.id.clone(), attempt, deadline);
        match reader.next().await {
            AttemptEvent::Chunk(first) => return Ok(replay(router.clone(), reader, first)),
            AttemptEvent::End(outcome) if outcome.code == Code::Ok => {
                return Ok(dispatch::empty_answer(outcome));
            }
            AttemptEvent::End(_) => {}
        }
    }
    let recorded = claim.outcome.and_then(Code::from_number);
    let outcome = recorded.map_or("is not known".to_owned(), |code| format!("was {code}"));
    let message = format!("the call was claimed before and its outcome {outcome}");
    let mut refusal = request::Refusal::not_run(Code::AlreadyClaimed, message);
    refusal.may_have_run = true;
    Err(refusal)
}

/// The refusal of a call that could not be claimed.
fn claim_refusal(code: Code, req: &request::Request) -> request::Refusal {
    let message = match code {
        Code::KeyReused => format!("key {:?} came with another body", req.key),
        Code::KeyExpired => format!("key {:?} is past its retention", req.key),
        _ => "the call could not be claimed in the store".to_owned(),
    };
    let mut refusal = request::Refusal::not_run(code, message);
    refusal.may_have_run = code == Code::KeyExpired;
    match code {
        Code::ClaimUnavailable => refusal.retry_after(dispatch::BUSY_RETRY_AFTER),
        _ => refusal,
    }
}

/// Passes a kept answer on to the caller; the budget is not charged again.
fn replay(router: Arc<Router>, mut reader: AttemptReader, first: Vec<u8>) -> dispatch::Answer {
    let (tx, chunks) = async_channel::bounded(dispatch::CALLER_BUFFER_CHUNKS);
    let (end_tx, end) = async_channel::bounded(1);
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let _in_flight = dispatch::InFlight::new(&router);
        let mut next = AttemptEvent::Chunk(first);
        let outcome = loop {
            let chunk = match next {
                AttemptEvent::Chunk(chunk) => chunk,
                AttemptEvent::End(outcome) => break outcome,
            };
            if tx.send(chunk).await.is_err() {
                return;
            }
            next = reader.next().await;
        };
        drop(tx);
        let _ = end_tx.send(outcome).await;
    });
    dispatch::Answer {
        chunks,
        end,
        holding: None,
    }
}
