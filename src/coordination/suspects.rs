//! Recognises what crashes backend servers, at gateways, which see no more of a crash than that the
//! server's connections end and it accepts no new ones.
//!
//! A request is recognised by several keys: each part of its prompt that other requests may share,
//! and the whole of it, so that requests of which no two are alike are recognised by what they
//! share. All keys of all requests that ran at the server are suspects. A key is cleared when a
//! request with it runs to its end at any gateway: what crashes servers never does. Gateways
//! exchange counts and clearances, since requests with the same key come to any of them.

use std::{collections::HashMap, time::Duration};

use crate::{
    coordination::{crashes, suspect, suspect_keys, suspect_turns},
    state::{name, server},
};

/// Number of crashes from which on requests with a part run at one server, away from others.
const ISOLATION_THRESHOLD: usize = 2;

/// Time after which one refused request is let through, to see whether it still crashes servers.
/// It doubles with each crash.
const TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Time for which no other trial follows one.
const TRIAL_TIME: Duration = Duration::from_secs(20);

/// Maximum number of suspects; those with the fewest crashes are dropped first, the oldest ones of
/// them before others.
const MAX_SUSPECTS: usize = 2048;

/// Keys of requests that were running when backend servers crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, suspect::Suspect>,
    /// Keys for which isolated requests are running, by server.
    isolated: HashMap<name::Name, Vec<u64>>,
    turns: suspect_turns::Turns,
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
    /// use fulmarproxy::coordination::{suspect_keys, suspects};
    /// let keys = |whole| suspect_keys::Keys::new("model", [1], whole);
    /// let mut known = suspects::Suspects::default();
    /// let millis = Duration::from_millis;
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(0), millis(1000)), 1);
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(0), millis(1500)), 0, "the first");
    /// assert_eq!(known.record_crash(&keys(7), 1, millis(1400), millis(1500)), 2, "ran again");
    /// ```
    pub fn record_crash(
        &mut self,
        keys: &suspect_keys::Keys,
        server: u64,
        sent: Duration,
        now: Duration,
    ) -> usize {
        // A request that is refused already explains the crash.
        let refused = self.refused_key(keys, now);
        let counted = keys.with_distances();
        let counted = counted.filter(|(key, _)| refused.is_none_or(|refused| refused == *key));
        let at = suspect::moment(now);
        let whole = keys.whole();
        let is_alone = self.turns.is_alone(keys);
        let sent = suspect::moment(sent);
        let mut highest = 0;
        for (key, distance) in counted {
            let known = self.current(key, now).cloned();
            let mut suspect = known.unwrap_or_else(|| suspect::Suspect {
                distance,
                ..suspect::Suspect::default()
            });
            suspect.distance = suspect.distance.min(distance);
            let crash = suspect::Crash {
                server,
                at,
                is_alone: is_alone && key == whole,
                is_repeat: suspect.crashes.iter().all(|it| sent >= it.at),
            };
            let noticed = suspect.crashes.iter().rev().find(|it| it.server == server);
            if noticed.is_none_or(|it| sent >= it.at) && suspect.add(crash) {
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
    /// use fulmarproxy::coordination::{suspect_keys, suspects};
    /// let keys = suspect_keys::Keys::new("model", [1], 7);
    /// let mut known = suspects::Suspects::default();
    /// known.record_crash(&keys, 1, Duration::ZERO, Duration::from_secs(1));
    /// let cleared = known.record_success(&keys, Duration::from_secs(2));
    /// assert_eq!(cleared.len(), 2, "the part and the whole");
    /// assert!(known.record_success(&keys, Duration::from_secs(3)).is_empty());
    /// ```
    pub fn record_success(
        &mut self,
        keys: &suspect_keys::Keys,
        now: Duration,
    ) -> Vec<(u64, usize)> {
        let mut cleared = Vec::new();
        for key in keys.as_slice() {
            let Some(known) = self.current(*key, now) else {
                continue;
            };
            cleared.push((*key, known.crashes.len()));
            let suspect = suspect::Suspect {
                distance: known.distance,
                cleared: Some(suspect::moment(now)),
                ..suspect::Suspect::default()
            };
            self.set(*key, suspect);
        }
        cleared
    }

    /// Merges what another gateway reports.
    pub fn merge(&mut self, report: &suspect::Report, now: Duration) {
        let before = |ms: u64| suspect::moment(now).saturating_sub_unsigned(ms);
        let is_known = self.suspects.contains_key(&report.key);
        let known = self.suspects.get(&report.key).cloned();
        let mut suspect = known.unwrap_or_else(|| suspect::Suspect {
            distance: report.distance,
            ..suspect::Suspect::default()
        });
        suspect.distance = suspect.distance.min(report.distance);
        let cleared = suspect.cleared;
        let mut is_news = match report.cleared_ms {
            Some(ms) if is_known => suspect.clear(before(ms)),
            _ => false,
        };
        for (number, (server, age_ms)) in report.crashes.iter().enumerate() {
            let crash = suspect::Crash {
                server: *server,
                at: before(*age_ms),
                is_alone: report.alone.get(number).is_some_and(|it| *it),
                is_repeat: report.repeats.get(number).is_some_and(|it| *it),
            };
            let is_recent = Duration::from_millis(*age_ms) < crashes::CRASH_RETENTION;
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
    /// use fulmarproxy::coordination::{suspect_keys, suspects};
    /// let keys = |whole| suspect_keys::Keys::new("model", [1], whole);
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
    pub fn refuses(
        &self,
        keys: &suspect_keys::Keys,
        now: Duration,
        tries: impl Fn(u64) -> bool,
    ) -> bool {
        self.refused_keys(keys, now).any(|key| {
            let suspect = &self.suspects[&key];
            let further = suspect
                .crashes
                .len()
                .saturating_sub(suspect::REFUSAL_THRESHOLD);
            let delay = TRIAL_DELAY * 2_u32.pow(further.min(suspect::MAX_CRASHES) as u32);
            let is_due = suspect.age(now) >= delay;
            let is_tried = suspect.tried.is_some_and(|at| now < at + TRIAL_TIME);
            !is_due || is_tried || !tries(key)
        })
    }

    /// When a request may be sent. One that was present at a crash runs once at a time at each
    /// gateway, so that copies of it don't end with the next server. After
    /// [`suspect::REFUSAL_THRESHOLD`] crashes it runs alone in the fleet: one gateway, which `runs`
    /// names by the number of the service, sends all such requests of the service, one after the
    /// other. The others refuse those that came again and again by themselves.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::{suspect_keys, suspect_turns::Turn, suspects};
    /// let keys = suspect_keys::Keys::new("desk", [], 7);
    /// let mut known = suspects::Suspects::default();
    /// let crashed = Duration::from_secs(1);
    /// known.record_crash(&keys, 1, Duration::ZERO, crashed);
    /// assert_eq!(known.turn(&keys, crashed, |_| false), Turn::Now);
    /// known.begin_turn(&keys, "i-1", crashed);
    /// assert_eq!(known.turn(&keys, crashed, |_| false), Turn::Later);
    /// ```
    pub fn turn(
        &self,
        keys: &suspect_keys::Keys,
        now: Duration,
        runs: impl Fn(u64) -> bool,
    ) -> suspect_turns::Turn {
        let known = self.current(keys.whole(), now);
        let Some(known) = known.filter(|known| known.age(now) < TRIAL_DELAY) else {
            return suspect_turns::Turn::Now;
        };
        let runs_alone = self.runs_alone(keys, now);
        if runs_alone && !runs(keys.service()) {
            return match known.is_repeated() {
                true => suspect_turns::Turn::Never,
                false => suspect_turns::Turn::Elsewhere,
            };
        }
        match self.turns.must_wait(keys, runs_alone) {
            true => suspect_turns::Turn::Later,
            false => suspect_turns::Turn::Now,
        }
    }

    /// Whether a request has been present at so many crashes that it must run alone.
    pub fn runs_alone(&self, keys: &suspect_keys::Keys, now: Duration) -> bool {
        let known = self.current(keys.whole(), now);
        known.is_some_and(|known| known.crashes.len() >= suspect::REFUSAL_THRESHOLD)
    }

    /// Records that a request is sent; returns whether it is a suspect, and [`Self::end_turn`] must
    /// follow, once its crash is recorded if there is one.
    pub fn begin_turn(&mut self, keys: &suspect_keys::Keys, server: &str, now: Duration) -> bool {
        if self.current(keys.whole(), now).is_none() {
            return false;
        }
        let isolation = self.isolation_key(keys, now);
        let is_alone = self.runs_alone(keys, now) && self.is_apart(server, isolation);
        self.turns.begin(keys, is_alone);
        true
    }

    /// Records that a suspect request has ended.
    pub fn end_turn(&mut self, keys: &suspect_keys::Keys) {
        self.turns.end(keys);
    }

    /// Records that a request is sent for the first time. If it is refused otherwise, this is a trial.
    pub fn begin_trial(&mut self, keys: &suspect_keys::Keys, now: Duration) {
        let refused: Vec<u64> = self.refused_keys(keys, now).collect();
        for key in refused {
            if let Some(suspect) = self.suspects.get_mut(&key) {
                suspect.tried = Some(now);
            }
        }
    }

    /// The key for which a request is refused, but for trials; that which the fewest requests share.
    pub fn refused_key(&self, keys: &suspect_keys::Keys, now: Duration) -> Option<u64> {
        self.refused_keys(keys, now).next()
    }

    fn refused_keys<'a>(
        &'a self,
        keys: &'a suspect_keys::Keys,
        now: Duration,
    ) -> impl Iterator<Item = u64> + 'a {
        let refused = keys.with_distances().filter(move |(key, _)| {
            let known = self.current(*key, now);
            known.is_some_and(|known| self.is_refused(known, now))
        });
        refused.map(|(key, _)| key)
    }

    /// Whether a key is refused for the crashes that no other key explains.
    fn is_refused(&self, suspect: &suspect::Suspect, now: Duration) -> bool {
        suspect.is_enough(&suspect.crashes, now)
            && suspect.is_enough(&self.unexplained(suspect, now), now)
    }

    /// The crashes of a key that no other refused key explains.
    fn unexplained(&self, suspect: &suspect::Suspect, now: Duration) -> Vec<suspect::Crash> {
        let explains = |other: &&suspect::Suspect| {
            other.outranks(suspect)
                && !other.is_forgotten(now)
                && other.is_enough(&other.crashes, now)
        };
        let others: Vec<&suspect::Suspect> = self.suspects.values().filter(explains).collect();
        let is_unexplained = |crash: &&suspect::Crash| {
            let mut crashes = others.iter().flat_map(|other| &other.crashes);
            !crashes.any(|it| it.is_same(crash))
        };
        let crashes = suspect.crashes.iter();
        crashes.filter(is_unexplained).copied().collect()
    }

    /// The key for which a request runs away from others, if any: the one with the most crashes.
    pub fn isolation_key(&self, keys: &suspect_keys::Keys, now: Duration) -> Option<u64> {
        let whole = keys.whole();
        let counts = keys.as_slice().iter().filter_map(|key| {
            let crashes = self.current(*key, now)?.crashes.len();
            let isolates = crashes >= ISOLATION_THRESHOLD || *key == whole;
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
    pub fn changes_after(
        &self,
        after: u64,
        limit: usize,
        now: Duration,
    ) -> (Vec<suspect::Report>, u64) {
        let mut changed: Vec<_> = self.suspects.iter().collect();
        changed.retain(|(_, suspect)| suspect.change > after && !suspect.is_forgotten(now));
        changed.sort_by_key(|(_, suspect)| suspect.change);
        let covered = match changed.get(limit) {
            Some((_, next)) => next.change - 1,
            None => self.changes,
        };
        let reports = changed.into_iter().take(limit);
        let reports = reports.map(|(key, suspect)| suspect.report(*key, now));
        (reports.collect(), covered)
    }

    /// The counts for a gateway that has started, at most `limit` of them; the highest come first.
    pub fn highest(&self, limit: usize, now: Duration) -> Vec<suspect::Report> {
        let mut counted: Vec<_> = self.suspects.iter().collect();
        counted.retain(|(_, it)| !it.crashes.is_empty() && !it.is_forgotten(now));
        counted.sort_by_key(|(_, it)| std::cmp::Reverse((it.crashes.len(), it.change)));
        let counted = counted.into_iter().take(limit);
        counted
            .map(|(key, suspect)| suspect.report(*key, now))
            .collect()
    }

    fn current(&self, key: u64, now: Duration) -> Option<&suspect::Suspect> {
        let known = self.suspects.get(&key);
        known.filter(|known| !known.crashes.is_empty() && !known.is_forgotten(now))
    }

    fn set(&mut self, key: u64, mut suspect: suspect::Suspect) {
        self.changes += 1;
        suspect.change = self.changes;
        self.suspects.insert(key, suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            let least =
                |(_, known): &(&u64, &suspect::Suspect)| (known.crashes.len(), known.change);
            let least = self.suspects.iter().min_by_key(least);
            if let Some((&least, _)) = least {
                self.suspects.remove(&least);
            }
        }
    }
}
