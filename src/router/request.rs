//! A caller's request, read and checked.

use std::time::Duration;

use subtle::ConstantTimeEq;
use xxhash_rust::xxh3;

use crate::{
    code::Code,
    coordination::config_chunks,
    protocol::chat,
    router::{ask, config_sync},
    state::{name, object_set, route},
};

/// A request that may run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: name::Name,
    /// Workspace of the caller.
    pub workspace: name::Name,
    /// Budget that pays.
    pub budget: name::Name,
    /// Route that the caller named.
    pub route: route::Route,
    /// Services whose backend servers may run it.
    pub services: Vec<name::Name>,
    /// Most tokens that it can cost.
    pub bound: u64,
    /// Body for the backend server.
    pub body: Vec<u8>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Idempotency key; empty when none was given.
    pub key: name::Name,
    /// Fingerprint of workspace and body.
    pub fingerprint: u64,
    /// Time from arrival to the deadline.
    pub deadline: Duration,
    /// Path and query of a plain service call; empty for a model call.
    pub path: String,
    /// Method of a plain service call.
    pub method: String,
    /// Whether the call may be run again after an unclear failure.
    pub idempotent: bool,
    /// Hash of the prompt's prefix; zero when unknown.
    pub prefix: u64,
    /// Share of the workspace under contention, relative to others.
    pub weight: u32,
}

impl Request {
    /// Whether the call must be claimed before it is dispatched.
    pub fn must_claim(&self) -> bool {
        !self.idempotent
    }
}

/// Why a request is refused before it is dispatched.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Detail for the caller.
    pub message: String,
    /// Whether the request may have run.
    pub may_have_run: bool,
    /// When to come back, if it helps.
    pub retry_after: Option<Duration>,
    /// Idempotency key of the call, when one was given to it.
    pub key: Option<name::Name>,
}

impl Refusal {
    /// A request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            may_have_run: false,
            retry_after: None,
            key: None,
        }
    }

    /// Tells the caller when to come back.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Finds the workspace of a caller key.
///
/// # Errors
///
/// [`Code::BadKey`] when no workspace has the key.
pub fn workspace_of(
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
    let same = found.filter(|(known, _)| known.as_bytes().ct_eq(digest.as_bytes()).into());
    let workspace = same.map(|(_, workspace)| workspace.clone());
    workspace.ok_or_else(|| refuse("the key is unknown"))
}

/// Path of the chat completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Longest idempotency key, in bytes.
pub const KEY_BYTES: usize = 256;

/// Bytes of the prompt whose hash leads to a backend server that may have them cached.
const PREFIX_BYTES: usize = 1024;

/// Reads and checks a question.
///
/// # Errors
///
/// A [`Refusal`] that names what is wrong.
pub fn read(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    ask: &ask::Ask,
    id: u128,
) -> Result<Request, Refusal> {
    let key = ask.key.as_deref().unwrap_or_default();
    if key.len() > KEY_BYTES {
        let message = format!("the idempotency key is longer than {KEY_BYTES} bytes");
        return Err(Refusal::not_run(Code::BadRequest, message));
    }
    if ask.method == "POST" && ask.path == CHAT_PATH {
        return read_chat(in_force, workspace, key, &ask.body, id);
    }
    read_plain(in_force, workspace, ask, key, id)
}

fn fingerprint(workspace: &str, parts: &[&[u8]]) -> u64 {
    let seed = xxh3::xxh3_64(workspace.as_bytes());
    let add = |seed, part: &&[u8]| xxh3::xxh3_64_with_seed(part, seed);
    parts.iter().fold(seed, add)
}

/// Whether a path lies below a route's prefix.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    !prefix.is_empty() && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

fn read_plain(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    ask: &ask::Ask,
    key: &str,
    id: u128,
) -> Result<Request, Refusal> {
    let set = &in_force.config.set;
    let object = &set.workspaces[workspace];
    let open = object.routes.iter().filter_map(|name| set.routes.get(name));
    let below = open.filter(|route| is_below(&ask.path, &route.path));
    let Some(route) = below.max_by_key(|route| route.path.len()) else {
        let message = format!("{} {} is not served", ask.method, ask.path);
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    };
    let id = format!("req-{id:032x}");
    let safe = matches!(ask.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let idempotent = route.idempotent || safe;
    let given = if key.is_empty() && !idempotent {
        &id
    } else {
        key
    };
    let parts = [ask.method.as_bytes(), ask.path.as_bytes(), &ask.body];
    Ok(Request {
        workspace: workspace.clone(),
        budget: object.budget.clone(),
        services: services_of(set, route),
        bound: route.call_tokens,
        body: ask.body.clone(),
        stream: false,
        key: given.into(),
        fingerprint: fingerprint(workspace, &parts),
        deadline: Duration::from_secs(route.deadline_seconds),
        route: route.clone(),
        path: ask.path.clone(),
        method: ask.method.clone(),
        idempotent,
        prefix: 0,
        weight: object.weight,
        id: id.into(),
    })
}

fn services_of(set: &object_set::ObjectSet, route: &route::Route) -> Vec<name::Name> {
    let pools = route.pools.iter().filter_map(|pool| set.pools.get(pool));
    pools
        .flat_map(|pool| pool.services.iter().cloned())
        .collect()
}

/// Hash of the model and the beginning of the prompt.
fn prefix_of(model: &str, chat: &chat::ChatRequest) -> u64 {
    let mut hash = xxh3::xxh3_64(model.as_bytes());
    let mut left = PREFIX_BYTES;
    for message in &chat.messages {
        let text = message.content.as_str().unwrap_or_default().as_bytes();
        let part = &text[..text.len().min(left)];
        hash = xxh3::xxh3_64_with_seed(part, hash);
        left -= part.len();
    }
    if left == 0 { hash } else { 0 }
}

fn read_chat(
    in_force: &config_sync::ActiveConfig,
    workspace: &name::Name,
    key: &str,
    body: &[u8],
    id: u128,
) -> Result<Request, Refusal> {
    let bad = |err: serde_json::Error| Refusal::not_run(Code::BadRequest, err.to_string());
    let chat: chat::ChatRequest = serde_json::from_slice(body).map_err(bad)?;
    let set = &in_force.config.set;
    let object = &set.workspaces[workspace];
    let named = object.routes.iter().find(|route| ***route == *chat.model);
    let route = named.and_then(|name| set.routes.get(name));
    let Some(route) = route.filter(|route| !route.model.is_empty()) else {
        let message = format!("route {:?} is not open to the workspace", chat.model);
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    };
    let limit = chat.answer_limit().unwrap_or(route.max_tokens);
    if limit > route.max_tokens {
        let message = format!(
            "max_tokens is {limit}, the route allows {}",
            route.max_tokens
        );
        return Err(Refusal::not_run(Code::OverLimit, message));
    }
    let mut value: serde_json::Value = serde_json::from_slice(body).map_err(bad)?;
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
        bound: chat.prompt_bound() + limit,
        body: value.to_string().into_bytes(),
        stream: chat.stream,
        key: key.into(),
        fingerprint: fingerprint(workspace, &[body]),
        deadline: Duration::from_secs(route.deadline_seconds),
        route: route.clone(),
        path: String::new(),
        method: String::new(),
        idempotent: route.idempotent,
        prefix: prefix_of(&route.model, &chat),
        weight: object.weight,
    })
}
