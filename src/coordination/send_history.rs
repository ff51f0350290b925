//! Requests that a connection to a backend server has carried.
//!
//! Handles servers that answer twice, late, or without the id of the request.

use crate::coordination::crashes;

/// Maximum number of requests that one connection carries; limits the memory of its history.
const MAX_SENDS: usize = 256;

/// Requests that a connection to a backend server has carried.
#[derive(Debug, Default)]
pub struct SendHistory {
    /// Hashes of the requests' ids.
    ids: Vec<u64>,
}

fn hash(id: &str) -> u64 {
    crashes::fingerprint(id, &[])
}

impl SendHistory {
    /// Records that a request with this id is sent; empty for a request without one.
    pub fn record_send(&mut self, id: &str) {
        self.ids.push(hash(id));
    }

    /// Number of requests sent.
    pub fn sends(&self) -> usize {
        self.ids.len()
    }

    /// Whether a request with this id may be sent: an id is sent once, so that an answer which names it
    /// is the answer to that send, however late it comes and however often.
    ///
    /// ```
    /// use fulmarproxy::coordination::send_history;
    /// let mut history = send_history::SendHistory::default();
    /// history.record_send("r1");
    /// assert!(!history.admits("r1") && history.admits("r2"));
    /// ```
    pub fn admits(&self, id: &str) -> bool {
        self.sends() < MAX_SENDS && !self.ids.contains(&hash(id))
    }
}
