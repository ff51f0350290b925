//! Stand-ins for the platform and for backend servers, for tests and benchmarks.
//!
//! `fulmar-standin` runs [`platform`], [`engine`] and [`plain`] as processes that routers and
//! agents talk to over HTTP. [`platform_store`] and [`scripted_server`] run inside tests of the
//! gateway.

pub mod batch;
pub mod counters;
pub mod crash;
pub mod delayed_list;
pub mod engine;
pub mod engine_run;
pub mod key_values;
pub mod load_report;
pub mod main;
pub mod orders;
pub mod plain;
pub mod platform;
pub mod platform_store;
pub mod prefix_cache;
pub mod reply;
pub mod scripted_server;
