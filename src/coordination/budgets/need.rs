//! How many tokens a gateway gives to another one that draws from it.

/// Divisor that limits the tokens given ahead of demand: at most this part of what is left after
/// the tokens that requests wait for.
///
/// It keeps the shares of other gateways small where the budget runs out. Tokens that requests
/// wait for are not limited by it.
const AHEAD_LIMIT_DIVISOR: u64 = 4;

/// What a gateway that draws needs; in tokens.
///
/// ```
/// use fulmarproxy::coordination::budgets::need;
/// let need = need::Need { needed: 100, waiting: 500, ahead: 400 };
/// assert_eq!(need.given_from(10_000, 0), 1000, "all that waits, and ahead of demand");
/// assert_eq!(need.given_from(1000, 300), 625, "a part of the tokens ahead of demand");
/// assert_eq!(need.given_from(400, 200), 200, "the giver's own requests come before the others'");
/// assert_eq!(need.given_from(99, 0), 0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Needed by one request; fewer are of no use. 0 when none waits.
    pub needed: u64,
    /// Needed by the other requests that wait.
    pub waiting: u64,
    /// Expected to be needed until the next draw.
    pub ahead: u64,
}

impl Need {
    /// Tokens given out of the available ones, where the giver's own requests need `own` soon.
    pub fn given_from(&self, available: u64, own: u64) -> u64 {
        if available < self.needed {
            return 0;
        }
        let rest = (available - self.needed).saturating_sub(own);
        let waiting = self.waiting.min(rest);
        let ahead = self.ahead.min((rest - waiting) / AHEAD_LIMIT_DIVISOR);
        self.needed + waiting + ahead
    }
}
