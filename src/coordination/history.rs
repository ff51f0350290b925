//! Versions of the configuration that a router has seen, and the changes between them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    coordination::config_chunks,
    error,
    state::{config, name, object_set},
};

/// Heads that a router keeps to work out changes for its peers.
pub const MAX_HEADS: usize = 64;

/// A configuration by its chunks.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Head of the version.
    pub head: config::Head,
    /// Chunks by digest.
    pub chunks: BTreeMap<String, object_set::ObjectSet>,
}

/// What one version changes against an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Version that the changes apply to; zero when the update is whole.
    pub base: u64,
    /// Version that results.
    pub version: u64,
    /// Publication id of that version.
    pub publish_id: String,
    /// Digests of new and changed chunks, by chunk name.
    pub changed: BTreeMap<name::Name, String>,
    /// Names of chunks that are gone.
    pub removed: Vec<name::Name>,
    /// Content of new and changed chunks, by digest.
    pub chunks: BTreeMap<String, object_set::ObjectSet>,
}

/// The last heads that were in force, oldest first.
#[derive(Clone, Debug, Default)]
pub struct History {
    heads: VecDeque<config::Head>,
}

impl History {
    /// Remembers a head; one that is not newer than the last changes nothing.
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

    /// Works out what `snapshot` changes against version `after`.
    ///
    /// The update is whole when that version is not kept any more.
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

/// Checks that a chunk has the content that its digest names.
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
        message: format!("the content of chunk {digest} has another digest"),
    })
}

impl Snapshot {
    /// Applies an update from a peer; `None` when it is not newer or has another base.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] names a chunk that is missing or has another content.
    pub fn apply(&self, update: Update) -> Result<Option<Self>, error::Error> {
        let fits = update.base == 0 || update.base == self.head.version;
        if update.version <= self.head.version || !fits {
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

    /// Collects the chunks of a head from this snapshot and, where it lacks one, from `more`.
    ///
    /// # Errors
    ///
    /// [`error::Error::Store`] names a chunk that is missing.
    pub fn collect(
        &self,
        head: &config::Head,
        more: impl Fn(&str) -> Option<object_set::ObjectSet>,
    ) -> Result<BTreeMap<String, object_set::ObjectSet>, error::Error> {
        let mut chunks = BTreeMap::new();
        for digest in head.chunks.values() {
            let known = self.chunks.get(digest).cloned();
            let Some(chunk) = known.or_else(|| more(digest)) else {
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
