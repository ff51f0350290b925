//! What an agent promises to holders of tokens, and the attempts that it answers for.

use std::sync::atomic::Ordering;

use crate::{
    agent::Agent,
    code::Code,
    coordination::receipt_log,
    protocol::run,
    state::{member, name},
};

/// An attempt that has begun; dropped before its end it is charged in full.
pub struct OpenAttempt<'a> {
    agent: &'a Agent,
    holder: member::Incarnation,
    request: name::Name,
    attempt: u32,
    open: Option<receipt_log::OpenAttempt>,
}

/// Lets an attempt begin, or tells why it does not run.
pub fn open<'a>(
    agent: &'a Agent,
    req: &run::RunRequest,
) -> Result<OpenAttempt<'a>, run::RunOutcome> {
    let open = receipt_log::OpenAttempt {
        budget: req.budget.clone(),
        bound: req.bound,
    };
    let mut receipts = agent.receipts.lock().unwrap();
    let begun = receipts.begin(req.holder, req.id.clone(), req.attempt, open.clone());
    begun.map_err(refused)?;
    Ok(OpenAttempt {
        agent,
        holder: req.holder,
        request: req.id.clone(),
        attempt: req.attempt,
        open: Some(open),
    })
}

fn refused(barred: receipt_log::BeginError) -> run::RunOutcome {
    let (code, message) = match barred {
        receipt_log::BeginError::Fenced => (Code::Fenced, "the holder is fenced"),
        receipt_log::BeginError::Forbidden => (Code::CallerGone, "the request was given up"),
        receipt_log::BeginError::Repeated => (Code::Overloaded, "the attempt runs already"),
    };
    run::RunOutcome::not_run(code, message)
}

impl OpenAttempt<'_> {
    /// Ends the attempt after its charge was numbered, or when it did not run.
    pub fn end(mut self) {
        self.open = None;
    }
}

impl Drop for OpenAttempt<'_> {
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
    /// Refuses work of more holders from now on.
    pub fn fence(&self, revision: u64, holders: &[member::Incarnation]) {
        let mut receipts = self.receipts.lock().unwrap();
        receipts.fence_holders(holders.iter().copied());
        self.fences.fetch_max(revision, Ordering::Relaxed);
    }

    /// Begins no attempt of a request from now on.
    pub fn forbid(&self, request: name::Name) {
        self.receipts.lock().unwrap().forbid_request(request);
    }
}
