//! Decisions on clients that exceed limits, and on requests that exceed what servers take.
//!
//! They decide which connection of a caller is closed when there are too many, and when a body cannot or must
//! not be read to its end. They are based on the number and the state of the connections, on the bytes
//! received, the time left, the bandwidth of the link, and the values that a body contains. They also decide
//! how many requests a gateway sends to a plain service at a time, from the rejections of its servers.

pub mod body_pace;
pub mod callers;
pub mod concurrency;
pub mod json_values;
pub mod retry_after;
pub mod service_queue;
