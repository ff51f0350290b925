//! Keeps this router's shares of budgets at the size that demand needs: fills the reserves of those
//! whose home it is, draws ahead of demand for the others, and gives back what is left over.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{
        budgets::{need, share},
        ledger_plan,
    },
    gateway::{budget, budget_homes, core, ledger, peer_messages, peer_rpc},
    platform::store,
    state::name,
};

/// Interval at which the shares are checked and replenished.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Further delay before the next check when the store failed.
const FILL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts the task that replenishes the shares.
pub fn start(gw: &Rc<core::Gateway>) {
    let filling = gw.clone();
    gw.spawn(async move {
        loop {
            filling.timers.sleep(SHARE_CHECK_INTERVAL).await;
            replenish_shares(&filling).await;
        }
    });
}

/// Fills the reserves of the budgets whose home is this router from the ledgers, and draws tokens
/// of the other budgets from their homes.
async fn replenish_shares(gw: &Rc<core::Gateway>) {
    let Some(deployment) = gw.deployment() else {
        return;
    };
    let mut fills = Vec::new();
    for workspace in deployment.workspaces.values() {
        let Some(prepaid) = workspace.prepaid_tokens else {
            continue;
        };
        let name = &workspace.name;
        let share = gw.shares.borrow().get(name).cloned().unwrap_or_default();
        let now = gw.now();
        match budget_homes::first_home(gw, name) {
            budget_homes::Candidate::Peer(peer) => {
                return_surplus(gw, peer, name);
                // What is not kept is not drawn either, or it would flow to and fro.
                let kept = gw.arrivals.borrow().kept(name, now);
                let usual = share.expected_demand(share::DRAW_AHEAD_TIME, now);
                let ahead = share.draw_size(usual.min(kept));
                if ahead > 0 && budget::known_exhausted(gw, name, prepaid, 0).is_none() {
                    let need = need::Need {
                        ahead,
                        ..need::Need::default()
                    };
                    budget::draw_from_peer(gw, peer, name, need, None).await;
                }
            }
            budget_homes::Candidate::Local => {
                let left = share::Remaining::all_of(prepaid);
                let is_top_up = share.refill_size(left, 0, now) == 0;
                if !is_top_up || share.top_up_size(left, now) > 0 {
                    fills.push(ledger::Fill {
                        is_top_up,
                        ..ledger::Fill::reserve(name, prepaid)
                    });
                }
            }
        }
    }
    if fills.iter().all(|fill| fill.is_top_up) {
        return;
    }
    // What causes a write comes before what is added to it.
    fills.sort_by_key(|fill| fill.is_top_up);
    // A budget whose lock is taken is being filled already.
    let mut guards = Vec::new();
    fills.retain(|fill| {
        let guard = gw.budget_lock(&fill.workspace).try_lock_arc();
        let is_locked = guard.is_some();
        guards.extend(guard);
        is_locked
    });
    if fills.is_empty() || gw.account_closed.get() {
        return;
    }
    if let Err(err) = ledger::fill(gw, &fills).await {
        counter!("fulmar_gateway_store_failures_total", "part" => "budget").increment(1);
        tracing::warn!(%err, "budget: failed to fill shares from the ledgers");
        drop(guards);
        gw.timers.sleep(FILL_RETRY_DELAY).await;
    }
}

/// Gives tokens that this router does not need back to the budget's home. They leave the share
/// before the call, and are lost when the home does not receive it.
fn return_surplus(gw: &Rc<core::Gateway>, home: SocketAddr, workspace: &name::Name) {
    let kept = gw.arrivals.borrow().kept(workspace, gw.now());
    let mut shares = gw.shares.borrow_mut();
    let tokens = shares
        .get_mut(workspace)
        .map_or(0, |share| share.take_surplus_over(kept));
    drop(shares);
    if tokens == 0 {
        return;
    }
    let (calling, workspace) = (gw.clone(), workspace.clone());
    gw.spawn(async move {
        let call = peer_messages::Call::Return {
            workspace: workspace.clone(),
            tokens,
        };
        if peer_rpc::call(&calling, home, call).await.is_none() {
            counter!("fulmar_gateway_tokens_lost_total").increment(tokens);
            tracing::info!(%home, %workspace, tokens, "budget: tokens given back were lost");
        }
    });
}

/// Writes this router's accounts into all ledgers that have granted it tokens or that it remembers
/// from before the store's era. Returns whether all of them are settled.
///
/// # Errors
///
/// [`store::StoreError`] when the store refuses a write or does not answer.
pub async fn write_accounts(gw: &Rc<core::Gateway>) -> Result<bool, store::StoreError> {
    let mut workspaces: Vec<name::Name> = {
        let shares = gw.shares.borrow();
        let granted = shares.iter().filter(|(_, share)| share.granted() != 0);
        let remembered = gw.era_notes.remembered_ledgers.borrow();
        granted
            .map(|(workspace, _)| workspace)
            .chain(remembered.keys())
            .cloned()
            .collect()
    };
    workspaces.sort();
    workspaces.dedup();
    let mut is_settled = true;
    for batch in workspaces.chunks(ledger::MAX_WORKSPACES_PER_WRITE) {
        let mut guards = Vec::new();
        for workspace in batch {
            guards.push(gw.budget_lock(workspace).lock_arc().await);
        }
        if gw.account_closed.get() {
            return Ok(true);
        }
        let fills: Vec<ledger::Fill> = batch
            .iter()
            .map(|workspace| {
                let prepaid = budget::prepaid_tokens(gw, workspace).unwrap_or(0);
                ledger::Fill::reserve(workspace, prepaid)
            })
            .collect();
        let holds = ledger::rewrite(gw, &fills).await?;
        let unsettled = |(_, hold): &(_, ledger_plan::Hold)| *hold == ledger_plan::Hold::Unsettled;
        is_settled &= !holds.iter().any(unsettled);
    }
    Ok(is_settled)
}
