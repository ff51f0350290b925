//! A published configuration and its place in the history.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::state::{name, object_set};

/// The head of the history: one value in the store, changed by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each publication.
    pub version: u64,
    /// Id of the publication, by which a lost reply is recognised.
    pub publish_id: String,
    /// SHA-256 digests of the chunks, by chunk name.
    pub chunks: BTreeMap<name::Name, String>,
    /// Ids of the publications before, newest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<String>,
}

/// Earlier publications whose ids a head keeps.
pub const MAX_EARLIER_IDS: usize = 32;

impl Head {
    /// Makes the head that follows this one.
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

    /// Id of the publication that made a version; `None` when it is not kept.
    ///
    /// ```
    /// let first = fulmarproxy::state::config::Head::default().next("a".to_owned(), Default::default());
    /// let second = first.next("b".to_owned(), Default::default());
    /// assert_eq!(second.publish_id_of(1), Some("a"));
    /// assert_eq!(second.publish_id_of(3), None);
    /// ```
    pub fn publish_id_of(&self, version: u64) -> Option<&str> {
        let back = self.version.checked_sub(version)?;
        match back {
            0 => Some(&self.publish_id),
            back => self.earlier.get(back as usize - 1).map(String::as_str),
        }
    }
}

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version of the head that it was read under.
    pub version: u64,
    /// The objects.
    pub set: Arc<object_set::ObjectSet>,
}
