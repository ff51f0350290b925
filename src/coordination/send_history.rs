//! Requests that a connection to a backend server has carried.
//!
//! Handles servers that answer twice, late, or without the id of the request.

use std::collections::HashSet;

use crate::coordination::crashes;

/// Requests that a connection to a backend server has carried.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Hashes of the requests' ids.
    ids: HashSet<u64>,
    sends: u32,
}

fn hash(id: &str) -> u64 {
    crashes::fingerprint(id, &[])
}

impl SendHistory {
    /// Records that a request with this id is sent; empty for a request without one.
    pub fn record_send(&mut self, id: &str) {
        self.ids.insert(hash(id));
        self.sends += 1;
    }

    /// Number of requests sent.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether a request with this id was sent before.
    ///
    /// ```
    /// use fulmarproxy::coordination::send_history;
    /// let mut history = send_history::SendHistory::default();
    /// history.record_send("r1");
    /// assert!(history.has_carried("r1") && !history.has_carried("r2"));
    /// ```
    pub fn has_carried(&self, id: &str) -> bool {
        self.ids.contains(&hash(id))
    }
}
