//! A key of requests that were running when backend servers crashed, and when it is refused.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::crashes::CRASH_RETENTION;

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

/// Crashes that follow each other sooner are not one after the other: servers that end together, as
/// in a power failure, have another cause than each of the requests that ran there.
const CRASH_GAP: Duration = Duration::from_millis(300);

/// Time within which gateways notice the same crash.
const NOTICE_TIME: Duration = Duration::from_millis(400);

/// Maximum number of crashes that are kept of a key; the newest ones are.
pub(super) const MAX_CRASHES: usize = 8;

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
    /// Whether the request ran alone at each of these crashes; gateways of earlier builds leave it
    /// out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub alone: Vec<bool>,
    /// Whether the request was sent after the crashes before each of them, as far as known; left out
    /// as above.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub repeats: Vec<bool>,
    /// Milliseconds since a request with the key last ran to its end, as far as known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_ms: Option<u64>,
}

impl Report {
    /// Report of a key of which only is known that it is refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::{suspect, suspect_keys, suspects};
    /// let mut known = suspects::Suspects::default();
    /// known.merge(&suspect::Report::refused(7), Duration::ZERO);
    /// let keys = suspect_keys::Keys::new("model", [], 7);
    /// assert!(known.refuses(&keys, Duration::ZERO, |_| false));
    /// ```
    pub fn refused(key: u64) -> Self {
        let age_ms = |number: usize| number as u64 * NOTICE_TIME.as_millis() as u64;
        let crashes = (0..SHARED_REFUSAL_THRESHOLD).rev();
        Self {
            key,
            distance: 0,
            crashes: crashes
                .map(|number| (number as u64, age_ms(number)))
                .collect(),
            alone: Vec::new(),
            repeats: Vec::new(),
            cleared_ms: None,
        }
    }
}

/// Milliseconds since the start of this process; negative for what others report of the time before.
pub(super) type Moment = i64;

pub(super) fn moment(at: Duration) -> Moment {
    at.as_millis() as Moment
}

/// A crash of a server that was running a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Number of the server's run.
    pub(super) server: u64,
    /// When it ended.
    pub(super) at: Moment,
    /// Whether no other copy of the request ran at that moment in the fleet, as far as known.
    pub(super) is_alone: bool,
    /// Whether each request that ran there was sent after the crashes before.
    pub(super) is_repeat: bool,
}

impl Crash {
    /// Whether two gateways have noticed the same crash.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let apart = self.at.abs_diff(other.at);
        self.server == other.server && u128::from(apart) < NOTICE_TIME.as_millis()
    }
}

/// A key of requests that were running when backend servers crashed.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Least number of more specific keys that a request with it had.
    pub(super) distance: usize,
    /// Crashes since a request with the key last ran to its end, oldest first.
    pub(super) crashes: Vec<Crash>,
    /// When a request with the key last ran to its end.
    pub(super) cleared: Option<Moment>,
    /// When a refused request was last let through.
    pub(super) tried: Option<Duration>,
    /// Number of the change that set these values.
    pub(super) change: u64,
}

impl Suspect {
    /// Whether crashes are enough to refuse the key.
    pub(super) fn is_enough(&self, crashes: &[Crash], now: Duration) -> bool {
        let rounds = match self.distance {
            0 | 1 => REFUSAL_THRESHOLD,
            _ => SHARED_REFUSAL_THRESHOLD,
        };
        let Some(first) = crashes.first() else {
            return false;
        };
        let is_part = self.distance > 0;
        let is_long = moment(now) - first.at >= moment(TOTAL_REFUSAL_TIME);
        Self::count_rounds(crashes) >= rounds
            || is_part && is_long && crashes.len() >= TOTAL_REFUSAL_THRESHOLD
    }

    /// Number of crashes that came one after the other; those at which the request ran alone also
    /// when they follow another one soon.
    fn count_rounds(crashes: &[Crash]) -> usize {
        let mut rounds = 0;
        let mut next = Moment::MIN;
        for crash in crashes {
            if crash.at >= next || crash.is_alone {
                rounds += 1;
                next = crash.at + moment(CRASH_GAP);
            }
        }
        rounds
    }

    /// Whether the requests with the key were sent one after the other, each after the crash before.
    pub(super) fn is_repeated(&self) -> bool {
        self.crashes.iter().skip(1).all(|crash| crash.is_repeat)
    }

    /// Whether this key rather than another is the cause of crashes at which both were present.
    pub(super) fn outranks(&self, other: &Self) -> bool {
        let rank = |it: &Self| (it.crashes.len(), std::cmp::Reverse(it.distance));
        rank(self) > rank(other)
    }

    /// Adds a crash unless it is known; returns whether this changed anything.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let is_old = self.crashes.len() == MAX_CRASHES && crash.at <= self.crashes[0].at;
        if is_old {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|it| it.is_same(&crash)) {
            let is_news = known.is_repeat && !crash.is_repeat;
            known.is_repeat &= crash.is_repeat;
            return is_news;
        }
        let at = self.crashes.partition_point(|it| it.at <= crash.at);
        self.crashes.insert(at, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Takes over that a request ran to its end at a time; returns whether this removed a crash.
    pub(super) fn clear(&mut self, at: Moment) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at >= at);
        self.cleared = self.cleared.max(Some(at));
        self.crashes.len() < count
    }

    /// Time since the last crash or clearance.
    pub(super) fn age(&self, now: Duration) -> Duration {
        let last = self.crashes.last().map(|crash| crash.at);
        let since = moment(now) - self.cleared.max(last).unwrap_or(0);
        Duration::from_millis(since.max(0) as u64)
    }

    /// Whether nothing has been heard of the key for too long.
    pub(super) fn is_forgotten(&self, now: Duration) -> bool {
        self.age(now) >= CRASH_RETENTION
    }

    /// What this gateway reports about the key.
    pub(super) fn report(&self, key: u64, now: Duration) -> Report {
        let age_ms = |at: Moment| moment(now).saturating_sub(at).max(0) as u64;
        let crashes = self.crashes.iter();
        Report {
            key,
            distance: self.distance,
            crashes: crashes
                .clone()
                .map(|it| (it.server, age_ms(it.at)))
                .collect(),
            alone: crashes.clone().map(|it| it.is_alone).collect(),
            repeats: crashes.map(|it| it.is_repeat).collect(),
            cleared_ms: self.cleared.map(age_ms),
        }
    }
}
