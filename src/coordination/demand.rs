//! How many tokens a holder should hold: demand rate, sizes of grants and returns.

use std::time::Duration;

/// Time constant of the exponentially decaying demand rate.
pub const DECAY_TIME: Duration = Duration::from_secs(300);

/// A grant takes at most the free tokens divided by this number, unless more is needed at once.
const GRANT_LIMIT_DIVISOR: u64 = 8;

/// A grant covers this many times the tokens needed at once, if enough are free, so that it also
/// serves the requests that follow.
const GRANT_NEED_MULTIPLE: u64 = 16;

/// Tokens are returned when more than this multiple of the target is available.
const RETURN_THRESHOLD_MULTIPLE: u64 = 4;

/// Multiple of the target that is kept when tokens are returned.
const KEPT_TARGET_MULTIPLE: u64 = 2;

/// A grant adds the target divided by this number as headroom, so that small amounts are not
/// requested one after another.
const GRANT_HEADROOM_DIVISOR: u64 = 4;

/// An exponentially decaying rate of requested tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    rate: f64,
    at: Duration,
}

impl Demand {
    /// Adds tokens that were requested since the last call.
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

    /// Tokens that demand uses in `autonomy`, the time that a holder must manage without the store.
    pub fn target(&self, autonomy: Duration) -> u64 {
        (self.rate * autonomy.as_secs_f64()) as u64
    }
}

/// Size of a grant: at least `needed`, and beyond that at most a fixed fraction of the free tokens,
/// so that grants shrink as the budget runs out.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::grant_size(10, 500, 8000), 500);
/// assert_eq!(demand::grant_size(10, 500, 800), 100);
/// assert_eq!(demand::grant_size(10, 0, 8000), 160);
/// ```
pub fn grant_size(needed: u64, missing: u64, free: u64) -> u64 {
    let desired = missing.max(needed.saturating_mul(GRANT_NEED_MULTIPLE));
    needed.max(desired.min(free / GRANT_LIMIT_DIVISOR))
}

/// Tokens that a holder must obtain to reach its target with headroom; 0 when the target is
/// available.
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
    target + target / GRANT_HEADROOM_DIVISOR - available
}

/// Tokens that a holder returns because they far exceed its target.
///
/// ```
/// use fulmarproxy::coordination::demand;
/// assert_eq!(demand::surplus(100, 20), 60);
/// assert_eq!(demand::surplus(80, 20), 0);
/// ```
pub fn surplus(available: u64, target: u64) -> u64 {
    if available > target.saturating_mul(RETURN_THRESHOLD_MULTIPLE) {
        available - target.saturating_mul(KEPT_TARGET_MULTIPLE)
    } else {
        0
    }
}
