//! Requests that a connection to a backend server has carried, and to which of them an answer belongs.
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

/// The request to which an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The newest request on the connection.
    Newest,
    /// Another one.
    Other,
    /// Any of them: the answer names no request, and the connection has carried several.
    Uncertain,
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
    /// is the answer to that send, however late it comes and however often. A request without an id is
    /// sent only as the first one.
    ///
    /// ```
    /// use fulmarproxy::coordination::send_history;
    /// let mut history = send_history::SendHistory::default();
    /// history.record_send("r1");
    /// assert!(!history.admits("r1") && history.admits("r2"));
    /// ```
    pub fn admits(&self, id: &str) -> bool {
        let is_named = !id.is_empty() || self.ids.is_empty();
        is_named && self.sends() < MAX_SENDS && !self.ids.contains(&hash(id))
    }

    /// The request to which an answer belongs that names the request `named`; `id` is the id of the newest
    /// request.
    ///
    /// ```
    /// use fulmarproxy::coordination::send_history::{Owner, SendHistory};
    /// let mut history = SendHistory::default();
    /// history.record_send("r1");
    /// assert_eq!(history.owner("r1", None), Owner::Newest);
    /// history.record_send("r2");
    /// assert_eq!(history.owner("r2", Some("r2")), Owner::Newest);
    /// assert_eq!(history.owner("r2", Some("r1")), Owner::Other);
    /// assert_eq!(history.owner("r2", None), Owner::Uncertain);
    /// ```
    pub fn owner(&self, id: &str, named: Option<&str>) -> Owner {
        match named {
            Some(named) if named == id => Owner::Newest,
            Some(_) => Owner::Other,
            None if self.sends() <= 1 => Owner::Newest,
            None => Owner::Uncertain,
        }
    }
}
