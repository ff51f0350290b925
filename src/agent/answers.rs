//! The answers that an agent keeps, with signals for the tasks that wait for new bytes, for free
//! space or for a cancellation.

use std::{collections::BTreeMap, sync::Mutex};

use crate::{
    agent::Agent,
    code::Code,
    coordination::answers::{self, BeginOutcome, Read},
    protocol::run,
    state::name,
};

/// Limit on the memory for kept answers, in bytes.
const MAX_MEMORY_BYTES: usize = 64 << 20;

/// Channels that wake the tasks waiting for one running answer.
struct Signals {
    /// Wakes readers when bytes were added, and the writer when a reader has moved on.
    changed: Vec<async_channel::Sender<()>>,
    /// Cancels the request.
    cancel: async_channel::Sender<()>,
}

/// The kept answers and their signals.
///
/// Code that holds both locks acquires `kept` before `signals`, to avoid deadlocks.
pub struct Answers {
    kept: Mutex<answers::Answers<run::RunOutcome>>,
    signals: Mutex<BTreeMap<name::Name, Signals>>,
}

impl Default for Answers {
    fn default() -> Self {
        Self {
            kept: Mutex::new(answers::Answers::new(MAX_MEMORY_BYTES)),
            signals: Mutex::default(),
        }
    }
}

impl Answers {
    /// Calls `change` with the kept answers, under their lock.
    pub fn with_kept<T>(
        &self,
        change: impl FnOnce(&mut answers::Answers<run::RunOutcome>) -> T,
    ) -> T {
        change(&mut self.kept.lock().unwrap())
    }

    /// Whether an answer is kept under the request's idempotency key.
    pub fn contains_key_of(&self, req: &run::RunRequest) -> bool {
        key_of(req).is_some_and(|key| self.with_kept(|kept| kept.contains_key(&key)))
    }

    /// Begins the answer of a request. The returned receiver gets a message when the request is to
    /// be cancelled.
    ///
    /// # Errors
    ///
    /// Any [`BeginOutcome`] other than [`BeginOutcome::Run`]: the request must not run.
    pub fn begin(
        &self,
        req: &run::RunRequest,
        now: std::time::Duration,
    ) -> Result<async_channel::Receiver<()>, BeginOutcome> {
        let key = key_of(req);
        let mut kept = self.kept.lock().unwrap();
        match kept.begin(&req.id, key, req.fingerprint, now) {
            BeginOutcome::Run => {
                let (cancel, cancelled) = async_channel::bounded(1);
                let changed = Vec::new();
                let signals = Signals { changed, cancel };
                self.signals.lock().unwrap().insert(req.id.clone(), signals);
                Ok(cancelled)
            }
            other => Err(other),
        }
    }

    /// Adds bytes to an answer, then waits while it is too far ahead of its readers.
    pub async fn append(&self, id: &name::Name, data: &[u8]) {
        let changed = self.subscribe(id);
        self.with_kept(|kept| kept.append(id, data));
        self.notify(id);
        while !self.with_kept(|kept| kept.has_room(id)) && changed.recv().await.is_ok() {}
    }

    /// Ends an answer; a successful one stays available for repeats of its idempotency key.
    pub fn finish(&self, id: &name::Name, outcome: run::RunOutcome, now: std::time::Duration) {
        let keep_key = outcome.code == Code::Ok;
        self.with_kept(|kept| kept.finish(id, outcome, keep_key, now));
        self.signals.lock().unwrap().remove(id);
    }

    /// Cancels abandoned requests and drops expired answers.
    ///
    /// A request is abandoned when nobody reads its answer and its router has cancelled it or the
    /// grace period is over.
    pub fn sweep(&self, now: std::time::Duration) {
        let abandoned = self.with_kept(|kept| {
            kept.expire(now);
            kept.abandoned(now)
        });
        let signals = self.signals.lock().unwrap();
        for signals in abandoned.iter().filter_map(|id| signals.get(id)) {
            let _ = signals.cancel.try_send(());
        }
    }

    /// Cancels a request if it is abandoned.
    fn cancel_abandoned(&self, id: &str, now: std::time::Duration) {
        if !self.with_kept(|kept| kept.is_abandoned(id, now)) {
            return;
        }
        if let Some(signals) = self.signals.lock().unwrap().get(id) {
            let _ = signals.cancel.try_send(());
        }
    }

    /// Returns a receiver that gets a message after each change of a running answer; it is closed
    /// when the answer has ended.
    fn subscribe(&self, id: &str) -> async_channel::Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        if let Some(signals) = self.signals.lock().unwrap().get_mut(id) {
            signals.changed.retain(|tx| !tx.is_closed());
            signals.changed.push(tx);
        }
        rx
    }

    /// Wakes all tasks that wait for a change of an answer.
    fn notify(&self, id: &str) {
        if let Some(signals) = self.signals.lock().unwrap().get(id) {
            for tx in &signals.changed {
                let _ = tx.try_send(());
            }
        }
    }
}

fn key_of(req: &run::RunRequest) -> Option<answers::Key> {
    (!req.key.is_empty()).then(|| answers::Key {
        workspace: req.workspace.clone(),
        key: req.key.clone(),
    })
}

/// Guard that counts a reader of an answer until it is dropped.
struct Reader<'a> {
    agent: &'a Agent,
    id: &'a name::Name,
}

impl<'a> Reader<'a> {
    fn attach(agent: &'a Agent, id: &'a name::Name) -> Option<Self> {
        let attached = agent.answers.with_kept(|kept| kept.attach(id));
        attached.then_some(Self { agent, id })
    }
}

impl Drop for Reader<'_> {
    fn drop(&mut self) {
        let now = self.agent.runtime.timers.now();
        let answers = &self.agent.answers;
        answers.with_kept(|kept| kept.detach(self.id, now));
        answers.notify(self.id);
        answers.cancel_abandoned(self.id, now);
    }
}

/// Sends the bytes of an answer from `offset` on to `tx` as they arrive, and returns its outcome.
///
/// When `tx` is closed this stops counting as a reader, but still waits for the outcome.
pub async fn stream_from(
    agent: &Agent,
    id: &name::Name,
    mut offset: u64,
    tx: &async_channel::Sender<Vec<u8>>,
) -> run::RunOutcome {
    let changed = agent.answers.subscribe(id);
    let mut reader = Reader::attach(agent, id);
    loop {
        match agent.answers.with_kept(|kept| kept.read(id, offset)) {
            Read::Data(data) => {
                agent.answers.notify(id);
                offset += data.len() as u64;
                if reader.is_some() && tx.send(data).await.is_err() {
                    reader = None;
                }
            }
            Read::End(outcome) => return outcome,
            Read::Wait => {
                let _ = changed.recv().await;
            }
            Read::Gone => return not_kept(id),
        }
    }
}

/// Outcome for an answer that is not kept: whether its request ran is not known here.
fn not_kept(id: &str) -> run::RunOutcome {
    let mut outcome =
        run::RunOutcome::not_run(Code::Internal, format!("the answer to {id} is not kept"));
    outcome.ran = true;
    outcome
}
