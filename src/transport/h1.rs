//! HTTP/1.1 over a socket for the gateway: exact ends of messages, surplus bytes, early answers.
//!
//! `httparse` parses; trillium hides when an answer ends, what follows it, and how a peer left.

pub mod accept;
pub mod body;
pub mod conn;
pub mod dial;
pub mod fault;
pub mod head;
pub mod idle_conns;
