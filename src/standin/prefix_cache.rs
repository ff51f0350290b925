//! Simulated prefix cache of an engine: a bounded set of prompt prefixes with eviction of the least
//! recently used.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3;

/// Number of words of a prompt in one cached block.
pub const BLOCK_WORDS: usize = 16;

/// Cached blocks. A block is identified by the hash of the prompt up to its end, so that it matches
/// only after the same prefix.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    /// Counts uses; orders them in time.
    clock: u64,
    /// Clock of the last use, by block hash.
    last_used: HashMap<u64, u64>,
    /// Block hashes, by clock of the last use.
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Looks up a prompt and adds its full blocks; returns how many of its first words were cached.
    ///
    /// ```
    /// use fulmarproxy::standin::prefix_cache;
    /// let mut cache = prefix_cache::PrefixCache::new(8);
    /// let words = vec!["again"; prefix_cache::BLOCK_WORDS + 1];
    /// assert_eq!(cache.lookup_and_insert(&words), 0);
    /// assert_eq!(cache.lookup_and_insert(&words), prefix_cache::BLOCK_WORDS);
    /// ```
    pub fn lookup_and_insert(&mut self, words: &[&str]) -> usize {
        let mut hash = 0;
        let mut cached = 0;
        let mut missed = false;
        for block in words.chunks_exact(BLOCK_WORDS) {
            hash = chain_hash(hash, block);
            missed |= !self.last_used.contains_key(&hash);
            if !missed {
                cached += BLOCK_WORDS;
            }
            self.touch(hash);
        }
        cached
    }

    /// Adds a block or marks it as used, and evicts the blocks beyond the capacity.
    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_used.insert(hash, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, hash);
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&oldest);
        }
    }
}

/// Hash of a block that follows a prefix with the hash `previous`.
fn chain_hash(previous: u64, block: &[&str]) -> u64 {
    block.iter().fold(previous, |hash, word| {
        xxh3::xxh3_64_with_seed(word.as_bytes(), hash)
    })
}
