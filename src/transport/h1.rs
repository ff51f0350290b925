//! HTTP/1.1 over a TCP socket, for the gateway.
//!
//! The gateway must know exactly where a message ends, which bytes follow it, whether a response
//! arrived before the request was sent, and how the peer closed the connection. trillium hides
//! all of these, so this module parses messages with `httparse` on its own.

pub mod accept;
pub mod body;
pub mod conn;
pub mod connection_pool;
pub mod dial;
pub mod fault;
pub mod head;
