//! Explains the choice of a server: what a request costs at each of the servers that it may use.

use std::sync::Arc;

use crate::{
    coordination::placing::{cost, placement, server_load},
    state::server,
};

/// What a request costs at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerCost {
    /// The server.
    pub server: Arc<server::Server>,
    /// Cost by which servers are compared, in milliseconds.
    pub total_ms: f64,
    /// Part of it for a new connection.
    pub connect_ms: f64,
    /// Tokens of the prompt that the server has to read.
    pub unread_tokens: u64,
    /// Those of them that another server has probably read.
    pub read_again: u64,
    /// State of the server.
    pub state: cost::ServerState,
    /// What is expected of the request.
    pub expected: cost::Expected,
    /// Load that the server reported; `None` when there is no recent report.
    pub load: Option<server_load::Load>,
    /// This router's requests in flight there.
    pub own_running: u64,
    /// Whether it is the server that has probably read the prefix.
    pub is_first: bool,
    /// Share of the requests for which the server is considered.
    pub considered: f64,
}

/// Computes what a request costs at each of some servers, as [`placement::Placement::choose_server`]
/// does. Returns them in the order of their cost; changes nothing.
///
/// ```
/// use std::{sync::Arc, time::Duration};
/// use fulmarproxy::{coordination::placing::{explanation, placement}, state::server};
/// let server = |id: &str| Arc::new(server::Server {
///     id: id.into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 0,
/// });
/// let servers = ["i-1", "i-2", "i-3"].map(server);
/// let prompt = placement::Prompt { prefix: Some(7), shared_tokens: 400, own_tokens: 20 };
/// let conditions = placement::Conditions {
///     now: Duration::ZERO, tie: 0, tokens_per_event: 4, routers: 1,
///     target_gap: Duration::from_millis(300),
/// };
/// let placement = placement::Placement::default();
/// let costs = explanation::explain(&placement, &servers, &prompt, &conditions, |_| true);
/// let placed = placement.choose_server(&servers, &prompt, &conditions, |_| true).unwrap();
/// assert_eq!((&costs[0].server, costs[0].is_first), (&placed.server, true));
/// assert_eq!((costs[0].read_again, costs[1].read_again), (0, 80));
/// assert!(!explanation::is_by_chance(&costs, &prompt));
/// ```
pub fn explain(
    placement: &placement::Placement,
    servers: &[Arc<server::Server>],
    prompt: &placement::Prompt,
    conditions: &placement::Conditions,
    has_idle: impl Fn(&server::Server) -> bool,
) -> Vec<ServerCost> {
    let Some(survey) = placement.survey(servers, prompt, conditions) else {
        return Vec::new();
    };
    let costs = servers.iter().enumerate().map(|(at, server)| {
        let found = survey.candidate(at);
        // Without a prefix the first server is another one at each choice.
        let is_first = at == survey.of_prefix.first && prompt.prefix.is_some();
        let considered = match is_first {
            true => 1.0,
            false => survey.considered_share(at).unwrap_or(1.0).min(1.0),
        };
        let connect_ms = match has_idle(server) {
            true => 0.0,
            false => placement::CONNECT_MS,
        };
        ServerCost {
            server: server.clone(),
            total_ms: found.total + connect_ms,
            connect_ms,
            unread_tokens: found.unread_tokens,
            read_again: found.read_again,
            state: found.state,
            expected: found.expected,
            load: survey.seen[at].load,
            own_running: placement.running(&server.id),
            is_first,
            considered: considered * survey.starting_share(at),
        }
    });
    let mut costs: Vec<_> = costs.collect();
    costs.sort_by(|a, b| {
        let by_cost = a.total_ms.total_cmp(&b.total_ms);
        by_cost.then(b.is_first.cmp(&a.is_first))
    });
    costs
}

/// Whether a random number decides which server gets a request: the cheapest servers cost the same, or
/// a cheap one is not considered for each request.
pub fn is_by_chance(costs: &[ServerCost], prompt: &placement::Prompt) -> bool {
    let Some(best) = costs.first() else {
        return false;
    };
    let mut others = costs[1..].iter();
    let has_equal = others.any(|cost| cost.total_ms == best.total_ms);
    best.considered < 1.0 || (has_equal && prompt.prefix.is_none())
}
