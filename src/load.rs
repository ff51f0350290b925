//! Load generator with an open loop: requests are sent at their planned times, however slowly earlier
//! ones are answered.
//!
//! Besides latencies it reports faults in the answers and compares the tokens that the engines ran
//! with the tokens that the budgets were billed for.

pub mod accounts;
pub mod answer;
pub mod exchange;
pub mod main;
pub mod options;
pub mod plan;
pub mod report;
pub mod runner;
pub mod tally;
