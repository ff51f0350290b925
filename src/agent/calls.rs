//! Calls to an agent, besides attempts.

use std::sync::atomic::Ordering;

use crate::{
    agent::{Agent, answers, orders},
    code::Code,
    coordination::roster,
    protocol::{messages, run},
    state::member,
};

impl Agent {
    /// Answers a call; [`messages::AgentReply::Done`] when another incarnation is meant.
    pub async fn handle(&self, call: messages::AgentCall) -> messages::AgentReply {
        match call {
            messages::AgentCall::Receipts {
                agent,
                holder,
                after,
            } if self.is(agent) => {
                let receipts = self.receipts.lock().unwrap().receipts_after(holder, after);
                messages::AgentReply::Receipts(receipts)
            }
            messages::AgentCall::Fence {
                agent,
                revision,
                holders,
            } if self.is(agent) => {
                self.fence(revision, &holders);
                messages::AgentReply::Fenced(self.fences.load(Ordering::Relaxed))
            }
            messages::AgentCall::Ping { versions } => {
                self.config.fetch_max(versions.config, Ordering::Relaxed);
                messages::AgentReply::Pong {
                    member: self.member.clone(),
                    load: self.load(),
                    versions: self.versions(),
                }
            }
            messages::AgentCall::Cancel { agent, id, .. } if self.is(agent) => {
                self.answers.with(|kept| kept.cancel(&id));
                self.forbid(id);
                self.answers.sweep(self.runtime.timers.now());
                messages::AgentReply::Done
            }
            messages::AgentCall::Drain { on } => {
                self.draining.store(on, Ordering::Relaxed);
                messages::AgentReply::Done
            }
            messages::AgentCall::Order(order) => {
                messages::AgentReply::Ordered(orders::take(self, order).await)
            }
            _ => messages::AgentReply::Done,
        }
    }

    /// Sends the rest of an answer that is kept.
    pub async fn resume(
        &self,
        resume: messages::Resume,
        tx: async_channel::Sender<Vec<u8>>,
    ) -> run::RunOutcome {
        if !self.is(resume.agent) {
            let mut lost = run::RunOutcome::not_run(Code::WrongAgent, "the agent has restarted");
            lost.ran = true;
            return lost;
        }
        answers::follow(self, &resume.id, resume.offset, &tx).await
    }

    /// Load that is reported.
    pub fn load(&self) -> roster::Load {
        roster::Load {
            running: self.running(),
            queued: self.admission.counts().1,
            slots: self.settings.slots,
            draining: self.is_draining(),
            down: self.crashes.is_down(),
        }
    }

    /// Newest versions seen.
    pub fn versions(&self) -> messages::Versions {
        messages::Versions {
            config: self.config.load(Ordering::Relaxed),
            fences: self.fences.load(Ordering::Relaxed),
        }
    }

    fn is(&self, incarnation: member::Incarnation) -> bool {
        incarnation == self.member.incarnation
    }
}
