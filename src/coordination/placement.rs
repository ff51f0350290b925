//! Which backend server gets a request.
//!
//! Answers the load of many requests that share long parts of their prompts: every router ranks
//! the servers of a service in the same order for a part, so a part is read by one server without
//! talk between routers, and a server that has more than its share of this router's requests is
//! passed over so that a popular part does not overload it.

use std::{collections::HashMap, sync::Arc};

use crate::{
    coordination::rendezvous,
    state::{name, server},
};

/// Requests of this router at one server, relative to the mean, above which a shared part no
/// longer draws more there; a part read again costs about as much as two requests queued.
const BOUND_RATIO: f64 = 1.5;

/// Requests that a server may always have before it counts as loaded.
const BOUND_FLOOR: f64 = 4.0;

/// Requests of this router that run at each backend server.
#[derive(Debug, Default)]
pub struct Placement {
    running: HashMap<name::Name, u32>,
}

impl Placement {
    /// Notes that a request was sent to a server.
    pub fn begin(&mut self, id: &name::Name) {
        *self.running.entry(id.clone()).or_default() += 1;
    }

    /// Notes that a request at a server has ended.
    pub fn end(&mut self, id: &str) {
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        *running = running.saturating_sub(1);
        if *running == 0 {
            self.running.remove(id);
        }
    }

    /// Requests of this router at a server.
    pub fn running(&self, id: &str) -> u32 {
        self.running.get(id).copied().unwrap_or(0)
    }

    /// Chooses a server for a request; `part` is the last shared part of its prompt, `tie` breaks
    /// ties among plain servers.
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
        part: Option<u64>,
        tie: u64,
    ) -> Option<Arc<server::Server>> {
        match part {
            Some(part) => self.nearest_to_part(servers, part),
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

    fn nearest_to_part(
        &self,
        servers: &[Arc<server::Server>],
        part: u64,
    ) -> Option<Arc<server::Server>> {
        let total: u32 = servers.iter().map(|server| self.running(&server.id)).sum();
        let mean = f64::from(total) / servers.len().max(1) as f64;
        let bound = (mean * BOUND_RATIO).max(BOUND_FLOOR);
        let fits = |server: &&Arc<server::Server>| f64::from(self.running(&server.id)) < bound;
        let rank = |server: &&Arc<server::Server>| rendezvous::weight(&server.id, part);
        let nearest = servers.iter().filter(fits).max_by_key(rank);
        nearest
            .cloned()
            .or_else(|| self.least_loaded(servers, part))
    }
}
