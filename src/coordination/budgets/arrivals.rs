//! Tokens that requests ask for at a gateway, as a rate over about a second.
//!
//! The demand rate of [`share`](crate::coordination::budgets::share) covers 4 s. It rises too slowly
//! for a burst of some seconds, and keeps tokens at a gateway for seconds after the burst has ended.

use std::{collections::HashMap, time::Duration};

use crate::state::name;

/// Time constant of the exponentially decaying rate; bursts last from two seconds on.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Time whose arrivals the share of a gateway other than the home may cover; what exceeds it by as
/// much again flows back to the home.
///
/// After demand has ended the rate halves in 0.7 s, and shares are checked every 0.5 s. With half the
/// time `tests/bursts.rs` counts 17 to 35 % more draws and returns while the budget is ample.
pub const KEEP_TIME: Duration = Duration::from_secs(1);

/// Rates of requested tokens, by workspace.
#[derive(Debug, Default)]
pub struct Arrivals {
    rates: HashMap<name::Name, Rate>,
}

#[derive(Debug)]
struct Rate {
    per_second: f64,
    at: Duration,
    /// Tokens of the last request.
    last: u64,
}

impl Arrivals {
    /// Counts the tokens of a request that arrives.
    pub fn record(&mut self, workspace: &name::Name, tokens: u64, now: Duration) {
        let rate = Rate {
            per_second: self.rate(workspace, now) + tokens as f64 / DECAY_TIME.as_secs_f64(),
            at: now,
            last: tokens,
        };
        self.rates.insert(workspace.clone(), rate);
    }

    /// Forgets the workspaces that `is_known` does not accept.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.rates.retain(|workspace, _| is_known(workspace));
    }

    /// Tokens for which requests ask in `time` at the current rate.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut arrivals = fulmarproxy::coordination::budgets::arrivals::Arrivals::default();
    /// arrivals.record(&"desk".into(), 1000, Duration::ZERO);
    /// let in_half_a_second = |now| arrivals.expected("desk", Duration::from_millis(500), now);
    /// assert_eq!(in_half_a_second(Duration::ZERO), 500);
    /// assert_eq!(in_half_a_second(Duration::from_secs(1)), 183);
    /// ```
    pub fn expected(&self, workspace: &str, time: Duration, now: Duration) -> u64 {
        (self.rate(workspace, now) * time.as_secs_f64()) as u64
    }

    /// Tokens that the share of a gateway other than the home may keep.
    ///
    /// Nothing is kept when no more than half a request is expected: what is too little for a
    /// request would flow back in many small parts.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut arrivals = fulmarproxy::coordination::budgets::arrivals::Arrivals::default();
    /// arrivals.record(&"desk".into(), 1000, Duration::ZERO);
    /// assert_eq!(arrivals.kept("desk", Duration::from_millis(500)), 606);
    /// assert_eq!(arrivals.kept("desk", Duration::from_millis(700)), 0);
    /// ```
    pub fn kept(&self, workspace: &str, now: Duration) -> u64 {
        let kept = self.expected(workspace, KEEP_TIME, now);
        let last = self.rates.get(workspace).map_or(0, |rate| rate.last);
        if kept <= last / 2 { 0 } else { kept }
    }

    /// Requested tokens per second.
    fn rate(&self, workspace: &str, now: Duration) -> f64 {
        let Some(rate) = self.rates.get(workspace) else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(rate.at).as_secs_f64();
        rate.per_second * (-elapsed / DECAY_TIME.as_secs_f64()).exp()
    }
}
