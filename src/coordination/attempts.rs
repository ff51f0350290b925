//! Chooses the backend server for each attempt at a request, and decides whether a retry follows a
//! failed attempt.
//!
//! Handles servers that refuse a request because they are full or draining, servers that fail or
//! disappear while a caller waits, and requests that crash every server that runs them.

use std::sync::Arc;

use crate::state::{name, server};

/// Sends beyond [`Limits::max_runs`] for a request that has certainly not run anywhere yet. A
/// server that is full or draining refuses at once, and with two more sends most requests find one
/// that accepts.
const MAX_EXTRA_SENDS: u32 = 2;

/// Failed runs after which a request is not retried, whatever its route allows. The request may
/// be what crashes the servers, and the platform requires that it is stopped after the third.
const MAX_RUNS: u32 = 3;

/// Limits that the route of a request sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of runs.
    pub max_runs: u32,
    /// Whether the request may be retried when an earlier attempt may have run it.
    pub is_retryable: bool,
}

/// The attempts made for one request so far.
#[derive(Debug)]
pub struct Attempts {
    limits: Limits,
    tried: Vec<name::Name>,
    runs: u32,
}

impl Attempts {
    /// Starts with no attempts.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            runs: 0,
        }
    }

    /// Number of attempts made.
    pub fn count(&self) -> usize {
        self.tried.len()
    }

    /// Maximum number of further attempts, if none of them runs the request.
    ///
    /// ```
    /// use fulmarproxy::coordination::attempts;
    /// let limits = attempts::Limits { max_runs: 2, is_retryable: true };
    /// let mut attempts = attempts::Attempts::new(limits);
    /// attempts.record_send(&"i-1".into());
    /// assert_eq!(attempts.sends_left(), 3);
    /// ```
    pub fn sends_left(&self) -> u32 {
        self.max_sends().saturating_sub(self.tried.len() as u32)
    }

    fn max_sends(&self) -> u32 {
        self.limits.max_runs.saturating_add(MAX_EXTRA_SENDS)
    }

    /// Records that the request is sent to a server.
    pub fn record_send(&mut self, server: &name::Name) {
        self.tried.push(server.clone());
    }

    /// Records that the last attempt failed; returns whether another attempt is allowed.
    ///
    /// `not_run` is true when the last attempt certainly did not run the request, `may_have_run`
    /// when any of the attempts may have run it.
    ///
    /// ```
    /// use fulmarproxy::coordination::attempts;
    /// let limits = attempts::Limits { max_runs: 2, is_retryable: false };
    /// let mut attempts = attempts::Attempts::new(limits);
    /// attempts.record_send(&"i-1".into());
    /// assert!(attempts.record_failure(true, false), "it was refused");
    /// attempts.record_send(&"i-2".into());
    /// assert!(!attempts.record_failure(false, true), "it may run once");
    /// ```
    pub fn record_failure(&mut self, not_run: bool, may_have_run: bool) -> bool {
        self.runs += u32::from(!not_run);
        let max_runs = self.limits.max_runs.min(MAX_RUNS);
        // A request that is not retryable is retried only while it has certainly not run.
        let is_final = may_have_run && !self.limits.is_retryable;
        match not_run {
            _ if is_final => false,
            true => self.sends_left() > 0,
            false => self.runs < max_runs,
        }
    }

    /// Chooses with `pick`: among the untried servers that are healthy, else among all
    /// untried servers, else among all.
    ///
    /// ```
    /// use fulmarproxy::coordination::attempts;
    /// let limits = attempts::Limits { max_runs: 1, is_retryable: true };
    /// let attempts = attempts::Attempts::new(limits);
    /// assert!(attempts.choose_server(&[], |_| true, |ready| ready.first().cloned()).is_none());
    /// ```
    pub fn choose_server<T>(
        &self,
        ready: &[Arc<server::Server>],
        is_healthy: impl Fn(&str) -> bool,
        pick: impl Fn(&[Arc<server::Server>]) -> Option<T>,
    ) -> Option<T> {
        let mut untried = ready.to_vec();
        untried.retain(|server| !self.tried.contains(&server.id));
        let mut healthy = untried.clone();
        healthy.retain(|server| is_healthy(&server.id));
        pick(&healthy)
            .or_else(|| pick(&untried))
            .or_else(|| pick(ready))
    }
}
