//! Message types: calls between routers and agents, and the HTTP APIs of engines and the platform.

pub mod chat;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::nursery, clippy::pedantic, unused_qualifications)]
pub mod fleet_capnp;
pub mod kv;
pub mod load_datagram;
pub mod messages;
pub mod run;
pub mod vm_list;
pub mod wire;
