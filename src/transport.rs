//! Connections to other processes, clocks and worker threads.

pub mod admin;
pub mod agent_rpc;
pub mod backend;
pub mod counting_stream;
pub mod dialler;
pub mod fleet;
pub mod fleet_link;
pub mod h1;
pub mod handshake;
pub mod http;
pub mod round_trips;
pub mod router_rpc;
pub mod runtime;
pub mod signals;
pub mod store;
pub mod timers;
pub mod traffic;
pub mod vms;
pub mod workers;
