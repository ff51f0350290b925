//! A bounded cache of prompt prefixes, least recently used first out.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3;

/// Words of a prompt that one cached block covers.
pub const BLOCK_WORDS: usize = 16;

/// Prefixes that are still in memory.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Makes a cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Looks a prompt up and keeps it; returns how many of its first words were cached.
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

fn chain_hash(previous: u64, block: &[&str]) -> u64 {
    block.iter().fold(previous, |hash, word| {
        xxh3::xxh3_64_with_seed(word.as_bytes(), hash)
    })
}
