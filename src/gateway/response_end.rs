//! Collects what shows whether a response that ended with its connection is complete.

use std::{
    cell::RefCell,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use metrics::counter;

use crate::{
    coordination::response_end::{self, End, Evidence, Listing, Probe},
    gateway::{connections, core, crash_reports, exchange, second_conn},
    state::server,
    transport::h1::{body, conn},
};

/// A second connection to the process that sends a response, which ends with that process. It carries no
/// request meanwhile, and goes back to the pool afterwards.
pub struct SecondConn {
    gw: Rc<core::Gateway>,
    server: Arc<server::Server>,
    state: Rc<RefCell<second_conn::State>>,
}

impl SecondConn {
    /// Takes or opens a second connection if the end of the response will not be marked, or shares that of
    /// another response. To be called before the body is read. The response does not wait for the connection.
    pub fn open(gw: &Rc<core::Gateway>, response: &exchange::Response) -> Option<Self> {
        if response.framing != body::Framing::Close {
            return None;
        }
        let server = response.server.clone();
        let (state, is_new) = gw.second_conns.share(&server);
        if is_new {
            // The task ends with the state, which it must not keep.
            let opening = open_and_wait(gw.clone(), server.clone(), Rc::downgrade(&state));
            let task = gw.spawn_task(opening);
            state.borrow_mut().task = Some(task);
        }
        let gw = gw.clone();
        Some(Self { gw, server, state })
    }

    /// What became of the connection, for a response that ended at `ended_at`.
    fn look(&self, ended_at: Duration) -> response_end::SecondConn {
        self.state.borrow().look(ended_at, self.gw.now())
    }
}

/// Opens a second connection and waits for its close. Another one takes its place when its time has passed, as
/// servers close idle connections then. A close after that time is no evidence.
async fn open_and_wait(
    gw: Rc<core::Gateway>,
    server: Arc<server::Server>,
    state: Weak<RefCell<second_conn::State>>,
) {
    loop {
        let (mut conn, until) = match connections::lend(&gw, &server).await {
            Ok(lent) => lent,
            Err(err) => {
                // The evidence that is logged for a failed attempt says that there was none.
                tracing::debug!(id = %server.id, %err, "relay: no second connection");
                break;
            }
        };
        let socket = conn.reader().socket();
        let Some(shared) = state.upgrade() else {
            return;
        };
        if !shared.borrow_mut().replace(conn, until) {
            return;
        }
        drop(shared);
        let left = until.saturating_sub(gw.now());
        let closed = gw.timers.within(left, conn::wait_for_close(socket)).await;
        if closed.is_some() {
            let Some(shared) = state.upgrade() else {
                return;
            };
            shared.borrow_mut().close(gw.now());
            return;
        }
    }
}

impl Drop for SecondConn {
    fn drop(&mut self) {
        if let Some((conn, until)) = self.gw.second_conns.release(&self.server, &self.state) {
            connections::give_back(&self.gw, &self.server, conn, until);
        }
    }
}

/// What the list of servers says now about the process that was listed as `server`.
fn listing(gw: &core::Gateway, server: &server::Server) -> Listing {
    let directory = gw.directory.borrow();
    let is_process = |it: &server::Server| {
        it.id == server.id
            && it.started_unix_ms == server.started_unix_ms
            && it.address == server.address
    };
    let claims = |it: &server::Server| it.id == server.id || it.address == server.address;
    let mut listed = directory.servers.values().filter(|it| claims(it));
    if listed.clone().any(|it| !is_process(it)) {
        return Listing::Replaced;
    }
    match listed.next() {
        None => Listing::Gone,
        Some(it) if !it.takes_work => Listing::Leaving,
        Some(_) if gw.announcements.borrow().is_leaving(server, gw.now()) => Listing::Leaving,
        Some(_) => Listing::Ready,
    }
}

/// Finds out what the end of a response is whose body has been read to its end. Returns the evidence with
/// it, for logs.
pub async fn check(
    gw: &Rc<core::Gateway>,
    response: &exchange::Response,
    second_conn: Option<SecondConn>,
) -> (End, Option<Evidence>) {
    if response.framing != body::Framing::Close {
        return (End::Complete, None);
    }
    let server = &response.server;
    let ended_at = gw.now();
    // One that is opened after the end may lead to another process.
    let second_conn = second_conn.filter(|second_conn| second_conn.state.borrow().was_opened());
    let look = || match &second_conn {
        Some(second_conn) => second_conn.look(ended_at),
        None => response_end::SecondConn::None,
    };
    let probe = match crash_reports::probe(gw, server).await {
        Ok(conn) => {
            gw.timers.sleep(response_end::SETTLE_TIME).await;
            let is_closed = conn.is_closed();
            connections::keep(gw, server, conn, None);
            if is_closed {
                Probe::Closed
            } else {
                Probe::Accepted
            }
        }
        Err(met) => met,
    };
    let mut evidence = Evidence {
        probe,
        listing: listing(gw, server),
        second_conn: look(),
    };
    if evidence.rests_on_second_conn() {
        gw.timers.sleep(response_end::CLOSE_WINDOW).await;
        evidence.listing = listing(gw, server);
        evidence.second_conn = look();
    }
    let end = evidence.end();
    let has_ended =
        probe == Probe::Refused && evidence.second_conn != response_end::SecondConn::Open;
    if has_ended {
        crash_reports::record_ended(gw, server);
    }
    counter!("fulmar_gateway_unmarked_ends_total", "end" => end.name()).increment(1);
    (end, Some(evidence))
}
