//! Sockets, clocks and threads.

pub mod admin;
pub mod fleet_link;
pub mod handshake;
pub mod http;
pub mod links;
pub mod store;
pub mod timers;
pub mod vms;
pub mod workers;
