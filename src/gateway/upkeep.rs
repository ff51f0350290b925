//! Closes idle connections and forgets what is no longer needed, at regular times.
//!
//! Handles servers, gateways and workspaces that are replaced for as long as the process runs: what was kept
//! for those that are gone would use up its descriptors and its memory.

use std::{collections::HashSet, rc::Rc, time::Duration};

use metrics::counter;

use crate::gateway::{core, directory};

/// Interval of the work, well under the 2.8 s for which connections are kept if the server names no time.
/// A pass looks at each idle connection with one system call.
const INTERVAL: Duration = Duration::from_secs(1);

/// Starts the task that does the work.
pub fn start(gw: &Rc<core::Gateway>) {
    let working = gw.clone();
    gw.spawn(async move {
        loop {
            working.timers.sleep(INTERVAL).await;
            close_idle(&working);
            forget(&working);
        }
    });
}

/// Closes idle connections that have expired or were closed by the peer, and those to servers that are not
/// listed any more.
fn close_idle(gw: &core::Gateway) {
    let now = gw.now();
    let mut pool = gw.server_pool.borrow_mut();
    let expired = pool.sweep(now);
    let directory = gw.directory.borrow();
    let listed = directory.servers.values().map(|it| it.address);
    let listed: HashSet<_> = listed.collect();
    let unlisted = pool.close_others(|address| listed.contains(&address));
    let peers = gw.peer_pool.borrow_mut().sweep(now);
    let store = gw.store.close_expired();
    for (closed, reason) in [(expired + peers + store, "expired"), (unlisted, "unlisted")] {
        counter!("fulmar_gateway_idle_closed_total", "reason" => reason).increment(closed as u64);
    }
}

/// Forgets servers, gateways and workspaces that are gone.
fn forget(gw: &core::Gateway) {
    let now = gw.now();
    let window = gw.settings().retry_window;
    gw.retry_windows.borrow_mut().forget(window, now);
    directory::forget_ended(gw);
    {
        let directory = gw.directory.borrow();
        let is_listed = |id: &str| directory.servers.contains_key(id);
        gw.ejection.borrow_mut().retain(is_listed);
    }
    gw.unresponsive_peers
        .borrow_mut()
        .retain(|_, until| now < *until);
    gw.release_budget_locks();
    if let Some(deployment) = gw.deployment() {
        let is_configured = |workspace: &str| deployment.workspaces.contains_key(workspace);
        gw.arrivals.borrow_mut().retain(is_configured);
        gw.waiting.borrow_mut().retain(is_configured);
        gw.exhausted_budgets
            .borrow_mut()
            .retain(|workspace, _| is_configured(workspace));
    }
}
