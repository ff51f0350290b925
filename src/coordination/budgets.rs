//! Decisions on prepaid tokens at gateways.
//!
//! They decide how many tokens a gateway takes from a ledger, draws from other gateways and gives to
//! them. They are based on what it holds, the demand it has seen and what is left of the budget.

pub mod arrivals;
pub mod cover;
pub mod homes;
pub mod need;
pub mod share;
pub mod waiting;
