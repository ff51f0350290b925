//! Handles calls from agents, other routers and operators' tools.

use crate::{
    protocol::messages,
    router::{Router, closing, config_sync, draw, gossip},
};

impl Router {
    /// Handles a call; `None` when the call is meant for another incarnation of this router or
    /// cannot be answered.
    pub async fn handle(&self, call: messages::RouterCall) -> Option<messages::RouterReply> {
        match call {
            messages::RouterCall::Beat(heartbeat) => Some(self.handle_heartbeat(heartbeat)),
            messages::RouterCall::Status => Some(messages::RouterReply::Status(self.status())),
            messages::RouterCall::Gossip(message) => {
                Some(messages::RouterReply::Gossip(gossip::answer(self, message)))
            }
            messages::RouterCall::Config { after } => Some(config_sync::answer(self, after)),
            messages::RouterCall::Draw { .. } => draw::answer(self, call).await,
            messages::RouterCall::Flows { .. } => closing::answer(self, call).await,
        }
    }

    /// Records an agent's heartbeat and returns the newest configuration and fence revisions.
    ///
    /// The fenced holders are listed only when the agent knows an older revision of the fences.
    fn handle_heartbeat(&self, heartbeat: messages::AgentBeat) -> messages::RouterReply {
        let now = self.runtime.timers.now();
        let agent_fences = heartbeat.versions.fences;
        gossip::receive_heartbeat(self, &heartbeat, now);
        for crash in &heartbeat.crashes {
            let mut crashes = self.crashes.lock().unwrap();
            crashes.report(heartbeat.member.incarnation, *crash, now);
        }
        self.roster.lock().unwrap().record_heartbeat(
            heartbeat.member,
            heartbeat.service,
            heartbeat.load,
            now,
        );
        let config = self.config().config.version;
        let fences = self.fences.lock().unwrap();
        messages::RouterReply::Beat {
            versions: messages::Versions {
                config,
                fences: fences.revision,
            },
            fenced: match agent_fences < fences.revision {
                true => fences.holders.iter().copied().collect(),
                false => Vec::new(),
            },
        }
    }
}
