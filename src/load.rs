//! An open-loop load tool that holds answers against what engines ran and budgets paid.

pub mod accounts;
pub mod answer;
pub mod exchange;
pub mod main;
pub mod options;
pub mod plan;
pub mod report;
pub mod runner;
pub mod tally;
