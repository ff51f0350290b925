//! The register of agents that routers give work to, one per service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::member;

/// Every agent incarnation of a service that may have been given work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRegistry {
    /// Agents by incarnation.
    pub agents: BTreeMap<member::Incarnation, member::Member>,
}
