//! Counts the backend server crashes at which each request was present.
//!
//! A request that was running when a backend server crashed may be the cause. After one crash it
//! runs alone, where another crash harms no other request; after two it is refused until the last
//! crash is [`CRASH_RETENTION`] old.

pub mod resending;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::state::member;

/// Number of crashes from which on a request is refused.
pub const REFUSAL_THRESHOLD: u32 = 2;

/// Time for which a crash is remembered.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of fingerprints that are remembered.
const MAX_FINGERPRINTS: usize = 4096;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run the request as usual.
    Run,
    /// Run the request alone on its backend server.
    Solo,
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

/// Hash of a workspace and of what was sent for it, to recognise the same request.
///
/// ```
/// use fulmarproxy::coordination::crashes;
/// let of = |workspace, body: &[u8]| crashes::fingerprint(workspace, &[b"POST", b"/a", body]);
/// assert_eq!(of("desk", b"x"), of("desk", b"x"));
/// assert_ne!(of("desk", b"x"), of("shop", b"x"));
/// ```
pub fn fingerprint(workspace: &str, parts: &[&[u8]]) -> u64 {
    let seed = xxh3::xxh3_64(workspace.as_bytes());
    let add = |seed, part: &&[u8]| xxh3::xxh3_64_with_seed(part, seed);
    parts.iter().fold(seed, add)
}

/// Crashes at which one request was present, as one member reports them.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CrashReport {
    /// Fingerprint of the request's workspace and body.
    pub fingerprint: u64,
    /// Number of crashes.
    pub count: u32,
    /// Time since the last crash.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    crashes: u32,
    last: Duration,
}

#[derive(Debug, Default)]
struct Suspect {
    /// Counts by the agent whose backend server crashed.
    by_agent: BTreeMap<member::Incarnation, CrashCount>,
    /// Largest total that another router has reported.
    gossiped: CrashCount,
    /// When the request last ran alone to its end.
    cleared: Option<Duration>,
}

impl Suspect {
    fn total(&self) -> CrashCount {
        let counts = self.by_agent.values();
        let crashes = counts.clone().map(|count| count.crashes).sum();
        let last = counts.map(|count| count.last).max().unwrap_or_default();
        CrashCount {
            crashes: self.gossiped.crashes.max(crashes),
            last: self.gossiped.last.max(last),
        }
    }
}

/// Crashes by fingerprint, as reported by agents and by other routers.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: BTreeMap<u64, Suspect>,
}

impl Crashes {
    /// Records what an agent reports about its own backend server.
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
        let count = suspect.by_agent.entry(agent).or_default();
        count.crashes = count.crashes.max(report.count);
        count.last = count.last.max(now.saturating_sub(report.age));
        self.evict_oldest();
    }

    /// Records a crash that this router has seen at an agent, in case the agent's report is lost.
    pub fn record_crash(&mut self, agent: member::Incarnation, fingerprint: u64, now: Duration) {
        let suspect = self.suspects.entry(fingerprint).or_default();
        let count = suspect.by_agent.entry(agent).or_default();
        count.crashes = count.crashes.max(1);
        count.last = now;
        self.evict_oldest();
    }

    /// Merges the total that another router reports by gossip.
    pub fn merge(&mut self, report: CrashReport, now: Duration) {
        if report.age >= CRASH_RETENTION {
            return;
        }
        let gossiped = &mut self
            .suspects
            .entry(report.fingerprint)
            .or_default()
            .gossiped;
        gossiped.crashes = gossiped.crashes.max(report.count);
        gossiped.last = gossiped.last.max(now.saturating_sub(report.age));
        self.evict_oldest();
    }

    /// Records that a request ran alone to its end, which clears it of the crashes so far.
    pub fn clear(&mut self, fingerprint: u64, now: Duration) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.cleared = Some(now);
        }
    }

    /// Decides how to run a request with this fingerprint, or to refuse it.
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

    /// Totals to send to other routers: at most `limit`, most recent crash first.
    pub fn export(&self, now: Duration, limit: usize) -> Vec<CrashReport> {
        let mut reports: Vec<_> = self
            .suspects
            .iter()
            .map(|(fp, s)| (fp, s.total()))
            .collect();
        reports.retain(|(_, total)| now.saturating_sub(total.last) < CRASH_RETENTION);
        reports.sort_by_key(|(fingerprint, total)| (std::cmp::Reverse(total.last), **fingerprint));
        let report = |(fingerprint, total): (&u64, CrashCount)| CrashReport {
            fingerprint: *fingerprint,
            count: total.crashes,
            age: now.saturating_sub(total.last),
        };
        reports.into_iter().take(limit).map(report).collect()
    }

    /// Removes the requests with the oldest crashes when there are too many.
    fn evict_oldest(&mut self) {
        while self.suspects.len() > MAX_FINGERPRINTS {
            let oldest = self.suspects.iter().min_by_key(|(_, s)| s.total().last);
            let Some((&fingerprint, _)) = oldest else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}
