//! Acquires tokens of prepaid budgets when this router's share of a budget runs short, and gives
//! tokens to other routers.
//!
//! Each budget has a home: the first responsive router in a ranking that all routers compute alike.
//! The home holds the fleet's reserve and, while it is reachable, is the only router that writes
//! the budget's ledger. The other routers draw tokens from it. For the sizes of reserves and draws
//! see [`share`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{
        budgets::{need, share, waiting},
        ledger_plan,
    },
    error,
    gateway::{budget_homes, core, ledger, peer_messages, peer_rpc, peer_serving},
    state::name,
};

pub use crate::gateway::budget_homes::{Candidate, home_candidates};

/// Outcome of an attempt to acquire tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The tokens that are needed have been added to the share.
    Acquired,
    /// They are not acquired, for this reason; with the tokens that are left for one request, if that
    /// is known.
    Refused(waiting::Refused, Option<u64>),
}

impl AcquireOutcome {
    const fn short(delay: Option<Duration>) -> Self {
        Self::Refused(waiting::Refused::HomeShort(delay), None)
    }
}

/// Number of routers that may be asked in vain. When more don't answer, it is this router that is
/// cut off or out of sockets.
const MAX_FAILED_DRAWS: u32 = 3;

/// Delay after which the store may grant tokens again that it failed to grant.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Draws tokens from the budget's home, or acts as the home when no router ranked before this one
/// answers. `request` is the id of the request that needs them, when it is sampled for the log.
pub async fn acquire(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    need: need::Need,
    request: Option<name::Name>,
) -> AcquireOutcome {
    let mut failures = 0;
    for home in home_candidates(gw, workspace) {
        if failures == MAX_FAILED_DRAWS {
            break;
        }
        match home {
            home if !budget_homes::is_asked(gw, home) => (),
            Candidate::Local => return acquire_as_home(gw, workspace, need).await,
            Candidate::Peer(peer) => {
                let drawn = draw_from_peer(gw, peer, workspace, need, request.clone()).await;
                if let Some(reply) = drawn {
                    return match reply {
                        reply if reply.tokens > 0 => AcquireOutcome::Acquired,
                        reply if reply.is_exhausted => {
                            AcquireOutcome::Refused(waiting::Refused::Exhausted, reply.left)
                        }
                        reply => {
                            let refused = waiting::Refused::HomeShort(reply.retry_delay());
                            AcquireOutcome::Refused(refused, reply.left)
                        }
                    };
                }
                failures += 1;
            }
        }
    }
    AcquireOutcome::Refused(waiting::Refused::NoAnswer, None)
}

/// Draws tokens from another router. `None` when it did not answer; `request` is the id of the
/// request that waits.
pub async fn draw_from_peer(
    gw: &Rc<core::Gateway>,
    peer: SocketAddr,
    workspace: &name::Name,
    need: need::Need,
    request: Option<name::Name>,
) -> Option<peer_messages::Reply> {
    let call = peer_messages::Call::Draw {
        workspace: workspace.clone(),
        needed: need.needed,
        extra: need.waiting.saturating_add(need.ahead),
        waiting: Some(need.waiting),
        request,
    };
    let reply = peer_rpc::call(gw, peer, call).await;
    let wanted = need.needed.saturating_add(need.waiting);
    let outcome = match reply {
        None => "unanswered",
        Some(reply) if reply.is_exhausted => "exhausted",
        Some(reply) if reply.tokens == 0 => "short",
        Some(reply) if reply.tokens < wanted => "part",
        Some(_) => "enough",
    };
    counter!("fulmar_gateway_draws_total", "outcome" => outcome).increment(1);
    reply
}

/// Tokens of a budget that this router holds and that are neither spent nor reserved.
pub fn available(gw: &core::Gateway, workspace: &str) -> u64 {
    let shares = gw.shares.borrow();
    shares.get(workspace).map_or(0, share::Share::available)
}

/// Acquires tokens from the ledger and, when that is not enough, recalls them from the other
/// routers' shares.
async fn acquire_as_home(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    need: need::Need,
) -> AcquireOutcome {
    let needed = need.needed;
    let Some(prepaid) = prepaid_tokens(gw, workspace) else {
        return AcquireOutcome::short(None);
    };
    if available(gw, workspace) >= needed {
        // A draw ahead of demand needs nothing at once, and does not wait for a ledger write.
        return AcquireOutcome::Acquired;
    }
    // One task at a time acquires tokens; tasks that waited often find that it acquired enough for
    // them as well.
    let _guard = gw.budget_lock(workspace).lock_arc().await;
    if available(gw, workspace) >= needed {
        return AcquireOutcome::Acquired;
    }
    if gw.account_closed.get() {
        return AcquireOutcome::short(None);
    }
    if let Some(found) = known_exhausted(gw, workspace, prepaid, needed) {
        return exhausted_outcome(found);
    }
    let fill = ledger::Fill {
        needed,
        waiting: need.waiting,
        ..ledger::Fill::reserve(workspace, prepaid)
    };
    let filled = ledger::fill(gw, &[fill]).await;
    if available(gw, workspace) >= needed {
        return AcquireOutcome::Acquired;
    }
    let all_answered = recall_from_peers(gw, workspace).await;
    if available(gw, workspace) >= needed {
        return AcquireOutcome::Acquired;
    }
    match filled {
        Ok(holds) if !holds.is_empty() => {
            tracing::info!(%workspace, needed, hold = ?holds[0].1, "budget: grants are held up");
            counter!("fulmar_gateway_grants_held_up_total").increment(1);
            AcquireOutcome::short(Some(hold_delay(holds[0].1)))
        }
        Ok(_) => {
            let (elsewhere, lost) = ledger::held_elsewhere(gw, workspace);
            tracing::info!(
                %workspace, needed, prepaid, elsewhere, lost, all_answered, "budget: exhausted"
            );
            let at = gw.now();
            let left = available(gw, workspace);
            let is_certain = all_answered;
            let exhausted = share::Exhausted {
                prepaid,
                left,
                at,
                is_certain,
            };
            gw.exhausted_budgets
                .borrow_mut()
                .insert(workspace.clone(), exhausted);
            exhausted_outcome(exhausted)
        }
        Err(err) => {
            counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
            tracing::warn!(%workspace, %err, "budget: failed to fill the share from the ledger");
            AcquireOutcome::short(Some(STORE_RETRY_DELAY))
        }
    }
}

/// Fills this router's reserve for requests of another router that a draw did not cover, so that the
/// next draw finds the tokens. The draw does not wait for it: the store may be unreachable.
fn fill_for_waiting(gw: &Rc<core::Gateway>, workspace: &name::Name, waiting: u64) {
    let Some(prepaid) = prepaid_tokens(gw, workspace) else {
        return;
    };
    let Some(guard) = gw.budget_lock(workspace).try_lock_arc() else {
        return;
    };
    if gw.account_closed.get() {
        return;
    }
    let fill = ledger::Fill {
        waiting,
        ..ledger::Fill::reserve(workspace, prepaid)
    };
    let filling = gw.clone();
    gw.spawn(async move {
        if let Err(err) = ledger::fill(&filling, &[fill]).await {
            counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
            tracing::info!(%err, "budget: failed to fill the share for a draw");
        }
        drop(guard);
    });
}

/// Delay after which tokens that are held back may be granted, at the longest.
fn hold_delay(hold: ledger_plan::Hold) -> Duration {
    match hold {
        ledger_plan::Hold::Unsettled => ledger_plan::REPORT_TIME,
        ledger_plan::Hold::Young => ledger_plan::MAX_COPY_AGE,
        ledger_plan::Hold::Contended => STORE_RETRY_DELAY,
    }
}

/// Outcome when neither the ledger nor the routers that answered have enough tokens. Only when all
/// were asked is the budget known to be exhausted.
fn exhausted_outcome(found: share::Exhausted) -> AcquireOutcome {
    AcquireOutcome::Refused(refused_as(found), Some(found.left))
}

/// What a request is told that a budget found exhausted does not cover.
pub fn refused_as(found: share::Exhausted) -> waiting::Refused {
    match found.is_certain {
        true => waiting::Refused::Exhausted,
        false => waiting::Refused::HomeShort(Some(share::EXHAUSTED_TTL)),
    }
}

/// The finding that a budget is exhausted, if a request can be refused because of it.
pub fn known_exhausted(
    gw: &core::Gateway,
    workspace: &str,
    prepaid: u64,
    needed: u64,
) -> Option<share::Exhausted> {
    let known = gw.exhausted_budgets.borrow();
    let known = known.get(workspace)?;
    let refuses = known.still_refuses(prepaid, needed, gw.now());
    refuses.then_some(*known)
}

/// Asks every responsive router to give all of its available tokens of a budget to this one.
/// Returns false when a router did not answer or was not asked because it failed recently.
async fn recall_from_peers(gw: &Rc<core::Gateway>, workspace: &name::Name) -> bool {
    let peers: Vec<SocketAddr> = gw.peers.borrow().values().copied().collect();
    let listed = peers.len();
    let asked = peers
        .into_iter()
        .filter(|peer| peer_rpc::is_responsive(gw, *peer));
    let call = peer_messages::Call::Recall {
        workspace: workspace.clone(),
    };
    let calls = asked.map(|peer| peer_rpc::call(gw, peer, call.clone()));
    let given = futures::future::join_all(calls).await;
    given.iter().flatten().count() == listed
}

/// Prepaid total of a workspace; `None` when it has no budget.
pub fn prepaid_tokens(gw: &core::Gateway, workspace: &str) -> Option<u64> {
    let deployment = gw.deployment()?;
    deployment.workspaces.get(workspace)?.prepaid_tokens
}

/// Handles a call of another router.
///
/// `None` closes the connection without a reply. This router does so while it shuts down, so that
/// the caller asks the router ranked next.
async fn handle_call(
    gw: &Rc<core::Gateway>,
    call: peer_messages::Call,
) -> Option<peer_messages::Reply> {
    if gw.account_closed.get() {
        return None;
    }
    let (mut refused, mut left) = (None, None);
    let tokens = match call {
        peer_messages::Call::Draw {
            workspace,
            needed,
            extra,
            waiting,
            request,
        } => {
            let need = need::Need {
                needed,
                waiting: waiting.unwrap_or(0),
                ahead: extra.saturating_sub(waiting.unwrap_or(0)),
            };
            if available(gw, &workspace) < needed
                && let AcquireOutcome::Refused(reason, found_left) =
                    acquire_as_home(gw, &workspace, need).await
            {
                (refused, left) = (Some(reason), found_left);
            }
            let own = own_need(gw, &workspace);
            let mut shares = gw.shares.borrow_mut();
            let share = shares.entry(workspace.clone()).or_default();
            let given = match waiting {
                Some(_) => share.give_by_need(need, own, gw.now()),
                // The other router runs an earlier version, which does not say what waits.
                None => share.give(needed, extra, gw.now()),
            };
            drop(shares);
            let missing = needed.saturating_add(need.waiting).saturating_sub(given);
            if refused.is_none() && missing > 0 {
                fill_for_waiting(gw, &workspace, missing);
            }
            if let Some(id) = request {
                let reason = refused.map_or("", |refused| refused.reason());
                tracing::info!(
                    %id, %workspace, needed, waiting = need.waiting, given, reason,
                    "budget: asked for tokens"
                );
            }
            given
        }
        peer_messages::Call::Crashes(_)
        | peer_messages::Call::Limits(_)
        | peer_messages::Call::Permits { .. }
        | peer_messages::Call::Origins { .. }
        | peer_messages::Call::Confirm { .. }
        | peer_messages::Call::Status => return None,
        peer_messages::Call::Return { workspace, tokens } => {
            let mut shares = gw.shares.borrow_mut();
            let share = shares.entry(workspace).or_default();
            share.take_back(tokens, gw.now());
            counter!("fulmar_gateway_tokens_returned_total").increment(tokens);
            0
        }
        peer_messages::Call::Recall { workspace } => {
            let mut shares = gw.shares.borrow_mut();
            shares.entry(workspace).or_default().give_all()
        }
    };
    Some(peer_messages::Reply {
        tokens,
        is_exhausted: refused == Some(waiting::Refused::Exhausted),
        retry_ms: match refused {
            Some(waiting::Refused::HomeShort(Some(delay))) => delay.as_millis() as u64,
            _ => 0,
        },
        left,
    })
}

/// Tokens that this router's own requests of a workspace need before a draw of another router could
/// be answered again.
fn own_need(gw: &core::Gateway, workspace: &str) -> u64 {
    let arrivals = gw.arrivals.borrow();
    let waiting = gw.waiting.borrow();
    let soon = arrivals.expected(workspace, waiting.ahead_time(workspace), gw.now());
    waiting.total(workspace).saturating_add(soon)
}

/// Starts to serve calls of other routers. Returns the address of the fleet listener.
///
/// # Errors
///
/// The error of binding the socket.
pub async fn start(gw: &Rc<core::Gateway>) -> Result<SocketAddr, error::Error> {
    let listener = async_net::TcpListener::bind(gw.settings().fleet_listen).await?;
    let address = listener.local_addr()?;
    gw.spawn(peer_serving::serve(gw.clone(), listener, handle_call));
    Ok(address)
}
