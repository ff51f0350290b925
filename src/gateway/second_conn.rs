//! Second connections to the processes that send responses whose ends nothing marks.
//!
//! Such a connection ends with its process. All responses of a process share one, so that there are no more of
//! them than backend servers.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::{Rc, Weak},
    time::Duration,
};

use crate::{
    coordination::response_end,
    gateway::server_conn,
    state::{name, server},
};

/// One start of a server's process.
type Process = (name::Name, u64);

/// A second connection, or what became of it.
#[derive(Default)]
pub struct State {
    /// The connection, and the time until which it may be reused; `None` until it is open and once it is
    /// closed.
    pub conn: Option<(server_conn::ServerConn, Duration)>,
    /// Time at which the process closed it, before its time had passed.
    pub closed_at: Option<Duration>,
    /// Opens the connection and waits for its close.
    pub task: Option<smol::Task<()>>,
}

impl State {
    /// Puts an open connection in the place of the one before, which must still be open: only then does the
    /// new one lead to the same process. Returns whether it was; otherwise there is none from now on.
    pub fn replace(&mut self, conn: server_conn::ServerConn, until: Duration) -> bool {
        let is_first = self.conn.is_none();
        let before = self.conn.take();
        if is_first || before.is_some_and(|(before, _)| before.is_reusable()) {
            self.conn = Some((conn, until));
            return true;
        }
        false
    }

    /// Records that the process closed the connection before its time had passed.
    pub fn close(&mut self, now: Duration) {
        self.conn = None;
        self.closed_at = Some(now);
    }

    /// Whether there will be no connection any more.
    fn is_over(&self) -> bool {
        self.task.as_ref().is_some_and(smol::Task::is_finished)
    }

    /// Whether the connection has been opened; it may have been closed since.
    pub fn was_opened(&self) -> bool {
        self.conn.is_some() || self.closed_at.is_some()
    }

    /// What the connection shows at `now` about a response that ended at `ended_at`.
    pub fn look(&self, ended_at: Duration, now: Duration) -> response_end::SecondConn {
        if let Some(closed_at) = self.closed_at {
            return response_end::closed_second_conn(closed_at, ended_at);
        }
        let Some((conn, until)) = &self.conn else {
            return response_end::SecondConn::None;
        };
        match conn.is_closed() {
            true if now >= *until => response_end::SecondConn::None,
            true => response_end::closed_second_conn(now, ended_at),
            false if conn.is_reusable() => response_end::SecondConn::Open,
            // The server has sent something that nobody asked for, and may have closed it since.
            false => response_end::SecondConn::None,
        }
    }
}

/// The second connections that are in use.
#[derive(Default)]
pub struct SecondConns(RefCell<HashMap<Process, Weak<RefCell<State>>>>);

fn process(server: &server::Server) -> Process {
    (server.id.clone(), server.started_unix_ms)
}

impl SecondConns {
    /// The connection to a server's process, and whether it is a new one, which the caller must open.
    pub fn share(&self, server: &server::Server) -> (Rc<RefCell<State>>, bool) {
        let mut states = self.0.borrow_mut();
        let known = states.get(&process(server)).and_then(Weak::upgrade);
        // One that was closed or could not be opened shows nothing for responses that begin now.
        if let Some(known) = known.filter(|known| !known.borrow().is_over()) {
            return (known, false);
        }
        let state = Rc::new(RefCell::new(State::default()));
        states.insert(process(server), Rc::downgrade(&state));
        (state, true)
    }

    /// Ends the use of a connection by one response. Returns the connection if no other uses it.
    pub fn release(
        &self,
        server: &server::Server,
        state: &Rc<RefCell<State>>,
    ) -> Option<(server_conn::ServerConn, Duration)> {
        if Rc::strong_count(state) > 1 {
            return None;
        }
        let mut states = self.0.borrow_mut();
        let known = states.get(&process(server));
        if known.is_some_and(|known| known.as_ptr() == Rc::as_ptr(state)) {
            states.remove(&process(server));
        }
        state.borrow_mut().conn.take()
    }

    /// Number of connections in use, or being opened.
    pub fn count(&self) -> usize {
        self.0.borrow().len()
    }
}
