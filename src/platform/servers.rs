//! Entries in the platform's store with which backend servers register themselves.

use serde::Deserialize;

use crate::state::{name, server};

/// Prefix of the entries' keys; the rest of a key is the server's id.
pub const PREFIX: &str = "servers/";

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: String,
    zone: String,
    /// Version of the server's software.
    version: String,
    slots: Option<u32>,
    state: String,
    /// Start time of the process in Unix milliseconds.
    born: Option<u64>,
}

/// Decodes an entry; `None` when it does not parse, lacks the version of the server's software, or its
/// state is neither `ready` nor `draining`.
///
/// ```
/// use fulmarproxy::platform::servers;
/// let entry = br#"{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","state":"ready"}"#;
/// let server = servers::decode("servers/i-1", entry).unwrap();
/// assert!(server.takes_work && &*server.software == "v1");
/// assert!(servers::decode("servers/i-1", b"?").is_none());
/// ```
pub fn decode(key: &str, bytes: &[u8]) -> Option<server::Server> {
    let id = key.strip_prefix(PREFIX).filter(|id| !id.is_empty())?;
    let entry: Entry = serde_json::from_slice(bytes).ok()?;
    let takes_work = match entry.state.as_str() {
        "ready" => true,
        "draining" => false,
        _ => return None,
    };
    Some(server::Server {
        id: name::Name::from(id),
        service: name::Name::from(&*entry.service),
        address: entry.address.parse().ok()?,
        software: name::Name::from(&*entry.version),
        zone: name::Name::from(&*entry.zone),
        slots: entry.slots.unwrap_or(1),
        takes_work,
        started_unix_ms: entry.born.unwrap_or(0),
    })
}
