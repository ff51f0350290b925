//! Prepaid budgets in the published configuration.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// A prepaid budget. Its total is absolute, not an increment, so publishing it twice adds nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the budget.
    pub name: name::Name,
    /// Total number of tokens ever paid for.
    pub prepaid_tokens: u64,
    /// Seconds for which a router should be able to serve requests without the store.
    #[serde(default = "default_autonomy")]
    pub autonomy_seconds: u64,
}

fn default_autonomy() -> u64 {
    600
}
