//! Exchanges of loads with other gateways, which also tell whether the own VM is slow.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::overload::{own_delay, peer_load, rotation},
    gateway::{core, peer_rpc},
};

/// Largest extension of the time between two exchanges of loads, as a fraction of it.
const MAX_JITTER: f64 = 0.2;

/// Report of this gateway's load.
fn own_report(gw: &core::Gateway) -> peer_load::Report {
    peer_load::Report {
        gateway: gw.holder().into(),
        load: gw.overload.load(gw.link()),
        is_out: gw.overload.is_out(),
    }
}

/// Records the report of a peer, and returns the own one.
pub fn receive_report(gw: &core::Gateway, report: peer_load::Report) -> peer_load::Report {
    gw.overload.record_report(report, gw.now());
    own_report(gw)
}

/// Tells peers, chosen at random, whether this gateway is out of rotation.
pub fn announce(gw: &Rc<core::Gateway>, now: Duration) {
    gw.overload.announced_at.set(now);
    let mut peers = responsive_peers(gw);
    fastrand::shuffle(&mut peers);
    peers.truncate(rotation::MAX_TOLD);
    for peer in peers {
        exchange_with(gw, peer);
    }
}

/// Other gateways that answer, with their names.
fn responsive_peers(gw: &core::Gateway) -> Vec<(String, SocketAddr)> {
    select_peers(gw, |address| peer_rpc::is_responsive(gw, address))
}

fn select_peers(
    gw: &core::Gateway,
    is_selected: impl Fn(SocketAddr) -> bool,
) -> Vec<(String, SocketAddr)> {
    let peers = gw.peers.borrow();
    let selected = peers.iter().filter(|(_, address)| is_selected(**address));
    let selected = selected.map(|(name, address)| (name.clone(), *address));
    selected.collect()
}

/// Exchanges loads with a peer, or several, chosen at random, if it is time for that.
pub fn exchange_loads(gw: &Rc<core::Gateway>) {
    let (overload, now) = (&gw.overload, gw.now());
    let is_suspicious = overload.is_suspicious.get() || gw.round_trips.is_slow();
    let interval = match is_suspicious {
        true => peer_load::OVERLOADED_INTERVAL,
        false => peer_load::interval(overload.load(gw.link())),
    };
    let jitter = 1.0 + overload.jitter.get();
    if now < overload.exchanged_at.get() + interval.mul_f64(jitter) {
        return;
    }
    overload.exchanged_at.set(now);
    overload.jitter.set(MAX_JITTER * fastrand::f64());
    // Peers that did not answer say whether the own VM is to blame.
    let (mut peers, count) = match is_suspicious {
        true => (select_peers(gw, |_| true), own_delay::MIN_PEERS),
        false => (responsive_peers(gw), 1),
    };
    fastrand::shuffle(&mut peers);
    for peer in peers.into_iter().take(count) {
        exchange_with(gw, peer);
    }
}

/// Starts an exchange of loads with a peer.
fn exchange_with(gw: &Rc<core::Gateway>, peer: (String, SocketAddr)) {
    let asking = gw.clone();
    gw.spawn(async move {
        let (name, address) = peer;
        match peer_rpc::exchange_loads(&asking, address, own_report(&asking)).await {
            Ok(report) => {
                asking.overload.is_suspicious.set(false);
                asking.overload.record_report(report, asking.now());
            }
            Err(cause) => {
                asking.overload.is_suspicious.set(true);
                counter!("fulmar_gateway_load_exchange_failures_total").increment(1);
                tracing::debug!(
                    peer = name,
                    cause,
                    "overload: a gateway did not report its load"
                );
                if !asking.round_trips.is_slow() {
                    asking.overload.peer_loads.borrow_mut().forget(&name);
                }
            }
        }
    });
}
