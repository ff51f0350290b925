//! Prepaid budgets.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// A prepaid budget; the total is absolute, so publishing it twice adds nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the budget.
    pub name: name::Name,
    /// All tokens ever paid for.
    pub prepaid_tokens: u64,
    /// Time that a router should be able to live without the store, in seconds.
    #[serde(default = "default_autonomy")]
    pub autonomy_seconds: u64,
}

fn default_autonomy() -> u64 {
    600
}
