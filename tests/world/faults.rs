//! Faults that `tests/mutants.rs` injects to prove that each check detects a violation.

use std::sync::{Arc, Mutex};

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The store executes writes whose compares do not hold.
    IgnoredCompares,
    /// Receipts charge twice the tokens that were used.
    DoubleCharge,
    /// Receipts charge no tokens.
    MissingCharge,
    /// The ledger books the shares of dead holders as spent, besides what was settled for them.
    DoubleWriteOff,
    /// Parts of answers are swapped between requests.
    MixedAnswers,
    /// The second part of each answer is dropped, and the reported length reduced to match.
    TruncatedAnswers,
    /// Failed attempts that ran are reported as not run.
    DeniedRuns,
    /// An engine runs each attempt twice.
    RepeatedRuns,
    /// A drain reaches neither the agent nor the list of VMs, so that routers do not learn of it.
    HiddenDrain,
    /// A process that is asked to stop ends at once, with requests in flight.
    ImmediateStop,
    /// Routers revert to the first configuration after they followed a newer one.
    RevertedConfig,
    /// Every VM is served the store's first values for good, so that no router sees a newer
    /// configuration.
    StaleConfig,
}

/// The injected faults.
#[derive(Clone, Default)]
pub struct Faults(Arc<Mutex<Vec<Fault>>>);

impl Faults {
    /// Injects a fault.
    pub fn add(&self, fault: Fault) {
        self.0.lock().unwrap().push(fault);
    }

    /// Removes a fault; returns whether it was injected.
    pub fn take(&self, fault: Fault) -> bool {
        let mut faults = self.0.lock().unwrap();
        let before = faults.len();
        faults.retain(|other| *other != fault);
        faults.len() < before
    }

    /// Whether a fault is injected.
    pub fn is_on(&self, fault: Fault) -> bool {
        self.0.lock().unwrap().contains(&fault)
    }
}
