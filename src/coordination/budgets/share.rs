//! A router's share of a workspace's prepaid tokens: how many tokens it holds, spends, requests
//! from the ledger or draws from other routers, and gives to them.
//!
//! The rules handle three conditions: demand that moves between routers, budgets that run out, and
//! a store that is unreachable for seconds. One router, the budget's home, holds a reserve for the
//! whole fleet. Each other router holds the tokens that it uses in [`DRAW_AHEAD_TIME`] and draws
//! more from the home, which costs no store call. The reserve and the draws shrink as the budget
//! runs out, so that few tokens are left unusable on routers that don't need them.

use std::time::Duration;

use crate::coordination::budgets::need;

/// Time for which the home's reserve covers the fleet's demand without the store.
///
/// Outages of the whole store last up to seven seconds. Network partitions between a router and
/// the store last longer, but during them the store is reached through a carrier.
pub const RESERVE_TIME: Duration = Duration::from_secs(7);

/// Time for which the share of a router other than the home covers its demand without the home;
/// long enough for a few attempts to reach the home.
pub const DRAW_AHEAD_TIME: Duration = Duration::from_millis(500);

/// Time for which the share of a router other than the home may cover its demand; what exceeds it
/// goes back to the home.
const KEEP_TIME: Duration = Duration::from_millis(1500);

/// Fraction of a share that a return must at least amount to, so that tokens don't go to and fro.
const MIN_RETURNED_FRACTION: f64 = 0.5;

/// Time constant of the exponentially decaying demand rate; about the duration of a load peak.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Fraction of a budget that its home requests before it has measured any demand.
const INITIAL_FRACTION: f64 = 0.02;

/// Fraction of the target below which a share is refilled to the target.
const REFILL_THRESHOLD_FRACTION: f64 = 0.6;

/// Fraction of the target below which a share is refilled when the ledgers of other budgets are
/// written at the same time. Above it the tokens gained are not worth the bytes.
const TOP_UP_THRESHOLD_FRACTION: f64 = 0.9;

/// Divisor in the upper limit of the reserve: the tokens left, times the fraction of the budget
/// that is left, divided by this number.
///
/// The reserve is lost when its holder is killed, which matters more the fewer tokens are left.
/// What earlier holders lost is subtracted, so that a series of stops loses about one reserve.
/// With one third of the budget left, the limit is 2.2% of the budget; the platform doesn't
/// penalise up to 3% out of reach. With three quarters left it is 11%, which is what usual demand
/// uses in [`RESERVE_TIME`].
const RESERVE_LIMIT_DIVISOR: f64 = 5.0;

/// Minimum time for which the reserve covers demand, even when the budget is almost spent; the same
/// as for the share of a router other than the home. A smaller reserve would cause a store call for
/// each request.
const MIN_RESERVE_TIME: Duration = DRAW_AHEAD_TIME;

/// Fraction of a budget that is never granted.
///
/// It covers requests that began to run at the moment they were cancelled: their tokens are spent
/// but not counted by any router. The platform doesn't penalise up to 3% left unused.
const UNGRANTED_FRACTION: f64 = 0.005;

/// Divisor that limits a draw: beyond the tokens needed at once, it takes at most the home's
/// available tokens divided by this number.
const DRAW_LIMIT_DIVISOR: u64 = 16;

/// Tokens of a budget that may be granted to routers.
///
/// ```
/// assert_eq!(fulmarproxy::coordination::budgets::share::grantable(10_000), 9_950);
/// ```
pub fn grantable(prepaid: u64) -> u64 {
    prepaid - (prepaid as f64 * UNGRANTED_FRACTION).ceil() as u64
}

/// Time for which a budget counts as exhausted after it was found so. Without it, each request in
/// a burst would recall tokens from all routers.
pub const EXHAUSTED_TTL: Duration = Duration::from_millis(1000);

/// The finding that a budget is exhausted.
#[derive(Clone, Copy, Debug)]
pub struct Exhausted {
    /// Prepaid total that was known at the time.
    pub prepaid: u64,
    /// Tokens that were still available; fewer than the request needed.
    pub left: u64,
    /// Time of the finding.
    pub at: Duration,
    /// Whether the ledger and all other holders were asked. Otherwise tokens may be left with those
    /// that did not answer.
    pub is_certain: bool,
}

impl Exhausted {
    /// Whether a request can be refused without asking the ledger and the other routers again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::budgets::share;
    /// let found = share::Exhausted { prepaid: 100, left: 9, at: Duration::ZERO, is_certain: true };
    /// assert!(found.still_refuses(100, 10, Duration::ZERO));
    /// assert!(!found.still_refuses(200, 10, Duration::ZERO), "the budget was topped up");
    /// ```
    pub fn still_refuses(&self, prepaid: u64, needed: u64, now: Duration) -> bool {
        self.prepaid == prepaid && needed > self.left && now < self.at + EXHAUSTED_TTL
    }
}

/// What a share consists of at one moment, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tally {
    /// Neither spent nor reserved.
    pub available: u64,
    /// Reserved for running requests.
    pub reserved: u64,
    /// Spent.
    pub spent: u64,
    /// Granted by the ledger, less those returned to it.
    pub granted: i64,
}

/// What is left of a budget, as its home knows from the ledger; in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remaining {
    /// Prepaid total.
    pub prepaid: u64,
    /// Held by no router.
    pub free: u64,
    /// Lost with routers that are gone, at most.
    pub lost: u64,
}

impl Remaining {
    /// A budget of which nothing is spent or lost, as far as is known without its ledger.
    pub fn all_of(prepaid: u64) -> Self {
        Self {
            prepaid,
            free: prepaid,
            lost: 0,
        }
    }
}

/// A router's share of one workspace's budget.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// Tokens granted by the ledger less those returned to it; negative when tokens received from
    /// other routers were returned.
    granted: i64,
    received: u64,
    given: u64,
    spent: u64,
    reserved: u64,
    /// Requested tokens per second, as of `rated_at`; decays exponentially.
    rate: f64,
    rated_at: Duration,
}

impl Share {
    /// Tokens held that are neither spent, reserved nor given away.
    pub fn available(&self) -> u64 {
        let held = self.granted + self.received as i64 - self.given as i64;
        u64::try_from(held)
            .unwrap_or(0)
            .saturating_sub(self.spent + self.reserved)
    }

    /// What the share consists of.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::budgets::share::Share::default();
    /// share.grant(10);
    /// share.reserve(4, Duration::ZERO);
    /// let tally = share.tally();
    /// assert_eq!((tally.available, tally.reserved, tally.granted), (6, 4, 10));
    /// ```
    pub fn tally(&self) -> Tally {
        Tally {
            available: self.available(),
            reserved: self.reserved,
            spent: self.spent,
            granted: self.granted,
        }
    }

    /// Tokens given to other routers, less those received from them.
    pub fn net_given(&self) -> i64 {
        self.given as i64 - self.received as i64
    }

    /// Tokens granted by the ledger, less those returned to it.
    pub fn granted(&self) -> i64 {
        self.granted
    }

    /// Tokens spent by requests on this router.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Whether this many tokens are available.
    pub fn covers(&self, tokens: u64) -> bool {
        self.available() >= tokens
    }

    /// Reserves the most tokens that a request can use; returns false when too few are available.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::budgets::share::Share::default();
    /// assert!(!share.reserve(10, Duration::ZERO));
    /// share.grant(10);
    /// assert!(share.reserve(10, Duration::ZERO));
    /// share.settle(10, 4);
    /// assert_eq!(share.available(), 6);
    /// ```
    pub fn reserve(&mut self, tokens: u64, now: Duration) -> bool {
        if !self.covers(tokens) {
            return false;
        }
        self.reserved += tokens;
        self.record_demand(tokens, now);
        true
    }

    /// Ends a reservation of `reserved` tokens, of which `spent` were spent.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += spent;
    }

    /// Adds requested tokens to the demand rate.
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

    /// Adds tokens received from another router.
    pub fn receive(&mut self, tokens: u64) {
        self.received += tokens;
    }

    /// Adds tokens that another router gives back, which count as demand no longer. Otherwise tokens
    /// that flow to and fro would inflate the reserve, all of which is lost when its holder is killed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::budgets::share::Share::default();
    /// share.grant(1000);
    /// share.give(100, 400, Duration::ZERO);
    /// let second = Duration::from_secs(1);
    /// assert_eq!(share.expected_demand(second, Duration::ZERO), 40);
    /// share.take_back(60, Duration::ZERO);
    /// assert_eq!(share.expected_demand(second, Duration::ZERO), 25);
    /// ```
    pub fn take_back(&mut self, tokens: u64, now: Duration) {
        self.receive(tokens);
        let returned = tokens as f64 / DECAY_TIME.as_secs_f64();
        self.rate = (self.rate_at(now) - returned).max(0.0);
        self.rated_at = now;
    }

    /// Gives another router the tokens that it needs at once and, if possible, part of `extra`;
    /// gives nothing when fewer than `needed` are available. Returns the tokens given.
    ///
    /// The tokens leave this share whether or not the answer reaches the other router: if the
    /// giver kept them after a lost answer, both routers could spend them.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::budgets::share::Share::default();
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
        let extra = (available - needed)
            .min(extra)
            .min(available / DRAW_LIMIT_DIVISOR);
        let given = needed + extra;
        self.record_demand(extra, now);
        self.given += given;
        given
    }

    /// Gives another router what it needs, as [`need::Need::given_from`] decides; returns the tokens
    /// given. They leave this share as with [`Self::give`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::budgets::{need, share};
    /// let mut share = share::Share::default();
    /// share.grant(1000);
    /// let need = need::Need { needed: 100, waiting: 700, ahead: 0 };
    /// assert_eq!(share.give_by_need(need, 0, Duration::ZERO), 800);
    /// assert_eq!(share.available(), 200);
    /// ```
    pub fn give_by_need(&mut self, need: need::Need, own: u64, now: Duration) -> u64 {
        let given = need.given_from(self.available(), own);
        self.record_demand(given.max(need.needed), now);
        self.given += given;
        given
    }

    /// Gives all available tokens to another router; returns how many.
    pub fn give_all(&mut self) -> u64 {
        let given = self.available();
        self.given += given;
        given
    }

    /// Takes the tokens out of the share that demand does not need here for a while, to give them back
    /// to the budget's home; returns how many.
    ///
    /// A request reserves the most tokens that it can use, and what it leaves stays where it ran.
    /// With many routers and workspaces these rests are a large part of the budgets, out of the
    /// others' reach and lost when the routers are killed.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::budgets::share::Share::default();
    /// share.receive(1000);
    /// assert_eq!(share.take_surplus(Duration::ZERO), 1000);
    /// assert_eq!(share.available(), 0);
    /// ```
    pub fn take_surplus(&mut self, now: Duration) -> u64 {
        self.take_surplus_over(self.expected_demand(KEEP_TIME, now))
    }

    /// Takes the tokens out of the share that exceed `kept`, unless they are too few to be worth a
    /// call; returns how many.
    pub fn take_surplus_over(&mut self, kept: u64) -> u64 {
        let available = self.available();
        let surplus = available.saturating_sub(kept);
        if (surplus as f64) < available as f64 * MIN_RETURNED_FRACTION {
            return 0;
        }
        self.given += surplus;
        surplus
    }

    /// Takes all available tokens out of the share, to return them to the ledger; returns how many.
    pub fn release(&mut self) -> u64 {
        let released = self.available();
        self.granted -= released as i64;
        released
    }

    /// Tokens that this router's demand uses in `time` at the current rate.
    pub fn expected_demand(&self, time: Duration, now: Duration) -> u64 {
        (self.rate_at(now) * time.as_secs_f64()) as u64
    }

    /// Tokens that a router other than the home draws in advance for an expected demand; 0 unless
    /// its share is low.
    pub fn draw_size(&self, demand: u64) -> u64 {
        shortfall(demand, self.available(), REFILL_THRESHOLD_FRACTION)
    }

    /// Tokens that the home requests from the ledger; 0 unless its reserve is low or a request
    /// needs more than is available. `needed` is the number needed at once.
    pub fn refill_size(&self, budget: Remaining, needed: u64, now: Duration) -> u64 {
        self.refill_size_below(REFILL_THRESHOLD_FRACTION, budget, needed, now)
    }

    /// As [`Self::refill_size`], for a ledger that is written anyway: the reserve is filled up from
    /// nine tenths of its target on.
    pub fn top_up_size(&self, budget: Remaining, now: Duration) -> u64 {
        self.refill_size_below(TOP_UP_THRESHOLD_FRACTION, budget, 0, now)
    }

    fn refill_size_below(
        &self,
        threshold: f64,
        budget: Remaining,
        needed: u64,
        now: Duration,
    ) -> u64 {
        let Remaining {
            prepaid,
            free,
            lost,
        } = budget;
        let initial = (prepaid as f64 * INITIAL_FRACTION) as u64;
        let left = free.saturating_add(self.available());
        let fraction_left = left as f64 / prepaid.max(1) as f64;
        let limit = (left as f64 * fraction_left.min(1.0) / RESERVE_LIMIT_DIVISOR) as u64;
        let limit = limit.saturating_sub(lost);
        let limit = limit.max(self.expected_demand(MIN_RESERVE_TIME, now));
        let target = self
            .expected_demand(RESERVE_TIME, now)
            .max(initial)
            .min(limit);
        let shortfall = shortfall(target, self.available(), threshold);
        let needed = needed.saturating_sub(self.available());
        shortfall.max(needed).min(free)
    }
}

/// Tokens missing from a target; 0 while the fraction `threshold` of it is available.
fn shortfall(target: u64, available: u64, threshold: f64) -> u64 {
    match available as f64 >= target as f64 * threshold {
        true => 0,
        false => target - available,
    }
}
