//! Published configurations and the head of their history.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::state::{name, object_set};

/// The newest entry of the configuration history: one value in the store, changed by
/// compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version; increases by one with each publication.
    pub version: u64,
    /// Id of the publication; shows a publisher whose reply was lost that its write took effect.
    pub publish_id: String,
    /// SHA-256 digests of the chunks, by chunk name.
    pub chunks: BTreeMap<name::Name, String>,
    /// Ids of earlier publications, newest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<String>,
}

/// Number of earlier publication ids that a head keeps.
pub const MAX_EARLIER_IDS: usize = 32;

impl Head {
    /// Returns the head of the next publication.
    ///
    /// ```
    /// let head = fulmarproxy::state::config::Head::default();
    /// assert_eq!(head.next("id".to_owned(), Default::default()).version, 1);
    /// ```
    pub fn next(&self, publish_id: String, chunks: BTreeMap<name::Name, String>) -> Self {
        let mut earlier = vec![self.publish_id.clone()];
        earlier.extend(self.earlier.iter().take(MAX_EARLIER_IDS - 1).cloned());
        Self {
            version: self.version + 1,
            publish_id,
            chunks,
            earlier,
        }
    }

    /// Id of the publication that created a version; `None` when the version is newer than this
    /// head or its id is no longer kept.
    ///
    /// ```
    /// let first = fulmarproxy::state::config::Head::default().next("a".to_owned(), Default::default());
    /// let second = first.next("b".to_owned(), Default::default());
    /// assert_eq!(second.publish_id_of(1), Some("a"));
    /// assert_eq!(second.publish_id_of(3), None);
    /// ```
    pub fn publish_id_of(&self, version: u64) -> Option<&str> {
        let age = self.version.checked_sub(version)?;
        match age {
            0 => Some(&self.publish_id),
            age => self.earlier.get(age as usize - 1).map(String::as_str),
        }
    }
}

/// A configuration in use.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version of the head that the objects were read from.
    pub version: u64,
    /// The configured objects.
    pub set: Arc<object_set::ObjectSet>,
}
