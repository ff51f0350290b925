//! Calls to a router from other members.

use crate::{
    protocol::messages,
    router::{Router, closing, config_sync, draw, gossip},
};

impl Router {
    /// Answers a call; `None` when another incarnation is meant or the call is not served.
    pub async fn handle(&self, call: messages::RouterCall) -> Option<messages::RouterReply> {
        match call {
            messages::RouterCall::Beat(beat) => Some(self.take_beat(beat)),
            messages::RouterCall::Status => Some(messages::RouterReply::Status(self.status())),
            messages::RouterCall::Gossip(theirs) => {
                Some(messages::RouterReply::Gossip(gossip::answer(self, theirs)))
            }
            messages::RouterCall::Config { after } => Some(config_sync::answer(self, after)),
            messages::RouterCall::Draw { .. } => draw::answer(self, call).await,
            messages::RouterCall::Flows { .. } => closing::answer(self, call).await,
        }
    }

    fn take_beat(&self, beat: messages::AgentBeat) -> messages::RouterReply {
        let now = self.runtime.timers.now();
        let known = beat.versions.fences;
        gossip::receive_heartbeat(self, &beat, now);
        for crash in &beat.crashes {
            let mut crashes = self.crashes.lock().unwrap();
            crashes.report(beat.member.incarnation, *crash, now);
        }
        self.roster
            .lock()
            .unwrap()
            .record_heartbeat(beat.member, beat.service, beat.load, now);
        let config = self.config().config.version;
        let fences = self.fences.lock().unwrap();
        messages::RouterReply::Beat {
            versions: messages::Versions {
                config,
                fences: fences.revision,
            },
            fenced: match known < fences.revision {
                true => fences.holders.iter().copied().collect(),
                false => Vec::new(),
            },
        }
    }
}
