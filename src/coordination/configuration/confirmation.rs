//! State of one prefix of the store at a gateway, when that was last confirmed, and when a watch of
//! the prefix must be ended.
//!
//! A gateway that leads its group has it confirmed by short watches. The others watch for longer and
//! have it confirmed by the leader's reports. A report without a change that this gateway misses
//! confirms its knowledge as of the time at which the store confirmed that of the leader.

use std::{collections::HashMap, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::coordination::{configuration::watch_pacing, rendezvous};

/// Time that a gateway's own watch gets to deliver a change that the leader knows, in addition to the
/// response time of the store.
const DELIVERY_MARGIN: Duration = Duration::from_millis(100);

/// Longest response time of the store that is allowed for. A slow store takes a quarter of a second.
const SLOW_RESPONSE: Duration = Duration::from_millis(250);

/// Size of values in bytes from which on a watch is weighed against a read.
const MIN_LARGE_VALUE: u64 = 100_000;

/// Size of a value in a response as a multiple of its own.
const BASE64_GROWTH: f64 = 4.0 / 3.0;

/// Values of the size of the last one from which on a response to a watch is not read. Two in a row may differ a little.
const MAX_VALUES: f64 = 1.9;

/// State of a prefix at a gateway, as it reports it to others.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Era of the store to which the revisions belong; 0 when it names none.
    pub era: u64,
    /// Revision up to which the gateway knows all changes.
    pub through: u64,
    /// No change after this revision is known, up to `through`.
    pub last_change: u64,
    /// Hash of all keys with their revisions.
    pub digest: u64,
    /// Time since the store last confirmed this, in milliseconds, rounded up.
    pub age_ms: u64,
}

/// What a report means for the knowledge of the gateway that received it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is missing.
    #[display("confirmed")]
    Confirmed,
    /// A change may be missing.
    #[display("behind")]
    Behind,
    /// The revisions cannot be compared.
    #[display("other_era")]
    OtherEra,
    /// This gateway has not read the prefix yet.
    #[display("not_read")]
    NotRead,
}

/// Why a watch is ended before the store has answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum End {
    /// The leader knows a change that the watch has not delivered.
    #[display("behind")]
    Behind,
    /// Nothing confirmed the knowledge for too long.
    #[display("unconfirmed")]
    Unconfirmed,
    /// This gateway leads its group from now on, so a short watch follows.
    #[display("leads")]
    Leads,
}

/// What to do about a watch in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// End it.
    End(End),
    /// Wait until this time or for the response of the store.
    WaitUntil(Duration),
    /// Wait for the response of the store.
    Wait,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    started: Duration,
    ends: Duration,
    is_long: bool,
    /// Time at which the response of the store began to arrive.
    response_began: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Missing {
    last_change: u64,
    since: Duration,
    /// Time at which the newest change was reported.
    reported_at: Duration,
}

/// State of a prefix at a gateway.
#[derive(Debug, Default)]
pub struct Prefix {
    era: u64,
    through: u64,
    last_change: u64,
    /// Revisions of the keys, by the hash of the key.
    revisions: HashMap<u64, u64>,
    /// Size of all values when they were last read or, for a single key, when it was last reported.
    value_bytes: u64,
    /// Time at which the last read was begun.
    read_began: Duration,
    digest: u64,
    /// `None` until the prefix has been read.
    confirmed_at: Option<Duration>,
    watch: Option<Watch>,
    missing: Option<Missing>,
    /// Newest time at which the store confirmed a report that was received.
    reported_as_of: Duration,
    /// Newest change for which the prefix was read again without finding it.
    not_found: u64,
}

impl Prefix {
    /// Era in which the prefix was read.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Time at which the knowledge was last confirmed; `None` until the prefix has been read.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Revision up to which all changes are known.
    pub fn through(&self) -> u64 {
        self.through
    }

    /// Whether the prefix has a single key.
    pub fn has_one_key(&self) -> bool {
        self.revisions.len() == 1
    }

    /// Newest time at which the store answered a gateway whose report was received.
    pub fn reported_as_of(&self) -> Duration {
        self.reported_as_of
    }

    fn set_revision(&mut self, key: &str, revision: Option<u64>) {
        let hash = rendezvous::weight(key, 0);
        let old = match revision {
            Some(revision) => self.revisions.insert(hash, revision),
            None => self.revisions.remove(&hash),
        };
        let part = |revision: Option<u64>| revision.map_or(0, |it| rendezvous::weight(key, it));
        self.digest = self.digest.wrapping_sub(part(old));
        self.digest = self.digest.wrapping_add(part(revision));
    }

    /// Records that a read of the prefix begins.
    pub fn begin_read(&mut self, now: Duration) {
        self.read_began = now;
    }

    /// Records the size of the values that were read or reported.
    pub fn record_size(&mut self, value_bytes: u64) {
        self.value_bytes = value_bytes;
    }

    /// Whether a read brings less than a watch: the prefix has one key, so that a watch reports each of the values
    /// that it has had since, and at least one is known to be missing.
    pub fn reads_less(&self) -> bool {
        self.missing.is_some() && self.has_one_key()
    }

    /// Records that the prefix was read: its keys and their revisions, and the revision of the store.
    ///
    /// A read does not show whether keys were deleted before it, so any change up to it is possible.
    pub fn record_read<'a>(
        &mut self,
        era: u64,
        through: u64,
        items: impl Iterator<Item = (&'a str, u64)>,
        now: Duration,
    ) {
        if self.era != era {
            self.not_found = 0;
            self.missing = None;
        } else if let Some(missing) = &mut self.missing {
            // One that was reported meanwhile may be newer than what was read.
            let is_newer = missing.last_change > through && missing.reported_at >= self.read_began;
            if is_newer {
                missing.since = missing.since.max(self.read_began);
            } else {
                self.not_found = self.not_found.max(missing.last_change);
                self.missing = None;
            }
        }
        self.era = era;
        self.through = through;
        self.last_change = through;
        self.revisions.clear();
        self.digest = 0;
        for (key, revision) in items {
            self.set_revision(key, Some(revision));
        }
        self.confirmed_at = Some(now);
        self.watch = None;
    }

    /// Records the response to a watch: the keys that were written, with their revisions, or deleted;
    /// the revision of the newest change; and the revision up to which the response is complete.
    pub fn record_watch<'a>(
        &mut self,
        changes: impl Iterator<Item = (&'a str, Option<u64>)>,
        newest: u64,
        through: u64,
        now: Duration,
    ) {
        for (key, revision) in changes {
            self.set_revision(key, revision);
        }
        self.last_change = self.last_change.max(newest);
        self.through = self.through.max(through);
        self.missing = self.missing.filter(|it| it.last_change > self.through);
        let began = self.watch.and_then(|it| it.response_began);
        if let (Some(missing), Some(began)) = (&mut self.missing, began) {
            // What the response does not hold was written after it.
            missing.since = missing.since.max(began);
        }
        self.confirmed_at = Some(now);
        self.watch = None;
    }

    /// What this gateway reports to others; `None` until the prefix has been read.
    pub fn report(&self, now: Duration) -> Option<Report> {
        let age = now.saturating_sub(self.confirmed_at?);
        Some(Report {
            era: self.era,
            through: self.through,
            last_change: self.last_change,
            digest: self.digest,
            age_ms: age.as_micros().div_ceil(1000) as u64,
        })
    }

    /// Compares a report with what this gateway knows. `as_of` is the time at which the store
    /// confirmed the report, by the clock of this gateway and not later than in truth.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::confirmation::{Prefix, Verdict};
    /// let seconds = Duration::from_secs;
    /// let (mut leader, mut own) = (Prefix::default(), Prefix::default());
    /// own.record_read(1, 10, [("servers/a", 3)].into_iter(), seconds(1));
    /// leader.record_read(1, 12, [("servers/a", 3)].into_iter(), seconds(2));
    /// let report = leader.report(seconds(2)).unwrap();
    /// assert_eq!(own.judge(&report, seconds(2), seconds(2)), Verdict::Confirmed, "equal keys");
    /// assert_eq!(own.confirmed_at(), Some(seconds(2)));
    /// leader.record_watch([("servers/b", Some(13))].into_iter(), 13, 14, seconds(3));
    /// let report = leader.report(seconds(3)).unwrap();
    /// assert_eq!(own.judge(&report, seconds(3), seconds(3)), Verdict::Behind);
    /// assert_eq!(own.confirmed_at(), Some(seconds(2)));
    /// ```
    pub fn judge(&mut self, report: &Report, as_of: Duration, now: Duration) -> Verdict {
        let Some(confirmed_at) = self.confirmed_at else {
            return Verdict::NotRead;
        };
        if report.era != self.era {
            return Verdict::OtherEra;
        }
        self.reported_as_of = self.reported_as_of.max(as_of);
        let is_equal = report.digest == self.digest;
        if is_equal {
            self.through = self.through.max(report.through);
        }
        if self.through >= report.last_change {
            self.confirmed_at = Some(confirmed_at.max(as_of));
            self.missing = self.missing.filter(|it| it.last_change > self.through);
            return Verdict::Confirmed;
        }
        if report.last_change > self.not_found {
            let missing = self.missing.get_or_insert(Missing {
                last_change: report.last_change,
                since: now,
                reported_at: now,
            });
            if report.last_change > missing.last_change {
                missing.last_change = report.last_change;
                missing.reported_at = now;
            }
        }
        Verdict::Behind
    }

    /// Whether the knowledge is too old at a time: a short watch would have ended or failed since.
    pub fn is_outdated(&self, short: Duration, now: Duration) -> bool {
        self.confirmed_at
            .is_none_or(|at| now >= at + short + watch_pacing::CALL_TIMEOUT)
    }

    /// Begins a watch; returns how long it waits for changes.
    ///
    /// The watch of a leader ends when its knowledge is as old as a short watch lasts, so that a pause
    /// before the watch does not make it older. It ends together with the watch of the `other` prefix if
    /// that is about as long, since one reply to the followers then covers both.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::confirmation::Prefix;
    /// let (mut config, mut servers) = (Prefix::default(), Prefix::default());
    /// let millis = Duration::from_millis;
    /// let short = millis(1500);
    /// config.record_read(1, 10, [].into_iter(), millis(0));
    /// servers.record_read(1, 10, [].into_iter(), millis(400));
    /// assert_eq!(config.begin_watch(&servers, true, short, millis(0)), short);
    /// assert_eq!(servers.begin_watch(&config, true, short, millis(400)), millis(1100));
    /// assert_eq!(config.begin_watch(&servers, false, short, millis(1500)), millis(20_000));
    /// config.record_watch([].into_iter(), 0, 12, millis(2000));
    /// let after_pause = config.begin_watch(&Prefix::default(), true, short, millis(3200));
    /// assert_eq!(after_pause, millis(300));
    /// ```
    pub fn begin_watch(
        &mut self,
        other: &Self,
        leads: bool,
        short: Duration,
        now: Duration,
    ) -> Duration {
        let wait = match leads {
            true => {
                let age = now.saturating_sub(self.confirmed_at.unwrap_or(now));
                let due = short.saturating_sub(age).max(watch_pacing::MIN_WATCH_TIME);
                let joint = other.watch.map_or(due, |it| it.ends.saturating_sub(now));
                match joint >= (due / 2).max(watch_pacing::MIN_WATCH_TIME) {
                    true => due.min(joint),
                    false => due,
                }
            }
            false => watch_pacing::MAX_WATCH_TIME,
        };
        self.watch = Some(Watch {
            started: now,
            ends: now + wait,
            is_long: wait > short,
            response_began: None,
        });
        wait
    }

    /// Records that the response to the watch in progress began to arrive. Returns whether it is worth reading: one
    /// that is about as long as two values of a prefix with one key holds values that were overtaken, and a read
    /// brings the newest alone.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::confirmation::Prefix;
    /// let mut prefix = Prefix::default();
    /// let now = Duration::from_secs(1);
    /// prefix.record_read(1, 10, [("objects/current", 10)].into_iter(), now);
    /// prefix.record_size(900_000);
    /// assert!(prefix.begin_response(Some(1_250_000), now), "a third more than the value, in base64");
    /// assert!(!prefix.begin_response(Some(2_500_000), now));
    /// ```
    pub fn begin_response(&mut self, announced: Option<u64>, now: Duration) -> bool {
        if let Some(watch) = &mut self.watch {
            watch.response_began = Some(now);
        }
        let encoded = self.value_bytes as f64 * BASE64_GROWTH;
        let is_long = announced.is_some_and(|bytes| bytes as f64 >= encoded * MAX_VALUES);
        !(is_long && self.value_bytes >= MIN_LARGE_VALUE && self.has_one_key())
    }

    /// Whether the response to the watch in progress has begun to arrive.
    pub fn is_response_arriving(&self) -> bool {
        self.watch.is_some_and(|it| it.response_began.is_some())
    }

    /// Time since which a change is known that this gateway does not have: one that the leader reported, or one
    /// whose response is arriving. `None` when there is none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::confirmation::Prefix;
    /// let mut prefix = Prefix::default();
    /// let millis = Duration::from_millis;
    /// prefix.record_read(1, 10, [].into_iter(), millis(0));
    /// prefix.begin_watch(&Prefix::default(), false, millis(1500), millis(0));
    /// assert_eq!(prefix.behind_since(), None);
    /// prefix.begin_response(None, millis(700));
    /// assert_eq!(prefix.behind_since(), Some(millis(700)));
    /// prefix.record_watch([("objects/current", Some(11))].into_iter(), 11, 11, millis(900));
    /// assert_eq!(prefix.behind_since(), None);
    /// ```
    pub fn behind_since(&self) -> Option<Duration> {
        let reported = self.missing.map(|it| it.since);
        let arriving = self.watch.and_then(|it| it.response_began);
        reported.into_iter().chain(arriving).min()
    }

    /// What to do about the watch in progress. `response_time` is that of the store in recent calls.
    /// Without it, followers of a slow store would read at each change what their watches are about to
    /// deliver, and make it slower.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::confirmation::{End, Prefix, Step};
    /// let mut prefix = Prefix::default();
    /// let millis = Duration::from_millis;
    /// let short = millis(1500);
    /// prefix.record_read(1, 10, [].into_iter(), millis(0));
    /// prefix.begin_watch(&Prefix::default(), false, short, millis(0));
    /// let quick = millis(5);
    /// assert_eq!(prefix.step(false, short, quick, millis(0)), Step::WaitUntil(millis(2300)));
    /// assert_eq!(prefix.step(false, short, quick, millis(2300)), Step::End(End::Unconfirmed));
    /// assert_eq!(prefix.step(true, short, quick, millis(0)), Step::End(End::Leads));
    ///
    /// let mut leader = Prefix::default();
    /// leader.record_read(1, 11, [("objects/current", 11)].into_iter(), millis(400));
    /// prefix.judge(&leader.report(millis(400)).unwrap(), millis(400), millis(400));
    /// assert_eq!(prefix.step(false, short, quick, millis(400)), Step::WaitUntil(millis(505)));
    /// assert_eq!(prefix.step(false, short, quick, millis(505)), Step::End(End::Behind));
    /// prefix.begin_response(None, millis(500));
    /// assert_eq!(prefix.step(false, short, quick, millis(505)), Step::Wait);
    /// ```
    pub fn step(
        &self,
        leads: bool,
        short: Duration,
        response_time: Duration,
        now: Duration,
    ) -> Step {
        let (Some(watch), Some(confirmed_at)) = (self.watch, self.confirmed_at) else {
            return Step::Wait;
        };
        if watch.response_began.is_some() {
            // It brings the change, and the client of the store gives it up if it stops.
            return Step::Wait;
        }
        if leads && watch.is_long {
            return Step::End(End::Leads);
        }
        let late_at = self.missing.map(|missing| {
            let due = missing.since.max(watch.started);
            let margin = DELIVERY_MARGIN + response_time.min(SLOW_RESPONSE);
            (due + margin, End::Behind)
        });
        // The store client's time limit ends short watches.
        let unconfirmed_at = watch.is_long.then(|| {
            let limit = confirmed_at + short + watch_pacing::CALL_TIMEOUT;
            (limit, End::Unconfirmed)
        });
        let first = late_at.into_iter().chain(unconfirmed_at);
        match first.min_by_key(|(at, _)| *at) {
            Some((at, end)) if now >= at => Step::End(end),
            Some((at, _)) => Step::WaitUntil(at),
            None => Step::Wait,
        }
    }
}
