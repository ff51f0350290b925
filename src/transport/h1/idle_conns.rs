//! Idle connections that may carry another request.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use crate::transport::h1::conn;

/// Idle connections kept for one address; a burst beyond it dials anew.
const MAX_IDLE_PER_ADDRESS: usize = 64;

struct Idle {
    conn: conn::Conn,
    until: Duration,
}

/// Idle connections by address.
#[derive(Default)]
pub struct IdleConns {
    idle: HashMap<SocketAddr, VecDeque<Idle>>,
}

impl IdleConns {
    /// Takes the connection that was used last, if one is still sound.
    pub fn take(&mut self, address: SocketAddr, now: Duration) -> Option<conn::Conn> {
        let idle = self.idle.get_mut(&address)?;
        while let Some(found) = idle.pop_back() {
            if found.until > now && found.conn.is_reusable() {
                return Some(found.conn);
            }
        }
        self.idle.remove(&address);
        None
    }

    /// Keeps a connection until a time.
    pub fn put(&mut self, address: SocketAddr, conn: conn::Conn, until: Duration) {
        let idle = self.idle.entry(address).or_default();
        if idle.len() >= MAX_IDLE_PER_ADDRESS {
            idle.pop_front();
        }
        idle.push_back(Idle { conn, until });
    }

    /// Closes connections whose time has passed or that are no longer sound.
    pub fn sweep(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|idle| idle.until > now && idle.conn.is_reusable());
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
