//! A connection to a backend server, with the requests that it has carried.

use std::borrow::Borrow;

use crate::{coordination::send_history, transport::h1::conn};

/// A connection to a backend server. It is reset when it is dropped before the response to its newest
/// request is complete, since the kernel delivers a request after a plain close.
pub struct ServerConn {
    conn: conn::Conn,
    history: send_history::SendHistory,
    is_awaiting_response: bool,
}

impl ServerConn {
    /// A connection that has carried no request.
    pub fn new(conn: conn::Conn) -> Self {
        Self {
            conn,
            history: send_history::SendHistory::default(),
            is_awaiting_response: false,
        }
    }

    /// Records that a request with this id is about to be sent.
    pub fn begin_exchange(&mut self, id: &str) {
        self.history.record_send(id);
        self.is_awaiting_response = true;
    }

    /// Records that the newest request was sent and its response received, both to the end.
    pub fn end_exchange(&mut self) {
        self.is_awaiting_response = false;
    }

    /// Requests that the connection has carried.
    pub fn history(&self) -> &send_history::SendHistory {
        &self.history
    }

    /// Whether the server is known to have closed the connection, as [`conn::Conn::is_closed`].
    pub fn is_closed(&self) -> bool {
        self.conn.is_closed()
    }

    /// Whether the connection can carry another request, as [`conn::Conn::is_reusable`].
    pub fn is_reusable(&self) -> bool {
        self.conn.is_reusable()
    }

    /// The connection, to read from it.
    pub fn reader(&mut self) -> &mut conn::Conn {
        &mut self.conn
    }
}

impl Borrow<conn::Conn> for ServerConn {
    fn borrow(&self) -> &conn::Conn {
        &self.conn
    }
}

impl Drop for ServerConn {
    fn drop(&mut self) {
        if self.is_awaiting_response
            && let Err(err) = self.conn.reset_on_close()
        {
            // The socket has failed, so that nothing of the request is left to be delivered.
            tracing::debug!(%err, "exchange: a connection could not be reset");
        }
    }
}
