//! A deterministic simulation of a fleet: real routers and agents in one process, on a virtual
//! clock, with a simulated network, platform, engines and callers.
//!
//! [`script`] parses a scenario, [`play`] executes it, [`checks`] verifies the guarantees that hold
//! in every scenario and [`expects`] the expectations that a scenario states itself.
// Each of the two test binaries and the example uses only a part of the module.
#![allow(dead_code)]

pub mod callers;
pub mod checks;
pub mod clock;
pub mod engine;
pub mod expects;
pub mod faults;
pub mod links;
pub mod members;
pub mod objects;
pub mod platform;
pub mod play;
pub mod random;
pub mod script;
