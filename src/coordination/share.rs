//! This router's share of a workspace's prepaid tokens: what it holds, spends, asks for and gives
//! back.
//!
//! Answers demand that moves between routers and a store that is out of reach for seconds: a share
//! covers the demand measured here for [`AUTONOMY`], and shrinks as the budget runs out so that
//! little is stranded.

use std::time::Duration;

/// Time that a share must last without the store. Cuts of eight to nine seconds are usual.
pub const AUTONOMY: Duration = Duration::from_secs(10);

/// Time over which the measured demand fades; a wave of load takes about as long.
const FADE: Duration = Duration::from_secs(4);

/// Part of a budget that a router takes before it has seen any demand.
const FIRST_PART: f64 = 0.01;

/// Part of the target below which a share is filled up.
const LOW_PART: f64 = 0.7;

/// Multiple of the target above which tokens are given back.
const IDLE_MULTIPLE: f64 = 2.5;

/// Multiple of the target that is kept when tokens are given back.
const KEPT_MULTIPLE: f64 = 1.5;

/// A router's share of one workspace's budget.
#[derive(Clone, Debug, Default)]
pub struct Share {
    granted: u64,
    spent: u64,
    reserved: u64,
    rate: f64,
    rated_at: Duration,
    largest: u64,
}

/// What a share looks like to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Tokens ever granted to this router, less those given back.
    pub granted: u64,
    /// Tokens spent of these.
    pub spent: u64,
    /// Tokens set aside for requests that run.
    pub reserved: u64,
}

impl Figures {
    /// Tokens that are neither spent nor set aside.
    pub fn available(self) -> u64 {
        self.granted.saturating_sub(self.spent + self.reserved)
    }
}

impl Share {
    /// Figures as they are.
    pub fn figures(&self) -> Figures {
        Figures {
            granted: self.granted,
            spent: self.spent,
            reserved: self.reserved,
        }
    }

    /// Sets tokens aside for a request at its most; false when there are not enough.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut share = fulmarproxy::coordination::share::Share::default();
    /// assert!(!share.reserve(10, Duration::ZERO));
    /// share.add(10);
    /// assert!(share.reserve(10, Duration::ZERO));
    /// share.settle(10, 4);
    /// assert_eq!(share.figures().available(), 6);
    /// ```
    pub fn reserve(&mut self, tokens: u64, now: Duration) -> bool {
        self.largest = self.largest.max(tokens);
        if self.figures().available() < tokens {
            return false;
        }
        self.reserved += tokens;
        self.note(tokens, now);
        true
    }

    /// Ends a reservation, of which some tokens were spent.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += spent;
    }

    /// Counts demand that could not be served from here as well.
    pub fn note(&mut self, tokens: u64, now: Duration) {
        self.rate = self.rate_at(now) + tokens as f64 / FADE.as_secs_f64();
        self.rated_at = now;
    }

    fn rate_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.rated_at).as_secs_f64();
        self.rate * (-elapsed / FADE.as_secs_f64()).exp()
    }

    /// Adds granted tokens.
    pub fn add(&mut self, tokens: u64) {
        self.granted += tokens;
    }

    /// Takes up to `most` available tokens out of the share; returns how many.
    pub fn remove(&mut self, most: u64) -> u64 {
        let removed = most.min(self.figures().available());
        self.granted -= removed;
        removed
    }

    /// Tokens that the share should hold.
    pub fn target(&self, prepaid: u64, now: Duration) -> u64 {
        let ahead = self.rate_at(now) * AUTONOMY.as_secs_f64();
        let first = prepaid as f64 * FIRST_PART;
        (ahead.max(first) as u64).max(self.largest)
    }

    /// Tokens to ask for; 0 while the share lasts.
    ///
    /// `free` are the tokens that nobody holds, `routers` how many may ask for them.
    pub fn wanted(&self, prepaid: u64, free: u64, routers: usize, now: Duration) -> u64 {
        let target = self.target(prepaid, now);
        let available = self.figures().available();
        if available as f64 >= target as f64 * LOW_PART {
            return 0;
        }
        // An even part of what is free, so that the last tokens are not stranded at one router.
        let even = free / (routers.max(1) as u64 + 1);
        let least = self.largest.saturating_sub(available);
        (target - available).min(even.max(least)).min(free)
    }

    /// Tokens to give back because the demand has gone.
    pub fn idle(&self, prepaid: u64, now: Duration) -> u64 {
        let target = self.target(prepaid, now) as f64;
        let available = self.figures().available() as f64;
        match available > target * IDLE_MULTIPLE {
            true => (available - target * KEPT_MULTIPLE) as u64,
            false => 0,
        }
    }
}
