//! Small stand-ins for the platform and the backend servers, for trials and tests.

pub mod engine;
pub mod key_values;
pub mod main;
pub mod platform;
