//! Explains where a request would go, without sending or counting it. The steps are those of
//! [`request`], by the same functions; none of them changes a state, and the random numbers are drawn
//! from a generator that nothing else uses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    coordination::{
        attempts,
        budgets::{cover, share, waiting},
        origin_search::Origin,
        placing::explanation as placing,
    },
    gateway::{
        admission::{self, Admitted},
        budget, budget_homes, choosing, core,
        explanation::{Budget, Excluded, Explanation, Load, MAX_SERVERS, Refused, Server},
        ledger, overload,
        refusal::Refusal,
        request, request_error, server_limits, stream_origins,
    },
    platform::headers,
    state::server,
    transport::h1::head,
};

const UNKNOWN_ORIGIN: &str = "this gateway has no note of the software version that began the stream; \
                              it asks others when the request comes";

const WAITS_FOR_PERMIT: &str =
    "the limits of all servers are reached; the request waits for a permit";

const WAITS_FOR_TURN: &str =
    "servers crashed while the request ran; it waits until others like it have ended";

/// Explains where a request with this head would go. Its body matters only for requests whose bodies crashed
/// servers.
///
/// # Errors
///
/// The reason when the gateway has not read yet what is needed for that.
pub fn explain(
    gw: &core::Gateway,
    head: head::RequestHead,
    identity: admission::Identity<'_>,
) -> Result<Explanation, &'static str> {
    let unread = gw.not_ready_reason().filter(|_| !gw.is_draining());
    if let Some(reason) = unread {
        return Err(reason);
    }
    let now = gw.now();
    let mut rng = fastrand::Rng::with_seed(gw.incarnation ^ now.as_nanos() as u64);
    let mut explained = Explanation {
        gateway: gw.holder(),
        configuration: gw.deployment().map_or(0, |deployment| deployment.version),
        ..Explanation::default()
    };
    let admitted = admission::admit_as(gw, head, Vec::new(), now, identity, rng.f64());
    let refusal = match admitted {
        Ok(mut req) => explain_admitted(gw, &mut req, &mut rng, &mut explained),
        Err(refusal) => Some(refusal),
    };
    explained.refusal = refusal.as_ref().map(refused);
    if explained.refusal.is_some() {
        explained.chosen = None;
    }
    let (route, chosen) = (explained.route.as_deref(), explained.chosen.as_deref());
    let code = explained.refusal.as_ref().map(|refused| &*refused.code);
    tracing::debug!(route, chosen, code, "explain: a request was explained");
    Ok(explained)
}

/// Explains a request that was admitted. Returns the first refusal that it would get, if any.
fn explain_admitted(
    gw: &core::Gateway,
    req: &mut Admitted,
    rng: &mut fastrand::Rng,
    explained: &mut Explanation,
) -> Option<Refusal> {
    explained.route = Some(req.route.name.to_string());
    let workspace = req.outgoing.workspace.as_ref();
    explained.workspace = workspace.map(|workspace| workspace.name.to_string());
    let estimate = overload::estimate(gw, req);
    explained.load = Some(load(&estimate));
    let origin = known_origin(gw, req);
    let lost = match &origin {
        Origin::NotBegun | Origin::Unknown => None,
        origin => request::follow_origin(gw, req, origin).err(),
    };
    describe_service(req, explained);
    let (budget, uncovered) = explain_budget(gw, req);
    explained.budget = budget;
    let unplaced = match &origin {
        Origin::Unknown => {
            explained.unknown = Some(UNKNOWN_ORIGIN.to_owned());
            None
        }
        origin => explain_choice(gw, req, origin, rng, explained),
    };
    let is_late = req.time_left(gw.now()).is_zero();
    let late = is_late.then(request_error::late_refusal);
    let refusals = [estimate.certain_refusal(), lost, uncovered, unplaced, late];
    refusals.into_iter().flatten().next()
}

fn describe_service(req: &Admitted, explained: &mut Explanation) {
    let targets = req.route.targets.iter();
    let total: f64 = targets.clone().map(|target| target.weight).sum();
    let own = targets.filter(|target| target.service == req.service.name);
    let own: f64 = own.map(|target| target.weight).sum();
    explained.service = Some(req.service.name.to_string());
    explained.service_share = Some(own / total).filter(|share| share.is_finite());
}

/// Where the stream began that a request takes up again, as far as this gateway has noted it. The request
/// itself would make it ask others.
fn known_origin(gw: &core::Gateway, req: &Admitted) -> Origin {
    let resumption = headers::resumption(&req.outgoing.head.headers);
    let Some(resumption) = resumption.filter(|_| req.route.kind.is_resumable()) else {
        return Origin::NotBegun;
    };
    let workspace = req.outgoing.workspace.as_ref().map(|it| &it.name);
    let first_request = match resumption.first_request {
        "" => &*req.outgoing.id,
        first_request => first_request,
    };
    let key = stream_origins::stream_key(workspace, first_request);
    let note = gw.stream_notes.origins.borrow().note(key);
    note.map_or(Origin::Unknown, Origin::from)
}

/// Explains how the budget of the workspace covers a request; with the refusal if it does not.
fn explain_budget(gw: &core::Gateway, req: &Admitted) -> (Option<Budget>, Option<Refusal>) {
    let Some((workspace, needed)) = req.charged() else {
        return (None, None);
    };
    let name = &workspace.name;
    let prepaid = workspace.prepaid_tokens.unwrap_or(0);
    let share = gw.shares.borrow().get(name).cloned().unwrap_or_default();
    let home = match budget_homes::first_home(gw, name) {
        budget_homes::Candidate::Local => None,
        budget_homes::Candidate::Peer(address) => Some(address),
    };
    // Only the home refuses by this finding; other gateways ask it.
    let found = budget::known_exhausted(gw, name, prepaid, needed).filter(|_| home.is_none());
    let state = cover::cover(needed, prepaid, share.covers(needed), found.as_ref());
    let refused = match state {
        cover::Cover::Share | cover::Cover::Acquire => None,
        cover::Cover::Insufficient => Some(waiting::Refused::Exhausted),
        cover::Cover::Unreachable => found.map(budget::refused_as),
    };
    let left = req.time_left(gw.now());
    let refusal = refused.map(|refused| request::token_refusal(name, needed, refused, left));
    let read = gw.ledgers.borrow().get(name).and_then(ledger::decode);
    let budget = Budget {
        state: state.to_string(),
        needed,
        available: share.available(),
        prepaid,
        home: home.as_ref().map(SocketAddr::to_string),
        grantable: read.map(|it| share::grantable(prepaid).saturating_sub(it.granted())),
    };
    (Some(budget), refusal)
}

/// Explains the choice of a server; returns the refusal when there is none.
fn explain_choice(
    gw: &core::Gateway,
    req: &Admitted,
    origin: &Origin,
    rng: &mut fastrand::Rng,
    explained: &mut Explanation,
) -> Option<Refusal> {
    let now = gw.now();
    let attempts = attempts::Attempts::new(attempts::Limits {
        max_runs: req.route.max_attempts,
        is_retryable: req.route.kind.is_retryable(),
    });
    let mut excluded = Vec::new();
    let exclude = |server: &Arc<server::Server>, why| excluded.push(exclusion(server, why, now));
    let view = |basis: &choosing::Basis<'_>, servers: &[Arc<server::Server>]| {
        let has_idle = |server: &server::Server| basis.has_idle(server);
        let (placement, conditions) = (basis.placement, &basis.conditions);
        let costs = placing::explain(placement, servers, basis.prompt, conditions, has_idle);
        let is_by_chance = !basis.is_isolated && placing::is_by_chance(&costs, basis.prompt);
        (costs, is_by_chance, basis.is_isolated)
    };
    let chosen = choosing::decide(gw, req, &attempts, origin, rng.u64(..), exclude, view);
    excluded.sort_by(|a, b| a.server.cmp(&b.server));
    explained.more_excluded = excluded.len().saturating_sub(MAX_SERVERS);
    excluded.truncate(MAX_SERVERS);
    explained.excluded = excluded;
    let unplaced = match chosen {
        Ok(choosing::Choice::Placed(placed, (costs, is_by_chance, is_isolated))) => {
            explained.is_isolated = is_isolated;
            explained.chosen = Some(placed.server.id.to_string());
            explained.is_by_chance = is_by_chance;
            explained.more_servers = costs.len().saturating_sub(MAX_SERVERS);
            let listed = costs.iter().take(MAX_SERVERS);
            explained.servers = listed.map(|cost| described(gw, cost)).collect();
            return None;
        }
        Ok(choosing::Choice::AllClosed {
            opens_at,
            by_limit: true,
        }) if opens_at < choosing::permit_until(now, req.time_left(now)) => {
            explained.unknown = Some(WAITS_FOR_PERMIT.to_owned());
            return None;
        }
        Ok(choosing::Choice::Wait) => {
            explained.unknown = Some(WAITS_FOR_TURN.to_owned());
            return None;
        }
        Ok(choosing::Choice::AllClosed { opens_at, .. }) => choosing::Unplaced::AllClosed(opens_at),
        Ok(choosing::Choice::Late(late)) => choosing::Unplaced::Late(late),
        Ok(choosing::Choice::None) => choosing::Unplaced::NoServer,
        Err(unplaced) => unplaced,
    };
    let left = req.time_left(now);
    Some(request_error::unsent_refusal(gw, &unplaced, left))
}

fn load(estimate: &overload::Estimate) -> Load {
    let millis = |time: Duration| time.as_secs_f64() * 1000.0;
    Load {
        lag_ms: millis(estimate.lag),
        limit_ms: estimate.limit.map(millis),
        room: estimate.room,
        pressure: estimate.pressure,
        chance: estimate.chance,
    }
}

fn refused(refusal: &Refusal) -> Refused {
    Refused {
        number: refusal.code as u16,
        code: refusal.code.to_string(),
        status: refusal.status,
        message: refusal.message.clone(),
        retry_after_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
    }
}

fn exclusion(server: &server::Server, why: choosing::Exclusion, now: Duration) -> Excluded {
    let opens_at = match why {
        choosing::Exclusion::Closed(at) | choosing::Exclusion::LimitReached(at) => Some(at),
        _ => None,
    };
    Excluded {
        server: server.id.to_string(),
        zone: server.zone.to_string(),
        version: server.software.to_string(),
        reason: why.to_string(),
        opens_in_ms: opens_at.map(|at| at.saturating_sub(now).as_millis() as u64),
    }
}

fn described(gw: &core::Gateway, cost: &placing::ServerCost) -> Server {
    let (server, state, expected) = (&cost.server, &cost.state, &cost.expected);
    Server {
        server: server.id.to_string(),
        zone: server.zone.to_string(),
        version: server.software.to_string(),
        cost_ms: cost.total_ms,
        first_event_ms: expected.first_event_ms,
        others_ms: expected.others_ms,
        connect_ms: cost.connect_ms,
        gap_ms: expected.gap_ms,
        tokens: cost.unread_tokens,
        read_again: cost.read_again,
        is_first: cost.is_first,
        unread: state.unread_tokens as u64,
        running: state.running,
        slots: state.slots,
        slowness: state.slowness,
        own_running: cost.own_running,
        reported_running: cost.load.map(|load| load.reported.running),
        reported_waiting: cost.load.map(|load| load.reported.waiting),
        report_age_ms: cost.load.map(|load| load.age.as_millis() as u64),
        considered: cost.considered,
        limit: server_limits::limit(gw, server),
    }
}
