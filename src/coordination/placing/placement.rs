//! Chooses the backend server for a request.
//!
//! Handles bursts of prompts of very different length, many of which share long prefixes. An engine
//! reads prompts one after another, so a request waits for what its server has still to read, and a
//! server that has read a prefix before need not read it again. Every router ranks the servers of a
//! service for a prefix in the same order, by rendezvous hashing, and counts on the first one to
//! have read it: requests with the same prefix meet at one server without coordination between
//! routers (`prefix_servers`). Another server is chosen when that costs less time, of the request and of
//! those that run there (`cost`). Loads that servers report replace this router's counts while they are recent.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::{
    coordination::{
        placing::{cost, known, prefix_servers, server_load, speed, survey, unseen},
        rendezvous,
    },
    state::{name, server},
};

/// Shortest prompt whose first event is a sample of a server's speed, in tokens: two chunks. The time
/// of a shorter one consists of what was there before it, of which a router knows a part only.
const MIN_SAMPLED_TOKENS: u64 = 4096;

/// Cost of opening a connection, in milliseconds: a round trip. Less than that of a running request, or
/// servers to which there is no connection would get none at low load.
pub const CONNECT_MS: f64 = 1.0;

/// Number of servers from which on those without requests and recent samples are forgotten.
const PRUNE_THRESHOLD: usize = 512;

/// Time for which a server without requests is remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// What is known of a request's prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Id of the longest prefix that other requests may share; `None` when there is none.
    pub prefix: Option<u64>,
    /// Tokens of that prefix.
    pub shared_tokens: u64,
    /// Tokens after it.
    pub own_tokens: u64,
}

/// Under which conditions a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Time on this router's clock.
    pub now: Duration,
    /// Random number; selects among equal servers when the prompt has no prefix.
    pub tie: u64,
    /// Output tokens per event of the service; 1 for a plain service.
    pub tokens_per_event: u64,
    /// Target for the time between two events of other requests to the service.
    pub target_gap: Duration,
    /// Number of routers, including this one.
    pub routers: usize,
}

/// The server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// The server.
    pub server: Arc<server::Server>,
    /// Prefix of the prompt, as in [`Prompt`].
    pub prefix: Option<u64>,
    /// Tokens of the prompt that the server probably has to read.
    pub unread_tokens: u64,
    /// Output tokens per event, as in [`Conditions`].
    pub tokens_per_event: u64,
    /// State of the server on which the choice was based.
    pub state: cost::ServerState,
    /// What is expected of the request there.
    pub expected: cost::Expected,
    /// Age of the report from which the state was taken; `None` when there was none.
    pub report_age: Option<Duration>,
    /// Whether it is the server that has probably read the prefix.
    pub is_first: bool,
}

/// Load on each backend server, as far as this router knows it.
#[derive(Debug, Default)]
pub struct Placement {
    known: HashMap<name::Name, known::Known>,
    reports: server_load::ServerLoads,
    sends: unseen::SendRate,
    prefixes: prefix_servers::PrefixCounts,
}

impl Placement {
    /// Counts a request that is sent to a server which has to read `unread_tokens` of its prompt.
    pub fn begin(&mut self, server: &server::Server, unread_tokens: u64, now: Duration) {
        self.reports.record_send(&server.id, unread_tokens, now);
        self.sends.record(now);
        let known = self.known_mut(server, now);
        known.running += 1;
        known.unread_tokens = known.unread_tokens.saturating_add(unread_tokens);
    }

    /// Counts tokens that a server has read, or that it need not read any more.
    pub fn record_read(&mut self, id: &str, tokens: u64) {
        if let Some(known) = self.known.get_mut(id) {
            known.unread_tokens = known.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Counts a request at a server that has ended.
    pub fn end(&mut self, id: &str, now: Duration) {
        self.reports.record_end(id, now);
        let Some(known) = self.known.get_mut(id) else {
            return;
        };
        known.running = known.running.saturating_sub(1);
        if known.running == 0 {
            known.unread_tokens = 0;
        }
    }

    /// Number of this router's requests in flight at a server.
    pub fn running(&self, id: &str) -> u64 {
        self.known.get(id).map_or(0, |known| known.running)
    }

    /// Records a server that was listed while this router was running, so that it has just started.
    /// It is considered for fewer requests at first. A process that is known already has not just started, but is
    /// listed again.
    pub fn record_started(&mut self, server: &server::Server, now: Duration) {
        let known = self.known.get(&server.id);
        if known.is_none_or(|known| known.speed_of(server).is_none()) {
            self.known_mut(server, now).speed = speed::Speed::started(now);
        }
    }

    /// Records a load that a server reports, as [`server_load::ServerLoads::record`] describes, and
    /// takes its time between events as a sample of its speed.
    pub fn record_report(
        &mut self,
        server: &server::Server,
        started_unix_ms: u64,
        reported: server_load::Reported,
        age: Duration,
        tokens_per_event: u64,
        now: Duration,
    ) -> server_load::Recorded {
        let id = &server.id;
        let recorded = self.reports.record(id, started_unix_ms, reported, age, now);
        if let (server_load::Recorded::Kept, Some(gap)) = (recorded, reported.event_time) {
            self.record_gap(server, gap, tokens_per_event, now);
        }
        recorded
    }

    /// Load that a server reported, with what this router has changed there since.
    pub fn reported_load(
        &self,
        server: &server::Server,
        now: Duration,
    ) -> Option<server_load::Load> {
        self.reports.get(server, now)
    }

    /// Records the time from sending a request to its first event. The server has read the prompt by then.
    pub fn record_first_event(&mut self, placed: &Placed, took: Duration, now: Duration) {
        if let Some(prefix) = placed.prefix {
            self.prefixes.record(prefix, now);
        }
        if placed.unread_tokens < MIN_SAMPLED_TOKENS {
            return;
        }
        let expected_ms = placed.expected.first_event_ms / placed.state.slowness;
        let known = self.known_mut(&placed.server, now);
        known
            .speed
            .record(took.as_secs_f64() * 1000.0, expected_ms, now);
    }

    /// Records the time between two events of a request at a server, the mean over several.
    pub fn record_gap(
        &mut self,
        server: &server::Server,
        gap: Duration,
        tokens_per_event: u64,
        now: Duration,
    ) {
        let state = self
            .look_up(server, now)
            .state(server, &known::Mean::default());
        let expected_ms = cost::gap_ms(state.running, state.unread_tokens, tokens_per_event as f64);
        let known = self.known_mut(server, now);
        known
            .speed
            .record(gap.as_secs_f64() * 1000.0, expected_ms, now);
    }

    /// Chooses the same server for all requests with a key, at all gateways that know the same
    /// servers.
    pub fn choose_one(
        &self,
        servers: &[Arc<server::Server>],
        prompt: &Prompt,
        key: u64,
        conditions: &Conditions,
    ) -> Option<Placed> {
        let first = servers
            .iter()
            .max_by_key(|server| rendezvous::weight(&server.id, key))?;
        self.choose_server(std::slice::from_ref(first), prompt, conditions, |_| true)
    }

    /// Chooses the server at which a request costs the shortest time: until its first event, and for the
    /// requests that are there. `has_idle` returns whether there is an idle connection to a server.
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use fulmarproxy::{coordination::placing::placement, state::server};
    /// let server = Arc::new(server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 0,
    /// });
    /// let prompt = placement::Prompt { prefix: Some(7), shared_tokens: 400, own_tokens: 20 };
    /// let conditions = placement::Conditions {
    ///     now: Duration::ZERO, tie: 0, tokens_per_event: 4, routers: 1,
    ///     target_gap: Duration::from_millis(300),
    /// };
    /// let placement = placement::Placement::default();
    /// let placed = placement.choose_server(&[server], &prompt, &conditions, |_| true).unwrap();
    /// assert_eq!((&*placed.server.id, placed.unread_tokens), ("i-1", 20));
    /// ```
    pub fn choose_server(
        &self,
        servers: &[Arc<server::Server>],
        prompt: &Prompt,
        conditions: &Conditions,
        has_idle: impl Fn(&server::Server) -> bool,
    ) -> Option<Placed> {
        let survey = self.survey(servers, prompt, conditions)?;
        let first = survey.of_prefix.first;
        let mut rng = fastrand::Rng::with_seed(conditions.tie);
        let mut best: Option<survey::Candidate> = None;
        // Servers that have just started are skipped by chance, unless there is no other.
        for spares_starting in [true, false] {
            // Equal servers are met in another order each time.
            for at in (first..servers.len()).chain(0..first) {
                let share = survey.starting_share(at);
                if spares_starting && share < 1.0 && rng.f64() > share {
                    continue;
                }
                if let Some(share) = survey.considered_share(at)
                    && rng.f64() > share
                {
                    continue;
                }
                let mut found = survey.candidate(at);
                let lowest = best.as_ref().map_or(f64::INFINITY, |best| best.total);
                // Most servers need no look at their connections.
                if found.total >= lowest && best.is_some() {
                    continue;
                }
                if !has_idle(&servers[at]) {
                    found.total += CONNECT_MS;
                }
                if found.total >= lowest && best.is_some() {
                    continue;
                }
                best = Some(found);
            }
            if best.is_some() {
                break;
            }
        }
        best.map(|best| Placed {
            server: servers[best.at].clone(),
            prefix: prompt.prefix,
            unread_tokens: best.unread_tokens,
            tokens_per_event: conditions.tokens_per_event,
            state: best.state,
            expected: best.expected,
            report_age: best.report_age,
            is_first: best.at == first,
        })
    }

    /// What is known of servers for a request; `None` when there are none.
    pub fn survey<'a>(
        &'a self,
        servers: &'a [Arc<server::Server>],
        prompt: &'a Prompt,
        conditions: &'a Conditions,
    ) -> Option<survey::Survey<'a>> {
        let now = conditions.now;
        let own = prompt.prefix.map_or(0.0, |it| self.prefixes.get(it, now));
        let of_prefix = prefix_servers::PrefixServers::new(
            servers,
            prompt.prefix,
            conditions.tie,
            own * conditions.routers as f64,
        )?;
        let seen: Vec<_> = servers.iter().map(|it| self.look_up(it, now)).collect();
        let mean = known::Mean::new(servers, &seen);
        let others_per_s = self.sends.of_others(conditions.routers, now);
        Some(survey::Survey {
            servers,
            prompt,
            conditions,
            seen,
            mean,
            others_per_s,
            of_prefix,
        })
    }

    fn known_mut(&mut self, server: &server::Server, now: Duration) -> &mut known::Known {
        if self.known.len() >= PRUNE_THRESHOLD {
            self.known
                .retain(|_, known| known.running > 0 || now < known.used_at + MEMORY);
        }
        let known = self.known.entry(server.id.clone()).or_default();
        if known.started_unix_ms != server.started_unix_ms {
            known.started_unix_ms = server.started_unix_ms;
            known.speed = speed::Speed::default();
        }
        known.used_at = now;
        known
    }

    /// What is known of a server.
    pub(super) fn look_up(&self, server: &server::Server, now: Duration) -> known::Seen<'_> {
        let known = self.known.get(&server.id);
        let speed = known.and_then(|known| known.speed_of(server));
        known::Seen {
            known,
            speed,
            deviation: speed.map_or(0.0, |speed| speed.deviation(now)),
            load: self.reports.get(server, now),
        }
    }
}
