//! Logs this router's shares of budgets, so that the tokens lost with a killed process can be told
//! from the log.

use std::{cmp::Reverse, collections::HashMap, rc::Rc, time::Duration};

use crate::{coordination::budgets::share, gateway::core, state::name};

/// Interval at which the shares are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of shares logged per interval; the largest ones are chosen.
const MAX_SHARES: usize = 16;

/// Starts the task that logs the shares that have changed since the last report.
pub fn start(gw: &Rc<core::Gateway>) {
    let reporting = gw.clone();
    gw.spawn(async move {
        let mut reported = HashMap::new();
        loop {
            reporting.timers.sleep(REPORT_INTERVAL).await;
            report(&reporting, &mut reported);
        }
    });
}

fn report(gw: &core::Gateway, reported: &mut HashMap<name::Name, share::Tally>) {
    let shares = gw.shares.borrow();
    let tallies = shares.iter().map(|(name, share)| (name, share.tally()));
    let mut changed: Vec<_> = tallies
        .filter(|(name, tally)| reported.get(*name) != Some(tally))
        .collect();
    changed.sort_by_key(|(name, tally)| (Reverse(tally.available + tally.reserved), *name));
    for (workspace, tally) in changed.into_iter().take(MAX_SHARES) {
        let share::Tally {
            available,
            reserved,
            spent,
            granted,
        } = tally;
        tracing::info!(%workspace, available, reserved, spent, granted, "budget: share");
        reported.insert(workspace.clone(), tally);
    }
}
