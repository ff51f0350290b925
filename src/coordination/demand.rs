//! How many tokens a holder wants in its hands.

use std::time::Duration;

/// Time over which past demand fades.
pub const FADE: Duration = Duration::from_secs(60);

/// Part of the free tokens that one grant may take beyond what is needed at once.
const FREE_DIVISOR: u64 = 8;

/// Tokens are given back above this multiple of the target.
const IDLE_MULTIPLE: u64 = 2;

/// A rate of tokens that fades exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Duration,
}

impl Demand {
    /// Counts tokens that were asked for up to `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut demand = fulmarproxy::coordination::demand::Demand::default();
    /// demand.note(600, Duration::ZERO);
    /// assert_eq!(demand.target(Duration::from_secs(10)), 100);
    /// ```
    pub fn note(&mut self, tokens: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-elapsed / FADE.as_secs_f64()).exp();
        self.rate += tokens as f64 / FADE.as_secs_f64();
        self.at = now;
    }

    /// Tokens that the demand uses in the time that a holder must live without the store.
    pub fn target(&self, autonomy: Duration) -> u64 {
        (self.rate * autonomy.as_secs_f64()) as u64
    }
}

/// Size of a grant: at least what is needed, beyond it a shrinking part of what is free.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::grant(10, 500, 8000), 500);
/// assert_eq!(demand::grant(10, 500, 800), 100);
/// assert_eq!(demand::grant(10, 0, 800), 10);
/// ```
pub fn grant(needed: u64, missing: u64, free: u64) -> u64 {
    needed.max(missing.min(free / FREE_DIVISOR))
}

/// Tokens that a holder gives back because it will not need them.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::idle(100, 20), 80);
/// assert_eq!(demand::idle(30, 20), 0);
/// ```
pub fn idle(available: u64, target: u64) -> u64 {
    if available > target.saturating_mul(IDLE_MULTIPLE) {
        available - target
    } else {
        0
    }
}
