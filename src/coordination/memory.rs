//! Decisions on the memory that requests and responses may hold in a process.
//!
//! They decide which bytes are admitted, which unfinished body is ended when they run short, and how a buffer
//! grows. They are based on the memory and the descriptors of the VM, on the bytes held and on the time since
//! a client last sent or took some.

pub mod account;
pub mod growth;
pub mod plan;
