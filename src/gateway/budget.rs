//! Budgets: tokens are set aside for requests, drawn from the budget's home, and counted as spent.
//!
//! The home of a budget is the first live router in an order that all routers share. It holds the
//! fleet's reserve and alone writes the ledger while it is reachable; see
//! [`share`].

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{rendezvous, share},
    error,
    gateway::{core, draw, ledger},
    state::name,
};

/// How often the shares are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Pause after a failed fill.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a request waits for tokens: a draw, a fill and a recall.
const WAIT: Duration = Duration::from_millis(700);

/// Tokens set aside for a request; what was not spent goes back when it is dropped.
pub struct Reservation {
    gw: Rc<core::Gateway>,
    workspace: name::Name,
    reserved: u64,
    spent: u64,
}

impl Reservation {
    /// Sets what was spent of it so far, at most what was set aside.
    pub fn spend(&mut self, tokens: u64) {
        self.spent = self.reserved.min(tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut shares = self.gw.shares.borrow_mut();
        let share = shares.entry(self.workspace.clone()).or_default();
        share.settle(self.reserved, self.spent);
    }
}

/// Why no tokens were set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Short {
    /// The budget does not cover the request.
    Exhausted,
    /// Tokens may be left, but none could be reached in time.
    Unreachable,
}

/// Sets tokens aside, drawing some from other routers or the ledger when it must. A `request` that
/// is told in the log is named to the other router, which then tells its part.
///
/// # Errors
///
/// [`Short`] tells whether the budget is spent.
pub async fn reserve(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    tokens: u64,
    request: Option<name::Name>,
) -> Result<Reservation, Short> {
    if let Some(reservation) = take(gw, workspace, tokens) {
        return Ok(reservation);
    }
    // Goes on when the request is cancelled, so that what others gave is not lost.
    let (tx, rx) = async_channel::bounded(1);
    let (obtaining, wanted) = (gw.clone(), workspace.clone());
    gw.spawn(async move {
        let obtained = obtain(&obtaining, &wanted, tokens, request).await;
        let _ = tx.try_send(obtained);
    });
    let obtained = gw.timers.within(WAIT, rx.recv()).await;
    match take(gw, workspace, tokens) {
        Some(reservation) => Ok(reservation),
        None => Err(match obtained {
            Some(Ok(Obtained::Exhausted)) => Short::Exhausted,
            _ => Short::Unreachable,
        }),
    }
}

fn take(gw: &Rc<core::Gateway>, workspace: &name::Name, tokens: u64) -> Option<Reservation> {
    let mut shares = gw.shares.borrow_mut();
    let share = shares.entry(workspace.clone()).or_default();
    share.reserve(tokens, gw.now()).then(|| Reservation {
        gw: gw.clone(),
        workspace: workspace.clone(),
        reserved: tokens,
        spent: 0,
    })
}

/// What came of an attempt to get tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Obtained {
    Some,
    Exhausted,
    Nothing,
}

/// Another router, or this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Router {
    Own,
    Other(SocketAddr),
}

/// Routers in the order in which they are a budget's home.
fn homes(gw: &core::Gateway, workspace: &str) -> Vec<Router> {
    let hash = rendezvous::weight(workspace, 0);
    let own = gw.holder();
    let peers = gw.peers.borrow();
    let mut names: Vec<name::Name> = peers.keys().map(|peer| name::Name::from(&**peer)).collect();
    names.push(name::Name::from(&*own));
    let order = rendezvous::rank(names, hash).into_iter();
    let routers = order.filter_map(|name| match *name == *own {
        true => Some(Router::Own),
        false => peers.get(&*name).map(|address| Router::Other(*address)),
    });
    routers.collect()
}

/// Gets tokens from the home, or does the home's work when no router before this one answers.
async fn obtain(
    gw: &Rc<core::Gateway>,
    workspace: &name::Name,
    needed: u64,
    request: Option<name::Name>,
) -> Obtained {
    for home in homes(gw, workspace) {
        match home {
            Router::Own => return obtain_as_home(gw, workspace, needed).await,
            Router::Other(peer) if draw::may_ask(gw, peer) => {
                if let Some(given) = draw_from(gw, peer, workspace, needed, request.clone()).await {
                    return match given {
                        given if given.tokens > 0 => Obtained::Some,
                        given if given.is_exhausted => Obtained::Exhausted,
                        _ => Obtained::Nothing,
                    };
                }
            }
            Router::Other(_) => (),
        }
    }
    Obtained::Nothing
}

async fn draw_from(
    gw: &Rc<core::Gateway>,
    peer: SocketAddr,
    workspace: &name::Name,
    needed: u64,
    request: Option<name::Name>,
) -> Option<draw::Given> {
    let extra = {
        let mut shares = gw.shares.borrow_mut();
        let share = shares.entry(workspace.clone()).or_default();
        share.expected_demand(share::DRAW_AHEAD, gw.now())
    };
    let workspace = workspace.clone();
    let call = draw::Call::Draw {
        workspace: workspace.clone(),
        needed,
        extra,
        request,
    };
    draw::call(gw, peer, call).await
}

/// Tokens of a budget that this router has at hand.
pub fn available(gw: &core::Gateway, workspace: &str) -> u64 {
    let shares = gw.shares.borrow();
    shares.get(workspace).map_or(0, share::Share::available)
}

/// Gets tokens from the ledger and, when it has none left, from the other routers' shares.
async fn obtain_as_home(gw: &Rc<core::Gateway>, workspace: &name::Name, needed: u64) -> Obtained {
    let Some(prepaid) = prepaid(gw, workspace) else {
        return Obtained::Nothing;
    };
    // One request at a time asks; those behind it mostly find what it brought.
    let _one = gw.obtaining.lock().await;
    if available(gw, workspace) >= needed {
        return Obtained::Some;
    }
    if gw.account_closed.get() {
        return Obtained::Nothing;
    }
    if is_known_exhausted(gw, workspace, prepaid, needed) {
        return Obtained::Exhausted;
    }
    let fill = ledger::Fill {
        workspace: workspace.clone(),
        prepaid,
        needed,
    };
    let filled = ledger::fill(gw, &[fill]).await;
    if available(gw, workspace) >= needed {
        return Obtained::Some;
    }
    let all_answered = recall(gw, workspace).await;
    if available(gw, workspace) >= needed {
        return Obtained::Some;
    }
    match filled {
        Ok(()) => {
            let elsewhere = ledger::held_elsewhere(gw, workspace);
            tracing::info!(
                %workspace, needed, prepaid, elsewhere, all_answered, "budget: exhausted"
            );
            let at = gw.now();
            let left = available(gw, workspace);
            let exhausted = share::Exhausted { prepaid, left, at };
            gw.exhausted
                .borrow_mut()
                .insert(workspace.clone(), exhausted);
            Obtained::Exhausted
        }
        Err(err) => {
            counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
            tracing::warn!(%workspace, %err, "budget: share not filled");
            Obtained::Nothing
        }
    }
}

fn is_known_exhausted(gw: &core::Gateway, workspace: &str, prepaid: u64, needed: u64) -> bool {
    let known = gw.exhausted.borrow();
    let now = gw.now();
    let known = known.get(workspace);
    known.is_some_and(|known| known.still_refuses(prepaid, needed, now))
}

/// Asks every other router for what it has of a budget; false when one did not answer, now or of
/// late.
async fn recall(gw: &Rc<core::Gateway>, workspace: &name::Name) -> bool {
    let peers: Vec<SocketAddr> = gw.peers.borrow().values().copied().collect();
    let listed = peers.len();
    let asked = peers.into_iter().filter(|peer| draw::may_ask(gw, *peer));
    let call = draw::Call::Recall {
        workspace: workspace.clone(),
    };
    let calls = asked.map(|peer| draw::call(gw, peer, call.clone()));
    let given = futures::future::join_all(calls).await;
    given.iter().flatten().count() == listed
}

fn prepaid(gw: &core::Gateway, workspace: &str) -> Option<u64> {
    let deployment = gw.deployment()?;
    deployment.workspaces.get(workspace)?.prepaid_tokens
}

/// Answers another router; `None` when this one is no home any more and the next is to be asked.
async fn answer(gw: &Rc<core::Gateway>, call: draw::Call) -> Option<draw::Given> {
    if gw.account_closed.get() {
        return None;
    }
    let (tokens, is_exhausted) = match call {
        draw::Call::Draw {
            workspace,
            needed,
            extra,
            request,
        } => {
            let mut exhausted = false;
            if available(gw, &workspace) < needed {
                let obtained = obtain_as_home(gw, &workspace, needed).await;
                exhausted = obtained == Obtained::Exhausted;
            }
            let mut shares = gw.shares.borrow_mut();
            let share = shares.entry(workspace.clone()).or_default();
            let given = share.give(needed, extra, gw.now());
            if let Some(id) = request {
                tracing::info!(%id, %workspace, needed, given, exhausted, "budget: asked for tokens");
            }
            (given, exhausted)
        }
        draw::Call::Status => return None,
        draw::Call::Recall { workspace } => {
            let mut shares = gw.shares.borrow_mut();
            (shares.entry(workspace).or_default().give_all(), false)
        }
    };
    Some(draw::Given {
        tokens,
        is_exhausted,
    })
}

/// Starts to answer other routers and to keep the shares filled; returns the address where other
/// routers find this one.
///
/// # Errors
///
/// The socket's error.
pub async fn start(gw: &Rc<core::Gateway>) -> Result<SocketAddr, error::Error> {
    let listener = async_net::TcpListener::bind(gw.settings().fleet_listen).await?;
    let address = listener.local_addr()?;
    gw.spawn(draw::serve(gw.clone(), listener, answer));
    let filling = gw.clone();
    gw.spawn(async move {
        loop {
            filling.timers.sleep(LOOK_EVERY).await;
            look(&filling).await;
        }
    });
    Ok(address)
}

/// Fills the reserves of the budgets at home here, and draws for the others.
async fn look(gw: &Rc<core::Gateway>) {
    let Some(deployment) = gw.deployment() else {
        return;
    };
    let mut fills = Vec::new();
    for workspace in deployment.workspaces.values() {
        let Some(prepaid) = workspace.prepaid_tokens else {
            continue;
        };
        let name = &workspace.name;
        let first = homes(gw, name).into_iter().find(|home| match home {
            Router::Own => true,
            Router::Other(peer) => draw::may_ask(gw, *peer),
        });
        let share = gw.shares.borrow().get(name).cloned().unwrap_or_default();
        let now = gw.now();
        match first {
            Some(Router::Other(peer)) => {
                let extra = share.draw_size(now);
                if extra > 0 && !is_known_exhausted(gw, name, prepaid, 0) {
                    draw_from(gw, peer, name, 0, None).await;
                }
            }
            _ if share.refill_size(prepaid, u64::MAX, 0, now) > 0 => fills.push(ledger::Fill {
                workspace: name.clone(),
                prepaid,
                needed: 0,
            }),
            _ => (),
        }
    }
    if fills.is_empty() {
        return;
    }
    let one = gw.obtaining.lock().await;
    if gw.account_closed.get() {
        return;
    }
    if let Err(err) = ledger::fill(gw, &fills).await {
        counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
        tracing::warn!(%err, "budget: shares not filled");
        drop(one);
        gw.timers.sleep(PAUSE).await;
    }
}
