//! Deliberately wrong behaviour, by which the checks prove that they can fail.

use std::sync::{Arc, Mutex};

/// One wrong behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store writes whether or not the condition of a write holds.
    IgnoredCompares,
    /// Receipts charge twice the tokens.
    DoubleCharge,
    /// Receipts charge nothing.
    MissingCharge,
    /// The ledger counts the shares of dead holders twice.
    DoubleWriteOff,
    /// Parts of answers are exchanged between requests.
    MixedAnswers,
    /// The second part of each answer is left out, and its length with it.
    TruncatedAnswers,
    /// Attempts that ran are reported as not run.
    DeniedRuns,
    /// An agent runs each attempt twice.
    RepeatedRuns,
    /// Nobody tells the routers that an agent is leaving.
    HiddenDrain,
    /// A process that is asked to stop ends at once.
    ImmediateStop,
    /// A router takes over an older configuration.
    RevertedConfig,
    /// One router never sees a newer configuration.
    StaleConfig,
}

/// The wrong behaviours that are switched on.
#[derive(Clone, Default)]
pub struct Faults(Arc<Mutex<Vec<Fault>>>);

impl Faults {
    /// Switches one on.
    pub fn add(&self, fault: Fault) {
        self.0.lock().unwrap().push(fault);
    }

    /// Switches one off; tells whether it was on.
    pub fn take(&self, fault: Fault) -> bool {
        let mut faults = self.0.lock().unwrap();
        let before = faults.len();
        faults.retain(|other| *other != fault);
        faults.len() < before
    }

    /// Whether one is switched on.
    pub fn is_on(&self, fault: Fault) -> bool {
        self.0.lock().unwrap().contains(&fault)
    }
}
