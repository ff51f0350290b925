//! Fencing of holders (routers that hold tokens), and guards that make sure that every attempt that
//! may have run is charged.

use std::sync::atomic::Ordering;

use crate::{
    agent::Agent,
    code::Code,
    coordination::receipt_log,
    protocol::run,
    state::{member, name},
};

/// Guard of an attempt that has begun. If it is dropped without [`end`](Self::end), the full
/// reservation is charged.
pub struct ChargeGuard<'a> {
    agent: &'a Agent,
    holder: member::Incarnation,
    request: name::Name,
    attempt: u32,
    open: Option<receipt_log::OpenAttempt>,
}

/// Registers the beginning of an attempt.
///
/// # Errors
///
/// An outcome that states why the attempt must not run: its holder is fenced, the request was given
/// up, or the same attempt is running already.
pub fn begin_attempt<'a>(
    agent: &'a Agent,
    req: &run::RunRequest,
) -> Result<ChargeGuard<'a>, run::RunOutcome> {
    let open = receipt_log::OpenAttempt {
        budget: req.budget.clone(),
        bound: req.bound,
    };
    let mut receipts = agent.receipts.lock().unwrap();
    let begun = receipts.begin(req.holder, req.id.clone(), req.attempt, open.clone());
    begun.map_err(begin_error_outcome)?;
    Ok(ChargeGuard {
        agent,
        holder: req.holder,
        request: req.id.clone(),
        attempt: req.attempt,
        open: Some(open),
    })
}

fn begin_error_outcome(error: receipt_log::BeginError) -> run::RunOutcome {
    let (code, message) = match error {
        receipt_log::BeginError::Fenced => (Code::Fenced, "the holder is fenced"),
        receipt_log::BeginError::Forbidden => (Code::CallerGone, "the request was given up"),
        receipt_log::BeginError::AlreadyRunning => (Code::Overloaded, "the attempt runs already"),
    };
    run::RunOutcome::not_run(code, message)
}

impl ChargeGuard<'_> {
    /// Ends the attempt without a further charge: its receipt has been issued, or it did not run.
    pub fn end(mut self) {
        self.open = None;
    }
}

impl Drop for ChargeGuard<'_> {
    fn drop(&mut self) {
        let mut receipts = self.agent.receipts.lock().unwrap();
        if let Some(open) = self.open.take() {
            let request = self.request.clone();
            receipts.charge(self.holder, request, open.budget, open.bound);
        }
        receipts.end(self.holder, &self.request, self.attempt);
    }
}

impl Agent {
    /// Adds holders whose attempts are refused from now on, and records the revision of the fences.
    pub fn fence(&self, revision: u64, holders: &[member::Incarnation]) {
        let mut receipts = self.receipts.lock().unwrap();
        receipts.fence_holders(holders.iter().copied());
        self.fence_revision.fetch_max(revision, Ordering::Relaxed);
    }

    /// Refuses every further attempt of a request, because it was cancelled.
    pub fn forbid(&self, request: name::Name) {
        self.receipts.lock().unwrap().forbid_request(request);
    }
}
