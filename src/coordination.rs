//! Decisions: they take messages and a time, and open no socket and read no clock.

pub mod account;
pub mod answers;
pub mod balance;
pub mod check;
pub mod claims;
pub mod closing;
pub mod covered;
pub mod crashes;
pub mod demand;
pub mod difference;
pub mod draw;
pub mod ejection;
pub mod escrow;
pub mod fair_queue;
pub mod history;
pub mod membership;
pub mod orders;
pub mod publish;
pub mod receipt_log;
pub mod refill;
pub mod rendezvous;
pub mod retry;
pub mod roster;
pub mod slots;
