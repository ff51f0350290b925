//! Calls that the platform makes to this system.

/// Path at which the platform asks whether this process takes callers.
pub const PATH: &str = "/readiness";
