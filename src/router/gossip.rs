//! Exchanges with other routers: versions, fences and heartbeats of agents.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use metrics::counter;

use crate::{
    coordination::{membership, roster},
    protocol::{messages, vm_list},
    router::{Router, config_sync},
    state::{member, name},
    transport::timers,
};

const GOSSIP_PERIOD: Duration = Duration::from_secs(1);
const GOSSIP_LIMIT: Duration = Duration::from_secs(2);

/// Silence after which a router does not count as live.
const LIVE_LIMIT: Duration = Duration::from_secs(10);

/// Silence after which a router that no list names is not tried any more.
const TRIED_LIMIT: Duration = Duration::from_secs(60);

/// What a router remembers of one that told it something.
#[derive(Clone, Debug)]
struct Heard {
    member: member::Member,
    at: timers::Now,
    fences: u64,
}

/// What gossip remembers.
///
/// Lock order: `listed`, `heard`, `reports`.
#[derive(Debug)]
pub struct Gossip {
    listed: Mutex<Vec<membership::Place>>,
    heard: Mutex<BTreeMap<name::Name, Heard>>,
    reports: Mutex<membership::Reports<messages::AgentBeat>>,
    wake_tx: async_channel::Sender<()>,
    wake_rx: async_channel::Receiver<()>,
}

impl Default for Gossip {
    fn default() -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            listed: Mutex::default(),
            heard: Mutex::default(),
            reports: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }
}

/// Most crashes that one message tells of.
const CRASHES_TOLD: usize = 64;

/// Starts the exchanges.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(GOSSIP_PERIOD);
        loop {
            for peer in partners(&router) {
                router.runtime.spawn(exchange(router.clone(), peer));
            }
            let woken = smol::future::or(async { ticks.recv().await.is_ok() }, async {
                router.gossip.wake_rx.recv().await.is_ok()
            });
            if !woken.await {
                return;
            }
        }
    });
}

/// Makes the next exchange happen at once.
pub fn trigger(router: &Router) {
    let _ = router.gossip.wake_tx.try_send(());
}

/// Takes the routers that the list of VMs names.
pub fn update_listed_routers(router: &Router, vms: &[vm_list::Vm]) {
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let places = routers.map(|vm| membership::Place {
        address: vm.address.clone(),
        region: vm.region.clone(),
        zone: vm.zone.clone(),
    });
    let places: Vec<_> = places
        .filter(|p| p.address != router.member.address)
        .collect();
    let empty = router.gossip.listed.lock().unwrap().is_empty();
    let hurried = empty && !places.is_empty();
    *router.gossip.listed.lock().unwrap() = places;
    if hurried {
        trigger(router);
    }
}

fn place(member: &member::Member) -> membership::Place {
    membership::Place {
        address: member.address.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
    }
}

fn heard_within(router: &Router, limit: Duration) -> Vec<membership::Place> {
    let now = router.runtime.timers.now();
    let heard = router.gossip.heard.lock().unwrap();
    let fresh = heard
        .values()
        .filter(|heard| now.saturating_sub(heard.at) < limit);
    fresh.map(|heard| place(&heard.member)).collect()
}

/// Routers that have answered or told something in the last 10 s.
pub fn live_routers(router: &Router) -> Vec<membership::Place> {
    heard_within(router, LIVE_LIMIT)
}

/// Routers of the fleet, this one among them, as far as is known.
pub fn fleet_size(router: &Router) -> usize {
    let listed = router.gossip.listed.lock().unwrap().len();
    listed.max(live_routers(router).len()) + 1
}

/// Whether this router watches the store itself.
pub fn watches_store(router: &Router) -> bool {
    membership::watches(&place(&router.member), &live_routers(router))
}

/// Peers to exchange with now: those that the list names and those that told something.
pub fn partners(router: &Router) -> Vec<name::Name> {
    let mut peers = router.gossip.listed.lock().unwrap().clone();
    for heard in heard_within(router, TRIED_LIMIT) {
        if !peers.iter().any(|peer| peer.address == heard.address) {
            peers.push(heard);
        }
    }
    membership::partners(&place(&router.member), &peers, &mut router.runtime.rng())
}

/// Takes a heartbeat that an agent sent to this router.
pub fn receive_heartbeat(router: &Router, beat: &messages::AgentBeat, now: timers::Now) {
    config_sync::note_version(router, beat.versions.config, None);
    let report = report(beat.clone(), now);
    let name = beat.member.name.clone();
    router.gossip.reports.lock().unwrap().take(name, report);
}

fn report(beat: messages::AgentBeat, seen: timers::Now) -> membership::Report<messages::AgentBeat> {
    membership::Report {
        incarnation: beat.member.incarnation,
        address: beat.member.address.clone(),
        seen,
        content: beat,
    }
}

/// Configuration versions that agents reported, by VM name.
pub fn agent_config_versions(router: &Router) -> BTreeMap<name::Name, u64> {
    let beats = fresh_heartbeats(router);
    let version = |beat: messages::AgentBeat| (beat.member.name, beat.versions.config);
    beats.into_iter().map(version).collect()
}

/// Heartbeats of agents that are not suspected.
pub fn fresh_heartbeats(router: &Router) -> Vec<messages::AgentBeat> {
    let now = router.runtime.timers.now();
    let limit = router.roster.lock().unwrap().suspect_after();
    let reports = router.gossip.reports.lock().unwrap();
    let fresh = reports.fresh(now, limit);
    fresh.map(|report| report.content.clone()).collect()
}

impl Router {
    /// Whether another incarnation is known to have taken the place of an agent's.
    pub fn is_replaced(&self, incarnation: member::Incarnation) -> bool {
        let reports = self.gossip.reports.lock().unwrap();
        reports.is_replaced(incarnation)
    }
}

fn compose(router: &Router, peer_fences: u64) -> messages::Gossip {
    let now = router.runtime.timers.now();
    let fences = router.fences.lock().unwrap().clone();
    let mut reports = router.gossip.reports.lock().unwrap();
    reports.forget(now, roster::FORGET_AFTER);
    let seen = reports.sample(now, &mut router.runtime.rng());
    let seen = seen.into_iter().map(|report| messages::Seen {
        beat: report.content,
        age: now.saturating_sub(report.seen),
    });
    let fenced = match peer_fences < fences.revision {
        true => fences.holders.iter().copied().collect(),
        false => Vec::new(),
    };
    messages::Gossip {
        member: router.member.clone(),
        versions: messages::Versions {
            config: router.config().config.version,
            fences: fences.revision,
        },
        seen: seen.collect(),
        crashes: router.crashes.lock().unwrap().export(now, CRASHES_TOLD),
        fenced,
    }
}

/// Takes what a peer tells and returns what this router knows.
pub fn answer(router: &Router, theirs: messages::Gossip) -> messages::Gossip {
    let fences = theirs.versions.fences;
    take(router, theirs);
    compose(router, fences)
}

async fn exchange(router: Arc<Router>, peer: name::Name) {
    let known = router
        .gossip
        .heard
        .lock()
        .unwrap()
        .get(&peer)
        .map(|heard| heard.fences);
    let call = messages::RouterCall::Gossip(compose(&router, known.unwrap_or(0)));
    let asked = (router.fleet.router)(peer.clone(), call);
    counter!("fulmar_gossip_exchanges").increment(1);
    match router.runtime.timers.within(GOSSIP_LIMIT, asked).await {
        Some(Ok(messages::RouterReply::Gossip(theirs))) => take(&router, theirs),
        Some(Ok(_)) => tracing::warn!("gossip: unexpected reply from {peer}."),
        Some(Err(err)) => tracing::debug!("gossip: {peer}: {err}."),
        None => tracing::debug!("gossip: no answer from {peer}."),
    }
}

fn take(router: &Router, theirs: messages::Gossip) {
    let now = router.runtime.timers.now();
    config_sync::note_contact(router);
    let address = theirs.member.address.clone();
    config_sync::note_version(router, theirs.versions.config, Some(&address));
    if !theirs.fenced.is_empty() {
        let mut fences = router.fences.lock().unwrap();
        fences.merge(theirs.versions.fences, theirs.fenced);
    }
    for crash in theirs.crashes {
        router.crashes.lock().unwrap().merge(crash, now);
    }
    remember(router, theirs.member, theirs.versions.fences, now);
    for seen in theirs.seen {
        take_seen(router, seen, now);
    }
}

fn remember(router: &Router, member: member::Member, fences: u64, at: timers::Now) {
    let mut heard = router.gossip.heard.lock().unwrap();
    heard.retain(|_, heard| at.saturating_sub(heard.at) < TRIED_LIMIT);
    let address = member.address.clone();
    heard.insert(address, Heard { member, at, fences });
}

/// Takes a heartbeat that a peer passes on, as old as it says.
fn take_seen(router: &Router, seen: messages::Seen, now: timers::Now) {
    let at = now.saturating_sub(seen.age);
    let beat = seen.beat;
    config_sync::note_version(router, beat.versions.config, None);
    let name = beat.member.name.clone();
    let mut roster = router.roster.lock().unwrap();
    let mut reports = router.gossip.reports.lock().unwrap();
    if reports.take(name, report(beat.clone(), at)) {
        roster.beat(beat.member, beat.service, beat.load, at);
    }
}
