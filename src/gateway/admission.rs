//! Guards: which requests are let in, on which route, for which workspace.

use std::{sync::Arc, time::Duration};

use crate::{
    code::Code,
    gateway::{core, exchange::Outgoing, refusal::Refusal},
    platform::headers,
    state::deployment,
    transport::h1::head,
};

/// Time past a route's timeout at which a request is ended: a server's own answer at its deadline
/// still comes through, and the platform allows half a second.
const TIMEOUT_SLACK: Duration = Duration::from_millis(150);

/// Time after which a caller may come back when no server could be used: about two rounds of the
/// list of servers.
pub const COME_BACK: Duration = Duration::from_millis(300);

/// Time after which a caller may come back that a leaving router refused: at once, since another
/// connection leads to another router.
const LEAVING_COME_BACK: Duration = Duration::from_millis(20);

/// A request that passed the guards.
pub struct Admitted {
    /// What every attempt needs.
    pub out: Outgoing,
    /// Route.
    pub route: Arc<deployment::Route>,
    /// Service that runs it.
    pub service: Arc<deployment::Service>,
    /// Last part of the prompt that other requests share.
    pub part: Option<u64>,
    /// Tokens that it needs.
    pub need: headers::TokenNeed,
    /// When its last byte came.
    pub received: Duration,
    /// Time that the caller waits, from then on.
    pub deadline: Option<Duration>,
}

impl Admitted {
    /// Time at which the request is ended.
    pub fn end(&self) -> Duration {
        self.received + self.route.timeout + TIMEOUT_SLACK
    }

    /// Time that the server has, from now.
    pub fn left(&self, now: Duration) -> Duration {
        let spent = now.saturating_sub(self.received);
        let timeout = self.route.timeout.saturating_sub(spent);
        match self.deadline {
            Some(deadline) => timeout.min(deadline.saturating_sub(spent)),
            None => timeout,
        }
    }
}

/// Checks a request against the configuration in force.
///
/// # Errors
///
/// The refusal: no configuration, route or key, or a router that is leaving.
pub fn admit(
    gw: &core::Gateway,
    head: head::RequestHead,
    body: Vec<u8>,
    received: Duration,
) -> Result<Admitted, Refusal> {
    let deployment = gw.deployment().ok_or_else(|| {
        Refusal::new(Code::NotReady, "no configuration yet").retry_after(COME_BACK)
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
        Refusal::new(Code::UnknownRoute, message)
    })?;
    if gw
        .draining
        .get()
        .is_some_and(|draining| !draining.accepts(route.timeout, received))
    {
        let message = "this router is leaving";
        return Err(Refusal::new(Code::Draining, message).retry_after(LEAVING_COME_BACK));
    }
    let mut workspace = None;
    if !deployment.workspaces.is_empty() && !route.is_public {
        let key = headers::api_key(&head.headers);
        let found = key.and_then(|key| deployment.keys.get(key));
        let found = found.ok_or_else(|| {
            let version = deployment.version;
            let message = match key {
                Some(_) => format!("configuration {version} does not know the key"),
                None => "no key was given".to_owned(),
            };
            Refusal::new(Code::BadKey, message)
        })?;
        workspace = Some(found.clone());
    }
    let service = pick_service(&deployment, route).ok_or_else(|| {
        Refusal::new(Code::NoBackend, "the route's service is not known").retry_after(COME_BACK)
    })?;
    let parts = headers::prompt_parts(&head.headers);
    // The last part is the request's own; the one before it is the last that others share.
    let shared = parts.len().saturating_sub(2);
    let part = parts.get(shared).map(|part| part.id);
    let need = headers::token_need(&head.headers).unwrap_or_default();
    let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    let priority = priority.unwrap_or(route.priority).min(9);
    let priority = service.engine.as_ref().map(|_| priority);
    let deadline = headers::deadline(&head.headers);
    let id = head
        .headers
        .text(headers::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    Ok(Admitted {
        out: Outgoing {
            id,
            head,
            body,
            workspace,
            priority,
        },
        route: route.clone(),
        service,
        part,
        need,
        received,
        deadline,
    })
}

/// Picks one of a route's services by their weights.
fn pick_service(
    deployment: &deployment::Deployment,
    route: &deployment::Route,
) -> Option<Arc<deployment::Service>> {
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let mut at = fastrand::f64() * total;
    let picked = route.targets.iter().find(|target| {
        at -= target.weight;
        at < 0.0
    });
    let picked = picked.or(route.targets.last())?;
    deployment.services.get(&picked.service).cloned()
}
