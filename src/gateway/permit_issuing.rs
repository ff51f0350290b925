//! Issues permits for requests to servers that have named a limit, to this gateway and others.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    coordination::{permit_issuer, server_limits},
    gateway::core,
};

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
    if limits.merge(&[report], now) {
        gw.limits_changed.notify(usize::MAX);
    }
    let report = limits.report(server, now).unwrap_or(report);
    let share = share(gw, server);
    let grant = match report.limit.filter(|_| share > 0.0) {
        Some(limit) => {
            let mut issuer = gw.permit_issuer.borrow_mut();
            issuer.issue(server, limit * share, wanted, now)
        }
        None => permit_issuer::Grant {
            permits: 0,
            retry_after: RETRY_DELAY,
        },
    };
    Reply {
        report,
        permits: grant.permits,
        retry_ms: grant.retry_after.as_millis() as u64 + 1,
    }
}

/// Share of a server's limit that this gateway issues.
fn share(gw: &core::Gateway, server: u64) -> f64 {
    let peers = gw.peers.borrow();
    let fleet = permit_issuer::Fleet {
        peers: peers.keys().map(String::as_str),
        routers: gw.router_count.get(),
    };
    permit_issuer::share(server, &gw.holder(), fleet)
}
