//! A caller's request, read and checked.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::{
    code::Code,
    coordination::publish,
    protocol::chat,
    router::{ask, follow},
    state::{name, route},
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
}

impl Refusal {
    /// A request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            may_have_run: false,
            retry_after: None,
        }
    }
}

/// Finds the workspace of a caller key.
///
/// # Errors
///
/// [`Code::BadKey`] when no workspace has the key.
pub fn workspace_of(
    in_force: &follow::InForce,
    authorization: Option<&str>,
) -> Result<name::Name, Refusal> {
    let refuse = |message: &str| Refusal::not_run(Code::BadKey, message);
    let value = authorization.ok_or_else(|| refuse("the Authorization header is missing"))?;
    let key = value
        .strip_prefix("Bearer ")
        .ok_or_else(|| refuse("the key is no bearer token"))?;
    let digest = publish::digest(key.trim().as_bytes());
    let found = in_force.by_key.get(&digest).cloned();
    found.ok_or_else(|| refuse("the key is unknown"))
}

/// Path of the chat completions API.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Reads and checks a question.
///
/// # Errors
///
/// A [`Refusal`] that names what is wrong.
pub fn read(
    in_force: &follow::InForce,
    workspace: &name::Name,
    ask: &ask::Ask,
    id: u128,
) -> Result<Request, Refusal> {
    if ask.method != "POST" || ask.path != CHAT_PATH {
        let message = format!("{} {} is not served", ask.method, ask.path);
        return Err(Refusal::not_run(Code::UnknownRoute, message));
    }
    read_chat(in_force, workspace, ask.key.as_deref(), &ask.body, id)
}

fn read_chat(
    in_force: &follow::InForce,
    workspace: &name::Name,
    key: Option<&str>,
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
    let pools = route.pools.iter().filter_map(|pool| set.pools.get(pool));
    Ok(Request {
        id: format!("req-{:032x}", id).into(),
        workspace: workspace.clone(),
        budget: object.budget.clone(),
        services: pools
            .flat_map(|pool| pool.services.iter().cloned())
            .collect(),
        bound: chat.prompt_bound() + limit,
        body: value.to_string().into_bytes(),
        stream: chat.stream,
        key: key.unwrap_or_default().into(),
        fingerprint: xxh3::xxh3_64_with_seed(body, xxh3::xxh3_64(workspace.as_bytes())),
        deadline: Duration::from_secs(route.deadline_seconds),
        route: route.clone(),
    })
}
