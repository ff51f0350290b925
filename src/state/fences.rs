//! The list of fenced holders.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::member;

/// Holders whose work no agent runs; the list only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences {
    /// Revision of the store that the list was read at.
    #[serde(skip)]
    pub revision: u64,
    /// Fenced holders.
    pub holders: BTreeSet<member::Incarnation>,
}

impl Fences {
    /// Takes over a list unless it is older; returns whether anything changed.
    ///
    /// ```
    /// let mut fences = fulmarproxy::state::fences::Fences::default();
    /// assert!(fences.merge(3, [7]));
    /// assert!(!fences.merge(2, [7]));
    /// ```
    pub fn merge(
        &mut self,
        revision: u64,
        holders: impl IntoIterator<Item = member::Incarnation>,
    ) -> bool {
        let before = (self.revision, self.holders.len());
        self.holders.extend(holders);
        self.revision = self.revision.max(revision);
        before != (self.revision, self.holders.len())
    }
}
