//! Receipts: what an agent charges for one attempt.

use crate::state::name;

/// Number of an attempt that still runs: nothing is charged yet, and its tokens are its bound.
pub const OPEN: u64 = 0;

/// A charge for one attempt, numbered per holder at the agent that ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Grows by one per holder at this agent.
    pub number: u64,
    /// Request id.
    pub request: name::Name,
    /// Budget charged.
    pub budget: name::Name,
    /// Tokens charged, prompt and completion together.
    pub tokens: u64,
    /// False when the attempt certainly did not run.
    pub ran: bool,
}

impl Receipt {
    /// Whether the attempt has ended and this is its charge.
    pub fn is_charged(&self) -> bool {
        self.number != OPEN
    }
}
