//! Chooses the backend server to which a request is sent next.

use std::time::Duration;

use crate::{
    coordination::{attempts, placement},
    gateway::{admission::Admitted, core, directory},
};

/// Where the next attempt at a request goes.
pub enum Choice {
    /// This server.
    Placed(placement::Placed),
    /// Every ready server has named a time; the earliest one.
    AllClosed(Duration),
    /// The service has no ready server.
    None,
}

/// Chooses the server for the next attempt.
pub fn choose_server(gw: &core::Gateway, req: &Admitted, attempts: &attempts::Attempts) -> Choice {
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
    match (chosen, open.opens_at) {
        (Some(placed), _) => Choice::Placed(placed),
        (None, Some(opens_at)) => Choice::AllClosed(opens_at),
        (None, None) => Choice::None,
    }
}
