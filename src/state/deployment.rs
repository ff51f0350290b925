//! The operator's configuration as the gateway uses it: routes, services, workspaces and limits.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::state::name;

/// Whether a route's requests may be retried once they may have run, and whether their answers are
/// streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Plain answer; a request may run more than once.
    Idempotent,
    /// Plain answer; a request runs at most once.
    NonIdempotent,
    /// Event stream; a request runs at most once.
    Stream,
    /// Event stream that another backend server may resume.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be retried when an earlier attempt may have run it.
    ///
    /// ```
    /// use fulmarproxy::state::deployment::RouteKind;
    /// assert!(RouteKind::ResumableStream.is_retryable());
    /// assert!(!RouteKind::Stream.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether answers are event streams that another backend server may resume.
    pub fn is_resumable(self) -> bool {
        self == Self::ResumableStream
    }

    /// Whether answers are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a route sends requests to, with its weight in the traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: name::Name,
    /// Share of the requests, relative to the route's other targets.
    pub weight: f64,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: name::Name,
    /// Host that requests must name.
    pub host: String,
    /// Prefix of the request paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried once they may have run, and whether answers are streams.
    pub kind: RouteKind,
    /// Longest time that a caller waits for the answer.
    pub timeout: Duration,
    /// Target for the time to the first byte.
    pub target_latency: Duration,
    /// Target for the longest gap between two events of a stream.
    pub target_gap: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are sent to; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of attempts per request, each on a backend server.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that fit into one engine's key-value cache.
    pub kv_capacity_tokens: u64,
    /// Output tokens per event of a stream.
    pub tokens_per_event: u64,
}

/// A service: a set of backend servers that run the same software.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: name::Name,
    /// Path of the health check on each backend server.
    pub health_path: String,
    /// Connections that one backend server accepts from all clients together.
    pub max_connections: u32,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<Engine>,
}

/// A workspace, as a caller's API key identifies it.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: name::Name,
    /// Priority that replaces the route's priority, if set.
    pub priority: Option<u8>,
    /// Total number of tokens ever paid for; `None` when requests are not charged to a budget.
    pub prepaid_tokens: Option<u64>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a caller may take to send a head or a body.
    pub header_timeout: Duration,
    /// Longest time that a caller's connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Version.
    pub version: u64,
    /// Routes by host, sorted by descending length of the path prefix.
    pub routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<name::Name, Arc<Service>>,
    /// Workspaces by API key.
    pub keys: HashMap<String, Arc<Workspace>>,
    /// Workspaces by name.
    pub workspaces: HashMap<name::Name, Arc<Workspace>>,
    /// Limits on what callers send.
    pub limits: Limits,
}

impl Deployment {
    /// Returns the route with the longest prefix that matches a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
