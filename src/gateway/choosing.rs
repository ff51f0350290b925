//! Chooses the backend server to which a request is sent next.

use std::time::Duration;

use crate::{
    coordination::{attempts, placement, suspects},
    gateway::{admission::Admitted, core, crash_reports, directory},
};

/// Why a request is not sent.
pub enum Unplaced {
    /// Servers crashed each time that it ran.
    Refused,
    /// It was running at crashes, and others that were must end first.
    Held,
    /// Every ready server has named a time; the earliest one.
    AllClosed(Duration),
    /// The service has no ready server.
    NoServer,
}

/// Chooses the server for the next attempt. A request that was running at crashes waits until it may
/// be sent, for at most half of the time that it has left.
///
/// # Errors
///
/// [`Unplaced`] tells why there is none.
pub async fn place(
    gw: &core::Gateway,
    req: &Admitted,
    attempts: &attempts::Attempts,
) -> Result<placement::Placed, Unplaced> {
    let keys = &req.outgoing.keys;
    let until = gw.now() + req.time_left(gw.now()) / 2;
    loop {
        if crash_reports::refuses(gw, keys) {
            return Err(Unplaced::Refused);
        }
        match crash_reports::turn(gw, keys) {
            suspects::Turn::Now => match choose_server(gw, req, attempts) {
                Choice::Placed(placed) => return Ok(placed),
                Choice::AllClosed(opens_at) => return Err(Unplaced::AllClosed(opens_at)),
                Choice::None => return Err(Unplaced::NoServer),
                Choice::Beside => (),
            },
            suspects::Turn::Later => (),
            suspects::Turn::Elsewhere => return Err(Unplaced::Held),
        }
        let wait = until.saturating_sub(gw.now());
        let ended = gw.crash_notes.turns.listen();
        if wait.is_zero() || gw.timers.within(wait, ended).await.is_none() {
            return Err(Unplaced::Held);
        }
    }
}

/// Where the next attempt at a request goes.
enum Choice {
    /// This server.
    Placed(placement::Placed),
    /// Every ready server has named a time; the earliest one.
    AllClosed(Duration),
    /// The service has no ready server.
    None,
    /// The request must run alone, and other suspects run at each server that it could use.
    Beside,
}

fn choose_server(gw: &core::Gateway, req: &Admitted, attempts: &attempts::Attempts) -> Choice {
    let ready = directory::ready_servers(gw, &req.service.name);
    let now = gw.now();
    let open = gw.announcements.borrow().open(&ready, now);
    let (ejection, placement) = (gw.ejection.borrow(), gw.placement.borrow());
    let suspects = gw.crash_notes.suspects.borrow();
    let isolation = suspects.isolation_key(&req.outgoing.keys, now);
    let chosen = attempts.choose_server(
        &open.servers,
        |id| ejection.admits(id, now) && suspects.is_apart(id, isolation),
        |servers| match isolation {
            Some(key) => placement.choose_one(servers, &req.prompt, key),
            None => placement.choose_server(servers, &req.prompt, fastrand::u64(..)),
        },
    );
    if suspects.runs_alone(&req.outgoing.keys, now)
        && let Some(placed) = &chosen
        && !suspects.is_apart(&placed.server.id, isolation)
    {
        return Choice::Beside;
    }
    match (chosen, open.opens_at) {
        (Some(placed), _) => Choice::Placed(placed),
        (None, Some(opens_at)) => Choice::AllClosed(opens_at),
        (None, None) => Choice::None,
    }
}
