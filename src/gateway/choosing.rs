//! Chooses the backend server to which a request is sent next.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use derive_more::Display;

use crate::{
    coordination::{
        attempts, origin_search,
        placing::{placement, timeliness},
        suspect_turns,
    },
    gateway::{
        admission::Admitted, core, crash_reports, directory, releases, server_conn, server_limits,
    },
    state::{release, server},
    transport::h1::connection_pool,
};

/// Longest waits for a turn and for a permit, as fractions of the time that a request has left. A
/// caller that is told to come back needs the rest.
const MAX_TURN_WAIT: f64 = 0.5;
const MAX_PERMIT_WAIT: f64 = 0.25;

/// Time for which a request waits for permits that were asked for, before it goes to another server.
const PERMIT_ANSWER_TIME: Duration = Duration::from_millis(50);

/// Why a request is not sent.
pub enum Unplaced {
    /// Servers crashed each time that it ran.
    Refused,
    /// It was running at crashes, and others that were must end first.
    Held,
    /// Every ready server has named a time; the earliest one.
    AllClosed(Duration),
    /// No server can send the first event in time; the best one.
    Late(timeliness::Late),
    /// The service has no ready server.
    NoServer,
    /// The stream can't be resumed: no server runs the release that began it, or that is uncertain.
    StreamLost(&'static str),
}

/// Chooses the server for the next attempt. A request that was running at crashes waits until it may
/// be sent, and one for which all servers have reached their limits until one takes it again, if that
/// is soon.
///
/// # Errors
///
/// [`Unplaced`] tells why there is none.
pub async fn place(
    gw: &Rc<core::Gateway>,
    req: &Admitted,
    attempts: &attempts::Attempts,
    origin: &origin_search::Origin,
) -> Result<placement::Placed, Unplaced> {
    let began = gw.now();
    let left = req.time_left(began);
    let turn_until = began + left.mul_f64(MAX_TURN_WAIT);
    let permit_until = permit_until(began, left);
    loop {
        let drawn = fastrand::u64(..);
        match decide(gw, req, attempts, origin, drawn, |_, _| (), |_, _| ())? {
            Choice::Placed(placed, ()) => match server_limits::admit(gw, &placed.server) {
                server_limits::Admission::Admitted => return Ok(placed),
                server_limits::Admission::Closed => continue,
                server_limits::Admission::Asked => {
                    let answered = gw.permits_changed.listen();
                    gw.timers.within(PERMIT_ANSWER_TIME, answered).await;
                    continue;
                }
            },
            Choice::AllClosed {
                opens_at,
                by_limit: true,
            } if opens_at < permit_until => {
                let wait = opens_at.saturating_sub(gw.now());
                let changed = gw.permits_changed.listen();
                gw.timers.within(wait, changed).await;
                continue;
            }
            Choice::AllClosed { opens_at, .. } => return Err(Unplaced::AllClosed(opens_at)),
            Choice::Late(late) => return Err(Unplaced::Late(late)),
            Choice::None => return Err(Unplaced::NoServer),
            Choice::Wait => (),
        }
        let wait = turn_until.saturating_sub(gw.now());
        let ended = gw.crash_notes.turns.listen();
        if wait.is_zero() || gw.timers.within(wait, ended).await.is_none() {
            return Err(Unplaced::Held);
        }
    }
}

/// Time until which a request waits for a permit that has `left` from `began` on.
pub fn permit_until(began: Duration, left: Duration) -> Duration {
    began + left.mul_f64(MAX_PERMIT_WAIT)
}

/// Where the next attempt at a request goes.
pub enum Choice<T> {
    /// This server, with what the caller of [`decide`] wanted to know of the choice.
    Placed(placement::Placed, T),
    /// Every ready server has named a time, or a limit that is reached.
    AllClosed {
        /// Earliest time at which one of them takes a request.
        opens_at: Duration,
        /// Whether that is a limited server.
        by_limit: bool,
    },
    /// No server can send the first event in time; the best one.
    Late(timeliness::Late),
    /// The service has no ready server.
    None,
    /// The request was running at crashes, and others that were run here or at each server that it could
    /// use.
    Wait,
}

/// Why a server of the service does not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Exclusion {
    /// The list of servers says that it takes no new work.
    #[display("draining")]
    Draining,
    /// A stream may not begin at its version of the software, or began at another one.
    #[display("version")]
    Version,
    /// Its process was seen to end.
    #[display("ended")]
    Ended,
    /// It said that it is leaving.
    #[display("leaving")]
    Leaving,
    /// It named this time until which it takes no requests.
    #[display("closed")]
    Closed(Duration),
    /// Its limit is reached until this time.
    #[display("limit_reached")]
    LimitReached(Duration),
    /// Attempts failed there. It gets requests when no other server can.
    #[display("ejected")]
    Ejected,
    /// A request that was running at crashes runs there, or this one was and must run elsewhere. It is used
    /// when no other server can be.
    #[display("isolated")]
    Isolated,
}

/// What a server is chosen from.
pub struct Basis<'a> {
    /// Loads of the servers.
    pub placement: &'a placement::Placement,
    /// Prompt of the request.
    pub prompt: &'a placement::Prompt,
    /// Conditions of the choice.
    pub conditions: placement::Conditions,
    /// Whether the request was running at crashes and is kept away from others. Costs do not count then.
    pub is_isolated: bool,
    pool: &'a connection_pool::ConnectionPool<server_conn::ServerConn>,
}

impl Basis<'_> {
    /// Whether there is an idle connection to a server.
    pub fn has_idle(&self, server: &server::Server) -> bool {
        self.pool.has_idle(server.address, self.conditions.now)
    }
}

/// Decides where the next attempt at a request goes, without sending it. `tie` is a random number.
/// `exclude` is called for each server that does not get it, `view` with what the server is chosen from.
///
/// # Errors
///
/// [`Unplaced`] tells why there is none.
pub fn decide<T>(
    gw: &core::Gateway,
    req: &Admitted,
    attempts: &attempts::Attempts,
    origin: &origin_search::Origin,
    tie: u64,
    mut exclude: impl FnMut(&Arc<server::Server>, Exclusion),
    view: impl Fn(&Basis<'_>, &[Arc<server::Server>]) -> T,
) -> Result<Choice<T>, Unplaced> {
    let keys = &req.outgoing.keys;
    if crash_reports::refuses(gw, keys) {
        return Err(Unplaced::Refused);
    }
    match crash_reports::turn(gw, keys) {
        suspect_turns::Turn::Now => (),
        suspect_turns::Turn::Later => return Ok(Choice::Wait),
        suspect_turns::Turn::Elsewhere => return Err(Unplaced::Held),
        suspect_turns::Turn::Never => return Err(Unplaced::Refused),
    }
    let ready = eligible_servers(gw, req, origin, &mut exclude)?;
    Ok(choose_server(gw, req, attempts, ready, tie, exclude, view))
}

/// Ready servers that may serve a request. A stream begins at releases that are recorded, and is resumed
/// at the one that began it only.
fn eligible_servers(
    gw: &core::Gateway,
    req: &Admitted,
    origin: &origin_search::Origin,
    exclude: &mut impl FnMut(&Arc<server::Server>, Exclusion),
) -> Result<Vec<Arc<server::Server>>, Unplaced> {
    let mut servers = directory::servers_of(gw, &req.service.name);
    let mut retain = |servers: &mut Vec<_>, why, keeps: &dyn Fn(&server::Server) -> bool| {
        servers.retain(|server: &Arc<server::Server>| {
            let is_kept = keeps(server);
            if !is_kept {
                exclude(server, why);
            }
            is_kept
        });
    };
    retain(&mut servers, Exclusion::Draining, &|it| it.takes_work);
    if !req.route.kind.is_resumable() {
        return Ok(servers);
    }
    match origin {
        origin_search::Origin::NotBegun => {
            let mut softwares: Vec<_> = servers.iter().map(|it| it.software.clone()).collect();
            softwares.sort();
            softwares.dedup();
            softwares.retain(|software| {
                let release = release::Release::new(req.service.name.clone(), software.clone());
                releases::is_recorded(gw, &release)
            });
            retain(&mut servers, Exclusion::Version, &|it| {
                softwares.contains(&it.software)
            });
        }
        origin_search::Origin::Release(release) => {
            retain(&mut servers, Exclusion::Version, &|it| {
                it.release() == *release
            });
            if servers.is_empty() {
                return Err(Unplaced::StreamLost(
                    "no backend server runs the software that began the stream",
                ));
            }
            retain(&mut servers, Exclusion::Ended, &|it| {
                !directory::has_ended(gw, it)
            });
        }
        origin_search::Origin::Lost | origin_search::Origin::Unknown => {
            return Err(Unplaced::StreamLost(
                "it is uncertain which software began the stream",
            ));
        }
    }
    Ok(servers)
}

/// Smallest target for the time between two events among the routes to a service.
fn smallest_target_gap(gw: &core::Gateway, service: &str) -> Duration {
    let deployment = gw.deployment.borrow();
    let routes = deployment
        .iter()
        .flat_map(|it| it.routes.values().flatten());
    let to_service = routes.filter(|route| {
        let mut targets = route.targets.iter();
        route.kind.is_stream() && targets.any(|target| &*target.service == service)
    });
    let gaps = to_service.map(|route| route.target_gap);
    gaps.min().unwrap_or(Duration::MAX)
}

fn choose_server<T>(
    gw: &core::Gateway,
    req: &Admitted,
    attempts: &attempts::Attempts,
    ready: Vec<Arc<server::Server>>,
    tie: u64,
    mut exclude: impl FnMut(&Arc<server::Server>, Exclusion),
    view: impl Fn(&Basis<'_>, &[Arc<server::Server>]) -> T,
) -> Choice<T> {
    let now = gw.now();
    let announcements = gw.announcements.borrow();
    let open = announcements.open(&ready, now);
    if open.servers.len() < ready.len() {
        for server in ready.iter().filter(|it| !announcements.admits(it, now)) {
            let closed_until = announcements.opens_at(server, now);
            exclude(
                server,
                match closed_until.filter(|_| !announcements.is_leaving(server, now)) {
                    Some(until) => Exclusion::Closed(until),
                    None => Exclusion::Leaving,
                },
            );
        }
    }
    drop(announcements);
    let mut limited_until: Option<Duration> = None;
    let mut servers = open.servers;
    servers.retain(|server| {
        let opens_at = server_limits::opens_at(gw, server, now);
        limited_until = limited_until.into_iter().chain(opens_at).min();
        if let Some(until) = opens_at {
            exclude(server, Exclusion::LimitReached(until));
        }
        opens_at.is_none()
    });
    let (ejection, placement) = (gw.ejection.borrow(), gw.placement.borrow());
    let pool = gw.server_pool.borrow();
    let engine = req.service.engine.as_ref();
    let conditions = placement::Conditions {
        now,
        tie,
        tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
        target_gap: smallest_target_gap(gw, &req.service.name),
        routers: gw.router_count(),
    };
    // A request that was sent before may have run, so that a refusal could not say that it did not.
    if engine.is_some()
        && attempts.count() == 0
        && let Some(slot_time) = gw.slot_times.borrow().mean(&req.service.name, now)
    {
        let left = req.time_left(now);
        let prompt = &req.prompt;
        let late = timeliness::late(&placement, &servers, prompt, &conditions, slot_time, left);
        if let Some(late) = late {
            return Choice::Late(late);
        }
    }
    let freed = req.slot.as_ref().and_then(|slot| slot.freed_server());
    let suspects = gw.crash_notes.suspects.borrow();
    let isolation = suspects.isolation_key(&req.outgoing.keys, now);
    let basis = Basis {
        placement: &placement,
        prompt: &req.prompt,
        conditions,
        is_isolated: isolation.is_some(),
        pool: &pool,
    };
    let avoided = RefCell::new(Vec::new());
    let is_healthy = |id: &str| {
        let why = match ejection.admits(id, now) {
            false => Exclusion::Ejected,
            true if !suspects.is_apart(id, isolation) => Exclusion::Isolated,
            true => return true,
        };
        avoided.borrow_mut().push((id.to_owned(), why));
        false
    };
    let pick = |servers: &[Arc<server::Server>]| {
        let has_idle = |server: &server::Server| basis.has_idle(server);
        let placed = match isolation {
            Some(key) => placement.choose_one(servers, &req.prompt, key, &conditions),
            None => {
                let freed = servers.iter().find(|it| Some(&it.id) == freed.as_ref());
                let servers = freed.map_or(servers, std::slice::from_ref);
                placement.choose_server(servers, &req.prompt, &conditions, has_idle)
            }
        };
        placed.map(|placed| (placed, view(&basis, servers)))
    };
    let chosen = attempts.choose_server(&servers, is_healthy, pick);
    let avoided = avoided.take();
    let is_avoided =
        |placed: &placement::Placed| avoided.iter().any(|(id, _)| **id == *placed.server.id);
    // When all are avoided, one of them is chosen.
    if !chosen
        .as_ref()
        .is_some_and(|(placed, _)| is_avoided(placed))
    {
        for (id, why) in &avoided {
            if let Some(server) = servers.iter().find(|server| *server.id == **id) {
                exclude(server, *why);
            }
        }
    }
    if suspects.runs_alone(&req.outgoing.keys, now)
        && let Some((placed, _)) = &chosen
        && !suspects.is_apart(&placed.server.id, isolation)
    {
        return Choice::Wait;
    }
    if let Some((placed, view)) = chosen {
        return Choice::Placed(placed, view);
    }
    let opens_at = limited_until.into_iter().chain(open.opens_at).min();
    match opens_at {
        Some(opens_at) => Choice::AllClosed {
            opens_at,
            by_limit: limited_until == Some(opens_at),
        },
        None => Choice::None,
    }
}
