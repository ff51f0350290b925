//! Small stand-ins for the platform and the backend servers, for trials and tests.

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
