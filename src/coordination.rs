//! Decisions: they take messages and a time, and open no socket and read no clock.

pub mod answers;
pub mod balance;
pub mod check;
pub mod claims;
pub mod covered;
pub mod crashes;
pub mod ejection;
pub mod escrow;
pub mod publish;
pub mod receipt_log;
pub mod rendezvous;
pub mod retry;
pub mod roster;
pub mod slots;
