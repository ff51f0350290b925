//! Parses and validates a caller's request.

use std::{sync::Arc, time::Duration};

use subtle::ConstantTimeEq;
use xxhash_rust::xxh3;

use crate::{
    code::Code,
    coordination::{config_chunks, crashes},
    protocol::chat,
    router::{config_sync, memory, raw_request},
    state::{name, object_set, route},
};

/// A validated request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: name::Name,
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Budget that the request is charged to.
    pub budget: name::Name,
    /// Route that the caller named.
    pub route: route::Route,
    /// Services whose backend servers may run it.
    pub services: Vec<name::Name>,
    /// Upper bound of its cost in tokens; this much is reserved.
    pub bound: u64,
    /// Body for the backend server.
    pub body: Vec<u8>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key of the caller, or the request id of a plain service call that must not run
    /// twice; otherwise empty.
    pub key: name::Name,
    /// Fingerprint of workspace and body.
    pub fingerprint: u64,
    /// Time from arrival to the deadline.
    pub deadline: Duration,
    /// Path and query of a plain service call; empty for a model call.
    pub path: String,
    /// Method of a plain service call.
    pub method: String,
    /// Whether the call may run again after a failure that leaves open whether it ran.
    pub idempotent: bool,
    /// Hash of the beginning of the prompt; zero for a short prompt or a plain service call.
    pub prefix: u64,
    /// Weight of the workspace relative to others when requests queue.
    pub weight: u32,
    /// Memory of the caller's request and connection, if it came over one.
    pub caller: Option<Arc<memory::CallerMemory>>,
}

impl Request {
    /// Whether the call must be claimed in the store before it is dispatched, so that it runs at
    /// most once.
    pub fn must_claim(&self) -> bool {
        !self.idempotent
    }
}

/// Why a caller gets an error instead of an answer.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Description of the cause, for the caller.
    pub message: String,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// Delay after which a retry may succeed, if waiting helps.
    pub retry_after: Option<Duration>,
    /// Idempotency key of the call, which the router may have assigned; sent back to the caller.
    pub key: Option<name::Name>,
}

impl Refusal {
    /// The refusal of a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            may_have_run: false,
            retry_after: None,
            key: None,
        }
    }

    /// Adds the delay after which the caller may retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Finds the workspace that the API key in the `Authorization` header belongs to.
///
/// # Errors
///
/// [`Code::BadKey`] when the header is missing or malformed, or no workspace has the key.
pub fn authenticate(
    in_force: &config_sync::ActiveConfig,
    authorization: Option<&str>,
) -> Result<name::Name, Refusal> {
    let refuse = |message: &str| Refusal::not_run(Code::BadKey, message);
    let value = authorization.ok_or_else(|| refuse("the Authorization header is missing"))?;
    let key = value
        .strip_prefix("Bearer ")
        .ok_or_else(|| refuse("the key is no bearer token"))?;
    let digest = config_chunks::sha256_hex(key.trim().as_bytes());
    let found = in_force.by_key.get_key_value(&digest);
    let verified = found.filter(|(known, _)| known.as_bytes().ct_eq(digest.as_bytes()).into());
    let workspace = verified.map(|(_, workspace)| workspace.clone());
    workspace.ok_or_else(|| refuse("the key is unknown"))
}

/// Path of the chat completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Longest idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Bytes at the beginning of the prompt that are hashed, to prefer a backend server that may have
/// them in its cache.
const HASHED_PREFIX_BYTES: usize = 1024;

/// Parses and validates a request of the workspace.
///
/// # Errors
///
/// A [`Refusal`] that states what is invalid.
pub fn parse(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    raw: &raw_request::RawRequest,
    id: u128,
) -> Result<Request, Refusal> {
    let key = raw.key.as_deref().unwrap_or_default();
    if key.len() > MAX_KEY_BYTES {
        let message = format!("the idempotency key is longer than {MAX_KEY_BYTES} bytes");
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    if raw.method == "POST" && raw.path == CHAT_PATH {
        return parse_chat(in_force, workspace, key, &raw.body, id);
    }
    parse_plain(in_force, workspace, raw, key, id)
}

/// Whether a path equals a route's path prefix or lies below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    !prefix.is_empty() && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

/// Parses a call to a plain service: the route with the longest matching path prefix serves it.
///
/// Without a key, the request id becomes the idempotency key of a call that must not run twice.
fn parse_plain(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    raw: &raw_request::RawRequest,
    key: &str,
    id: u128,
) -> Result<Request, Refusal> {
    let set = &in_force.config.set;
    let object = &set.workspaces[workspace];
    let allowed = object.routes.iter().filter_map(|name| set.routes.get(name));
    let matching = allowed.filter(|route| is_below(&raw.path, &route.path));
    let Some(route) = matching.max_by_key(|route| route.path.len()) else {
        let message = format!("{} {} is not served", raw.method, raw.path);
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    };
    let id = format!("req-{id:032x}");
    let safe = matches!(raw.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let idempotent = route.idempotent || safe;
    let effective_key = if key.is_empty() && !idempotent {
        &id
    } else {
        key
    };
    let parts = [raw.method.as_bytes(), raw.path.as_bytes(), &raw.body];
    Ok(Request {
        workspace: workspace.clone(),
        budget: object.budget.clone(),
        services: services_of(set, route),
        bound: route.call_tokens,
        body: raw.body.clone(),
        stream: false,
        key: effective_key.into(),
        fingerprint: crashes::fingerprint(workspace, &parts),
        deadline: Duration::from_secs(route.deadline_seconds),
        route: route.clone(),
        path: raw.path.clone(),
        method: raw.method.clone(),
        idempotent,
        prefix: 0,
        weight: object.weight,
        caller: None,
        id: id.into(),
    })
}

fn services_of(set: &object_set::ObjectSet, route: &route::Route) -> Vec<name::Name> {
    let pools = route.pools.iter().filter_map(|pool| set.pools.get(pool));
    pools
        .flat_map(|pool| pool.services.iter().cloned())
        .collect()
}

/// Hash of the model and the first [`HASHED_PREFIX_BYTES`] of the prompt; zero when the prompt is
/// shorter.
fn prefix_of(model: &str, chat: &chat::ChatRequest) -> u64 {
    let mut hash = xxh3::xxh3_64(model.as_bytes());
    let mut remaining = HASHED_PREFIX_BYTES;
    for message in &chat.messages {
        let text = message.content.as_str().unwrap_or_default().as_bytes();
        let part = &text[..text.len().min(remaining)];
        hash = xxh3::xxh3_64_with_seed(part, hash);
        remaining -= part.len();
    }
    if remaining == 0 { hash } else { 0 }
}

/// Parses a chat completion request; the body for the backend server names the route's model and
/// the limit on the answer's tokens.
fn parse_chat(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    key: &str,
    body: &[u8],
    id: u128,
) -> Result<Request, Refusal> {
    let invalid = |err: serde_json::Error| Refusal::not_run(Code::BadRequest, err.to_string());
    let chat: chat::ChatRequest = serde_json::from_slice(body).map_err(invalid)?;
    let set = &in_force.config.set;
    let object = &set.workspaces[workspace];
    let named = object.routes.iter().find(|route| ***route == *chat.model);
    let route = named.and_then(|name| set.routes.get(name));
    let Some(route) = route.filter(|route| !route.model.is_empty()) else {
        let message = format!("route {:?} is not open to the workspace", chat.model);
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    };
    let limit = chat.max_answer_tokens().unwrap_or(route.max_tokens);
    if limit > route.max_tokens {
        let message = format!(
            "max_tokens is {limit}, the route allows {}",
            route.max_tokens
        );
        return Err(Refusal::not_run(Code::OverLimit, message));
    }
    let mut value: serde_json::Value = serde_json::from_slice(body).map_err(invalid)?;
    value["model"] = route.model.clone().into();
    value["max_tokens"] = limit.into();
    if chat.stream {
        value["stream_options"] = serde_json::json!({ "include_usage": true });
    }
    Ok(Request {
        id: format!("req-{:032x}", id).into(),
        workspace: workspace.clone(),
        budget: object.budget.clone(),
        services: services_of(set, route),
        bound: chat.max_prompt_tokens() + limit,
        body: value.to_string().into_bytes(),
        stream: chat.stream,
        key: key.into(),
        fingerprint: crashes::fingerprint(workspace, &[body]),
        deadline: Duration::from_secs(route.deadline_seconds),
        route: route.clone(),
        path: String::new(),
        method: String::new(),
        idempotent: route.idempotent,
        prefix: prefix_of(&route.model, &chat),
        weight: object.weight,
        caller: None,
    })
}
