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
}

/// A configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version of the head that it was read under.
    pub version: u64,
    /// The objects.
    pub set: Arc<object_set::ObjectSet>,
}
