//! Connections of callers: how many are open, and which one is closed when another one is accepted.

use std::{collections::BTreeMap, time::Duration};

/// What a connection waits for. When there are too many, connections are closed in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a head.
    Head,
    /// For the rest of a body.
    Body,
    /// For the response, or for the caller to take it; such a connection is not closed.
    Busy,
}

impl State {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Busy => "busy",
        }
    }
}

/// Time after which a connection is closed before any that is in its state for a shorter time. Otherwise a crowd
/// that stops in the middle of its heads would have each new connection close the one before it.
const MIN_TIME: Duration = Duration::from_millis(500);

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is, under this id.
    Accepted(u64),
    /// It is, and another one, which was in this state, is to be closed.
    InPlaceOf(u64, u64, State),
    /// It is not: all others are in use.
    Refused,
}

/// Open connections of callers.
#[derive(Debug)]
pub struct Callers {
    max: usize,
    /// By id: the state, and the time since when it lasts.
    open: BTreeMap<u64, (State, Duration)>,
    next_id: u64,
}

impl Callers {
    /// Creates a table for `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            max,
            open: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Changes the maximum number. Connections above it stay open.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Decides on a new connection. The one in whose place it is accepted no longer counts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::limits::callers::{Admission, Callers, State};
    /// let mut callers = Callers::new(2);
    /// let at = Duration::from_millis;
    /// assert_eq!(callers.admit(at(0)), Admission::Accepted(0));
    /// assert_eq!(callers.admit(at(1)), Admission::Accepted(1));
    /// callers.set_state(0, State::Busy, at(2));
    /// assert_eq!(callers.admit(at(3)), Admission::InPlaceOf(2, 1, State::Idle));
    /// callers.set_state(2, State::Body, at(4));
    /// assert_eq!(callers.admit(at(5)), Admission::Refused, "its body may arrive yet");
    /// assert_eq!(callers.admit(at(600)), Admission::InPlaceOf(3, 2, State::Body));
    /// ```
    pub fn admit(&mut self, now: Duration) -> Admission {
        let id = self.next_id;
        let closed = match self.open.len() < self.max {
            true => None,
            false => match self.choose(now) {
                Some(chosen) => Some(chosen),
                None => return Admission::Refused,
            },
        };
        self.next_id += 1;
        self.open.insert(id, (State::Idle, now));
        match closed {
            None => Admission::Accepted(id),
            Some((chosen, state)) => {
                self.open.remove(&chosen);
                Admission::InPlaceOf(id, chosen, state)
            }
        }
    }

    /// The connection to close: of those in the first state that has any, the one that is in it for the longest
    /// time. Connections that are in their state for a short time come last; bodies among them are not closed.
    fn choose(&self, now: Duration) -> Option<(u64, State)> {
        let ranked = self.open.iter().filter_map(|(id, (state, since))| {
            let is_recent = now.saturating_sub(*since) < MIN_TIME;
            let rank = match (*state, is_recent) {
                (State::Busy, _) | (State::Body, true) => return None,
                (State::Idle | State::Head, true) => (true, State::Idle),
                (state, false) => (false, state),
            };
            Some((rank, *since, *id, *state))
        });
        let (_, _, id, state) = ranked.min()?;
        Some((id, state))
    }

    /// Records the state of a connection.
    pub fn set_state(&mut self, id: u64, state: State, now: Duration) {
        if let Some(entry) = self.open.get_mut(&id)
            && entry.0 != state
        {
            *entry = (state, now);
        }
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }
}
