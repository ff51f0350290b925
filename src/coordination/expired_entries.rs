//! Backend servers whose entries expired during store outages, until it is known whether they are
//! listed again.
//!
//! Handles outages that follow each other faster than servers write their entries again: each
//! server keeps the time that its own outage gives it.

use std::{sync::Arc, time::Duration};

use crate::state::server;

/// The servers that wait, each with the time at which its entry must be back.
#[derive(Default)]
pub struct ExpiredEntries {
    waiting: Vec<(Duration, Arc<server::Server>)>,
}

impl ExpiredEntries {
    /// Adds a server whose entry must be back at `due`; a time that the server had already is
    /// replaced. Returns whether no server was waiting, so that nothing watches the due times yet.
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use fulmarproxy::{coordination::expired_entries, state::server};
    /// let server = |id: &str| {
    ///     Arc::new(server::Server {
    ///         id: id.into(),
    ///         service: "model".into(),
    ///         address: "10.0.0.1:80".parse().unwrap(),
    ///         software: "v1".into(),
    ///         zone: "a".into(),
    ///         slots: 8,
    ///         takes_work: true,
    ///         started_unix_ms: 0,
    ///     })
    /// };
    /// let mut expired = expired_entries::ExpiredEntries::default();
    /// assert!(expired.add(server("i-1"), Duration::from_secs(2)));
    /// assert!(!expired.add(server("i-2"), Duration::from_secs(3)));
    /// assert_eq!(expired.next_due(), Some(Duration::from_secs(2)));
    /// assert_eq!(expired.take_due(Duration::from_secs(2)), [server("i-1")]);
    /// assert_eq!(expired.next_due(), Some(Duration::from_secs(3)));
    /// ```
    pub fn add(&mut self, server: Arc<server::Server>, due: Duration) -> bool {
        let was_empty = self.waiting.is_empty();
        self.waiting.retain(|(_, waiting)| waiting.id != server.id);
        self.waiting.push((due, server));
        was_empty
    }

    /// Earliest time at which a server's entry must be back; `None` when no server waits.
    pub fn next_due(&self) -> Option<Duration> {
        self.waiting.iter().map(|(due, _)| *due).min()
    }

    /// Takes the servers whose entries must be back by now.
    pub fn take_due(&mut self, now: Duration) -> Vec<Arc<server::Server>> {
        let due = self.waiting.extract_if(.., |(due, _)| *due <= now);
        due.map(|(_, server)| server).collect()
    }
}
