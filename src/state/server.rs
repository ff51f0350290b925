//! A backend server as the platform lists it.

use std::net::SocketAddr;

use crate::state::name;

/// A listed backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Id of this start of the server; new at most restarts.
    pub id: name::Name,
    /// Service that it belongs to.
    pub service: name::Name,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: name::Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work, rather than leaving.
    pub takes_work: bool,
    /// Start of the process, in Unix milliseconds; 0 when it does not say.
    pub started_unix_ms: u64,
}
