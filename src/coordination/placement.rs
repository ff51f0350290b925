//! Chooses the backend server for a request.
//!
//! Many requests share long prompt prefixes, and a server that has processed a prefix once answers
//! further requests with it faster. Every router ranks the servers of a service for a prefix in the
//! same order, by rendezvous hashing, so requests with the same prefix reach the same server
//! without coordination between routers. A server that already runs more than its share of this
//! router's requests is skipped, so that a popular prefix does not overload it.

use std::{collections::HashMap, sync::Arc};

use crate::{
    coordination::rendezvous,
    state::{name, server},
};

/// Load of a server, relative to the mean over all servers, from which on requests with a prompt
/// prefix go elsewhere. Processing a prefix again on another server costs about as much as two
/// queued requests.
const MAX_RELATIVE_LOAD: f64 = 1.5;

/// Lower limit of the bound: a server with fewer requests than this never counts as loaded.
const MIN_LOAD_BOUND: f64 = 4.0;

/// Number of this router's requests in flight at each backend server.
#[derive(Debug, Default)]
pub struct Placement {
    running: HashMap<name::Name, u32>,
}

impl Placement {
    /// Counts a request that was sent to a server.
    pub fn begin(&mut self, id: &name::Name) {
        *self.running.entry(id.clone()).or_default() += 1;
    }

    /// Counts a request at a server that has ended.
    pub fn end(&mut self, id: &str) {
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(id);
        }
    }

    /// Number of this router's requests in flight at a server.
    pub fn running(&self, id: &str) -> u32 {
        self.running.get(id).copied().unwrap_or(0)
    }

    /// Chooses a server for a request.
    ///
    /// `prefix` is the id of the longest prefix of the prompt that other requests share. A request
    /// without one goes to the least loaded server; `tie` selects among equally loaded servers.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use fulmarproxy::{coordination::placement, state::server};
    /// let server = Arc::new(server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), slots: 1, takes_work: true, started_unix_ms: 0,
    /// });
    /// let chosen = placement::Placement::default().choose_server(&[server], Some(7), 0).unwrap();
    /// assert_eq!(&*chosen.id, "i-1");
    /// ```
    pub fn choose_server(
        &self,
        servers: &[Arc<server::Server>],
        prefix: Option<u64>,
        tie: u64,
    ) -> Option<Arc<server::Server>> {
        match prefix {
            Some(prefix) => self.highest_ranked(servers, prefix),
            None => self.least_loaded(servers, tie),
        }
    }

    fn least_loaded(
        &self,
        servers: &[Arc<server::Server>],
        tie: u64,
    ) -> Option<Arc<server::Server>> {
        let load = |server: &&Arc<server::Server>| {
            (
                self.running(&server.id),
                rendezvous::weight(&server.id, tie),
            )
        };
        servers.iter().min_by_key(load).cloned()
    }

    fn highest_ranked(
        &self,
        servers: &[Arc<server::Server>],
        prefix: u64,
    ) -> Option<Arc<server::Server>> {
        let total: u32 = servers.iter().map(|server| self.running(&server.id)).sum();
        let mean = f64::from(total) / servers.len().max(1) as f64;
        let bound = (mean * MAX_RELATIVE_LOAD).max(MIN_LOAD_BOUND);
        let is_below_bound =
            |server: &&Arc<server::Server>| f64::from(self.running(&server.id)) < bound;
        let rank = |server: &&Arc<server::Server>| rendezvous::weight(&server.id, prefix);
        let chosen = servers.iter().filter(is_below_bound).max_by_key(rank);
        chosen
            .cloned()
            .or_else(|| self.least_loaded(servers, prefix))
    }
}
