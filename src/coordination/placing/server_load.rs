//! Loads that backend servers report, with what this gateway has changed there since.
//!
//! A gateway sees only its own requests. With 31 gateways before 56 engines, these are a thirtieth of
//! what an engine runs, so a report says more than the gateway's own counts, until it is too old.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::state::{name, server};

/// Age from which on a report is not used any more. An engine at its capacity reads or runs
/// something else by then.
pub const MAX_AGE: Duration = Duration::from_secs(2);

/// Maximum number of changes kept per server; later ones are merged. Ten times what one gateway
/// sends to one engine in [`MAX_AGE`] at 100 requests a second over 20 engines.
const MAX_CHANGES: usize = 128;

/// Number of reports from which on those that are too old are removed.
const PRUNE_THRESHOLD: usize = 256;

/// Load of a backend server, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reported {
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Tokens of prompts that are still to be read, of running and of waiting requests.
    pub unread_tokens: u64,
    /// Tokens in memory that cannot be evicted.
    pub used_tokens: u64,
    /// Tokens that fit into memory; 0 when the report does not name them.
    pub total_tokens: u64,
    /// Time between two events of a running request; `None` when it is not known.
    pub event_time: Option<Duration>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is the latest one of its server.
    Kept,
    /// One that was made later, or by a later process, is known.
    Superseded,
    /// It was [`MAX_AGE`] old when it arrived.
    TooOld,
}

/// A load as it probably is now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The latest report.
    pub reported: Reported,
    /// Time since it was made.
    pub age: Duration,
    /// Requests that this gateway has sent there since, less those that have ended.
    pub requests_since: i64,
    /// Tokens of prompts that it has sent there since.
    pub tokens_since: u64,
}

impl Load {
    /// Requests at the server now, running or waiting.
    pub fn running(&self) -> f64 {
        let reported = i64::from(self.reported.running) + i64::from(self.reported.waiting);
        (reported + self.requests_since).max(0) as f64
    }

    /// Tokens that the server has still to read when it reads this many in a millisecond.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::server_load;
    /// let load = server_load::Load {
    ///     reported: server_load::Reported { unread_tokens: 5000, ..Default::default() },
    ///     age: Duration::from_millis(100), requests_since: 1, tokens_since: 300,
    /// };
    /// assert_eq!(load.unread_tokens(40.0), 1300.0);
    /// assert_eq!(load.unread_tokens(80.0), 0.0);
    /// ```
    pub fn unread_tokens(&self, read_per_ms: f64) -> f64 {
        let read = self.age.as_secs_f64() * 1000.0 * read_per_ms;
        let known = self.reported.unread_tokens as f64 + self.tokens_since as f64;
        (known - read).max(0.0)
    }
}

/// A request sent to a server or ended there.
#[derive(Debug)]
struct Change {
    at: Duration,
    requests: i64,
    tokens: u64,
}

/// The latest report of one process, and what this gateway has changed since.
#[derive(Debug)]
struct Report {
    started_unix_ms: u64,
    reported: Reported,
    made_at: Duration,
    changes: VecDeque<Change>,
    requests_since: i64,
    tokens_since: u64,
}

impl Report {
    fn add(&mut self, change: Change) {
        self.requests_since += change.requests;
        self.tokens_since = self.tokens_since.saturating_add(change.tokens);
        let is_full = self.changes.len() >= MAX_CHANGES;
        match self.changes.back_mut() {
            Some(last) if is_full => {
                last.at = change.at;
                last.requests += change.requests;
                last.tokens = last.tokens.saturating_add(change.tokens);
            }
            _ => self.changes.push_back(change),
        }
    }

    /// Forgets the changes that a report made at `made_at` contains.
    fn forget_until(&mut self, made_at: Duration) {
        while let Some(change) = self.changes.pop_front_if(|change| change.at <= made_at) {
            self.requests_since -= change.requests;
            self.tokens_since = self.tokens_since.saturating_sub(change.tokens);
        }
    }
}

/// The latest report of each backend server, by its id.
#[derive(Debug, Default)]
pub struct ServerLoads {
    reports: HashMap<name::Name, Report>,
}

/// Whether two process start times can be those of the same process; 0 means that it is not known.
fn is_same_process(a: u64, b: u64) -> bool {
    a == b || a == 0 || b == 0
}

impl ServerLoads {
    /// Records a report. This is the only way in which reports enter.
    ///
    /// `id` is the id of the server in the list of backend servers, `started_unix_ms` the process
    /// start that the report names (`born`), 0 when it names none. `age` is the time since the
    /// server's values were read, including the time that the report took to arrive, and `now` is the time
    /// of its arrival on this gateway's clock. Reports may arrive late, twice and in any order: one
    /// that is older than the known one, or of an earlier process, changes nothing. One of a later process
    /// replaces everything. The values must be valid; whoever parses a report rejects others.
    ///
    /// Requests that this gateway sent before the report was made are taken as contained in it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::server_load::{Recorded, Reported, ServerLoads};
    /// let (mut loads, ms) = (ServerLoads::default(), Duration::from_millis);
    /// let busy = Reported { running: 7, ..Reported::default() };
    /// assert_eq!(loads.record(&"i-1".into(), 5, busy, ms(20), ms(1000)), Recorded::Kept);
    /// // Made 300 ms before it arrived, so 190 ms before the one above.
    /// let late = loads.record(&"i-1".into(), 5, Reported::default(), ms(300), ms(1090));
    /// assert_eq!(late, Recorded::Superseded);
    /// assert_eq!(loads.record(&"i-2".into(), 5, busy, ms(2000), ms(2500)), Recorded::TooOld);
    /// ```
    pub fn record(
        &mut self,
        id: &name::Name,
        started_unix_ms: u64,
        reported: Reported,
        age: Duration,
        now: Duration,
    ) -> Recorded {
        if age >= MAX_AGE {
            return Recorded::TooOld;
        }
        let made_at = now.saturating_sub(age);
        if self.reports.len() >= PRUNE_THRESHOLD {
            self.reports
                .retain(|_, report| now < report.made_at + MAX_AGE);
        }
        let new = || Report {
            started_unix_ms,
            reported,
            made_at,
            changes: VecDeque::new(),
            requests_since: 0,
            tokens_since: 0,
        };
        let report = self.reports.entry(id.clone()).or_insert_with(new);
        // A start that lies in the future, as after a fault of a clock, is forgotten with its report.
        let is_too_old = now >= report.made_at + MAX_AGE;
        if !is_same_process(report.started_unix_ms, started_unix_ms) {
            if started_unix_ms < report.started_unix_ms && !is_too_old {
                return Recorded::Superseded;
            }
            *report = new();
        }
        if made_at < report.made_at {
            return Recorded::Superseded;
        }
        report.forget_until(made_at);
        report.started_unix_ms = report.started_unix_ms.max(started_unix_ms);
        report.reported = reported;
        report.made_at = made_at;
        Recorded::Kept
    }

    /// Counts a request that is sent to a server, with the tokens of its prompt that the server has to
    /// read. Without a report of the server there is nothing to correct.
    pub fn record_send(&mut self, id: &str, tokens: u64, now: Duration) {
        if let Some(report) = self.reports.get_mut(id) {
            let change = Change {
                at: now,
                requests: 1,
                tokens,
            };
            report.add(change);
        }
    }

    /// Counts a request of this gateway that has ended at a server.
    pub fn record_end(&mut self, id: &str, now: Duration) {
        if let Some(report) = self.reports.get_mut(id) {
            let change = Change {
                at: now,
                requests: -1,
                tokens: 0,
            };
            report.add(change);
        }
    }

    /// Load of a server; `None` when its report is [`MAX_AGE`] old, is of another process, or does
    /// not exist.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::placing::server_load::{Reported, ServerLoads}, state::server};
    /// let (mut loads, ms) = (ServerLoads::default(), Duration::from_millis);
    /// let server = server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 5,
    /// };
    /// loads.record(&server.id, 5, Reported::default(), ms(0), ms(100));
    /// loads.record_send("i-1", 300, ms(150));
    /// let load = loads.get(&server, ms(200)).unwrap();
    /// assert_eq!((load.age, load.requests_since, load.tokens_since), (ms(100), 1, 300));
    /// assert!(loads.get(&server, ms(2100)).is_none(), "too old");
    /// let restarted = server::Server { started_unix_ms: 9, ..server };
    /// assert!(loads.get(&restarted, ms(200)).is_none(), "another process");
    /// ```
    pub fn get(&self, server: &server::Server, now: Duration) -> Option<Load> {
        // An empty table needs no hash of the id.
        let report = match self.reports.is_empty() {
            true => return None,
            false => self.reports.get(&server.id)?,
        };
        let age = now.saturating_sub(report.made_at);
        if age >= MAX_AGE || !is_same_process(report.started_unix_ms, server.started_unix_ms) {
            return None;
        }
        Some(Load {
            reported: report.reported,
            age,
            requests_since: report.requests_since,
            tokens_since: report.tokens_since,
        })
    }
}
