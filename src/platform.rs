//! Interfaces of the platform that places gateways and carriers: the settings file, the readiness
//! check, the headers, described requests, the load report of an engine, and the key-value store with the configuration and
//! the server entries in it.
//!
//! These modules decode and encode; how to act on the data is decided by their callers.

pub mod configuration;
pub mod described_request;
pub mod engine_report;
pub mod headers;
pub mod readiness;
pub mod servers;
pub mod settings;
pub mod store;
mod store_call;
mod store_wire;
