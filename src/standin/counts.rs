//! What an engine ran, refused and lost.

use std::{collections::HashMap, sync::Mutex};

use serde::Serialize;

/// Counters of an engine.
#[derive(Debug, Default)]
pub struct Counts(Mutex<Totals>);

/// Figures of an engine since it started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Totals {
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

impl Counts {
    /// Counts the begin of a run.
    pub fn begin(&self, id: &str, prompt: u64, cached: u64) {
        let mut totals = self.0.lock().unwrap();
        *totals.runs.entry(id.to_owned()).or_default() += 1;
        *totals.tokens_by_id.entry(id.to_owned()).or_default() += prompt;
        totals.tokens += prompt;
        totals.prompt_tokens += prompt;
        totals.cached_tokens += cached;
        totals.cache_hits += u64::from(cached > 0);
    }

    /// Counts one token of an answer.
    pub fn token(&self, id: &str) {
        let mut totals = self.0.lock().unwrap();
        totals.tokens += 1;
        if let Some(tokens) = totals.tokens_by_id.get_mut(id) {
            *tokens += 1;
        }
    }

    /// Changes figures under their lock.
    pub fn with(&self, change: impl FnOnce(&mut Totals)) {
        change(&mut self.0.lock().unwrap());
    }

    /// All figures.
    ///
    /// ```
    /// let counts = fulmarproxy::standin::counts::Counts::default();
    /// counts.begin("req-1", 5, 0);
    /// counts.token("req-1");
    /// assert_eq!(counts.totals().tokens_by_id["req-1"], 6);
    /// ```
    pub fn totals(&self) -> Totals {
        self.0.lock().unwrap().clone()
    }
}
