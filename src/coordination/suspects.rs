//! Recognises requests that crash backend servers, at gateways, which see no more of a crash than
//! that the server's connections end and it accepts no new ones.
//!
//! Every request that ran at the server is a suspect. It is cleared when it runs to its end
//! anywhere. A crash counts only if the request was sent after the one counted before, so that
//! servers that end together count once. Gateways exchange their counts, since the request may come
//! again at any of them.

use std::{collections::HashMap, time::Duration};

use crate::{
    coordination::crashes::{CRASH_RETENTION, CrashReport},
    state::name,
};

/// Number of crashes from which on a request is refused. The platform allows three, and a request
/// that ran beside the one at fault is seldom present at so many without ending once in between.
pub const REFUSAL_THRESHOLD: u32 = 3;

/// Maximum number of suspects; the one with the oldest crash is dropped first.
const MAX_SUSPECTS: usize = 2048;

#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u32,
    last: Duration,
    /// Number of the change that set `crashes`.
    change: u64,
}

/// Requests that were running when backend servers crashed, by fingerprint.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<u64, Suspect>,
    /// Suspects that are running, by server.
    running: HashMap<name::Name, u32>,
    changes: u64,
}

impl Suspects {
    /// Records that a server crashed while it ran a request that was sent at `sent`; returns the
    /// number of crashes counted for it, or `None` when this one doesn't count.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut suspects = fulmarproxy::coordination::suspects::Suspects::default();
    /// let seconds = Duration::from_secs;
    /// assert_eq!(suspects.record_crash(7, seconds(0), seconds(1)), Some(1));
    /// assert_eq!(suspects.record_crash(7, seconds(0), seconds(2)), None, "sent before the first");
    /// assert_eq!(suspects.record_crash(7, seconds(2), seconds(3)), Some(2));
    /// ```
    pub fn record_crash(&mut self, fingerprint: u64, sent: Duration, now: Duration) -> Option<u32> {
        let known = self.current(fingerprint, now);
        if known.is_some_and(|known| sent < known.last) {
            return None;
        }
        let crashes = known.map_or(0, |known| known.crashes) + 1;
        self.set(fingerprint, crashes, now);
        Some(crashes)
    }

    /// Merges what another gateway reports.
    pub fn merge(&mut self, report: CrashReport, now: Duration) {
        let known = self.current(report.fingerprint, now);
        let is_news = known.is_none_or(|known| report.count > known.crashes);
        if is_news && report.age < CRASH_RETENTION {
            self.set(
                report.fingerprint,
                report.count,
                now.saturating_sub(report.age),
            );
        }
    }

    /// Records that a request ran to its end, which clears it.
    pub fn record_success(&mut self, fingerprint: u64) {
        self.suspects.remove(&fingerprint);
    }

    /// Whether a request was running at a crash and has not run to its end since.
    pub fn is_suspect(&self, fingerprint: u64, now: Duration) -> bool {
        self.current(fingerprint, now).is_some()
    }

    /// Whether a request must not be sent to a server.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut suspects = fulmarproxy::coordination::suspects::Suspects::default();
    /// for second in 1..=3 {
    ///     assert!(!suspects.refuses(7, Duration::from_secs(second)));
    ///     let now = Duration::from_secs(second);
    ///     suspects.record_crash(7, now, now);
    /// }
    /// assert!(suspects.refuses(7, Duration::from_secs(4)));
    /// assert!(!suspects.refuses(7, Duration::from_secs(4000)), "forgotten");
    /// ```
    pub fn refuses(&self, fingerprint: u64, now: Duration) -> bool {
        let known = self.current(fingerprint, now);
        known.is_some_and(|known| known.crashes >= REFUSAL_THRESHOLD)
    }

    /// Records that a suspect was sent to a server.
    pub fn begin_run(&mut self, server: &name::Name) {
        *self.running.entry(server.clone()).or_default() += 1;
    }

    /// Records that a suspect's run has ended.
    pub fn end_run(&mut self, server: &str) {
        if let Some(count) = self.running.get_mut(server) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(server);
            }
        }
    }

    /// Whether a suspect is running at a server. Other requests, and other suspects, are better sent
    /// elsewhere.
    pub fn is_running_at(&self, server: &str) -> bool {
        self.running.contains_key(server)
    }

    /// Number of the last change of a count.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Counts that were changed after change number `after`, oldest change first, at most `limit` of
    /// them, and the number of the last one that they cover.
    pub fn changes_after(
        &self,
        after: u64,
        limit: usize,
        now: Duration,
    ) -> (Vec<CrashReport>, u64) {
        let mut changed: Vec<_> = self.suspects.iter().collect();
        changed.retain(|(_, suspect)| suspect.change > after && !is_forgotten(suspect, now));
        changed.sort_by_key(|(_, suspect)| suspect.change);
        let covered = match changed.get(limit) {
            Some((_, next)) => next.change - 1,
            None => self.changes,
        };
        let report = |(fingerprint, suspect): (&u64, &Suspect)| CrashReport {
            fingerprint: *fingerprint,
            count: suspect.crashes,
            age: now.saturating_sub(suspect.last),
        };
        let reports = changed.into_iter().take(limit).map(report).collect();
        (reports, covered)
    }

    fn current(&self, fingerprint: u64, now: Duration) -> Option<Suspect> {
        let known = self.suspects.get(&fingerprint).copied();
        known.filter(|known| !is_forgotten(known, now))
    }

    fn set(&mut self, fingerprint: u64, crashes: u32, last: Duration) {
        self.changes += 1;
        let suspect = Suspect {
            crashes,
            last,
            change: self.changes,
        };
        self.suspects.insert(fingerprint, suspect);
        if self.suspects.len() > MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, known)| known.last);
            if let Some((&oldest, _)) = oldest {
                self.suspects.remove(&oldest);
            }
        }
    }
}

fn is_forgotten(suspect: &Suspect, now: Duration) -> bool {
    now.saturating_sub(suspect.last) >= CRASH_RETENTION
}
