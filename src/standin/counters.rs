//! Counters of the requests that an engine ran, refused or cancelled.

use std::{collections::HashMap, sync::Mutex};

use serde::Serialize;

/// Counters of an engine, shared between its requests.
#[derive(Debug, Default)]
pub struct Counters(Mutex<Counts>);

/// Values of the counters since the engine started, as `/counts` returns them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Tokens of prompts and answers together.
    pub tokens: u64,
    /// Number of runs by request id.
    pub runs: HashMap<String, u64>,
    /// Tokens of prompts and answers by request id.
    pub tokens_by_id: HashMap<String, u64>,
    /// Runs that generated their whole answer.
    pub finished: u64,
    /// Runs that ended early because the caller closed the connection.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Simulated crashes.
    pub crashes: u64,
    /// Runs whose prompt had a cached prefix.
    pub cache_hits: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens of all runs.
    pub prompt_tokens: u64,
}

impl Counters {
    /// Counts the start of a run with `prompt` prompt tokens, `cached` of them from the cache.
    pub fn record_start(&self, id: &str, prompt: u64, cached: u64) {
        let mut counts = self.0.lock().unwrap();
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        *counts.tokens_by_id.entry(id.to_owned()).or_default() += prompt;
        counts.tokens += prompt;
        counts.prompt_tokens += prompt;
        counts.cached_tokens += cached;
        counts.cache_hits += u64::from(cached > 0);
    }

    /// Counts one generated token.
    pub fn record_token(&self, id: &str) {
        let mut counts = self.0.lock().unwrap();
        counts.tokens += 1;
        if let Some(tokens) = counts.tokens_by_id.get_mut(id) {
            *tokens += 1;
        }
    }

    /// Changes several counters under one lock.
    pub fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.0.lock().unwrap());
    }

    /// A copy of all counters.
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
