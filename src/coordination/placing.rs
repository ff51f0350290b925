//! Decisions on the backend server that a request is sent to.
//!
//! They decide which of the servers of a service gets a request. They are based on the requests in
//! flight at each server, on the loads that servers report, and on the prompt, including the prefix
//! that a server may have cached.

pub mod cost;
pub mod engine_load;
pub mod event_pace;
pub mod explanation;
pub mod known;
pub mod load_sources;
pub mod load_subscribers;
pub mod placement;
pub mod prefix_servers;
pub mod server_load;
pub mod slot_time;
pub mod speed;
pub mod survey;
pub mod timeliness;
pub mod unseen;
