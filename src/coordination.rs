//! Decisions: they take messages and a time, and open no socket and read no clock.

pub mod balance;
pub mod check;
pub mod covered;
pub mod escrow;
pub mod history;
pub mod membership;
pub mod orders;
pub mod publish;
pub mod receipt_log;
pub mod roster;
