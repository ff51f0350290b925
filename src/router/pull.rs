//! One attempt as the router reads it: a lost connection is resumed, nothing runs again.

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

const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// Time beyond the deadline after which an agent's word on the outcome is not waited for.
const LATE: Duration = Duration::from_secs(2);

/// An attempt under way.
pub struct Pull {
    router: Arc<Router>,
    agent: member::Member,
    id: name::Name,
    attempt: fleet::Attempt,
    offset: u64,
    lost_since: Option<timers::Now>,
    until: timers::Now,
    abandoned: bool,
    place: Option<Arc<queue::Place>>,
}

/// What an attempt gave next.
pub enum Next {
    /// The next bytes of the answer.
    Chunk(Vec<u8>),
    /// The attempt has ended.
    End(run::RunOutcome),
}

impl Pull {
    /// Reads an attempt at `agent` that must end by `deadline`.
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
            lost_since: None,
            until: deadline + LATE,
            abandoned: false,
            place: None,
        }
    }

    /// Keeps the request's place until the attempt has ended.
    pub fn hold(&mut self, place: Arc<queue::Place>) {
        self.place = Some(place);
    }

    /// Waits for the next bytes or the end.
    pub async fn next(&mut self) -> Next {
        let timers = self.router.runtime.timers.clone();
        let left = self.until.saturating_sub(timers.now());
        let next = timers.within(left, self.try_next()).await;
        next.unwrap_or_else(|| {
            let mut late = fleet::lost_attempt("the deadline passed with no word from the agent");
            late.code = Code::DeadlinePassed;
            Next::End(late)
        })
    }

    /// Waits for the end and drops what arrives before it.
    pub async fn end(&mut self) -> run::RunOutcome {
        loop {
            if let Next::End(outcome) = self.next().await {
                return outcome;
            }
            counter!("fulmar_late_chunks").increment(1);
        }
    }

    /// Reads no more of the answer; only its end matters from now on.
    pub fn abandon(&mut self) {
        self.abandoned = true;
        self.attempt.chunks.close();
    }

    /// Tells the agent that nobody will come back for the answer.
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
            router.runtime.timers.within(LATE, sent).await;
        });
    }

    async fn try_next(&mut self) -> Next {
        loop {
            if let Ok(chunk) = self.attempt.chunks.recv().await {
                self.offset += chunk.len() as u64;
                self.lost_since = None;
                return Next::Chunk(chunk);
            }
            let outcome = self.attempt.outcome.recv().await;
            let outcome =
                outcome.unwrap_or_else(|_| fleet::lost_attempt("the connection was lost"));
            if !self.is_cut_off(&outcome) {
                return Next::End(outcome);
            }
            if !self.resume().await {
                return Next::End(fleet::lost_attempt("the agent cannot be reached"));
            }
        }
    }

    /// Whether the agent may still have the rest of the answer.
    fn is_cut_off(&self, outcome: &run::RunOutcome) -> bool {
        match outcome.code {
            Code::Ok => outcome.length > self.offset && !self.abandoned,
            Code::AgentLost => true,
            Code::NoBackend => self.lost_since.is_some(),
            _ => false,
        }
    }

    /// Asks for the rest of the answer; false when the agent has been gone for too long.
    async fn resume(&mut self) -> bool {
        let timers = &self.router.runtime.timers;
        let since = *self.lost_since.get_or_insert(timers.now());
        if timers.now().saturating_sub(since) >= answers::RESUME_TIMEOUT {
            return false;
        }
        timers.sleep(RESUME_PAUSE).await;
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
