//! The set of fenced holders.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::member;

/// Fenced holders: agents refuse their work, so that their tokens can be settled. Holders are never
/// removed from the set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fences {
    /// Store revision at which the set was last read.
    #[serde(skip)]
    pub revision: u64,
    /// Fenced holders.
    pub holders: BTreeSet<member::Incarnation>,
}

impl Fences {
    /// Adds holders that were read at a store revision; returns whether the set or its revision
    /// changed.
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
