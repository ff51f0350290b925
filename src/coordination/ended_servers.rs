//! Backend servers whose processes have ended while the platform still lists them.
//!
//! Handles a server that starts again under its id, at its address, with other software: until the
//! platform lists the new process, requests to that address reach software that nobody knows.

use std::{collections::HashMap, time::Duration};

use crate::state::{name, server};

/// Processes that have ended, and when this was seen.
#[derive(Debug, Default)]
pub struct EndedServers {
    ended: HashMap<(name::Name, u64), Duration>,
}

impl EndedServers {
    /// Records that a server's process has ended.
    pub fn record(&mut self, server: &server::Server, now: Duration) {
        let process = (server.id.clone(), server.started_unix_ms);
        self.ended.insert(process, now);
    }

    /// Whether the process of a server's entry has ended. An entry of which the platform says at
    /// `confirmed_at` that it still exists has a process, if the process was seen to end more than
    /// `lapse` before, the time within which the platform removes the entries of ended processes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::{coordination::ended_servers, state::server};
    /// let server = server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 5,
    /// };
    /// let second = Duration::from_secs(1);
    /// let mut ended = ended_servers::EndedServers::default();
    /// ended.record(&server, second);
    /// assert!(ended.has_ended(&server, 2 * second, 5 * second));
    /// assert!(!ended.has_ended(&server, 6 * second, 5 * second));
    /// let restarted = server::Server { started_unix_ms: 9, ..server };
    /// assert!(!ended.has_ended(&restarted, 2 * second, 5 * second));
    /// ```
    pub fn has_ended(
        &self,
        server: &server::Server,
        confirmed_at: Duration,
        lapse: Duration,
    ) -> bool {
        if self.ended.is_empty() {
            return false;
        }
        let process = (server.id.clone(), server.started_unix_ms);
        let seen = self.ended.get(&process);
        seen.is_some_and(|seen| confirmed_at < *seen + lapse)
    }

    /// Forgets the processes that [`Self::has_ended`] does not tell from running ones any more, as the
    /// platform says at `confirmed_at` that their entries still exist.
    pub fn forget_before(&mut self, confirmed_at: Duration, lapse: Duration) {
        self.ended.retain(|_, seen| confirmed_at < *seen + lapse);
    }

    /// Forgets the processes of a server that is no longer listed.
    pub fn forget(&mut self, id: &str) {
        self.ended.retain(|(ended, _), _| &**ended != id);
    }
}
