//! Decisions of a gateway that is short of processor time or bandwidth.
//!
//! They decide how long events of streams are collected, which new requests are refused, whether the
//! gateway takes new connections, and whether a call without an answer counts against the other side. They
//! are based on how late the gateway's own timers fire, on the use of its link, on the target latencies of
//! the routes in use and on how busy other gateways are.

pub mod batching;
pub mod lag;
pub mod late_timeouts;
pub mod lateness;
pub mod link_use;
pub mod own_delay;
pub mod peer_load;
pub mod refusing;
pub mod rotation;
