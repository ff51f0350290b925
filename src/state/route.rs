//! Model routes: how a request names what it wants to run.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Maps a model name, or a path of a plain service, to pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route; callers give it as the model.
    pub name: name::Name,
    /// Model that the engines load; empty for a plain service.
    #[serde(default)]
    pub model: String,
    /// Path prefix of a plain service; empty for a model.
    #[serde(default)]
    pub path: String,
    /// Pools that serve the route, in order of preference.
    pub pools: Vec<name::Name>,
    /// Smaller runs first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Longest time from arrival to the last token, in seconds.
    pub deadline_seconds: u64,
    /// Most tokens that one answer may hold; zero for a plain service.
    #[serde(default)]
    pub max_tokens: u64,
    /// Whether a call may be run again after an unclear failure.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Tokens charged for a plain call.
    #[serde(default)]
    pub call_tokens: u64,
}

fn default_priority() -> u8 {
    1
}

fn yes() -> bool {
    true
}
