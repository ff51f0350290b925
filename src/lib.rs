//! Routers and agents that serve prepaid token budgets before a fleet of backend servers.
//!
//! The layers are [`transport`], [`protocol`], [`coordination`] and [`state`]; each may use
//! the ones after it. [`router`] and [`agent`] put them together.
#![warn(missing_docs)]

pub mod agent;
pub mod carrier;
pub mod code;
pub mod coordination;
pub mod ctl;
pub mod daemon;
pub mod error;
pub mod flags;
pub mod gateway;
pub mod load;
pub mod logging;
pub mod platform;
pub mod protocol;
pub mod router;
pub mod settings;
pub mod standin;
pub mod state;
pub mod transport;

use protocol::fleet_capnp;
