//! Handles calls to an agent other than attempts.

use std::sync::atomic::Ordering;

use crate::{
    agent::{Agent, answers, orders},
    code::Code,
    coordination::roster,
    protocol::{messages, run},
    state::member,
};

impl Agent {
    /// Handles a call. A call meant for another incarnation of this agent changes nothing and is
    /// answered with [`messages::AgentReply::Done`].
    pub async fn handle(&self, call: messages::AgentCall) -> messages::AgentReply {
        match call {
            messages::AgentCall::Receipts {
                agent,
                holder,
                after,
            } if self.is_current(agent) => {
                let receipts = self.receipts.lock().unwrap().receipts_after(holder, after);
                messages::AgentReply::Receipts(receipts)
            }
            messages::AgentCall::Fence {
                agent,
                revision,
                holders,
            } if self.is_current(agent) => {
                self.fence(revision, &holders);
                messages::AgentReply::Fenced(self.fence_revision.load(Ordering::Relaxed))
            }
            messages::AgentCall::Ping { versions } => {
                self.config_version
                    .fetch_max(versions.config, Ordering::Relaxed);
                messages::AgentReply::Pong {
                    member: self.member.clone(),
                    load: self.load(),
                    versions: self.versions(),
                }
            }
            messages::AgentCall::Cancel { agent, id, .. } if self.is_current(agent) => {
                self.answers.with_kept(|kept| kept.cancel(&id));
                self.forbid(id);
                self.answers.sweep(self.runtime.timers.now());
                messages::AgentReply::Done
            }
            messages::AgentCall::Drain { on } => {
                self.draining.store(on, Ordering::Relaxed);
                messages::AgentReply::Done
            }
            messages::AgentCall::Order(order) => {
                messages::AgentReply::Ordered(orders::carry_out(self, order).await)
            }
            _ => messages::AgentReply::Done,
        }
    }

    /// Sends a kept answer from the requested offset on, and returns its outcome.
    pub async fn resume(
        &self,
        resume: messages::Resume,
        tx: async_channel::Sender<Vec<u8>>,
    ) -> run::RunOutcome {
        if !self.is_current(resume.agent) {
            let mut lost = run::RunOutcome::not_run(Code::WrongAgent, "the agent has restarted");
            lost.ran = true;
            return lost;
        }
        answers::stream_from(self, &resume.id, resume.offset, &tx).await
    }

    /// Current load, as heartbeats and pings report it.
    pub fn load(&self) -> roster::Load {
        roster::Load {
            running: self.running(),
            queued: self.admission.counts().1,
            slots: self.settings.slots,
            draining: self.is_draining(),
            down: self.crashes.is_down(),
        }
    }

    /// Newest configuration version seen and newest fence revision applied.
    pub fn versions(&self) -> messages::Versions {
        messages::Versions {
            config: self.config_version.load(Ordering::Relaxed),
            fences: self.fence_revision.load(Ordering::Relaxed),
        }
    }

    /// Whether an incarnation is the one of this agent.
    fn is_current(&self, incarnation: member::Incarnation) -> bool {
        incarnation == self.member.incarnation
    }
}
