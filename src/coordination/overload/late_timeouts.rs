//! Whether a call that got no answer in time counts against the other side.
//!
//! Handles gateways that handle their own events so late that calls to healthy peers and to the store
//! time out. Handles peers that are dead while the own gateway is late: they must be found too.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Lateness of the own process during a call, as a fraction of the call's time limit, from which on a
/// timeout does not count. A call takes up to four turns of the event loop: to connect, to send, and to
/// read the head and the body of the reply.
const LATE_FRACTION: u32 = 5;

/// Timeouts of one address in a row that do not count. A peer that fails to answer three times is dead
/// or as late as the own process, and not worth a call either way.
const MAX_EXCUSED: u32 = 2;

/// Number of addresses from which on all are forgotten, which excuses their next timeouts again. Gateways
/// and carriers are replaced, and one that is gone never answers.
const MAX_ADDRESSES: usize = 256;

/// Addresses at which calls timed out while the own process was late, with the number in a row.
#[derive(Debug, Default)]
pub struct LateTimeouts(HashMap<SocketAddr, u32>);

impl LateTimeouts {
    /// Records that a call got no answer within `limit`, during which the own process was late by up to
    /// `late`. Returns whether this counts against the other side.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::late_timeouts::LateTimeouts;
    /// let limit = Duration::from_millis(250);
    /// let (in_time, late) = (Duration::from_millis(3), Duration::from_millis(90));
    /// let peer = "10.0.0.1:7".parse().unwrap();
    /// let mut timeouts = LateTimeouts::default();
    /// assert!(timeouts.record(peer, limit, in_time));
    /// assert!(!timeouts.record(peer, limit, late));
    /// assert!(!timeouts.record(peer, limit, late));
    /// assert!(timeouts.record(peer, limit, late), "three in a row");
    /// timeouts.record_answer(peer);
    /// assert!(!timeouts.record(peer, limit, late));
    /// ```
    pub fn record(&mut self, address: SocketAddr, limit: Duration, late: Duration) -> bool {
        if self.0.len() >= MAX_ADDRESSES && !self.0.contains_key(&address) {
            self.0.clear();
        }
        let excused = self.0.entry(address).or_default();
        if late >= limit / LATE_FRACTION && *excused < MAX_EXCUSED {
            *excused += 1;
            return false;
        }
        self.0.remove(&address);
        true
    }

    /// Records that the other side answered.
    pub fn record_answer(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }
}
