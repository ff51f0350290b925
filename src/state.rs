//! Plain data types shared by all layers: configuration objects, ledgers and receipts.

pub mod agent_registry;
pub mod budget;
pub mod config;
pub mod deployment;
pub mod fences;
pub mod holder_record;
pub mod ledger;
pub mod member;
pub mod name;
pub mod object_set;
pub mod pool;
pub mod receipt;
pub mod release;
pub mod route;
pub mod server;
pub mod share_ledger;
pub mod workspace;
