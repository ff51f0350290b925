//! Transfers tokens between routers: draws missing tokens from others and answers their draws.

use std::{sync::PoisonError, time::Duration};

use futures::future::join_all;
use metrics::counter;

use crate::{
    coordination::draw as transfer,
    protocol::messages,
    router::{Router, record_writer},
    state::{member, name},
};

/// Longest wait for the answer of another router.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of addresses whose routers are kept in mind; routers are replaced, and most have a new address then.
const MAX_KNOWN_PEERS: usize = 4096;

/// Result of drawing tokens from the other routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drawn {
    /// Whether this router now has enough tokens available.
    pub enough: bool,
    /// Whether every peer answered in the last round, or none needed to be asked.
    pub all_answered: bool,
    /// Tokens that the peers had left after the last round.
    pub free: u64,
}

/// Draws from the other routers until `tokens` are available here.
///
/// The first round asks each peer for an equal part of the missing tokens, the second round asks
/// each for all that are still missing. Asks nobody while the peers are known to have none.
pub async fn draw_from_peers(router: &Router, budget: &name::Name, tokens: u64) -> Drawn {
    let mut drawn = Drawn::default();
    if record_writer::ensure_exists(router).await.is_err() {
        return drawn;
    }
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    if router
        .escrow
        .with_account(budget, |a| a.peers_empty.is_current(version, now))
    {
        drawn.all_answered = true;
        return drawn;
    }
    let peers = router.peers.lock().unwrap().clone();
    drawn.all_answered = true;
    for share in [peers.len().max(1) as u64, 1] {
        let missing = missing_tokens(router, budget, tokens);
        if missing == 0 {
            break;
        }
        let wanted = missing.div_ceil(share);
        let calls = peers
            .iter()
            .map(|peer| ask_peer(router, peer, budget, wanted));
        let replies = join_all(calls).await;
        drawn.all_answered = replies.iter().all(Option::is_some);
        drawn.free = replies.into_iter().flatten().sum();
        if drawn.free == 0 {
            break;
        }
    }
    drawn.enough = missing_tokens(router, budget, tokens) == 0;
    if drawn.all_answered && drawn.free == 0 && !drawn.enough {
        router
            .escrow
            .with_account(budget, |a| a.peers_empty.set(version, now));
    }
    let result = if drawn.enough { "enough" } else { "short" };
    counter!("fulmar_draws", "result" => result).increment(1);
    drawn
}

/// Tokens by which the available ones fall short of `tokens`.
fn missing_tokens(router: &Router, budget: &name::Name, tokens: u64) -> u64 {
    let available = router
        .escrow
        .with_account(budget, |account| account.available());
    tokens.saturating_sub(available)
}

/// Draws from one peer; returns the tokens that it has left, `None` without an answer.
async fn ask_peer(
    router: &Router,
    peer: &name::Name,
    budget: &name::Name,
    wanted: u64,
) -> Option<u64> {
    let giver = incarnation_at(router, peer).await?;
    if is_blocked(router, giver) {
        return None;
    }
    let received = router
        .escrow
        .with_account(budget, |a| transfer::received(a, giver));
    let call = messages::RouterCall::Draw {
        giver,
        asker: router.member.incarnation,
        budget: budget.clone(),
        received,
        wanted,
    };
    let reply = (router.fleet.router)(peer.clone(), call);
    match router.runtime.timers.within(CALL_TIMEOUT, reply).await {
        Some(Ok(messages::RouterReply::Drawn { given, free })) => {
            record_received(router, giver, budget, given);
            Some(free)
        }
        _ => {
            router
                .billing
                .peer_incarnations
                .lock()
                .unwrap()
                .remove(peer);
            None
        }
    }
}

/// Whether this router exchanges no more tokens with another one.
fn is_blocked(router: &Router, other: member::Incarnation) -> bool {
    let blocked = &router.billing.blocked_holders;
    let blocked = blocked.read().unwrap_or_else(PoisonError::into_inner);
    blocked.contains(&other)
}

/// Records the cumulative number of tokens that another router has given.
///
/// Holds the lock on the blocked holders meanwhile, so that no transfer is recorded after a block.
fn record_received(router: &Router, giver: member::Incarnation, budget: &name::Name, given: u64) {
    let blocked = &router.billing.blocked_holders;
    let blocked = blocked.read().unwrap_or_else(PoisonError::into_inner);
    if blocked.contains(&giver) {
        return;
    }
    let tokens = router
        .escrow
        .with_account(budget, |account| transfer::accept(account, giver, given));
    counter!("fulmar_drawn_tokens").increment(tokens);
}

/// Incarnation of the router at an address; asks for it when it is not known.
pub async fn incarnation_at(router: &Router, peer: &name::Name) -> Option<member::Incarnation> {
    if let Some(known) = router.billing.peer_incarnations.lock().unwrap().get(peer) {
        return Some(*known);
    }
    let found = query_incarnation(router, peer).await?;
    let mut peers = router.billing.peer_incarnations.lock().unwrap();
    if peers.len() >= MAX_KNOWN_PEERS {
        // They are asked again when they are needed.
        peers.clear();
    }
    peers.insert(peer.clone(), found);
    Some(found)
}

/// Asks the router at an address for its incarnation.
pub async fn query_incarnation(router: &Router, peer: &name::Name) -> Option<member::Incarnation> {
    let reply = (router.fleet.router)(peer.clone(), messages::RouterCall::Status);
    let answer = router.runtime.timers.within(CALL_TIMEOUT, reply).await;
    let Some(Ok(messages::RouterReply::Status(text))) = answer else {
        return None;
    };
    let status: serde_json::Value = serde_json::from_str(&text).ok()?;
    status["member"]["incarnation"].as_u64()
}

/// Answers the draw of another router.
///
/// Deducts the tokens before it answers: a lost answer then cannot create tokens. Holds the lock
/// on the blocked holders meanwhile, so that no transfer is recorded after a block.
pub async fn answer(router: &Router, call: messages::RouterCall) -> Option<messages::RouterReply> {
    let messages::RouterCall::Draw {
        giver,
        asker,
        budget,
        received,
        wanted,
    } = call
    else {
        return None;
    };
    if giver != router.member.incarnation || router.billing.is_fenced() {
        return None;
    }
    record_writer::ensure_exists(router).await.ok()?;
    let blocked = &router.billing.blocked_holders;
    let blocked = blocked.read().unwrap_or_else(PoisonError::into_inner);
    if blocked.contains(&asker) {
        return None;
    }
    let (given, free) = router.escrow.with_account(&budget, |account| {
        let given = transfer::give(account, asker, received, wanted);
        (given, account.available())
    });
    Some(messages::RouterReply::Drawn { given, free })
}
