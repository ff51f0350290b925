//! Keeps requests within the limits that backend servers have named: asks for permits, and tells the
//! other gateways which limits have changed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{self, permit_issuer, permits, suspects},
    gateway::{core, peer_rpc, permit_issuing},
    state::server,
};

/// Longest delay, per gateway in the fleet, after which a changed limit is told. Many gateways read
/// it at the same time, and those that are told first tell nobody.
const TELL_DELAY: Duration = Duration::from_millis(5);

/// Time between two rounds of telling.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// Number of gateways that are told at a time.
const TOLD_AT_A_TIME: usize = 8;

/// Number of gateways that tell their limits to one that has started, and time between its attempts
/// to find them.
const ASKED_AT_START: usize = 2;
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// Time at which a server takes a request again because of its limit; `None` when it may be now.
pub fn opens_at(gw: &core::Gateway, server: &server::Server, now: Duration) -> Option<Duration> {
    let limits = gw.server_limits.borrow();
    if limits.is_empty() {
        return None;
    }
    let number = suspects::server_number(server);
    limits.limit(number)?;
    gw.permits.borrow().opens_at(number, now)
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The server has named no limit, or a permit was taken.
    Admitted,
    /// The limit is reached.
    Closed,
    /// Another router was asked; [`core::Gateway::permits_changed`] is notified of its answer.
    Asked,
}

/// Takes a permit if the server has named a limit, and asks for some if none is held.
pub fn admit(gw: &Rc<core::Gateway>, server: &server::Server) -> Admission {
    let now = gw.now();
    let number = suspects::server_number(server);
    let report = gw.server_limits.borrow().report(number, now);
    let Some(report) = report.filter(|report| report.limit.is_some()) else {
        return Admission::Admitted;
    };
    let taken = gw.permits.borrow_mut().take(number, now);
    let permits::Permit::Ask(wanted) = taken else {
        return Admission::Admitted;
    };
    let service = server.service.to_string();
    let Some(peer) = issuer(gw, number) else {
        record_reply(gw, permit_issuing::issue(gw, report, wanted), service);
        return match gw.permits.borrow_mut().take_held(number, now) {
            true => Admission::Admitted,
            false => Admission::Closed,
        };
    };
    let asking = gw.clone();
    gw.spawn(async move {
        match peer_rpc::ask_permits(&asking, peer, report, wanted).await {
            Ok(reply) => record_reply(&asking, reply, service),
            Err(cause) => {
                counter!("fulmar_gateway_permits_total", "outcome" => "unanswered", "service" => service)
                    .increment(1);
                tracing::info!(%peer, cause, "limits: a router did not answer");
                let refused = permit_issuer::Grant {
                    permits: 0,
                    retry_after: permit_issuing::RETRY_DELAY,
                };
                let mut permits = asking.permits.borrow_mut();
                permits.record_grant(number, refused, asking.now());
            }
        }
        asking.permits_changed.notify(usize::MAX);
    });
    Admission::Asked
}

/// The gateway that issues the permits of a server, the first responsive one in the ranking; `None`
/// when this one does.
fn issuer(gw: &core::Gateway, server: u64) -> Option<SocketAddr> {
    let peers = gw.peers.borrow();
    let responsive = peers
        .iter()
        .filter(|(_, address)| peer_rpc::is_responsive(gw, **address));
    let issuer = permit_issuer::issuer(
        server,
        &gw.holder(),
        responsive.map(|(peer, _)| peer.as_str()),
    )?;
    peers.get(issuer).copied()
}

fn record_reply(gw: &core::Gateway, reply: permit_issuing::Reply, service: String) {
    let now = gw.now();
    let outcome = match reply.permits {
        0 => "refused",
        _ => "granted",
    };
    counter!("fulmar_gateway_permits_total", "outcome" => outcome, "service" => service)
        .increment(1);
    gw.server_limits.borrow_mut().merge(&[reply.report], now);
    let grant = permit_issuer::Grant {
        permits: reply.permits,
        retry_after: Duration::from_millis(reply.retry_ms),
    };
    let mut permits = gw.permits.borrow_mut();
    permits.record_grant(reply.report.server, grant, now);
}

/// Starts the tasks that ask other gateways for limits, once, and tell them of changed ones. What
/// gateways are not told they read in their own answers.
pub fn start(gw: &Rc<core::Gateway>) {
    let asking = gw.clone();
    gw.spawn(async move {
        while asking.peers.borrow().is_empty() {
            asking.timers.sleep(ASK_INTERVAL).await;
        }
        let peers: Vec<SocketAddr> = asking.peers.borrow().values().copied().collect();
        let mut answered = 0;
        for peer in peers {
            if answered < ASKED_AT_START && exchange(&asking, peer, Vec::new()).await {
                answered += 1;
            }
        }
    });
    let telling = gw.clone();
    gw.spawn(async move {
        let mut told = 0;
        loop {
            let changed = telling.limits_changed.listen();
            if telling.server_limits.borrow().last_change() == told {
                changed.await;
            }
            let routers = u32::try_from(telling.router_count()).unwrap_or(u32::MAX);
            let delay = (TELL_DELAY * routers).mul_f64(fastrand::f64());
            telling.timers.sleep(delay).await;
            told = tell(&telling, told).await;
            telling.timers.sleep(TELL_INTERVAL).await;
        }
    });
}

/// Tells the other gateways of the limits that changed after change number `after`; returns the
/// number of the last change that was told.
async fn tell(gw: &Rc<core::Gateway>, after: u64) -> u64 {
    let (reports, covered) = {
        let limits = gw.server_limits.borrow();
        limits.changes_after(after, peer_rpc::MAX_LIMITS, gw.now())
    };
    if reports.is_empty() {
        return covered;
    }
    let peers: Vec<SocketAddr> = gw.peers.borrow().values().copied().collect();
    let responsive = peers
        .into_iter()
        .filter(|peer| peer_rpc::is_responsive(gw, *peer));
    let responsive: Vec<_> = responsive.collect();
    let tell = |peer: &SocketAddr| exchange(gw, *peer, reports.clone());
    for peers in responsive.chunks(TOLD_AT_A_TIME) {
        futures::future::join_all(peers.iter().map(&tell)).await;
    }
    covered
}

/// Sends limits to a gateway and merges those that it knows; returns whether it answered.
async fn exchange(
    gw: &core::Gateway,
    peer: SocketAddr,
    reports: Vec<coordination::server_limits::Report>,
) -> bool {
    match peer_rpc::tell_limits(gw, peer, reports).await {
        Ok(known) => {
            gw.server_limits.borrow_mut().merge(&known, gw.now());
            true
        }
        Err(cause) => {
            counter!("fulmar_gateway_peer_failures_total").increment(1);
            tracing::info!(%peer, cause, "limits: a router did not answer");
            false
        }
    }
}
