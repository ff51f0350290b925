//! Routers and agents in front of a fleet of backend servers. They place callers' requests on the
//! servers and charge them to prepaid token budgets.
//!
//! The layers are, from the top, [`platform`], [`transport`], [`protocol`], [`coordination`] and
//! [`state`]. Each may use the layers below it, but none above. The processes, such as [`router`],
//! [`agent`], [`gateway`] and [`carrier`], are built on top of them.
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
