//! The platform's list of VMs. It may lag behind the VMs that really run.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Which process a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A router; the VM is an entry VM.
    Router,
    /// An agent, beside a backend server.
    Agent,
}

/// State of a VM in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed by the platform.
    Leaving,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// VM name.
    pub name: name::Name,
    /// Which process the VM runs.
    pub role: VmRole,
    /// `IP:port` at which the process listens for other members of the fleet.
    pub address: name::Name,
    /// Region of the VM.
    pub region: name::Name,
    /// Availability zone of the VM.
    pub zone: name::Name,
    /// Whether the VM is in service or about to be removed.
    pub state: VmState,
}
