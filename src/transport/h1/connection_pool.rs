//! Pool of idle connections, kept open for further requests.

use std::{
    borrow::Borrow,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::transport::h1::conn;

/// Limit on the idle connections kept per address; a burst of more requests opens new ones.
const MAX_IDLE_PER_ADDRESS: usize = 64;

struct IdleConn<C> {
    conn: C,
    expires_at: Duration,
}

/// Idle connections by the address of the peer. `C` is a connection, or one with notes of its user.
pub struct ConnectionPool<C = conn::Conn> {
    idle: HashMap<SocketAddr, VecDeque<IdleConn<C>>>,
}

impl<C> Default for ConnectionPool<C> {
    fn default() -> Self {
        let idle = HashMap::new();
        Self { idle }
    }
}

impl<C: Borrow<conn::Conn>> ConnectionPool<C> {
    /// Takes the most recently used connection that has not expired and can be reused, among those that
    /// `admits` accepts. The others stay.
    pub fn take(
        &mut self,
        address: SocketAddr,
        now: Duration,
        admits: impl Fn(&C) -> bool,
    ) -> Option<C> {
        let found = self.take_idle(address, now, admits)?;
        Some(found.conn)
    }

    /// As [`Self::take`], for any connection; returns with it the time until which it may be kept.
    pub fn lend(&mut self, address: SocketAddr, now: Duration) -> Option<(C, Duration)> {
        let found = self.take_idle(address, now, |_| true)?;
        Some((found.conn, found.expires_at))
    }

    fn take_idle(
        &mut self,
        address: SocketAddr,
        now: Duration,
        admits: impl Fn(&C) -> bool,
    ) -> Option<IdleConn<C>> {
        let idle = self.idle.get_mut(&address)?;
        for at in (0..idle.len()).rev() {
            if !admits(&idle[at].conn) {
                continue;
            }
            let found = idle.remove(at)?;
            if found.expires_at > now && found.conn.borrow().is_reusable() {
                return Some(found);
            }
        }
        if idle.is_empty() {
            self.idle.remove(&address);
        }
        None
    }

    /// Whether there is an idle connection that has not expired; the peer may have closed it.
    pub fn has_idle(&self, address: SocketAddr, now: Duration) -> bool {
        let idle = self.idle.get(&address).and_then(VecDeque::back);
        idle.is_some_and(|idle| idle.expires_at > now)
    }

    /// Keeps a connection until `expires_at`; drops the oldest one of the address if there are
    /// too many.
    pub fn put(&mut self, address: SocketAddr, conn: C, expires_at: Duration) {
        let idle = self.idle.entry(address).or_default();
        if idle.len() >= MAX_IDLE_PER_ADDRESS {
            idle.pop_front();
        }
        idle.push_back(IdleConn { conn, expires_at });
    }

    /// Closes all idle connections to an address.
    pub fn close_all(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have expired or can no longer be reused; returns their number.
    pub fn sweep(&mut self, now: Duration) -> usize {
        let before = self.len();
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.expires_at > now && idle.conn.borrow().is_reusable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        before - self.len()
    }

    /// Closes the connections to all addresses but those that `keeps` accepts; returns their number.
    pub fn close_others(&mut self, keeps: impl Fn(SocketAddr) -> bool) -> usize {
        let before = self.len();
        self.idle.retain(|address, _| keeps(*address));
        before - self.len()
    }

    /// Number of connections.
    fn len(&self) -> usize {
        self.idle.values().map(VecDeque::len).sum()
    }
}
