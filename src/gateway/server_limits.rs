//! Keeps requests within the limits that backend servers have named: asks for permits, and tells the
//! other gateways which limits have changed.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::{counter, gauge};

use crate::{
    coordination::{self, permit_issuer, permits, suspects},
    gateway::{core, peer_rpc, permit_issuing},
    state::server,
};

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

/// Requests a second that a server takes from all gateways together; `None` when it has named no limit.
pub fn limit(gw: &core::Gateway, server: &server::Server) -> Option<f64> {
    let limits = gw.server_limits.borrow();
    limits.limit(suspects::server_number(server))
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
            let count = telling.server_limits.borrow().count();
            gauge!("fulmar_gateway_limited_servers").set(count as f64);
            told = tell(&telling, told).await;
            telling.timers.sleep(TELL_INTERVAL).await;
        }
    });
}

/// Tells of the limits that changed after change number `after`: all other gateways of those whose
/// permits this one issues, and the issuers of the others of what this one read. So a change that
/// many gateways read at once costs each of them one call. Returns the number of the last change that
/// was told.
async fn tell(gw: &Rc<core::Gateway>, after: u64) -> u64 {
    let now = gw.now();
    let changes = |tells: &dyn Fn(u64, bool) -> bool| {
        let limits = gw.server_limits.borrow();
        limits.changes_after(after, peer_rpc::MAX_LIMITS, now, tells)
    };
    let (issued, covered) = changes(&|server, _| issuer(gw, server).is_none());
    let peers: Vec<SocketAddr> = gw.peers.borrow().values().copied().collect();
    let mut messages = Vec::new();
    for peer in peers {
        let (read, _) = changes(&|server, is_own| is_own && issuer(gw, server) == Some(peer));
        let reports: Vec<_> = issued.iter().copied().chain(read).collect();
        if !reports.is_empty() && peer_rpc::is_responsive(gw, peer) {
            messages.push((peer, reports));
        }
    }
    while !messages.is_empty() {
        let rest = messages.split_off(messages.len().min(TOLD_AT_A_TIME));
        let sending = messages.into_iter();
        let sending = sending.map(|(peer, reports)| exchange(gw, peer, reports));
        futures::future::join_all(sending).await;
        messages = rest;
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
            if gw.server_limits.borrow_mut().merge(&known, gw.now()) {
                gw.limits_changed.notify(usize::MAX);
            }
            true
        }
        Err(cause) => {
            counter!("fulmar_gateway_peer_failures_total").increment(1);
            tracing::info!(%peer, cause, "limits: a router did not answer");
            false
        }
    }
}
