//! Model routes: which pools serve the model or path that a request names.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Maps a model name, or a path prefix of a plain service, to pools of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route; callers pass it as the model name.
    pub name: name::Name,
    /// Model that the engines run; empty for a plain service.
    #[serde(default)]
    pub model: String,
    /// Path prefix of a plain service; empty for a model route.
    #[serde(default)]
    pub path: String,
    /// Pools that serve the route, in order of preference.
    pub pools: Vec<name::Name>,
    /// Priority; requests with a smaller number run first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Longest time from arrival to the last token, in seconds.
    pub deadline_seconds: u64,
    /// Maximum number of tokens in one answer; zero for a plain service.
    #[serde(default)]
    pub max_tokens: u64,
    /// Whether a request may be run again after a failure that leaves open whether it ran.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// Tokens charged for each request to a plain service.
    #[serde(default)]
    pub call_tokens: u64,
}

fn default_priority() -> u8 {
    1
}

fn yes() -> bool {
    true
}
