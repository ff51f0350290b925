//! The operator's configuration as the platform's store keeps it: one JSON value.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::Deserialize;

use crate::{
    error,
    state::{deployment, name},
};

/// Key of the current configuration.
pub const KEY: &str = "op/config";

/// Prefix of all keys that the operator writes.
pub const PREFIX: &str = "op/";

/// Timeout of a route that sets none. The platform's documentation specifies no default, so this
/// one is long.
const DEFAULT_TIMEOUT_MS: f64 = 60_000.0;

/// Target for the latency and for the gap between events of a route that sets none.
const DEFAULT_LATENCY_TARGET_MS: f64 = 1_000.0;

#[derive(Deserialize)]
struct Configuration {
    version: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    limits: Limits,
    #[serde(default)]
    tenants: Vec<Tenant>,
}

#[derive(Deserialize)]
struct Route {
    #[serde(default)]
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    target_gap_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    #[serde(default)]
    traffic_split: Vec<TrafficShare>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Deserialize)]
struct TrafficShare {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
struct Service {
    name: String,
    health_check: Option<String>,
    max_connections: Option<u32>,
    engine: Option<Engine>,
}

#[derive(Deserialize)]
struct Engine {
    slots: Option<u32>,
    kv_capacity_tokens: Option<u64>,
    /// Output tokens per event of a stream, despite the name.
    stride: Option<u64>,
}

#[derive(Deserialize)]
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    priority: Option<u8>,
    prepaid: Option<f64>,
}

/// Longest time that a configuration can set. Sums of such times don't overflow.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3600);

fn duration_from_millis(ms: f64) -> Duration {
    let time = Duration::try_from_secs_f64(ms / 1000.0);
    time.map_or(MAX_TIME, |time| time.min(MAX_TIME))
}

/// Decodes a configuration.
///
/// # Errors
///
/// [`error::Error::StoreValue`] when the bytes are not a configuration in JSON.
pub fn decode(bytes: &[u8]) -> Result<deployment::Deployment, error::Error> {
    let decoded: Configuration =
        serde_json::from_slice(bytes).map_err(|source| error::Error::StoreValue {
            key: KEY.to_owned(),
            source,
        })?;
    let services = decoded.services.into_iter().map(convert_service);
    let mut routes: HashMap<String, Vec<Arc<deployment::Route>>> = HashMap::new();
    for route in decoded.routes.into_iter().filter_map(convert_route) {
        let host = route.host.to_ascii_lowercase();
        routes.entry(host).or_default().push(Arc::new(route));
    }
    for routes in routes.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
    }
    let mut keys = HashMap::new();
    let mut workspaces = HashMap::new();
    for tenant in decoded.tenants {
        let workspace = Arc::new(deployment::Workspace {
            name: name::Name::from(&*tenant.name),
            priority: tenant.priority,
            prepaid_tokens: tenant.prepaid.map(|tokens| tokens.max(0.0) as u64),
        });
        workspaces.insert(workspace.name.clone(), workspace.clone());
        let api_keys = tenant.api_keys.into_iter();
        keys.extend(api_keys.map(|key| (key, workspace.clone())));
    }
    Ok(deployment::Deployment {
        version: decoded.version,
        routes,
        services: services
            .map(|service| (service.name.clone(), service))
            .collect(),
        keys,
        workspaces,
        limits: deployment::Limits {
            max_header_bytes: decoded.limits.max_header_bytes,
            max_body_bytes: decoded.limits.max_body_bytes,
            header_timeout: duration_from_millis(decoded.limits.header_timeout_ms),
            idle_timeout: duration_from_millis(decoded.limits.idle_timeout_ms),
        },
    })
}

fn convert_service(service: Service) -> Arc<deployment::Service> {
    Arc::new(deployment::Service {
        name: name::Name::from(&*service.name),
        health_path: service.health_check.unwrap_or_default(),
        max_connections: service.max_connections.unwrap_or(u32::MAX),
        engine: service.engine.map(|engine| deployment::Engine {
            slots: engine.slots.unwrap_or(1),
            kv_capacity_tokens: engine.kv_capacity_tokens.unwrap_or(u64::MAX),
            tokens_per_event: engine.stride.unwrap_or(1).max(1),
        }),
    })
}

/// Returns the kind of a route. An unknown kind is treated as the strictest one, whose requests are
/// executed at most once.
fn route_kind(kind: &str, can_resume: bool) -> deployment::RouteKind {
    match kind {
        "idempotent" => deployment::RouteKind::Idempotent,
        "streaming" if can_resume => deployment::RouteKind::ResumableStream,
        "streaming" => deployment::RouteKind::Stream,
        _ => deployment::RouteKind::NonIdempotent,
    }
}

/// Converts a route; `None` when it names no service.
fn convert_route(route: Route) -> Option<deployment::Route> {
    let mut targets: Vec<_> = route
        .traffic_split
        .into_iter()
        .filter(|share| share.weight > 0.0)
        .map(|share| deployment::Target {
            service: name::Name::from(&*share.service),
            weight: share.weight,
        })
        .collect();
    if targets.is_empty() {
        targets.push(deployment::Target {
            service: name::Name::from(&*route.service?),
            weight: 1.0,
        });
    }
    Some(deployment::Route {
        name: name::Name::from(&*route.name),
        host: route.host,
        path_prefix: route.path_prefix,
        kind: route_kind(&route.kind, route.stream_resume),
        timeout: duration_from_millis(route.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        target_latency: duration_from_millis(
            route.target_latency_ms.unwrap_or(DEFAULT_LATENCY_TARGET_MS),
        ),
        target_gap: duration_from_millis(route.target_gap_ms.unwrap_or(DEFAULT_LATENCY_TARGET_MS)),
        priority: route.priority,
        targets,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        is_public: route.public,
    })
}
