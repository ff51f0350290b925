//! Shared immutable names.

use std::sync::Arc;

/// Name of an object, a VM or a zone; cloning shares the text.
pub type Name = Arc<str>;
