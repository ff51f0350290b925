//! Exchanges with other routers: configuration versions, fences, crash reports and heartbeats of
//! agents.

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

/// Time between two exchanges that this router begins.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the answer of a peer.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a message after which a router no longer counts as live.
const CONTACT_MAX_AGE: Duration = Duration::from_secs(10);

/// Time without a message after which a router that the list of VMs does not name is forgotten.
const CONTACT_RETENTION: Duration = Duration::from_secs(60);

/// A router that has sent this one a message or answered it.
#[derive(Clone, Debug)]
struct Contact {
    member: member::Member,
    /// Time of its last message.
    at: timers::Now,
    /// Revision of the list of fenced holders that it knows.
    fences: u64,
}

/// State of gossip.
///
/// Lock order: `listed_routers`, `contacts`, `reports`.
#[derive(Debug)]
pub struct Gossip {
    listed_routers: Mutex<Vec<membership::Location>>,
    contacts: Mutex<BTreeMap<name::Name, Contact>>,
    reports: Mutex<membership::Reports<messages::AgentBeat>>,
    wake_tx: async_channel::Sender<()>,
    wake_rx: async_channel::Receiver<()>,
}

impl Default for Gossip {
    fn default() -> Self {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            listed_routers: Mutex::default(),
            contacts: Mutex::default(),
            reports: Mutex::default(),
            wake_tx,
            wake_rx,
        }
    }
}

/// Most crash reports in one message.
const MAX_CRASHES_PER_MESSAGE: usize = 64;

/// Starts the task that exchanges with peers.
pub fn start(router: Arc<Router>) {
    let runtime = router.runtime.clone();
    runtime.spawn(async move {
        let ticks = router.runtime.every(GOSSIP_INTERVAL);
        loop {
            for peer in choose_peers(&router) {
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

/// Begins the next exchange at once.
pub fn exchange_now(router: &Router) {
    let _ = router.gossip.wake_tx.try_send(());
}

/// Takes over the routers that the list of VMs names; begins an exchange when they are the first.
pub fn update_listed_routers(router: &Router, vms: &[vm_list::Vm]) {
    let routers = vms.iter().filter(|vm| vm.role == vm_list::VmRole::Router);
    let locations = routers.map(|vm| membership::Location {
        address: vm.address.clone(),
        region: vm.region.clone(),
        zone: vm.zone.clone(),
    });
    let locations: Vec<_> = locations
        .filter(|p| p.address != router.member.address)
        .collect();
    let empty = router.gossip.listed_routers.lock().unwrap().is_empty();
    let first_list = empty && !locations.is_empty();
    *router.gossip.listed_routers.lock().unwrap() = locations;
    if first_list {
        exchange_now(router);
    }
}

fn location_of(member: &member::Member) -> membership::Location {
    membership::Location {
        address: member.address.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
    }
}

fn contacts_within(router: &Router, limit: Duration) -> Vec<membership::Location> {
    let now = router.runtime.timers.now();
    let contacts = router.gossip.contacts.lock().unwrap();
    let fresh = contacts
        .values()
        .filter(|contact| now.saturating_sub(contact.at) < limit);
    fresh.map(|contact| location_of(&contact.member)).collect()
}

/// Other routers that have sent a message or answered within [`CONTACT_MAX_AGE`].
pub fn live_routers(router: &Router) -> Vec<membership::Location> {
    contacts_within(router, CONTACT_MAX_AGE)
}

/// Number of routers in the fleet as far as is known, this one included.
pub fn fleet_size(router: &Router) -> usize {
    let listed = router.gossip.listed_routers.lock().unwrap().len();
    listed.max(live_routers(router).len()) + 1
}

/// Whether this router watches the configuration in the store; the others hear from their peers.
pub fn is_store_watcher(router: &Router) -> bool {
    membership::is_store_watcher(&location_of(&router.member), &live_routers(router))
}

/// Peers to exchange with now, chosen from the listed routers and the known contacts.
pub fn choose_peers(router: &Router) -> Vec<name::Name> {
    let mut peers = router.gossip.listed_routers.lock().unwrap().clone();
    for contact in contacts_within(router, CONTACT_RETENTION) {
        if !peers.iter().any(|peer| peer.address == contact.address) {
            peers.push(contact);
        }
    }
    membership::gossip_peers(
        &location_of(&router.member),
        &peers,
        &mut router.runtime.rng(),
    )
}

/// Records a heartbeat that an agent sent to this router.
pub fn receive_heartbeat(router: &Router, heartbeat: &messages::AgentBeat, now: timers::Now) {
    config_sync::note_version(router, heartbeat.versions.config, None);
    let report = report(heartbeat.clone(), now);
    let name = heartbeat.member.name.clone();
    router.gossip.reports.lock().unwrap().accept(name, report);
}

fn report(
    heartbeat: messages::AgentBeat,
    seen: timers::Now,
) -> membership::Report<messages::AgentBeat> {
    membership::Report {
        incarnation: heartbeat.member.incarnation,
        address: heartbeat.member.address.clone(),
        seen,
        content: heartbeat,
    }
}

/// Configuration versions that the agents last reported, by VM name.
pub fn agent_config_versions(router: &Router) -> BTreeMap<name::Name, u64> {
    let heartbeats = fresh_heartbeats(router);
    let version =
        |heartbeat: messages::AgentBeat| (heartbeat.member.name, heartbeat.versions.config);
    heartbeats.into_iter().map(version).collect()
}

/// Heartbeats of agents that are not suspected.
pub fn fresh_heartbeats(router: &Router) -> Vec<messages::AgentBeat> {
    let now = router.runtime.timers.now();
    let limit = router.roster.lock().unwrap().heartbeat_max_age();
    let reports = router.gossip.reports.lock().unwrap();
    let fresh = reports.fresh(now, limit);
    fresh.map(|report| report.content.clone()).collect()
}

impl Router {
    /// Whether an agent's incarnation is known to have been replaced by another one.
    pub fn is_replaced(&self, incarnation: member::Incarnation) -> bool {
        let reports = self.gossip.reports.lock().unwrap();
        reports.is_replaced(incarnation)
    }
}

/// Builds a message; it holds the fenced holders only if the peer knows an older list.
fn build_message(router: &Router, peer_fences: u64) -> messages::Gossip {
    let now = router.runtime.timers.now();
    let fences = router.fences.lock().unwrap().clone();
    let mut reports = router.gossip.reports.lock().unwrap();
    reports.remove_older_than(now, roster::AGENT_RETENTION);
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
        crashes: router
            .crashes
            .lock()
            .unwrap()
            .export(now, MAX_CRASHES_PER_MESSAGE),
        fenced,
    }
}

/// Answers the message of a peer: merges it and returns what this router knows.
pub fn answer(router: &Router, theirs: messages::Gossip) -> messages::Gossip {
    let fences = theirs.versions.fences;
    merge_message(router, theirs);
    build_message(router, fences)
}

/// Sends a message to a peer and merges the answer.
async fn exchange(router: Arc<Router>, peer: name::Name) {
    let known = router
        .gossip
        .contacts
        .lock()
        .unwrap()
        .get(&peer)
        .map(|contact| contact.fences);
    let call = messages::RouterCall::Gossip(build_message(&router, known.unwrap_or(0)));
    let reply = (router.fleet.router)(peer.clone(), call);
    counter!("fulmar_gossip_exchanges").increment(1);
    match router.runtime.timers.within(GOSSIP_TIMEOUT, reply).await {
        Some(Ok(messages::RouterReply::Gossip(theirs))) => merge_message(&router, theirs),
        Some(Ok(_)) => tracing::warn!("gossip: unexpected reply from {peer}."),
        Some(Err(err)) => tracing::debug!("gossip: {peer}: {err}."),
        None => tracing::debug!("gossip: no answer from {peer}."),
    }
}

/// Merges the message of a peer into what this router knows.
fn merge_message(router: &Router, theirs: messages::Gossip) {
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
    note_contact(router, theirs.member, theirs.versions.fences, now);
    for seen in theirs.seen {
        merge_report(router, seen, now);
    }
}

/// Notes a message of a router, and forgets routers without a recent one.
fn note_contact(router: &Router, member: member::Member, fences: u64, at: timers::Now) {
    let mut contacts = router.gossip.contacts.lock().unwrap();
    contacts.retain(|_, contact| at.saturating_sub(contact.at) < CONTACT_RETENTION);
    let address = member.address.clone();
    contacts.insert(address, Contact { member, at, fences });
}

/// Records a heartbeat that a peer passes on, dated back by the age that the peer states.
fn merge_report(router: &Router, seen: messages::Seen, now: timers::Now) {
    let at = now.saturating_sub(seen.age);
    let heartbeat = seen.beat;
    config_sync::note_version(router, heartbeat.versions.config, None);
    let name = heartbeat.member.name.clone();
    let mut roster = router.roster.lock().unwrap();
    let mut reports = router.gossip.reports.lock().unwrap();
    if reports.accept(name, report(heartbeat.clone(), at)) {
        roster.record_heartbeat(heartbeat.member, heartbeat.service, heartbeat.load, at);
    }
}
