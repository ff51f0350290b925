//! Issues permits for requests to servers that have named a limit, to this gateway and others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{permit_issuer, rendezvous, server_limits},
    gateway::core,
};

/// Time after the start of a gateway within which others may not know it yet.
const LISTING_TIME: Duration = Duration::from_secs(10);

/// Time after which a gateway asks again that was refused without knowing when.
pub const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Reply to a gateway that asked for permits.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// Newest limit that the replying gateway knows of.
    pub report: server_limits::Report,
    /// Number of permits.
    pub permits: u32,
    /// Milliseconds after which to ask again if there are none.
    pub retry_ms: u64,
}

/// Issues up to `wanted` permits for the server of a report.
pub fn issue(gw: &core::Gateway, report: server_limits::Report, wanted: u32) -> Reply {
    let now = gw.now();
    let server = report.server;
    let mut limits = gw.server_limits.borrow_mut();
    limits.merge(&report, now);
    let report = limits.report(server, now).unwrap_or(report);
    let rate = report.limit.unwrap_or_default() * share(gw, server);
    let grant = match rate > 0.0 {
        true => gw
            .permit_issuer
            .borrow_mut()
            .issue(server, rate, wanted, now),
        false => permit_issuer::Grant {
            permits: 0,
            retry_after: RETRY_DELAY,
        },
    };
    Reply {
        report,
        permits: grant.permits,
        retry_ms: grant.retry_after.as_millis() as u64,
    }
}

/// Share of a server's limit that this gateway issues. The sum over all gateways stays below one and
/// a half of the limit, even while they disagree about which of them issues it: the first in the
/// ranking issues all, each further one half of what the one before it does.
fn share(gw: &core::Gateway, server: u64) -> f64 {
    let Some(routers) = gw.known_router_count() else {
        return 0.0;
    };
    let peers = gw.peers.borrow();
    if peers.len() + 1 < routers {
        // The list lost entries lately, maybe of gateways that run and issue permits.
        return 1.0 / routers as f64;
    }
    let own = rank(&gw.holder(), server);
    let before = peers.keys().filter(|peer| rank(peer, server) > own).count();
    let is_new = gw.now() < LISTING_TIME;
    let halvings = before + usize::from(is_new);
    0.5_f64.powi(i32::try_from(halvings).unwrap_or(i32::MAX))
}

/// Rank of a gateway for a server: the highest one issues its permits.
pub fn rank(holder: &str, server: u64) -> u64 {
    rendezvous::weight(holder, server)
}
