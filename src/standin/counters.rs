//! What an engine ran, refused and lost.

use std::{collections::HashMap, sync::Mutex};

use serde::Serialize;

/// Counters of an engine.
#[derive(Debug, Default)]
pub struct Counters(Mutex<Counts>);

/// Figures of an engine since it started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Tokens of prompts and answers.
    pub tokens: u64,
    /// Runs by request id.
    pub runs: HashMap<String, u64>,
    /// Tokens by request id.
    pub tokens_by_id: HashMap<String, u64>,
    /// Runs that made their whole answer.
    pub finished: u64,
    /// Runs that ended because the connection went away.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Crashes.
    pub crashes: u64,
    /// Prompts with a cached prefix.
    pub cache_hits: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
}

impl Counters {
    /// Counters the begin of a run.
    pub fn record_start(&self, id: &str, prompt: u64, cached: u64) {
        let mut counts = self.0.lock().unwrap();
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        *counts.tokens_by_id.entry(id.to_owned()).or_default() += prompt;
        counts.tokens += prompt;
        counts.prompt_tokens += prompt;
        counts.cached_tokens += cached;
        counts.cache_hits += u64::from(cached > 0);
    }

    /// Counters one token of an answer.
    pub fn record_token(&self, id: &str) {
        let mut counts = self.0.lock().unwrap();
        counts.tokens += 1;
        if let Some(tokens) = counts.tokens_by_id.get_mut(id) {
            *tokens += 1;
        }
    }

    /// Changes figures under their lock.
    pub fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.0.lock().unwrap());
    }

    /// All figures.
    ///
    /// ```
    /// let counters = fulmarproxy::standin::counters::Counters::default();
    /// counters.record_start("req-1", 5, 0);
    /// counters.record_token("req-1");
    /// assert_eq!(counters.snapshot().tokens_by_id["req-1"], 6);
    /// ```
    pub fn snapshot(&self) -> Counts {
        self.0.lock().unwrap().clone()
    }
}
