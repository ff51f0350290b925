//! Decisions on keeping the configuration and the list of backend servers current.
//!
//! They decide how long a watch of the store lasts, which gateway confirms the knowledge of which
//! others, and when knowledge counts as outdated. They are based on the stable window of the settings,
//! the list of gateways, what the store and other gateways reported, and the time.

pub mod arrival;
pub mod confirmation;
pub mod fetch_batch;
pub mod leader_choice;
pub mod staleness;
pub mod watch_groups;
pub mod watch_pacing;
