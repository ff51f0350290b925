//! This router's share of a workspace's prepaid tokens: what it holds, spends, asks for and gives
//! to other routers.
//!
//! Answers demand that moves between routers, budgets that run out, and a store that is out of
//! reach for seconds. One router, the budget's home, holds a reserve for the whole fleet; the
//! others hold what they use in [`DRAW_AHEAD`] and draw more from it, which costs no call of the store.
//! Reserve and draws shrink as the budget runs out, so that little is stranded.

use std::time::Duration;

/// Time that the home's reserve lasts without the store. Outages of the whole store last up to
/// seven seconds; cuts last longer, but carriers reach the store meanwhile.
pub const RESERVE_TIME: Duration = Duration::from_secs(7);

/// Time that another router's share lasts without the home: a few tries to reach it.
pub const DRAW_AHEAD: Duration = Duration::from_millis(500);

/// Time over which the measured demand fades; a wave of load takes about as long.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Part of a budget that its home takes before it has seen any demand.
const FIRST_PART: f64 = 0.02;

/// Part of the target below which a share is filled up.
const LOW_PART: f64 = 0.6;

/// The reserve is at most one part in this many of what is left, times the part of the budget that
/// is left: it is lost with its holder, and the less is left, the more each lost token is missed.
/// A third of a budget left gives 2.2 in 100; the platform charges nothing for up to 3 in 100. Three
/// quarters left give the 11 in 100 that usual demand takes in [`RESERVE_TIME`].
const LEFT_DIVISOR: f64 = 5.0;

/// Time that the reserve of a budget that runs out lasts, as long as a share of another router;
/// less would call the store for each request.
const LEAST_RESERVE: Duration = DRAW_AHEAD;

/// Part of a budget that is never granted: it covers requests that began to run in the moment in
/// which they were cancelled, which nobody counts. The platform charges nothing for up to 3 in 100.
const MARGIN_PART: f64 = 0.005;

/// A draw takes, beyond what is needed, at most one part in this many of what the home holds.
const DRAWN_DIVISOR: u64 = 16;

/// Tokens of a budget that may be granted.
///
/// ```
/// assert_eq!(fulmarproxy::coordination::share::grantable(10_000), 9_950);
/// ```
pub fn grantable(prepaid: u64) -> u64 {
    prepaid - (prepaid as f64 * MARGIN_PART).ceil() as u64
}

/// Time for which a budget that was found exhausted counts as such, so that a flood of requests
/// does not recall tokens for each.
const EXHAUSTED_FOR: Duration = Duration::from_millis(1000);

/// A budget that was found exhausted.
#[derive(Clone, Copy, Debug)]
pub struct Exhausted {
    /// Tokens ever paid for, as far as was known.
    pub prepaid: u64,
    /// Tokens that were left after all; less than a request needed.
    pub left: u64,
    /// When it was found.
    pub at: Duration,
}

impl Exhausted {
    /// Whether a request can be refused without asking again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::share;
    /// let found = share::Exhausted { prepaid: 100, left: 9, at: Duration::ZERO };
    /// assert!(found.still_refuses(100, 10, Duration::ZERO));
    /// assert!(!found.still_refuses(200, 10, Duration::ZERO), "a top-up came");
    /// ```
    pub fn still_refuses(&self, prepaid: u64, needed: u64, now: Duration) -> bool {
        self.prepaid == prepaid && needed > self.left && now < self.at + EXHAUSTED_FOR
    }
}

/// A router's share of one workspace's budget.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// Granted by the ledger, less what went back; negative when received tokens went back.
    granted: i64,
    received: u64,
    given: u64,
    spent: u64,
    reserved: u64,
    rate: f64,
    rated_at: Duration,
}

impl Share {
    /// Tokens that are neither spent, set aside nor given away.
    pub fn available(&self) -> u64 {
        let held = self.granted + self.received as i64 - self.given as i64;
        u64::try_from(held)
            .unwrap_or(0)
            .saturating_sub(self.spent + self.reserved)
    }

    /// Net tokens that the ledger has granted.
    pub fn granted(&self) -> i64 {
        self.granted
    }

    /// Tokens spent here.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Sets tokens aside for a request at its most; false when there are not enough.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::share::Share::default();
    /// assert!(!share.reserve(10, Duration::ZERO));
    /// share.grant(10);
    /// assert!(share.reserve(10, Duration::ZERO));
    /// share.settle(10, 4);
    /// assert_eq!(share.available(), 6);
    /// ```
    pub fn reserve(&mut self, tokens: u64, now: Duration) -> bool {
        if self.available() < tokens {
            return false;
        }
        self.reserved += tokens;
        self.record_demand(tokens, now);
        true
    }

    /// Ends a reservation, of which some tokens were spent.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += spent;
    }

    /// Counts demand.
    pub fn record_demand(&mut self, tokens: u64, now: Duration) {
        self.rate = self.rate_at(now) + tokens as f64 / DECAY_TIME.as_secs_f64();
        self.rated_at = now;
    }

    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.rated_at).as_secs_f64();
        self.rate * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Adds tokens that the ledger granted.
    pub fn grant(&mut self, tokens: u64) {
        self.granted += tokens as i64;
    }

    /// Adds tokens that another router gave.
    pub fn receive(&mut self, tokens: u64) {
        self.received += tokens;
    }

    /// Gives another router what it needs and, beyond it, some of what it would like; returns how
    /// many tokens. They are out of this share whether or not the answer arrives.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::share::Share::default();
    /// share.grant(1000);
    /// assert_eq!(share.give(100, 900, Duration::ZERO), 162);
    /// assert_eq!(share.available(), 838);
    /// ```
    pub fn give(&mut self, needed: u64, extra: u64, now: Duration) -> u64 {
        self.record_demand(needed, now);
        let available = self.available();
        if available < needed {
            return 0;
        }
        let beyond = (available - needed)
            .min(extra)
            .min(available / DRAWN_DIVISOR);
        let given = needed + beyond;
        self.record_demand(beyond, now);
        self.given += given;
        given
    }

    /// Gives away all that is available.
    pub fn give_all(&mut self) -> u64 {
        let given = self.available();
        self.given += given;
        given
    }

    /// Takes all available tokens out, to give them back to the ledger; returns how many.
    pub fn release(&mut self) -> u64 {
        let released = self.available();
        self.granted -= released as i64;
        released
    }

    /// Tokens that cover the demand here for some time.
    pub fn expected_demand(&self, time: Duration, now: Duration) -> u64 {
        (self.rate_at(now) * time.as_secs_f64()) as u64
    }

    /// Tokens that a router other than the home would like to draw; 0 while its share lasts.
    pub fn draw_size(&self, now: Duration) -> u64 {
        short_of(self.expected_demand(DRAW_AHEAD, now), self.available())
    }

    /// Tokens that the home asks the ledger for; 0 while its reserve lasts.
    ///
    /// `free` are the tokens that nobody holds, `needed` what must be had at once.
    pub fn refill_size(&self, prepaid: u64, free: u64, needed: u64, now: Duration) -> u64 {
        let first = (prepaid as f64 * FIRST_PART) as u64;
        let left = free.saturating_add(self.available());
        let part = left as f64 / prepaid.max(1) as f64;
        let most = (left as f64 * part.min(1.0) / LEFT_DIVISOR) as u64;
        let most = most.max(self.expected_demand(LEAST_RESERVE, now));
        let target = self.expected_demand(RESERVE_TIME, now).max(first).min(most);
        let short = short_of(target, self.available());
        let needed = needed.saturating_sub(self.available());
        short.max(needed).min(free)
    }
}

fn short_of(target: u64, available: u64) -> u64 {
    match available as f64 >= target as f64 * LOW_PART {
        true => 0,
        false => target - available,
    }
}
