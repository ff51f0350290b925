//! What the platform speaks: names, formats, headers and calls. Nothing here decides.

pub mod configuration;
pub mod headers;
pub mod readiness;
pub mod servers;
pub mod settings;
pub mod store;
mod store_wire;
