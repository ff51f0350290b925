//! Backend servers as the platform lists them.

use std::net::SocketAddr;

use crate::state::{name, release};

/// A backend server in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Id of this run of the server; most restarts change it, but not all.
    pub id: name::Name,
    /// Service that the server belongs to.
    pub service: name::Name,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Version of the software that the server runs. Streams of different versions don't fit together.
    pub software: name::Name,
    /// Availability zone.
    pub zone: name::Name,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests; false while it is leaving.
    pub takes_work: bool,
    /// Start time of the process in Unix milliseconds; 0 when the list does not contain it.
    pub started_unix_ms: u64,
}

impl Server {
    /// Release that the server runs.
    pub fn release(&self) -> release::Release {
        release::Release::new(self.service.clone(), self.software.clone())
    }
}
