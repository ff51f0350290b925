//! Splits a set of configuration objects into chunks that are stored by their digests.
//!
//! The head of a version names its chunks, so a new version shares the unchanged ones with the
//! last.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::{
    error,
    state::{config, name, object_set},
};

/// Minimum number of chunks for each kind of object.
pub const MIN_CHUNKS: u64 = 16;

/// Maximum number of chunks for each kind of object.
pub const MAX_CHUNKS: u64 = 1024;

/// Mean number of objects per chunk above which the number of chunks grows.
pub const MAX_MEAN_OBJECTS_PER_CHUNK: u64 = 64;

/// The chunks of a set.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    /// Digest of each chunk, by chunk name.
    pub digests: BTreeMap<name::Name, String>,
    /// Content of each chunk, by digest.
    pub contents: BTreeMap<String, object_set::ObjectSet>,
}

/// SHA-256 digest of some bytes in lower-case hex.
///
/// ```
/// assert!(fulmarproxy::coordination::config_chunks::sha256_hex(b"").starts_with("e3b0c442"));
/// ```
pub fn sha256_hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Number of chunks for a number of objects. It is a power of two, so that it seldom changes: a
/// change moves objects to other chunks.
///
/// ```
/// use fulmarproxy::coordination::config_chunks;
/// assert_eq!(config_chunks::chunk_count(10), 16);
/// assert_eq!(config_chunks::chunk_count(44_000), 1024);
/// ```
pub fn chunk_count(objects: usize) -> u64 {
    let wanted = (objects as u64).div_ceil(MAX_MEAN_OBJECTS_PER_CHUNK);
    wanted.next_power_of_two().clamp(MIN_CHUNKS, MAX_CHUNKS)
}

fn chunk_name(kind: &str, object: &str, chunks: u64) -> name::Name {
    let number = xxhash_rust::xxh3::xxh3_64(object.as_bytes()) % chunks;
    format!("{kind}-{number}").into()
}

/// Splits a set into chunks; equal sets give equal digests.
///
/// ```
/// use fulmarproxy::{coordination::config_chunks, state::object_set};
/// let chunks = config_chunks::split(&object_set::ObjectSet::default()).unwrap();
/// assert!(chunks.digests.is_empty());
/// ```
///
/// # Errors
///
/// [`error::Error::StoreValue`] when an object cannot be written as JSON.
pub fn split(set: &object_set::ObjectSet) -> Result<Chunks, error::Error> {
    let mut parts: BTreeMap<name::Name, object_set::ObjectSet> = BTreeMap::new();
    let chunks = chunk_count(set.workspaces.len());
    for (name, object) in &set.workspaces {
        let part = parts
            .entry(chunk_name("workspace", name, chunks))
            .or_default();
        part.workspaces.insert(name.clone(), object.clone());
    }
    let chunks = chunk_count(set.budgets.len());
    for (name, object) in &set.budgets {
        let part = parts.entry(chunk_name("budget", name, chunks)).or_default();
        part.budgets.insert(name.clone(), object.clone());
    }
    let chunks = chunk_count(set.routes.len());
    for (name, object) in &set.routes {
        let part = parts.entry(chunk_name("route", name, chunks)).or_default();
        part.routes.insert(name.clone(), object.clone());
    }
    let chunks = chunk_count(set.pools.len());
    for (name, object) in &set.pools {
        let part = parts.entry(chunk_name("pool", name, chunks)).or_default();
        part.pools.insert(name.clone(), object.clone());
    }
    let mut chunks = Chunks::default();
    for (name, part) in parts {
        let bytes = serde_json::to_vec(&part).map_err(|source| error::Error::StoreValue {
            key: name.to_string(),
            source,
        })?;
        let digest = sha256_hex(&bytes);
        chunks.digests.insert(name, digest.clone());
        chunks.contents.insert(digest, part);
    }
    Ok(chunks)
}

/// Joins chunks to a whole set.
///
/// ```
/// use fulmarproxy::{coordination::config_chunks, state::object_set};
/// let set = config_chunks::join([object_set::ObjectSet::default()]);
/// assert_eq!(set, object_set::ObjectSet::default());
/// ```
pub fn join(parts: impl IntoIterator<Item = object_set::ObjectSet>) -> object_set::ObjectSet {
    let mut set = object_set::ObjectSet::default();
    for part in parts {
        set.workspaces.extend(part.workspaces);
        set.budgets.extend(part.budgets);
        set.routes.extend(part.routes);
        set.pools.extend(part.pools);
    }
    set
}

/// Digests of chunks that `head` names and that are not `known`.
///
/// ```
/// use fulmarproxy::{coordination::config_chunks, state::config};
/// assert!(config_chunks::missing_digests(&config::Head::default(), |_| false).is_empty());
/// ```
pub fn missing_digests(head: &config::Head, known: impl Fn(&str) -> bool) -> Vec<String> {
    head.chunks
        .values()
        .filter(|digest| !known(digest))
        .cloned()
        .collect()
}
