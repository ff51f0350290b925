//! Recognises what crashes backend servers, at gateways, which see no more of a crash than that the
//! server's connections end and it accepts no new ones.
//!
//! A request is recognised by several keys: each part of its prompt that other requests may share,
//! and the whole of it, so that requests of which no two are alike are recognised by what they
//! share. All keys of all requests that ran at the server are suspects. A key is cleared when a
//! request with it runs to its end at any gateway: what crashes servers never does. Gateways
//! exchange counts and clearances, since requests with the same key come to any of them.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::crashes::{self, CRASH_RETENTION},
    state::{name, server},
};

/// Number of crashes from which on a request is refused, by its whole or by the last part of its
/// prompt that others may share; they are counted one after the other. The platform allows three, and
/// a request that ran beside the one at fault is seldom present at so many without ending once in
/// between.
pub const REFUSAL_THRESHOLD: usize = 3;

/// Number of crashes for the parts before that one. More requests share them, and they are present
/// at each crash that a later part of the same prompts causes.
pub const SHARED_REFUSAL_THRESHOLD: usize = 4;

/// Number of crashes, some at the same time, from which on a request is refused by any part. The
/// platform allows five.
const TOTAL_REFUSAL_THRESHOLD: usize = 5;

/// Time since the first of them. A part that many requests share is cleared sooner.
const TOTAL_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Number of crashes from which on requests with a part run at one server, away from others.
const ISOLATION_THRESHOLD: usize = 2;

/// Crashes that follow each other sooner are not one after the other: servers that end together, as
/// in a power failure, have another cause than each of the requests that ran there.
const CRASH_GAP: Duration = Duration::from_millis(300);

/// Time within which gateways notice the same crash.
const NOTICE_TIME: Duration = Duration::from_millis(400);

/// Maximum number of crashes that are kept of a key; the newest ones are.
const MAX_CRASHES: usize = 8;

/// Time after which one refused request is let through, to see whether it still crashes servers.
/// It doubles with each crash.
const TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Time for which no other trial follows one.
const TRIAL_TIME: Duration = Duration::from_secs(20);

/// Maximum number of suspects; those with the fewest crashes are dropped first, the oldest ones of
/// them before others.
const MAX_SUSPECTS: usize = 2048;

/// Keys by which a request is recognised: those of the parts of its prompt that others may share, in
/// order, and that of the whole request.
///
/// ```
/// use fulmarproxy::coordination::suspects;
/// let keys = |whole| suspects::Keys::new("model", [1, 2], whole);
/// assert_eq!(keys(7).as_slice().len(), 3);
/// assert_eq!(keys(7).as_slice()[..2], keys(8).as_slice()[..2]);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys(Vec<u64>);

impl Keys {
    /// Keys of a request to a service. `shared_parts` are the ids of the parts, `whole` the
    /// fingerprint of the request.
    pub fn new(service: &str, shared_parts: impl IntoIterator<Item = u64>, whole: u64) -> Self {
        let key = |part: u64| crashes::fingerprint(service, &[&part.to_le_bytes()]);
        let mut keys: Vec<u64> = Vec::new();
        for part in shared_parts {
            if !keys.contains(&key(part)) {
                keys.push(key(part));
            }
        }
        keys.push(whole);
        Self(keys)
    }

    /// The keys, that of the whole request last.
    pub fn as_slice(&self) -> &[u64] {
        &self.0
    }

    /// The keys, the most specific one first, each with the number of keys that are more specific.
    fn with_distances(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        let keys = self.0.iter().rev().enumerate();
        keys.map(|(distance, key)| (*key, distance))
    }
}

/// What a gateway reports about a key.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The key.
    pub key: u64,
    /// Least number of more specific keys that a request with it had: 0 for that of a whole request.
    pub distance: usize,
    /// Crashes since a request with the key last ran to its end: the server and the milliseconds
    /// that have passed, oldest first.
    pub crashes: Vec<(u64, u64)>,
    /// Milliseconds since a request with the key last ran to its end, as far as known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ms: Option<u64>,
}

impl Report {
    /// Report of a key of which only is known that it is refused.
    pub fn refused(key: u64) -> Self {
        let age_ms = |number: usize| number as u64 * NOTICE_TIME.as_millis() as u64;
        let crashes = (0..SHARED_REFUSAL_THRESHOLD).rev();
        Self {
            key,
            distance: 0,
            crashes: crashes
                .map(|number| (number as u64, age_ms(number)))
                .collect(),
            cleared_ms: None,
        }
    }
}

/// Milliseconds since the start of this process; negative for what others report of the time before.
type Moment = i64;

fn moment(at: Duration) -> Moment {
    at.as_millis() as Moment
}

/// A crash of a server that was running a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    server: u64,
    at: Moment,
}

impl Crash {
    /// Whether two gateways have noticed the same crash.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.abs_diff(other.at);
        self.server == other.server && u128::from(apart) < NOTICE_TIME.as_millis()
    }
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Least number of more specific keys that a request with it had.
    distance: usize,
    /// Crashes since a request with the key last ran to its end, oldest first.
    crashes: Vec<Crash>,
    /// When a request with the key last ran to its end.
    cleared: Option<Moment>,
    /// When a refused request was last let through.
    tried: Option<Duration>,
    /// Number of the change that set these values.
    change: u64,
}

impl Suspect {
    /// Whether crashes are enough to refuse the key.
    fn is_enough(&self, crashes: &[Crash], now: Duration) -> bool {
        let rounds = match self.distance {
            0 | 1 => REFUSAL_THRESHOLD,
            _ => SHARED_REFUSAL_THRESHOLD,
        };
        let Some(first) = crashes.first() else {
            return false;
        };
        let is_part = self.distance > 0;
        let is_long = moment(now) - first.at >= moment(TOTAL_REFUSAL_TIME);
        count_rounds(crashes) >= rounds
            || is_part && is_long && crashes.len() >= TOTAL_REFUSAL_THRESHOLD
    }

    /// Whether this key rather than another is the cause of crashes at which both were present.
    fn outranks(&self, other: &Self) -> bool {
        let rank = |it: &Self| (it.crashes.len(), std::cmp::Reverse(it.distance));
        rank(self) > rank(other)
    }

    /// Adds a crash unless it is known; returns whether it was added.
    fn add(&mut self, crash: Crash) -> bool {
        let is_old = self.crashes.len() == MAX_CRASHES && crash.at <= self.crashes[0].at;
        if is_old || self.crashes.iter().any(|it| it.is_same(&crash)) {
            return false;
        }
        let at = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Takes over that a request ran to its end at a time; returns whether this removed a crash.
    fn clear(&mut self, at: Moment) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at >= at);
        self.cleared = self.cleared.max(Some(at));
        self.crashes.len() < count
    }

    /// Time since the last crash or clearance.
    fn age(&self, now: Duration) -> Duration {
        let last = self.crashes.last().map(|crash| crash.at);
        let since = moment(now) - self.cleared.max(last).unwrap_or(0);
        Duration::from_millis(since.max(0) as u64)
    }

    fn is_forgotten(&self, now: Duration) -> bool {
        self.age(now) >= CRASH_RETENTION
    }
}

/// Number of crashes that came one after the other.
fn count_rounds(crashes: &[Crash]) -> usize {
    let mut rounds = 0;
    let mut next = Moment::MIN;
    for crash in crashes {
        if crash.at >= next {
            rounds += 1;
            next = crash.at + moment(CRASH_GAP);
        }
    }
    rounds
}

/// Keys of requests that were running when backend servers crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
    /// Keys for which isolated requests are running, by server.
    isolated: HashMap<name::Name, Vec<u64>>,
    changes: u64,
}

/// Number that stands for a run of a server in reports.
pub fn server_number(server: &server::Server) -> u64 {
    crashes::fingerprint(&server.id, &[&server.started_unix_ms.to_le_bytes()])
}

impl Suspects {
    /// Records that a server crashed while it ran a request that was sent at `sent`; returns the
    /// highest count that this gave a key of the request, 0 when the crash doesn't count.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::suspects;
    /// let keys = |whole| suspects::Keys::new("model", [1], whole);
    /// let mut known = suspects::Suspects::default();
    /// let millis = Duration::from_millis;
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(0), millis(1000)), 1);
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(0), millis(1500)), 0, "the first");
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(1400), millis(1500)), 2, "ran again");
    /// ```
    pub fn record_crash(
        &mut self,
        keys: &Keys,
        server: u64,
        sent: Duration,
        now: Duration,
    ) -> usize {
        // A request that is refused already explains the crash.
        let refused = self.refused_key(keys, now);
        let counted = keys.with_distances();
        let counted = counted.filter(|(key, _)| refused.is_none_or(|refused| refused == *key));
        let at = moment(now);
        let crash = Crash { server, at };
        let mut highest = 0;
        for (key, distance) in counted {
            let known = self.current(key, now).cloned();
            let mut suspect = known.unwrap_or_else(|| Suspect {
                distance,
                ..Suspect::default()
            });
            suspect.distance = suspect.distance.min(distance);
            let noticed = suspect.crashes.iter().rev().find(|it| it.server == server);
            if noticed.is_none_or(|it| moment(sent) >= it.at) && suspect.add(crash) {
                highest = highest.max(suspect.crashes.len());
                self.set(key, suspect);
            }
        }
        highest
    }

    /// Records that a request ran to its end, which clears its keys; returns those that had been
    /// suspects, with their counts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::suspects;
    /// let keys = suspects::Keys::new("model", [1], 7);
    /// let mut known = suspects::Suspects::default();
    /// known.record_crash(&keys, 1, Duration::ZERO, Duration::from_secs(1));
    /// let cleared = known.record_success(&keys, Duration::from_secs(2));
    /// assert_eq!(cleared.len(), 2, "the part and the whole");
    /// assert!(known.record_success(&keys, Duration::from_secs(3)).is_empty());
    /// ```
    pub fn record_success(&mut self, keys: &Keys, now: Duration) -> Vec<(u64, usize)> {
        let mut cleared = Vec::new();
        for key in keys.as_slice() {
            let Some(known) = self.current(*key, now) else {
                continue;
            };
            cleared.push((*key, known.crashes.len()));
            let suspect = Suspect {
                distance: known.distance,
                cleared: Some(moment(now)),
                ..Suspect::default()
            };
            self.set(*key, suspect);
        }
        cleared
    }

    /// Merges what another gateway reports.
    pub fn merge(&mut self, report: &Report, now: Duration) {
        let before = |ms: u64| moment(now).saturating_sub_unsigned(ms);
        let is_known = self.suspects.contains_key(&report.key);
        let known = self.suspects.get(&report.key).cloned();
        let mut suspect = known.unwrap_or_else(|| Suspect {
            distance: report.distance,
            ..Suspect::default()
        });
        suspect.distance = suspect.distance.min(report.distance);
        let cleared = suspect.cleared;
        let mut is_news = match report.cleared_ms {
            Some(ms) if is_known => suspect.clear(before(ms)),
            _ => false,
        };
        for (server, age_ms) in &report.crashes {
            let crash = Crash {
                server: *server,
                at: before(*age_ms),
            };
            let is_recent = Duration::from_millis(*age_ms) < CRASH_RETENTION;
            if is_recent && cleared.is_none_or(|at| crash.at >= at) {
                is_news |= suspect.add(crash);
            }
        }
        if is_news {
            self.set(report.key, suspect);
        }
    }

    /// Whether a request must not be sent to a server. `tries` tells whether trials with a key are
    /// made at this gateway.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::suspects;
    /// let keys = |whole| suspects::Keys::new("model", [1], whole);
    /// let seconds = Duration::from_secs;
    /// let mut known = suspects::Suspects::default();
    /// for second in 1..=3 {
    ///     assert!(!known.refuses(&keys(second), seconds(second), |_| false));
    ///     known.record_crash(&keys(second), second, seconds(second), seconds(second));
    /// }
    /// assert!(known.refuses(&keys(9), seconds(4), |_| true));
    /// assert!(!known.refuses(&keys(9), seconds(70), |_| true), "a trial");
    /// assert!(known.refuses(&keys(9), seconds(70), |_| false), "made elsewhere");
    /// ```
    pub fn refuses(&self, keys: &Keys, now: Duration, tries: impl Fn(u64) -> bool) -> bool {
        self.refused_keys(keys, now).any(|key| {
            let suspect = &self.suspects[&key];
            let further = suspect.crashes.len().saturating_sub(REFUSAL_THRESHOLD);
            let delay = TRIAL_DELAY * 2_u32.pow(further.min(MAX_CRASHES) as u32);
            let is_due = suspect.age(now) >= delay;
            let is_tried = suspect.tried.is_some_and(|at| now < at + TRIAL_TIME);
            !is_due || is_tried || !tries(key)
        })
    }

    /// Records that a request is sent for the first time. If it is refused otherwise, this is a trial.
    pub fn begin_trial(&mut self, keys: &Keys, now: Duration) {
        let refused: Vec<u64> = self.refused_keys(keys, now).collect();
        for key in refused {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.tried = Some(now);
            }
        }
    }

    /// The key for which a request is refused, but for trials; that which the fewest requests share.
    pub fn refused_key(&self, keys: &Keys, now: Duration) -> Option<u64> {
        self.refused_keys(keys, now).next()
    }

    fn refused_keys<'a>(&'a self, keys: &'a Keys, now: Duration) -> impl Iterator<Item = u64> + 'a {
        let refused = keys.with_distances().filter(move |(key, _)| {
            let known = self.current(*key, now);
            known.is_some_and(|known| self.is_refused(known, now))
        });
        refused.map(|(key, _)| key)
    }

    /// Whether a key is refused for the crashes that no other key explains.
    fn is_refused(&self, suspect: &Suspect, now: Duration) -> bool {
        if !suspect.is_enough(&suspect.crashes, now) {
            return false;
        }
        let explains = |other: &&Suspect| {
            other.outranks(suspect)
                && !other.is_forgotten(now)
                && other.is_enough(&other.crashes, now)
        };
        let others: Vec<&Suspect> = self.suspects.values().filter(explains).collect();
        let is_unexplained = |crash: &&Crash| {
            let mut crashes = others.iter().flat_map(|other| &other.crashes);
            !crashes.any(|it| it.is_same(crash))
        };
        let unexplained: Vec<Crash> = suspect
            .crashes
            .iter()
            .filter(is_unexplained)
            .copied()
            .collect();
        suspect.is_enough(&unexplained, now)
    }

    /// The key for which a request runs away from others, if any: the one with the most crashes.
    pub fn isolation_key(&self, keys: &Keys, now: Duration) -> Option<u64> {
        let whole = keys.as_slice().last();
        let counts = keys.as_slice().iter().filter_map(|key| {
            let crashes = self.current(*key, now)?.crashes.len();
            let isolates = crashes >= ISOLATION_THRESHOLD || Some(key) == whole;
            isolates.then_some((crashes, *key))
        });
        counts
            .max_by_key(|(crashes, _)| *crashes)
            .map(|(_, key)| key)
    }

    /// Records that a request which runs away from others was sent to a server.
    pub fn begin_run(&mut self, server: &name::Name, key: u64) {
        self.isolated.entry(server.clone()).or_default().push(key);
    }

    /// Records that the run of such a request has ended.
    pub fn end_run(&mut self, server: &str, key: u64) {
        if let Some(keys) = self.isolated.get_mut(server) {
            if let Some(at) = keys.iter().position(|running| *running == key) {
                keys.swap_remove(at);
            }
            if keys.is_empty() {
                self.isolated.remove(server);
            }
        }
    }

    /// Whether no request is running at a server, by this gateway, that another with this isolation
    /// key must not run beside.
    pub fn is_apart(&self, server: &str, key: Option<u64>) -> bool {
        let running = self.isolated.get(server);
        running.is_none_or(|running| running.iter().all(|other| Some(*other) == key))
    }

    /// Number of the last change of a count.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Counts and clearances that were changed after change number `after`, oldest change first, at
    /// most `limit` of them, and the number of the last one that they cover.
    pub fn changes_after(&self, after: u64, limit: usize, now: Duration) -> (Vec<Report>, u64) {
        let mut changed: Vec<_> = self.suspects.iter().collect();
        changed.retain(|(_, suspect)| suspect.change > after && !suspect.is_forgotten(now));
        changed.sort_by_key(|(_, suspect)| suspect.change);
        let covered = match changed.get(limit) {
            Some((_, next)) => next.change - 1,
            None => self.changes,
        };
        let reports = changed.into_iter().take(limit);
        let reports = reports.map(|(key, suspect)| report(*key, suspect, now));
        (reports.collect(), covered)
    }

    /// The counts for a gateway that has started, at most `limit` of them; the highest come first.
    pub fn highest(&self, limit: usize, now: Duration) -> Vec<Report> {
        let mut counted: Vec<_> = self.suspects.iter().collect();
        counted.retain(|(_, it)| !it.crashes.is_empty() && !it.is_forgotten(now));
        counted.sort_by_key(|(_, it)| std::cmp::Reverse((it.crashes.len(), it.change)));
        let counted = counted.into_iter().take(limit);
        counted
            .map(|(key, suspect)| report(*key, suspect, now))
            .collect()
    }

    fn current(&self, key: u64, now: Duration) -> Option<&Suspect> {
        let known = self.suspects.get(&key);
        known.filter(|known| !known.crashes.is_empty() && !known.is_forgotten(now))
    }

    fn set(&mut self, key: u64, mut suspect: Suspect) {
        self.changes += 1;
        suspect.change = self.changes;
        self.suspects.insert(key, suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            let least = |(_, known): &(&u64, &Suspect)| (known.crashes.len(), known.change);
            let least = self.suspects.iter().min_by_key(least);
            if let Some((&least, _)) = least {
                self.suspects.remove(&least);
            }
        }
    }
}

fn report(key: u64, suspect: &Suspect, now: Duration) -> Report {
    let age_ms = |at: Moment| moment(now).saturating_sub(at).max(0) as u64;
    let crashes = suspect.crashes.iter();
    Report {
        key,
        distance: suspect.distance,
        crashes: crashes.map(|it| (it.server, age_ms(it.at))).collect(),
        cleared_ms: suspect.cleared.map(age_ms),
    }
}
