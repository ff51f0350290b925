//! Admission: checks a request against the configuration and finds its route, service and
//! workspace.

use std::{sync::Arc, time::Duration};

use crate::{
    code::Code,
    coordination::{crashes, placing::placement, suspect_keys},
    gateway::{core, exchange::OutgoingRequest, plain_queues, refusal::Refusal},
    platform::headers,
    state::{deployment, name},
    transport::h1::head,
};

/// Time after a route's timeout at which a request is aborted. It lets the response through that a
/// server sends at its deadline; the platform tolerates half a second.
const TIMEOUT_GRACE: Duration = Duration::from_millis(150);

/// `Retry-After` when the request can't be served at the moment, as when no backend server is
/// available: about two updates of the server list.
pub const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of a router that shuts down: almost immediately, since a new connection reaches
/// another router.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request that was admitted.
pub struct Admitted {
    /// The request as every attempt sends it.
    pub outgoing: OutgoingRequest,
    /// Route that the request matches.
    pub route: Arc<deployment::Route>,
    /// Service to which the request is sent.
    pub service: Arc<deployment::Service>,
    /// Prompt, for the choice of servers.
    pub prompt: placement::Prompt,
    /// Tokens that the request needs.
    pub token_need: headers::TokenNeed,
    /// Time at which the whole request had been received.
    pub received: Duration,
    /// Time that the caller waits, counted from `received`.
    pub deadline: Option<Duration>,
    /// Its place among the requests to a plain service, once it may be sent there.
    pub slot: Option<plain_queues::Slot>,
}

impl Admitted {
    /// Time at which the request is aborted.
    pub fn cutoff(&self) -> Duration {
        self.received + self.route.timeout + TIMEOUT_GRACE
    }

    /// Has the request sent to a service, one of its route's targets.
    pub fn send_to(&mut self, service: Arc<deployment::Service>) {
        let req = &mut self.outgoing;
        let workspace = req.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        let priority = priority.unwrap_or(self.route.priority).min(9);
        req.priority = service.engine.as_ref().map(|_| priority);
        let caller = workspace.map_or("", |workspace| &*workspace.name);
        let sent = [
            req.head.method.as_bytes(),
            req.head.target.as_bytes(),
            &req.body,
        ];
        let shared = shared_parts(&req.parts).iter().map(|part| part.id);
        let whole = crashes::fingerprint(caller, &sent);
        req.keys = suspect_keys::Keys::new(&service.name, shared, whole);
        self.service = service;
    }

    /// The workspace that pays for the request and the tokens that are reserved for it; `None` when its
    /// workspace has no prepaid budget or the request needs no tokens.
    pub fn charged(&self) -> Option<(&deployment::Workspace, u64)> {
        let workspace = self.outgoing.workspace.as_deref()?;
        workspace.prepaid_tokens?;
        let tokens = self.token_need.max_total();
        (tokens > 0).then_some((workspace, tokens))
    }

    /// Names of the services to which the route leads.
    pub fn target_services(&self) -> Vec<name::Name> {
        let targets = self.route.targets.iter();
        targets.map(|target| target.service.clone()).collect()
    }

    /// Time that a server has for the request from `now` on.
    pub fn time_left(&self, now: Duration) -> Duration {
        let spent = now.saturating_sub(self.received);
        let timeout = self.route.timeout.saturating_sub(spent);
        match self.deadline {
            Some(deadline) => timeout.min(deadline.saturating_sub(spent)),
            None => timeout,
        }
    }
}

/// How the workspace of a request is found.
#[derive(Clone, Copy)]
pub enum Identity<'a> {
    /// By the API key among its headers.
    Key,
    /// By this name; only for requests that are explained, not run.
    Workspace(&'a str),
}

/// Checks a request against the configuration in force.
///
/// # Errors
///
/// A refusal when there is no configuration, the route, API key or service is unknown, or this
/// router is shutting down and might not finish the request.
pub fn admit(
    gw: &core::Gateway,
    head: head::RequestHead,
    body: Vec<u8>,
    received: Duration,
) -> Result<Admitted, Refusal> {
    admit_as(gw, head, body, received, Identity::Key, fastrand::f64())
}

/// As [`admit`], with the way to find the workspace. `draw` is a random number from 0 to 1, which selects
/// among the services of the route.
///
/// # Errors
///
/// As for [`admit`].
pub fn admit_as(
    gw: &core::Gateway,
    head: head::RequestHead,
    body: Vec<u8>,
    received: Duration,
    identity: Identity<'_>,
    draw: f64,
) -> Result<Admitted, Refusal> {
    let deployment = gw.deployment().ok_or_else(|| {
        Refusal::new(Code::NotReady, "no configuration yet").retry_after(UNAVAILABLE_RETRY_AFTER)
    })?;
    let host = head
        .headers
        .text("Host")
        .unwrap_or_default()
        .to_ascii_lowercase();
    let name = host.split(':').next().unwrap_or_default();
    let path = head.target.split('?').next().unwrap_or_default();
    let route = deployment
        .route(&host, path)
        .or_else(|| deployment.route(name, path));
    let route = route.ok_or_else(|| {
        let version = deployment.version;
        let message = format!("configuration {version} has no route for {host}{path}");
        unknown_refusal(gw, Code::UnknownRoute, message)
    })?;
    if gw
        .draining
        .get()
        .is_some_and(|draining| !draining.accepts(route.timeout, received))
    {
        return Err(draining_refusal());
    }
    let mut workspace = None;
    if !deployment.workspaces.is_empty() && !route.is_public {
        let found = find_workspace(&deployment, &head.headers, identity);
        workspace = Some(found.map_err(|message| unknown_refusal(gw, Code::BadKey, message))?);
    }
    let service = pick_service(&deployment, route, draw).ok_or_else(|| {
        Refusal::new(Code::NoBackend, "the route's service is not known")
            .retry_after(UNAVAILABLE_RETRY_AFTER)
    })?;
    let token_need = headers::token_need(&head.headers).unwrap_or_default();
    let parts = headers::prompt_parts(&head.headers);
    let prompt = prompt(&parts, token_need.input);
    let deadline = headers::deadline(&head.headers);
    let id = head
        .headers
        .text(headers::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let mut admitted = Admitted {
        outgoing: OutgoingRequest {
            id,
            keys: suspect_keys::Keys::default(),
            parts,
            head,
            body,
            workspace,
            priority: None,
        },
        route: route.clone(),
        service: service.clone(),
        prompt,
        token_need,
        received,
        deadline,
        slot: None,
    };
    admitted.send_to(service);
    Ok(admitted)
}

/// Refusal of a request for what the configuration in force does not have. A newer one that is known may have it, so
/// the caller may retry.
fn unknown_refusal(gw: &core::Gateway, code: Code, message: String) -> Refusal {
    match gw.watch_notes.config.borrow().behind_since() {
        None => Refusal::new(code, message),
        Some(_) => Refusal::new(
            Code::StaleConfig,
            format!("{message}; a newer one is on its way"),
        )
        .retry_after(UNAVAILABLE_RETRY_AFTER),
    }
}

/// Refusal of a request that was not sent, as this router is shutting down.
pub fn draining_refusal() -> Refusal {
    Refusal::new(Code::Draining, "this router is leaving").retry_after(DRAINING_RETRY_AFTER)
}

/// Finds the workspace of a request; fails with what is unknown.
fn find_workspace(
    deployment: &deployment::Deployment,
    headers: &head::Headers,
    identity: Identity<'_>,
) -> Result<Arc<deployment::Workspace>, String> {
    let key = headers::api_key(headers);
    let found = match identity {
        Identity::Key => key.and_then(|key| deployment.keys.get(key)),
        Identity::Workspace(name) => deployment.workspaces.get(name),
    };
    found.cloned().ok_or_else(|| {
        let version = deployment.version;
        match (identity, key) {
            (Identity::Workspace(_), _) => {
                format!("configuration {version} does not know the workspace")
            }
            (Identity::Key, Some(_)) => format!("configuration {version} does not know the key"),
            (Identity::Key, None) => "no key was given".to_owned(),
        }
    })
}

/// The parts of a prompt that other requests may share; the last part belongs to the request or its
/// session.
fn shared_parts(parts: &[headers::PromptPart]) -> &[headers::PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// The prompt of a request with `input_tokens` tokens that names these parts.
///
/// The prefix that others may share ends with the last shared part. A prompt of one part is shared
/// by the requests of its session only.
fn prompt(parts: &[headers::PromptPart], input_tokens: u64) -> placement::Prompt {
    let shared = shared_parts(parts);
    let shared_tokens = shared
        .iter()
        .map(|part| part.tokens)
        .fold(0, u64::saturating_add);
    placement::Prompt {
        prefix: shared.last().or(parts.last()).map(|part| part.id),
        shared_tokens,
        own_tokens: input_tokens.saturating_sub(shared_tokens),
    }
}

/// Picks one of a route's target services in proportion to their weights; `draw` is a random number from
/// 0 to 1.
fn pick_service(
    deployment: &deployment::Deployment,
    route: &deployment::Route,
    draw: f64,
) -> Option<Arc<deployment::Service>> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut at = draw * total;
    let picked = route.targets.iter().find(|target| {
        at -= target.weight;
        at < 0.0
    });
    let picked = picked.or(route.targets.last())?;
    deployment.services.get(&picked.service).cloned()
}
