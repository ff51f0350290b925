//! Which attempts one request may make, and where the next one goes.
//!
//! Answers backend servers that turn requests away because they are full or leaving, that fail or
//! vanish while callers wait, and requests that crash every server that runs them.

use std::sync::Arc;

use crate::state::{name, server};

/// Extra sends of a request that certainly did not run anywhere yet: a server that is full or
/// leaving says so at once, and with two more most requests find one that is not.
const EXTRA_SENDS: u32 = 2;

/// Failed runs after which a request is not sent again, whatever its route allows: it may be what
/// crashes the servers, and the platform asks that it stops after the third.
const MOST_RUNS: u32 = 3;

/// What the route of a request allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Runs at most.
    pub max_runs: u32,
    /// Whether the request may run again after it may have run.
    pub is_repeatable: bool,
}

/// The attempts of one request so far.
#[derive(Debug)]
pub struct Attempts {
    limits: Limits,
    tried: Vec<name::Name>,
    runs: u32,
}

impl Attempts {
    /// No attempts yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            runs: 0,
        }
    }

    /// Attempts made.
    pub fn count(&self) -> usize {
        self.tried.len()
    }

    /// Notes that the request goes to a server.
    pub fn record_send(&mut self, server: &name::Name) {
        self.tried.push(server.clone());
    }

    /// Notes that the last attempt failed, and tells whether another one is allowed.
    ///
    /// `not_run` is true when it certainly did not run; `may_have_run` when any attempt may have.
    ///
    /// ```
    /// use fulmarproxy::coordination::attempts;
    /// let limits = attempts::Limits { max_runs: 2, is_repeatable: false };
    /// let mut attempts = attempts::Attempts::new(limits);
    /// attempts.record_send(&"i-1".into());
    /// assert!(attempts.record_failure(true, false), "it was turned away");
    /// attempts.record_send(&"i-2".into());
    /// assert!(!attempts.record_failure(false, true), "it may run once");
    /// ```
    pub fn record_failure(&mut self, not_run: bool, may_have_run: bool) -> bool {
        self.runs += u32::from(!not_run);
        let most = self.limits.max_runs.min(MOST_RUNS);
        // What cannot be repeated and has run anywhere is over.
        let is_over = may_have_run && !self.limits.is_repeatable;
        match not_run {
            _ if is_over => false,
            true => self.count() < (self.limits.max_runs + EXTRA_SENDS) as usize,
            false => self.runs < most,
        }
    }

    /// Chooses a server with `pick`: one that was not tried and is sound, else one that was not
    /// tried, else any.
    ///
    /// ```
    /// use fulmarproxy::coordination::attempts;
    /// let limits = attempts::Limits { max_runs: 1, is_repeatable: true };
    /// let attempts = attempts::Attempts::new(limits);
    /// assert!(attempts.choose_server(&[], |_| true, |ready| ready.first().cloned()).is_none());
    /// ```
    pub fn choose_server(
        &self,
        ready: &[Arc<server::Server>],
        is_sound: impl Fn(&str) -> bool,
        pick: impl Fn(&[Arc<server::Server>]) -> Option<Arc<server::Server>>,
    ) -> Option<Arc<server::Server>> {
        let mut fresh = ready.to_vec();
        fresh.retain(|server| !self.tried.contains(&server.id));
        let mut sound = fresh.clone();
        sound.retain(|server| is_sound(&server.id));
        pick(&sound)
            .or_else(|| pick(&fresh))
            .or_else(|| pick(ready))
    }
}
