//! State of backend servers at a router that chooses one, and what it assumes of the others.
//!
//! A recent report replaces the router's own counts. Servers without one are taken to be as busy as the
//! mean of those with one, or requests would gather where reports are lost.

use std::{sync::Arc, time::Duration};

use crate::{
    coordination::placing::{cost, server_load, speed},
    state::server,
};

/// Weight of measured speeds without reports: a router cannot distinguish a slow server from a busy one then.
/// With 0.5, 27 instead of 23 % of the short prompts were late at the capacity of even engines; with 0.1, 29
/// instead of 25 % at 0.8 of the capacity of uneven ones.
const UNREPORTED_SPEED: f64 = 0.25;

/// What this router has measured of one server by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// This router's requests in flight there.
    pub running: u64,
    /// Tokens of their prompts that are not read yet.
    pub unread_tokens: u64,
    /// Start of the process of which the speed was measured.
    pub started_unix_ms: u64,
    /// Measured speed of that process.
    pub speed: speed::Speed,
    /// Time at which something was recorded last.
    pub used_at: Duration,
}

impl Known {
    /// Speed of a process; none is measured yet when it is another process than before.
    pub fn speed_of(&self, server: &server::Server) -> Option<&speed::Speed> {
        (self.started_unix_ms == server.started_unix_ms).then_some(&self.speed)
    }
}

/// What is known of a server at a choice.
pub struct Seen<'a> {
    /// What this router knows by itself.
    pub known: Option<&'a Known>,
    /// Measured speed of its process.
    pub speed: Option<&'a speed::Speed>,
    /// Deviation of that speed.
    pub deviation: f64,
    /// Reported load.
    pub load: Option<server_load::Load>,
}

/// Mean load of the servers with a report, which is assumed of those without one.
#[derive(Clone, Copy, Default)]
pub struct Mean {
    /// Tokens that are not read yet.
    pub unread_tokens: f64,
    /// Requests at a server.
    pub running: f64,
    /// Share of all slots that are taken; 0 when nothing is reported.
    pub utilization: f64,
    /// Weight of the measured speeds.
    pub weight_of_speed: f64,
    /// Mean deviation of the measured speeds.
    pub deviation: f64,
}

impl Mean {
    /// Mean of servers with what is known of them.
    pub fn new(servers: &[Arc<server::Server>], seen: &[Seen<'_>]) -> Self {
        let (mut mean, mut reported) = (Self::default(), 0.0);
        let mut slots = 0.0;
        for (server, seen) in servers.iter().zip(seen) {
            slots += f64::from(server.slots);
            mean.deviation += seen.deviation / servers.len() as f64;
            if let Some(load) = &seen.load {
                mean.unread_tokens += load.unread_tokens(cost::READ_PER_MS);
                mean.running += load.running();
                reported += 1.0;
            }
        }
        mean.weight_of_speed = if reported == 0.0 {
            UNREPORTED_SPEED
        } else {
            1.0
        };
        if reported > 0.0 {
            mean.unread_tokens /= reported;
            mean.running /= reported;
            mean.utilization = mean.running * servers.len() as f64 / f64::max(slots, 1.0);
        }
        mean
    }
}

impl Seen<'_> {
    /// State of a server. One without a report is taken to be as busy as those with one.
    pub fn state(&self, server: &server::Server, mean: &Mean) -> cost::ServerState {
        let known = self.known;
        let mut state = cost::ServerState {
            unread_tokens: known.map_or(0.0, |known| known.unread_tokens as f64),
            running: known.map_or(0.0, |known| known.running as f64),
            slots: f64::from(server.slots),
            slowness: 1.0,
        };
        if self.speed.is_some() {
            let deviation = (self.deviation - mean.deviation) * mean.weight_of_speed;
            state.slowness = deviation.exp();
        }
        if let Some(load) = &self.load {
            state.running = state.running.max(load.running());
            state.unread_tokens = load.unread_tokens(cost::READ_PER_MS / state.slowness);
        } else {
            state.unread_tokens = state.unread_tokens.max(mean.unread_tokens);
            state.running = state.running.max(mean.running);
        }
        state
    }
}
