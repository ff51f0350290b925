//! Members of the fleet: routers and agents.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Number that identifies one run of a process; each start has a new one.
pub type Incarnation = u64;

/// A running router or agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM name.
    pub name: name::Name,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// `IP:port` of the fleet listener.
    pub address: name::Name,
    /// Region of the VM.
    pub region: name::Name,
    /// Availability zone of the VM.
    pub zone: name::Name,
}
