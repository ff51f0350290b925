//! What an operator's configuration says: routes, services, workspaces, limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::state::name;

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain answer; may run more than once.
    Idempotent,
    /// Plain answer; runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another backend server may go on with.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request that may have run may be sent once more.
    ///
    /// ```
    /// use fulmarproxy::state::deployment::RouteKind;
    /// assert!(RouteKind::ResumableStream.is_repeatable());
    /// assert!(!RouteKind::Stream.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route leads to, with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: name::Name,
    /// Share, relative to the route's other targets.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: name::Name,
    /// Host that it answers for.
    pub host: String,
    /// Path that its requests begin with; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time to the first byte that callers hope for.
    pub target_latency: Duration,
    /// Longest pause between events that callers accept.
    pub target_gap: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services, of which there is at least one.
    pub targets: Vec<Target>,
    /// Most backend servers that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    pub kv_capacity_tokens: u64,
    /// Output tokens that one event of a stream stands for.
    pub tokens_per_event: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: name::Name,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one backend server accepts from all callers.
    pub max_connections: u32,
    /// Its engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: name::Name,
    /// Rank that replaces the route's, when there is one.
    pub priority: Option<u8>,
    /// Tokens ever paid for; `None` when it needs no budget.
    pub prepaid_tokens: Option<u64>,
}

/// What a caller may send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most bytes of a head.
    pub max_header_bytes: usize,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Longest time to send a head or a body.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version.
    pub version: u64,
    /// Routes by host, the longest prefix first.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<name::Name, Arc<Service>>,
    /// Workspaces by API key.
    pub keys: HashMap<String, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: HashMap<name::Name, Arc<Workspace>>,
    /// What a caller may send.
    pub limits: Limits,
}

impl Deployment {
    /// The route of a host and path: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
