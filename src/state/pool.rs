//! Pools of backend servers.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// What a pool's backend servers run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolKind {
    /// Model engines behind the chat completions API.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: name::Name,
    /// Services whose backend servers belong to the pool.
    pub services: Vec<name::Name>,
    /// What the backend servers run.
    pub kind: PoolKind,
    /// Whether the engines themselves check fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Minimum number of backend servers that keep serving while orders are carried out.
    #[serde(default)]
    pub min_serving: u32,
    /// Models that every engine of the pool should have loaded.
    #[serde(default)]
    pub models: Vec<String>,
}
