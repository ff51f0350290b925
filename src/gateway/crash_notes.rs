//! What a gateway has noted about requests that were running when backend servers crashed.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use crate::coordination::{crashes::resending, suspect, suspects};

/// Maximum number of counts in one message, which must not exceed the size limit of messages.
pub const MAX_REPORTS: usize = 40;

/// Suspects, and which gateway has been told of them.
#[derive(Default)]
pub struct CrashNotes {
    /// Suspects as this gateway knows them.
    pub suspects: RefCell<suspects::Suspects>,
    /// By `vm/incarnation`: the number of the last change that the gateway has been told of.
    pub told: RefCell<HashMap<String, u64>>,
    /// Gateways that did not take the counts.
    pub resending: RefCell<resending::Resending>,
    /// Notified when a count has changed here.
    pub changed: event_listener::Event,
    /// Notified when a request that was running at crashes has ended or may have been cleared.
    pub turns: event_listener::Event,
}

impl CrashNotes {
    /// Merges the counts of another gateway.
    pub fn merge(&self, reports: &[suspect::Report], now: Duration) {
        let mut suspects = self.suspects.borrow_mut();
        for report in reports {
            suspects.merge(report, now);
        }
        self.turns.notify(usize::MAX);
    }

    /// Counts for a gateway that has started; the highest come first.
    pub fn reports(&self, now: Duration) -> Vec<suspect::Report> {
        let suspects = self.suspects.borrow();
        suspects.highest(MAX_REPORTS, now)
    }
}
