//! The readiness check, with which the platform asks a gateway whether it accepts callers.

/// Path of the readiness check.
pub const PATH: &str = "/readiness";
