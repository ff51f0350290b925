//! Who talks to whom, and which reports of members are still to be believed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use xxhash_rust::xxh3;

use crate::state::{member, name};

/// Routers that an agent reports to.
pub const ROUTERS_PER_AGENT: usize = 3;

/// Peers that a router exchanges with in one period.
pub const PEERS_PER_PERIOD: usize = 2;

/// Routers of a region that watch the store; the others hear from them.
pub const WATCHERS_PER_REGION: usize = 3;

/// Reports that one exchange carries at most.
pub const REPORTS_PER_MESSAGE: usize = 4;

/// Age after which a report is not passed on.
pub const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Replaced incarnations that are remembered.
pub const MAX_REPLACED: usize = 1024;

/// Least time between two heartbeats of an agent.
pub const MIN_BEAT_PERIOD: Duration = Duration::from_secs(1);

/// Heartbeats that a router receives in a second, on average and at most.
pub const MAX_BEATS_PER_SECOND: u32 = 10;

/// Least time between two reads of the list of VMs.
pub const MIN_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Part of the time between two reads of the list that each VM on it adds.
pub const LIST_PERIOD_PER_VM: Duration = Duration::from_millis(40);

/// Heartbeats that an agent may miss before it is suspected.
pub const MISSED_BEATS: u32 = 3;

/// Time between two heartbeats of an agent, so that a router's share of them is bounded.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::beat_period(12, 4), Duration::from_secs(1));
/// assert!(membership::beat_period(12_000, 470) > Duration::from_secs(3));
/// ```
pub fn beat_period(agents: usize, routers: usize) -> Duration {
    let beats = (agents * ROUTERS_PER_AGENT) as f64;
    let taken = f64::from(MAX_BEATS_PER_SECOND) * routers.max(1) as f64;
    MIN_BEAT_PERIOD.max(Duration::from_secs_f64(beats / taken))
}

/// Silence after which an agent is suspected.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::suspect_after(12, 4), Duration::from_secs(3));
/// ```
pub fn suspect_after(agents: usize, routers: usize) -> Duration {
    beat_period(agents, routers) * MISSED_BEATS
}

/// Time between two reads of the list of VMs, which grows with the list.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::membership;
/// assert_eq!(membership::list_period(24), Duration::from_secs(2));
/// ```
pub fn list_period(vms: usize) -> Duration {
    MIN_LIST_PERIOD.max(LIST_PERIOD_PER_VM * vms as u32)
}

/// A router as far as the choice of partners is concerned.
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

/// Routers that an agent reports to: at least one of its own zone when there is one, the rest of
/// its region, and others only when the region has too few.
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
pub fn routers_for_agent(agent: &str, at: &Location, routers: &[Location]) -> Vec<name::Name> {
    let all = ranked(agent, routers.iter());
    let own_zone = all.iter().filter(|r| r.zone == at.zone).take(1);
    let region = all.iter().filter(|r| r.region == at.region);
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

/// Peers that a router exchanges with now: one of another region when there is one, the rest of
/// its own region.
///
/// ```
/// use fulmarproxy::coordination::membership;
/// let place = |address: &str, region: &str| membership::Location {
///     address: address.into(), region: region.into(), zone: "z".into(),
/// };
/// let peers = [place("a:1", "r"), place("b:1", "r"), place("c:1", "s")];
/// let mut rng = fastrand::Rng::with_seed(1);
/// let chosen = membership::gossip_peers(&place("z:1", "r"), &peers, &mut rng);
/// assert_eq!(chosen.len(), membership::PEERS_PER_PERIOD);
/// assert!(chosen.contains(&"c:1".into()));
/// ```
pub fn gossip_peers(at: &Location, peers: &[Location], rng: &mut fastrand::Rng) -> Vec<name::Name> {
    let others = peers.iter().filter(|peer| peer.address != at.address);
    let (mut near, mut far): (Vec<_>, Vec<_>) = others.partition(|peer| peer.region == at.region);
    rng.shuffle(&mut near);
    rng.shuffle(&mut far);
    let first = far.iter().take(1);
    let rest = near.iter().chain(far.iter().skip(1));
    first
        .chain(rest)
        .take(PEERS_PER_PERIOD)
        .map(|peer| peer.address.clone())
        .collect()
}

/// Whether a router watches the store itself, given the routers of its region that answer.
///
/// ```
/// use fulmarproxy::coordination::membership;
/// let at = membership::Location { address: "a:1".into(), region: "r".into(), zone: "z".into() };
/// assert!(membership::is_store_watcher(&at, &[]));
/// ```
pub fn is_store_watcher(at: &Location, live: &[Location]) -> bool {
    let region = live.iter().filter(|peer| peer.region == at.region);
    let ranked = ranked("config", region.chain([at]));
    let mut watchers = ranked.iter().take(WATCHERS_PER_REGION);
    watchers.any(|place| place.address == at.address)
}

/// A report of a member, and when the member gave it.
#[derive(Clone, Debug)]
pub struct Report<T> {
    /// Incarnation that reports.
    pub incarnation: member::Incarnation,
    /// Address of the member.
    pub address: name::Name,
    /// Time at which the member gave the report.
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
    /// Takes a report; tells whether it is news.
    ///
    /// An older report, and any report of an incarnation that was replaced, changes nothing.
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
                self.replace(old);
            }
        }
        self.drop_others_at(&name, &report);
        self.reports.insert(name, report);
        true
    }

    /// A VM that was replaced may leave its address to one of another name.
    fn drop_others_at(&mut self, name: &name::Name, report: &Report<T>) {
        let others = self.reports.iter().filter(|(other, known)| {
            *other != name && known.address == report.address && known.seen < report.seen
        });
        let old: Vec<_> = others
            .map(|(other, known)| (other.clone(), known.incarnation))
            .collect();
        for (other, incarnation) in old {
            self.reports.remove(&other);
            self.replace(incarnation);
        }
    }

    fn replace(&mut self, incarnation: member::Incarnation) {
        self.replaced.push_back(incarnation);
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Whether another incarnation is known to have taken the place of this one.
    pub fn is_replaced(&self, incarnation: member::Incarnation) -> bool {
        self.replaced.contains(&incarnation)
    }

    /// Forgets reports older than `limit`.
    pub fn remove_older_than(&mut self, now: Duration, limit: Duration) {
        self.reports
            .retain(|_, report| now.saturating_sub(report.seen) < limit);
    }

    /// Reports no older than `limit`, by VM name.
    pub fn fresh(&self, now: Duration, limit: Duration) -> impl Iterator<Item = &Report<T>> {
        let fresh = move |report: &&Report<T>| now.saturating_sub(report.seen) < limit;
        self.reports.values().filter(fresh)
    }

    /// Chooses what to pass on: fresh reports, a random part of them when there are many.
    pub fn sample(&self, now: Duration, rng: &mut fastrand::Rng) -> Vec<Report<T>> {
        let fresh: Vec<_> = self.fresh(now, REPORT_MAX_AGE).collect();
        let chosen = rng.choose_multiple(fresh, REPORTS_PER_MESSAGE);
        chosen.into_iter().cloned().collect()
    }
}

/// VMs that the platform's list has named; one that it never named may only be new.
#[derive(Clone, Debug, Default)]
pub struct ListedVms {
    named: BTreeSet<name::Name>,
}

impl ListedVms {
    /// Takes the names of one reading of the list.
    pub fn add<'a>(&mut self, names: impl IntoIterator<Item = &'a name::Name>) {
        self.named.extend(names.into_iter().cloned());
    }

    /// Whether the list has named a VM, so that one that it names no longer has gone.
    ///
    /// ```
    /// let mut listed = fulmarproxy::coordination::membership::ListedVms::default();
    /// assert!(!listed.was_listed("backend-1"));
    /// listed.add([&"backend-1".into()]);
    /// assert!(listed.was_listed("backend-1"));
    /// ```
    pub fn was_listed(&self, name: &str) -> bool {
        self.named.contains(name)
    }
}
