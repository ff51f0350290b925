//! Receipts: the tokens that an agent charges a holder for one attempt.

use crate::state::name;

/// Number of a receipt whose attempt is still running: nothing is charged yet, and `tokens` is the
/// most that the attempt may use.
pub const OPEN_NUMBER: u64 = 0;

/// A charge for one attempt; each agent numbers its receipts separately for each holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Increases by one with each receipt of a holder at an agent; [`OPEN_NUMBER`] while the
    /// attempt runs.
    pub number: u64,
    /// Request id.
    pub request: name::Name,
    /// Budget that is charged.
    pub budget: name::Name,
    /// Tokens charged for prompt and completion together.
    pub tokens: u64,
    /// False when the attempt certainly did not run.
    pub ran: bool,
}

impl Receipt {
    /// Whether the attempt has ended, so that `tokens` is its final charge.
    pub fn is_charged(&self) -> bool {
        self.number != OPEN_NUMBER
    }
}
