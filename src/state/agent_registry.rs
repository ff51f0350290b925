//! The registry of agents that routers send work to; the store holds one per service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::member;

/// All agent incarnations of a service that may have received work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRegistry {
    /// Agents by incarnation.
    pub agents: BTreeMap<member::Incarnation, member::Member>,
}
