//! Workspaces: the operator's customers.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// A customer's workspace, with the API keys that its callers present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: name::Name,
    /// Budget that the workspace's requests are charged to.
    pub budget: name::Name,
    /// SHA-256 digests of the API keys, in lower-case hex.
    pub keys: Vec<String>,
    /// Model routes that the workspace may use.
    pub routes: Vec<name::Name>,
    /// Share of a pool's capacity under contention, relative to other workspaces.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}
