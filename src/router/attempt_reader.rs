//! Reads the answer of one attempt from an agent. After a lost connection it asks the agent for the
//! rest of the answer; the request does not run again.

use std::{sync::Arc, time::Duration};

use metrics::counter;

use crate::{
    code::Code,
    coordination::answers,
    protocol::{messages, run},
    router::{Router, queue},
    state::{member, name},
    transport::{fleet, timers},
};

/// Delay before each try to resume an answer.
const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Time after the deadline during which the agent may still report the outcome; also the time limit
/// of a call that cancels the attempt.
const OUTCOME_GRACE: Duration = Duration::from_secs(2);

/// Reader of the answer of one running attempt.
pub struct AttemptReader {
    router: Arc<Router>,
    agent: member::Member,
    id: name::Name,
    attempt: fleet::Attempt,
    /// Bytes of the answer received so far.
    offset: u64,
    /// Time since which no bytes have arrived because the connection was lost.
    disconnected_since: Option<timers::Now>,
    /// Time after which the outcome is not waited for any more.
    give_up_at: timers::Now,
    abandoned: bool,
    permit: Option<Arc<queue::Permit>>,
}

/// What the reader received next from an attempt.
pub enum AttemptEvent {
    /// The next bytes of the answer.
    Chunk(Vec<u8>),
    /// The attempt has ended.
    End(run::RunOutcome),
}

impl AttemptReader {
    /// Reads the answer of an attempt at `agent` that must end by `deadline`.
    pub fn new(
        router: Arc<Router>,
        agent: member::Member,
        id: name::Name,
        attempt: fleet::Attempt,
        deadline: timers::Now,
    ) -> Self {
        Self {
            router,
            agent,
            id,
            attempt,
            offset: 0,
            disconnected_since: None,
            give_up_at: deadline + OUTCOME_GRACE,
            abandoned: false,
            permit: None,
        }
    }

    /// Keeps the request's permit until this reader is dropped.
    pub fn hold(&mut self, permit: Arc<queue::Permit>) {
        self.permit = Some(permit);
    }

    /// Waits for the next bytes or the end, at most until shortly after the deadline.
    pub async fn next(&mut self) -> AttemptEvent {
        let timers = self.router.runtime.timers.clone();
        let remaining = self.give_up_at.saturating_sub(timers.now());
        let next = timers.within(remaining, self.try_next()).await;
        next.unwrap_or_else(|| {
            let mut overdue =
                fleet::lost_attempt("the deadline passed with no word from the agent");
            overdue.code = Code::DeadlinePassed;
            AttemptEvent::End(overdue)
        })
    }

    /// Waits for the end of the attempt and discards the bytes that arrive before it.
    pub async fn end(&mut self) -> run::RunOutcome {
        loop {
            if let AttemptEvent::End(outcome) = self.next().await {
                return outcome;
            }
            counter!("fulmar_late_chunks").increment(1);
        }
    }

    /// Stops receiving bytes of the answer; from now on only its outcome is of use.
    pub fn abandon(&mut self) {
        self.abandoned = true;
        self.attempt.chunks.close();
    }

    /// Asks the agent to cancel the attempt, because no caller will ask for the answer again.
    pub fn cancel(&self) {
        let call = messages::AgentCall::Cancel {
            agent: self.agent.incarnation,
            id: self.id.clone(),
            attempt: 0,
        };
        let router = self.router.clone();
        let address = self.agent.address.clone();
        self.router.runtime.spawn(async move {
            let sent = (router.fleet.agent)(address, call);
            router.runtime.timers.within(OUTCOME_GRACE, sent).await;
        });
    }

    /// Waits for the next event without a time limit, and resumes the answer after a lost
    /// connection.
    async fn try_next(&mut self) -> AttemptEvent {
        loop {
            if let Ok(chunk) = self.attempt.chunks.recv().await {
                self.offset += chunk.len() as u64;
                self.disconnected_since = None;
                return AttemptEvent::Chunk(chunk);
            }
            let outcome = self.attempt.outcome.recv().await;
            let outcome =
                outcome.unwrap_or_else(|_| fleet::lost_attempt("the connection was lost"));
            if !self.can_resume(&outcome) {
                return AttemptEvent::End(outcome);
            }
            if !self.resume().await {
                return AttemptEvent::End(fleet::lost_attempt("the agent cannot be reached"));
            }
        }
    }

    /// Whether the agent may still have more of the answer although this reader's connection has
    /// ended.
    fn can_resume(&self, outcome: &run::RunOutcome) -> bool {
        match outcome.code {
            Code::Ok => outcome.length > self.offset && !self.abandoned,
            Code::AgentLost => true,
            Code::NoBackend => self.disconnected_since.is_some(),
            _ => false,
        }
    }

    /// Asks the agent for the rest of the answer; false when it has been unreachable for longer
    /// than [`answers::RESUME_TIMEOUT`].
    async fn resume(&mut self) -> bool {
        let timers = &self.router.runtime.timers;
        let since = *self.disconnected_since.get_or_insert(timers.now());
        if timers.now().saturating_sub(since) >= answers::RESUME_TIMEOUT {
            return false;
        }
        timers.sleep(RESUME_DELAY).await;
        counter!("fulmar_resumes").increment(1);
        let resume = messages::Resume {
            agent: self.agent.incarnation,
            id: self.id.clone(),
            offset: self.offset,
            holder: self.router.member.incarnation,
        };
        self.attempt = (self.router.fleet.resume)(self.agent.address.clone(), resume);
        true
    }
}
