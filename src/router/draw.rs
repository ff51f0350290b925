//! Draws tokens from other routers, and gives them.

use std::{sync::PoisonError, time::Duration};

use futures::future::join_all;
use metrics::counter;

use crate::{
    coordination::draw as steps,
    protocol::messages,
    router::{Router, record_writer},
    state::{member, name},
};

const LIMIT: Duration = Duration::from_secs(1);

/// What a round of draws brought.
#[derive(Clone, Copy, Debug, Default)]
pub struct Drawn {
    /// Whether the router now has the tokens that it wanted.
    pub enough: bool,
    /// Whether every peer answered.
    pub everything: bool,
    /// Tokens that the peers still have available.
    pub free: u64,
}

/// Asks the peers for the tokens missing from `tokens`, first each for its part, then for all.
pub async fn draw_from_peers(router: &Router, budget: &name::Name, tokens: u64) -> Drawn {
    let mut drawn = Drawn::default();
    if record_writer::ensure_exists(router).await.is_err() {
        return drawn;
    }
    let (version, now) = (router.config().config.version, router.runtime.timers.now());
    if router
        .escrow
        .with(budget, |a| a.dry_peers.holds(version, now))
    {
        drawn.everything = true;
        return drawn;
    }
    let peers = router.peers.lock().unwrap().clone();
    drawn.everything = true;
    for share in [peers.len().max(1) as u64, 1] {
        let missing = missing(router, budget, tokens);
        if missing == 0 {
            break;
        }
        let wanted = missing.div_ceil(share);
        let asked = peers.iter().map(|peer| ask(router, peer, budget, wanted));
        let replies = join_all(asked).await;
        drawn.everything = replies.iter().all(Option::is_some);
        drawn.free = replies.into_iter().flatten().sum();
        if drawn.free == 0 {
            break;
        }
    }
    drawn.enough = missing(router, budget, tokens) == 0;
    if drawn.everything && drawn.free == 0 && !drawn.enough {
        router
            .escrow
            .with(budget, |a| a.dry_peers.note(version, now));
    }
    let result = if drawn.enough { "enough" } else { "short" };
    counter!("fulmar_draws", "result" => result).increment(1);
    drawn
}

fn missing(router: &Router, budget: &name::Name, tokens: u64) -> u64 {
    let available = router.escrow.with(budget, |account| account.available());
    tokens.saturating_sub(available)
}

/// Asks one peer; returns what it has left, `None` when it does not answer.
async fn ask(router: &Router, peer: &name::Name, budget: &name::Name, wanted: u64) -> Option<u64> {
    let giver = incarnation(router, peer).await?;
    if barred(router, giver) {
        return None;
    }
    let received = router.escrow.with(budget, |a| steps::received(a, giver));
    let call = messages::RouterCall::Draw {
        giver,
        asker: router.member.incarnation,
        budget: budget.clone(),
        received,
        wanted,
    };
    let asked = (router.fleet.router)(peer.clone(), call);
    match router.runtime.timers.within(LIMIT, asked).await {
        Some(Ok(messages::RouterReply::Drawn { given, free })) => {
            accept(router, giver, budget, given);
            Some(free)
        }
        _ => {
            router.billing.peers.lock().unwrap().remove(peer);
            None
        }
    }
}

fn barred(router: &Router, other: member::Incarnation) -> bool {
    let promised = &router.billing.promised;
    let promised = promised.read().unwrap_or_else(PoisonError::into_inner);
    promised.contains(&other)
}

fn accept(router: &Router, giver: member::Incarnation, budget: &name::Name, given: u64) {
    let promised = &router.billing.promised;
    let promised = promised.read().unwrap_or_else(PoisonError::into_inner);
    if promised.contains(&giver) {
        return;
    }
    let tokens = router
        .escrow
        .with(budget, |account| steps::accept(account, giver, given));
    counter!("fulmar_drawn_tokens").increment(tokens);
}

/// Incarnation of the router at an address.
pub async fn incarnation(router: &Router, peer: &name::Name) -> Option<member::Incarnation> {
    if let Some(known) = router.billing.peers.lock().unwrap().get(peer) {
        return Some(*known);
    }
    let found = ask_incarnation(router, peer).await?;
    let mut peers = router.billing.peers.lock().unwrap();
    peers.insert(peer.clone(), found);
    Some(found)
}

/// Asks the router at an address for its incarnation.
pub async fn ask_incarnation(router: &Router, peer: &name::Name) -> Option<member::Incarnation> {
    let asked = (router.fleet.router)(peer.clone(), messages::RouterCall::Status);
    let answer = router.runtime.timers.within(LIMIT, asked).await;
    let Some(Ok(messages::RouterReply::Status(text))) = answer else {
        return None;
    };
    let status: serde_json::Value = serde_json::from_str(&text).ok()?;
    status["member"]["incarnation"].as_u64()
}

/// Gives tokens to another router, lowering the own figure first.
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
    let promised = &router.billing.promised;
    let promised = promised.read().unwrap_or_else(PoisonError::into_inner);
    if promised.contains(&asker) {
        return None;
    }
    let (given, free) = router.escrow.with(&budget, |account| {
        let given = steps::give(account, asker, received, wanted);
        (given, account.available())
    });
    Some(messages::RouterReply::Drawn { given, free })
}
