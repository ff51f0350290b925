//! How many tokens a holder wants in its hands.

use std::time::Duration;

/// Time over which past demand fades.
pub const DECAY_TIME: Duration = Duration::from_secs(300);

/// Part of the free tokens that one grant may take beyond what is needed at once.
const FREE_DIVISOR: u64 = 8;

/// Requests like the one that waits that a grant covers beyond it.
const NEEDED_MULTIPLE: u64 = 16;

/// Tokens are given back above this multiple of the target.
const SURPLUS_MULTIPLE: u64 = 4;

/// Tokens kept when some are given back, as a multiple of the target.
const KEPT_MULTIPLE: u64 = 2;

/// Part of the target that a grant takes on top, so that grants are not asked for one by one.
const HEADROOM_DIVISOR: u64 = 4;

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
    /// demand.record(3000, Duration::ZERO);
    /// assert_eq!(demand.target(Duration::from_secs(10)), 100);
    /// ```
    pub fn record(&mut self, tokens: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.rate += tokens as f64 / DECAY_TIME.as_secs_f64();
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
/// assert_eq!(demand::grant_size(10, 500, 8000), 500);
/// assert_eq!(demand::grant_size(10, 500, 800), 100);
/// assert_eq!(demand::grant_size(10, 0, 8000), 160);
/// ```
pub fn grant_size(needed: u64, missing: u64, free: u64) -> u64 {
    let ahead = missing.max(needed.saturating_mul(NEEDED_MULTIPLE));
    needed.max(ahead.min(free / FREE_DIVISOR))
}

/// Tokens that a holder lacks to live from its own hand for as long as it must.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::missing(100, 100), 0);
/// assert_eq!(demand::missing(90, 100), 35);
/// ```
pub fn missing(available: u64, target: u64) -> u64 {
    if available >= target {
        return 0;
    }
    target + target / HEADROOM_DIVISOR - available
}

/// Tokens that a holder gives back because it will not need them.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::surplus(100, 20), 60);
/// assert_eq!(demand::surplus(80, 20), 0);
/// ```
pub fn surplus(available: u64, target: u64) -> u64 {
    if available > target.saturating_mul(SURPLUS_MULTIPLE) {
        available - target.saturating_mul(KEPT_MULTIPLE)
    } else {
        0
    }
}
