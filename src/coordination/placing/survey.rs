//! What a choice among servers is based on: what is known of each of them, and what follows for a request
//! there. The choice and its explanation both use it.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::placing::{cost, known, placement, prefix_servers, unseen},
    state::server,
};

/// Servers with what is known of each at one moment.
pub struct Survey<'a> {
    /// The servers.
    pub servers: &'a [Arc<server::Server>],
    /// Prompt of the request.
    pub prompt: &'a placement::Prompt,
    /// Conditions of the choice.
    pub conditions: &'a placement::Conditions,
    /// What is known of each server.
    pub seen: Vec<known::Seen<'a>>,
    /// Means of all.
    pub mean: known::Mean,
    /// Requests per second that the other routers send.
    pub others_per_s: f64,
    /// Which servers have probably read the prefix.
    pub of_prefix: prefix_servers::PrefixServers,
}

/// A server with what is expected of a request there.
pub struct Candidate {
    /// Cost in milliseconds, without that of a new connection.
    pub total: f64,
    /// Position of the server.
    pub at: usize,
    /// Tokens of the prompt that it has to read.
    pub unread_tokens: u64,
    /// Those of them that another server has read.
    pub read_again: u64,
    /// State of the server.
    pub state: cost::ServerState,
    /// What is expected of the request.
    pub expected: cost::Expected,
    /// Age of the report from which the state was taken; `None` when there was none.
    pub report_age: Option<Duration>,
}

// Inlined, because a choice calls them for each server: without it, a choice took about a tenth longer.
impl Survey<'_> {
    /// Share of the requests for which a server is considered because it has just started; 1 otherwise.
    #[inline]
    pub fn starting_share(&self, at: usize) -> f64 {
        let speed = self.seen[at].speed;
        speed.map_or(1.0, |speed| speed.slow_start(self.conditions.now))
    }

    /// Share of the requests for which a server is considered that has probably not read the prefix, so
    /// that routers with the same reports choose different servers; `None` means all.
    #[inline]
    pub fn considered_share(&self, at: usize) -> Option<f64> {
        if self.of_prefix.contains(at) {
            return None;
        }
        let age = self.seen[at].load?.age;
        Some(unseen::considered_share(
            self.others_per_s,
            age,
            self.servers.len(),
        ))
    }

    /// Computes what a request costs at a server.
    #[inline]
    pub fn candidate(&self, at: usize) -> Candidate {
        let (prompt, conditions) = (self.prompt, self.conditions);
        let state = self.seen[at].state(&self.servers[at], &self.mean);
        let read_again = prompt.shared_tokens as f64 * self.of_prefix.unread_share(at);
        let unread_tokens = prompt.own_tokens.saturating_add(read_again as u64);
        let work = cost::Work {
            unread_tokens: unread_tokens as f64,
            read_again,
            tokens_per_event: conditions.tokens_per_event as f64,
            target_gap_ms: conditions.target_gap.as_secs_f64() * 1000.0,
            utilization: self.mean.utilization,
        };
        let expected = cost::expect(&state, &work);
        Candidate {
            total: expected.cost(),
            at,
            unread_tokens,
            read_again: read_again as u64,
            state,
            expected,
            report_age: self.seen[at].load.map(|load| load.age),
        }
    }
}
