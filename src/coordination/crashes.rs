//! Requests that were there when backend servers crashed.

use std::{collections::BTreeMap, time::Duration};

use crate::state::member;

/// Crashes after which a request is refused.
pub const REFUSAL_THRESHOLD: u32 = 2;

/// Time for which a crash counts.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Most fingerprints that are remembered.
const LIMIT: usize = 4096;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it as usual.
    Run,
    /// Run it with no neighbours.
    Solo,
    /// Refuse it until this much time has passed.
    Refuse(Duration),
}

/// Crashes of one request, as one reporter tells them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Fingerprint of workspace and body.
    pub fingerprint: u64,
    /// Crashes that it was there at.
    pub count: u32,
    /// Time since the last of them.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    crashes: u32,
    last: Duration,
}

#[derive(Debug, Default)]
struct Suspect {
    agents: BTreeMap<member::Incarnation, Count>,
    told: Count,
    cleared: Option<Duration>,
}

impl Suspect {
    fn total(&self) -> Count {
        let counts = self.agents.values();
        let crashes = counts.clone().map(|count| count.crashes).sum();
        let last = counts.map(|count| count.last).max().unwrap_or_default();
        Count {
            crashes: self.told.crashes.max(crashes),
            last: self.told.last.max(last),
        }
    }
}

/// Crashes by fingerprint, from the agents themselves and from what other routers tell.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: BTreeMap<u64, Suspect>,
}

impl Crashes {
    /// Takes what an agent reports of its own backend server.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::crashes;
    /// let mut known = crashes::Crashes::default();
    /// let report = crashes::CrashReport { fingerprint: 7, count: 1, age: Duration::ZERO };
    /// known.report(1, report, Duration::ZERO);
    /// assert_eq!(known.verdict(7, Duration::ZERO), crashes::Verdict::Solo);
    /// ```
    pub fn report(&mut self, agent: member::Incarnation, report: CrashReport, now: Duration) {
        if report.age >= CRASH_RETENTION {
            return;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let count = suspect.agents.entry(agent).or_default();
        count.crashes = count.crashes.max(report.count);
        count.last = count.last.max(now.saturating_sub(report.age));
        self.bound();
    }

    /// Notes a crash at an agent, in case that its report got lost.
    pub fn record_crash(&mut self, agent: member::Incarnation, fingerprint: u64, now: Duration) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let count = suspect.agents.entry(agent).or_default();
        count.crashes = count.crashes.max(1);
        count.last = now;
        self.bound();
    }

    /// Takes the totals that another router tells.
    pub fn merge(&mut self, report: CrashReport, now: Duration) {
        if report.age >= CRASH_RETENTION {
            return;
        }
        let told = &mut self.suspects.entry(report.fingerprint).or_default().told;
        told.crashes = told.crashes.max(report.count);
        told.last = told.last.max(now.saturating_sub(report.age));
        self.bound();
    }

    /// Notes that a request ran alone to its end, so that one crash was not its fault.
    pub fn clear(&mut self, fingerprint: u64, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.cleared = Some(now);
        }
    }

    /// Decides about a request.
    pub fn verdict(&self, fingerprint: u64, now: Duration) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Verdict::Run;
        };
        let total = suspect.total();
        let age = now.saturating_sub(total.last);
        let cleared = suspect.cleared.is_some_and(|at| at >= total.last);
        if total.crashes == 0 || age >= CRASH_RETENTION || cleared {
            return Verdict::Run;
        }
        match total.crashes >= REFUSAL_THRESHOLD {
            true => Verdict::Refuse(CRASH_RETENTION - age),
            false => Verdict::Solo,
        }
    }

    /// Totals to tell others, the newest first, at most `limit`.
    pub fn export(&self, now: Duration, limit: usize) -> Vec<CrashReport> {
        let mut reports: Vec<_> = self
            .suspects
            .iter()
            .map(|(fp, s)| (fp, s.total()))
            .collect();
        reports.retain(|(_, total)| now.saturating_sub(total.last) < CRASH_RETENTION);
        reports.sort_by_key(|(fingerprint, total)| (std::cmp::Reverse(total.last), **fingerprint));
        let report = |(fingerprint, total): (&u64, Count)| CrashReport {
            fingerprint: *fingerprint,
            count: total.crashes,
            age: now.saturating_sub(total.last),
        };
        reports.into_iter().take(limit).map(report).collect()
    }

    /// Forgets the oldest suspects when there are too many.
    fn bound(&mut self) {
        while self.suspects.len() > LIMIT {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.total().last);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}
