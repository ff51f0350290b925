//! Several real routers and agents in one process, on a virtual clock, with fakes at their edges.
//!
//! [`script`] reads a scenario, [`play`] carries it out, [`checks`] watches the promises.
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
