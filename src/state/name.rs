//! Shared immutable names.

use std::sync::Arc;

/// Name of an object, a VM or an availability zone; clones share the same text.
pub type Name = Arc<str>;
