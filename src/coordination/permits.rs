//! Permits that this router holds for requests to servers which have named a limit.
//!
//! Handles more requests than such a server takes: one router issues its permits, see
//! [`crate::coordination::permit_issuer`], and each router asks for as many as it used up lately. A
//! server without a permit is closed until the time at which to ask again; requests go to the others.

use std::{collections::HashMap, time::Duration};

use crate::coordination::permit_issuer;

/// Time for which permits are valid. It bounds what is sent late from permits of an earlier window.
const PERMIT_TTL: Duration = Duration::from_millis(500);

/// Time within which all permits must be used up for more to be asked for.
const USED_UP_TIME: Duration = Duration::from_millis(250);

/// Maximum number of permits to ask for.
const MAX_WANTED: u32 = 64;

/// Time after which a server is asked for again when no answer has come.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Time within which an answer is likely.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// Number of servers from which on those without a valid permit are removed.
const PRUNE_THRESHOLD: usize = 256;

/// Whether a request may be sent to a limited server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// A permit was taken.
    Taken,
    /// This many permits are to be asked for.
    Ask(u32),
}

#[derive(Clone, Copy, Debug)]
struct Held {
    permits: u32,
    wanted: u32,
    granted: Duration,
    /// Time before which no more permits are asked for.
    closed_until: Duration,
    /// Whether an answer is awaited.
    is_asking: bool,
}

impl Held {
    fn is_valid(&self, now: Duration) -> bool {
        self.permits > 0 && now < self.granted + PERMIT_TTL
    }
}

/// Permits, by server.
#[derive(Debug, Default)]
pub struct Permits {
    held: HashMap<u64, Held>,
}

impl Permits {
    /// Takes a permit for a request to a server, or tells how many to ask for.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::{permit_issuer::Grant, permits::{Permit, Permits}};
    /// let mut permits = Permits::default();
    /// let now = Duration::from_secs(1);
    /// assert_eq!(permits.take(7, now), Permit::Ask(1));
    /// assert!(permits.opens_at(7, now) > Some(now), "no other asks meanwhile");
    /// permits.record_grant(7, Grant { permits: 1, retry_after: Duration::ZERO }, now);
    /// assert_eq!(permits.take(7, now), Permit::Taken);
    /// assert_eq!(permits.take(7, now), Permit::Ask(2));
    /// ```
    pub fn take(&mut self, server: u64, now: Duration) -> Permit {
        if self.take_held(server, now) {
            return Permit::Taken;
        }
        let held = self.held.entry(server).or_insert(Held {
            permits: 0,
            wanted: 1,
            granted: Duration::ZERO,
            closed_until: Duration::ZERO,
            is_asking: false,
        });
        let is_used_up = held.permits == 0 && now < held.granted + USED_UP_TIME;
        let wanted = match is_used_up && held.granted > Duration::ZERO {
            true => held.wanted * 2,
            false => held.wanted / 2,
        };
        held.wanted = wanted.clamp(1, MAX_WANTED);
        held.closed_until = now + ASK_TIMEOUT;
        held.is_asking = true;
        Permit::Ask(held.wanted)
    }

    /// Takes a permit if one is held.
    pub fn take_held(&mut self, server: u64, now: Duration) -> bool {
        let held = self.held.get_mut(&server);
        let valid = held.filter(|held| held.is_valid(now));
        let is_held = valid.is_some();
        if let Some(held) = valid {
            held.permits -= 1;
        }
        is_held
    }

    /// Records the answer of the router that issues the permits.
    pub fn record_grant(&mut self, server: u64, grant: permit_issuer::Grant, now: Duration) {
        if self.held.len() > PRUNE_THRESHOLD {
            self.held
                .retain(|_, held| held.is_valid(now) || now < held.closed_until);
        }
        let Some(held) = self.held.get_mut(&server) else {
            return;
        };
        held.closed_until = now + grant.retry_after;
        held.is_asking = false;
        if grant.permits > 0 {
            held.permits = grant.permits;
            held.granted = now;
        }
    }

    /// Time at which a permit may be had for a server; `None` when one is held or can be asked for.
    pub fn opens_at(&self, server: u64, now: Duration) -> Option<Duration> {
        let held = self.held.get(&server)?;
        if held.is_valid(now) || now >= held.closed_until {
            return None;
        }
        match held.is_asking {
            true => Some(held.closed_until.min(now + ANSWER_TIME)),
            false => Some(held.closed_until),
        }
    }
}
