//! Decides which members exchange messages, how often, and which reports of members are current.
//!
//! Agents send heartbeats to a few routers, and routers pass them on to each other by gossip.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::state::{member, name};

/// Number of routers that an agent sends heartbeats to.
pub const ROUTERS_PER_AGENT: usize = 3;

/// Number of peers that a router gossips with in one round.
pub const GOSSIP_FANOUT: usize = 2;

/// Number of routers in a region that watch the store; the others learn of changes by gossip.
pub const WATCHERS_PER_REGION: usize = 3;

/// Maximum number of reports in one gossip message.
pub const MAX_REPORTS_PER_MESSAGE: usize = 4;

/// Age from which on a report is not passed on.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Maximum number of replaced incarnations that are remembered.
pub const MAX_REPLACED_INCARNATIONS: usize = 1024;

/// Minimum time between two heartbeats of an agent.
pub const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of heartbeats that a router receives per second, on average.
pub const MAX_HEARTBEATS_PER_SECOND: u32 = 10;

/// Minimum time between two reads of the list of VMs.
pub const MIN_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Time that each listed VM adds to the time between two reads of the list.
pub const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(40);

/// Number of heartbeats that an agent may miss before it is suspected to have failed.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Time between two heartbeats of an agent.
///
/// It grows with the number of agents per router, so that no router receives more than
/// [`MAX_HEARTBEATS_PER_SECOND`] on average.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::heartbeat_interval(12, 4), Duration::from_secs(1));
/// assert!(membership::heartbeat_interval(12_000, 470) > Duration::from_secs(3));
/// ```
pub fn heartbeat_interval(agents: usize, routers: usize) -> Duration {
    let heartbeats = (agents * ROUTERS_PER_AGENT) as f64;
    let taken = f64::from(MAX_HEARTBEATS_PER_SECOND) * routers.max(1) as f64;
    MIN_HEARTBEAT_INTERVAL.max(Duration::from_secs_f64(heartbeats / taken))
}

/// Time without a heartbeat after which an agent is suspected to have failed.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::heartbeat_max_age(12, 4), Duration::from_secs(3));
/// ```
pub fn heartbeat_max_age(agents: usize, routers: usize) -> Duration {
    heartbeat_interval(agents, routers) * MAX_MISSED_HEARTBEATS
}

/// Time between two reads of the list of VMs, which grows with the list.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::list_interval(24), Duration::from_secs(2));
/// ```
pub fn list_interval(vms: usize) -> Duration {
    MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_VM * vms as u32)
}

/// Where a router or an agent runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// `IP:port` of the fleet listener.
    pub address: name::Name,
    /// Region of the VM.
    pub region: name::Name,
    /// Availability zone of the VM.
    pub zone: name::Name,
}

fn score(key: &str, candidate: &str) -> u64 {
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Orders candidates by their rendezvous score for `key`, highest first.
fn ranked<'a>(key: &str, candidates: impl Iterator<Item = &'a Location>) -> Vec<&'a Location> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_key(|place| {
        (
            std::cmp::Reverse(score(key, &place.address)),
            &place.address,
        )
    });
    ranked.dedup_by(|a, b| a.address == b.address);
    ranked
}

/// Routers that an agent sends heartbeats to.
///
/// One is in the agent's own availability zone if the zone has a router. The rest are in its
/// region; routers of other regions are chosen only when the region has too few.
///
/// ```
/// use fulmarproxy::coordination::membership;
/// let place = |address: &str, zone: &str| membership::Location {
///     address: address.into(), region: "r".into(), zone: zone.into(),
/// };
/// let routers = [place("a:1", "x"), place("b:1", "y"), place("c:1", "y"), place("d:1", "y")];
/// let chosen = membership::routers_for_agent("backend-1", &place("z:1", "x"), &routers);
/// assert_eq!(chosen.len(), membership::ROUTERS_PER_AGENT);
/// assert!(chosen.contains(&"a:1".into()));
/// ```
pub fn routers_for_agent(agent: &str, own: &Location, routers: &[Location]) -> Vec<name::Name> {
    let all = ranked(agent, routers.iter());
    let own_zone = all.iter().filter(|r| r.zone == own.zone).take(1);
    let region = all.iter().filter(|r| r.region == own.region);
    let order = own_zone.chain(region).chain(all.iter());
    let mut chosen: Vec<name::Name> = Vec::new();
    for router in order {
        if chosen.len() == ROUTERS_PER_AGENT {
            break;
        }
        if !chosen.contains(&router.address) {
            chosen.push(router.address.clone());
        }
    }
    chosen
}

/// Peers that a router gossips with now: one of another region if there is one, and the rest of its
/// own region.
///
/// ```
/// use fulmarproxy::coordination::membership;
/// let place = |address: &str, region: &str| membership::Location {
///     address: address.into(), region: region.into(), zone: "z".into(),
/// };
/// let peers = [place("a:1", "r"), place("b:1", "r"), place("c:1", "s")];
/// let mut rng = fastrand::Rng::with_seed(1);
/// let chosen = membership::gossip_peers(&place("z:1", "r"), &peers, &mut rng);
/// assert_eq!(chosen.len(), membership::GOSSIP_FANOUT);
/// assert!(chosen.contains(&"c:1".into()));
/// ```
pub fn gossip_peers(
    own: &Location,
    peers: &[Location],
    rng: &mut fastrand::Rng,
) -> Vec<name::Name> {
    let others = peers.iter().filter(|peer| peer.address != own.address);
    let (mut near, mut far): (Vec<_>, Vec<_>) = others.partition(|peer| peer.region == own.region);
    rng.shuffle(&mut near);
    rng.shuffle(&mut far);
    let first = far.iter().take(1);
    let rest = near.iter().chain(far.iter().skip(1));
    first
        .chain(rest)
        .take(GOSSIP_FANOUT)
        .map(|peer| peer.address.clone())
        .collect()
}

/// Whether a router watches the store itself, given the live routers.
///
/// ```
/// use fulmarproxy::coordination::membership;
/// let at = membership::Location { address: "a:1".into(), region: "r".into(), zone: "z".into() };
/// assert!(membership::is_store_watcher(&at, &[]));
/// ```
pub fn is_store_watcher(own: &Location, live: &[Location]) -> bool {
    let region = live.iter().filter(|peer| peer.region == own.region);
    let ranked = ranked("config", region.chain([own]));
    let mut watchers = ranked.iter().take(WATCHERS_PER_REGION);
    watchers.any(|place| place.address == own.address)
}

/// A report of a member with the time at which the member sent it.
#[derive(Clone, Debug)]
pub struct Report<T> {
    /// Incarnation of the member that sent the report.
    pub incarnation: member::Incarnation,
    /// Address of the member.
    pub address: name::Name,
    /// Time at which the member sent the report.
    pub seen: Duration,
    /// What the member reported.
    pub content: T,
}

/// The newest report of each member, by VM name.
#[derive(Clone, Debug)]
pub struct Reports<T> {
    reports: BTreeMap<name::Name, Report<T>>,
    replaced: VecDeque<member::Incarnation>,
}

impl<T> Default for Reports<T> {
    fn default() -> Self {
        Self {
            reports: BTreeMap::new(),
            replaced: VecDeque::new(),
        }
    }
}

impl<T: Clone> Reports<T> {
    /// Stores a report; returns whether it is newer than what was known.
    ///
    /// A report that is not newer, or whose incarnation was replaced, is ignored.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::membership;
    /// let report = |incarnation, seconds| membership::Report {
    ///     incarnation, address: "a:1".into(), seen: Duration::from_secs(seconds), content: (),
    /// };
    /// let mut reports = membership::Reports::default();
    /// assert!(reports.accept("vm".into(), report(1, 1)));
    /// assert!(reports.accept("vm".into(), report(2, 2)));
    /// assert!(!reports.accept("vm".into(), report(1, 3)));
    /// ```
    pub fn accept(&mut self, name: name::Name, report: Report<T>) -> bool {
        if self.is_replaced(report.incarnation) {
            return false;
        }
        if let Some(known) = self.reports.get(&name) {
            if known.seen >= report.seen {
                return false;
            }
            if known.incarnation != report.incarnation {
                let old = known.incarnation;
                self.mark_replaced(old);
            }
        }
        self.remove_others_at_address(&name, &report);
        self.reports.insert(name, report);
        true
    }

    /// Removes older reports of other VMs with the same address: a VM that was replaced may have
    /// passed its address on to a VM of another name.
    fn remove_others_at_address(&mut self, name: &name::Name, report: &Report<T>) {
        let others = self.reports.iter().filter(|(other, known)| {
            *other != name && known.address == report.address && known.seen < report.seen
        });
        let old: Vec<_> = others
            .map(|(other, known)| (other.clone(), known.incarnation))
            .collect();
        for (other, incarnation) in old {
            self.reports.remove(&other);
            self.mark_replaced(incarnation);
        }
    }

    fn mark_replaced(&mut self, incarnation: member::Incarnation) {
        self.replaced.push_back(incarnation);
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.pop_front();
        }
    }

    /// Whether this incarnation is known to have been replaced by another one.
    pub fn is_replaced(&self, incarnation: member::Incarnation) -> bool {
        self.replaced.contains(&incarnation)
    }

    /// Removes reports that are `limit` old or older.
    pub fn remove_older_than(&mut self, now: Duration, limit: Duration) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.seen) < limit);
    }

    /// Reports younger than `limit`, ordered by VM name.
    pub fn fresh(&self, now: Duration, limit: Duration) -> impl Iterator<Item = &Report<T>> {
        let fresh = move |report: &&Report<T>| now.saturating_sub(report.seen) < limit;
        self.reports.values().filter(fresh)
    }

    /// Chooses the reports to pass on: fresh ones, or a random sample of them when there are more
    /// than [`MAX_REPORTS_PER_MESSAGE`].
    pub fn sample(&self, now: Duration, rng: &mut fastrand::Rng) -> Vec<Report<T>> {
        let fresh: Vec<_> = self.fresh(now, REPORT_MAX_AGE).collect();
        let chosen = rng.choose_multiple(fresh, MAX_REPORTS_PER_MESSAGE);
        chosen.into_iter().cloned().collect()
    }
}

/// VMs that the platform's list has named so far.
///
/// A VM that is missing from the list and was never on it may just be too new to be listed.
#[derive(Clone, Debug, Default)]
pub struct ListedVms {
    names: BTreeSet<name::Name>,
}

impl ListedVms {
    /// Adds the names of one read of the list.
    pub fn add<'a>(&mut self, names: impl IntoIterator<Item = &'a name::Name>) {
        self.names.extend(names.into_iter().cloned());
    }

    /// Whether a VM was ever on the list; if so and it is missing now, it is gone.
    ///
    /// ```
    /// let mut listed = fulmarproxy::coordination::membership::ListedVms::default();
    /// assert!(!listed.was_listed("backend-1"));
    /// listed.add([&"backend-1".into()]);
    /// assert!(listed.was_listed("backend-1"));
    /// ```
    pub fn was_listed(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
