//! The platform's list of VMs, which lags behind what really runs.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM with a router.
    Router,
    /// A backend server VM with an agent.
    Agent,
}

/// Whether a VM is about to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// VM name.
    pub name: name::Name,
    /// What the VM runs.
    pub role: VmRole,
    /// `IP:port` of the fleet listener.
    pub address: name::Name,
    /// Region of the VM.
    pub region: name::Name,
    /// Availability zone of the VM.
    pub zone: name::Name,
    /// Whether the VM is about to go.
    pub state: VmState,
}
