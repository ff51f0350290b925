//! The routers that can be the home of a budget, in the order in which they are asked.

use std::net::SocketAddr;

use crate::{
    coordination::budgets::homes,
    gateway::{core, peer_rpc},
    state::name,
};

/// A router that can be the home of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// This router.
    Local,
    /// Another one, with the address of its fleet listener.
    Peer(SocketAddr),
}

/// All routers, ranked: the first responsive one is the budget's home.
pub fn home_candidates(gw: &core::Gateway, workspace: &str) -> Vec<Candidate> {
    let own = gw.holder();
    let peers = gw.peers.borrow();
    let mut names: Vec<name::Name> = peers.keys().map(|peer| name::Name::from(&**peer)).collect();
    names.push(name::Name::from(&*own));
    let order = homes::rank(workspace, names).into_iter();
    let routers = order.filter_map(|name| match *name == *own {
        true => Some(Candidate::Local),
        false => peers.get(&*name).map(|address| Candidate::Peer(*address)),
    });
    routers.collect()
}

/// Whether a router is asked for tokens when it is first in the ranking.
pub fn is_asked(gw: &core::Gateway, home: Candidate) -> bool {
    match home {
        Candidate::Local => true,
        Candidate::Peer(peer) => peer_rpc::is_responsive(gw, peer),
    }
}

/// The router that is asked first when this one's share does not cover a request.
pub fn first_home(gw: &core::Gateway, workspace: &str) -> Candidate {
    let mut homes = home_candidates(gw, workspace).into_iter();
    let first = homes.find(|home| is_asked(gw, *home));
    first.unwrap_or(Candidate::Local)
}
