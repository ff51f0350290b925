//! Versions of the configuration that a router has seen, and updates that carry the changes between
//! them to its peers.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::config_chunks,
    error,
    state::{config, name, object_set},
};

/// Number of heads that a router keeps to compute updates for its peers.
pub const MAX_HEADS: usize = 64;

/// A version of the configuration with the content of its chunks.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Head of the version.
    pub head: config::Head,
    /// Chunks by digest.
    pub chunks: BTreeMap<String, object_set::ObjectSet>,
}

/// The changes from one version to a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the changes apply to; zero when the update holds the whole configuration.
    pub base: u64,
    /// Version that results.
    pub version: u64,
    /// Publication id of that version.
    pub publish_id: String,
    /// Digests of new and changed chunks, by chunk name.
    pub changed: BTreeMap<name::Name, String>,
    /// Names of removed chunks.
    pub removed: Vec<name::Name>,
    /// Content of new and changed chunks, by digest.
    pub chunks: BTreeMap<String, object_set::ObjectSet>,
}

/// The heads of the last versions that were in force, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    heads: VecDeque<config::Head>,
}

impl History {
    /// Adds a head; a head that is not newer than the last one is ignored.
    ///
    /// ```
    /// use fulmarproxy::{coordination::history, state::config};
    /// let mut history = history::History::default();
    /// history.push(config::Head { version: 2, ..Default::default() });
    /// assert!(history.head(2).is_some());
    /// ```
    pub fn push(&mut self, head: config::Head) {
        let newest = self.heads.back().map_or(0, |head| head.version);
        if head.version <= newest {
            return;
        }
        self.heads.push_back(head);
        if self.heads.len() > MAX_HEADS {
            self.heads.pop_front();
        }
    }

    /// Finds the head of a version.
    pub fn head(&self, version: u64) -> Option<&config::Head> {
        self.heads.iter().find(|head| head.version == version)
    }

    /// Computes the update from version `after` to `snapshot`.
    ///
    /// The update holds the whole configuration when that version is not kept any more.
    pub fn update(&self, after: u64, snapshot: &Snapshot) -> Update {
        let base = self.head(after);
        let empty = BTreeMap::new();
        let old = base.map_or(&empty, |head| &head.chunks);
        let new = &snapshot.head.chunks;
        let differs = |(name, digest): &(&name::Name, &String)| old.get(*name) != Some(*digest);
        let changed: BTreeMap<_, _> = new
            .iter()
            .filter(differs)
            .map(|(name, digest)| (name.clone(), digest.clone()))
            .collect();
        let gone = old.keys().filter(|name| !new.contains_key(*name));
        let content =
            |digest: &String| Some((digest.clone(), snapshot.chunks.get(digest)?.clone()));
        Update {
            base: base.map_or(0, |head| head.version),
            version: snapshot.head.version,
            publish_id: snapshot.head.publish_id.clone(),
            removed: gone.cloned().collect(),
            chunks: changed.values().filter_map(content).collect(),
            changed,
        }
    }
}

/// Checks that the content of a chunk matches its digest.
///
/// # Errors
///
/// [`error::Error::Store`] names the chunk.
///
/// ```
/// use fulmarproxy::coordination::{history, config_chunks};
/// let digest = config_chunks::sha256_hex(b"{}");
/// assert!(history::verify(&digest, b"{}").is_ok());
/// assert!(history::verify(&digest, b"[]").is_err());
/// ```
pub fn verify(digest: &str, content: &[u8]) -> Result<(), error::Error> {
    if config_chunks::sha256_hex(content) == digest {
        return Ok(());
    }
    Err(error::Error::Store {
        call: "get",
        message: format!("the content of chunk {digest} does not match its digest"),
    })
}

impl Snapshot {
    /// Applies an update from a peer; `None` when it is not newer or applies to another version.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] names a chunk that is missing or does not match its digest.
    pub fn apply(&self, update: Update) -> Result<Option<Self>, error::Error> {
        let base_matches = update.base == 0 || update.base == self.head.version;
        if update.version <= self.head.version || !base_matches {
            return Ok(None);
        }
        for (digest, chunk) in &update.chunks {
            verify(digest, &serde_json::to_vec(chunk).unwrap_or_default())?;
        }
        let mut digests = match update.base {
            0 => BTreeMap::new(),
            _ => self.head.chunks.clone(),
        };
        for name in &update.removed {
            digests.remove(name);
        }
        digests.extend(update.changed);
        let head = config::Head {
            version: update.version,
            publish_id: update.publish_id,
            chunks: digests,
            earlier: Vec::new(),
        };
        let chunks = self.collect(&head, |digest| update.chunks.get(digest).cloned())?;
        Ok(Some(Self { head, chunks }))
    }

    /// Collects the chunks of a head from this snapshot; `find_missing` supplies those it lacks.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] names a chunk that is missing.
    pub fn collect(
        &self,
        head: &config::Head,
        find_missing: impl Fn(&str) -> Option<object_set::ObjectSet>,
    ) -> Result<BTreeMap<String, object_set::ObjectSet>, error::Error> {
        let mut chunks = BTreeMap::new();
        for digest in head.chunks.values() {
            let known = self.chunks.get(digest).cloned();
            let Some(chunk) = known.or_else(|| find_missing(digest)) else {
                let message = format!("chunk {digest} of version {} is missing", head.version);
                return Err(error::Error::Store {
                    call: "get",
                    message,
                });
            };
            chunks.insert(digest.clone(), chunk);
        }
        Ok(chunks)
    }
}
