//! Connections to backend servers: takes idle ones from the pool, opens new ones, and keeps them.

use std::time::Duration;

use metrics::counter;

use crate::{
    coordination::send_history,
    gateway::core,
    state::server,
    transport::h1::{conn, dial},
};

/// Time limit for connecting to a server. A round trip takes a few milliseconds, and a lost SYN
/// packet is retransmitted only after seconds, so another attempt is faster than waiting for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an idle connection is kept open when the server sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the server's idle timeout for which a connection is reused, so that the server
/// doesn't close it just as a request is sent.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// A connection to a backend server.
pub struct ServerConn {
    /// The connection.
    pub conn: conn::Conn,
    /// Requests that it has carried.
    pub history: send_history::SendHistory,
}

impl ServerConn {
    /// A connection that has carried no request.
    pub fn new(conn: conn::Conn) -> Self {
        let history = send_history::SendHistory::default();
        Self { conn, history }
    }
}

/// Takes an idle connection to a server that may carry a request with this id, or opens one.
///
/// # Errors
///
/// The error of opening one.
pub async fn checkout(
    gw: &core::Gateway,
    server: &server::Server,
    id: &str,
) -> std::io::Result<ServerConn> {
    let now = gw.now();
    let admits = |history: &send_history::SendHistory| history.admits(id);
    let idle = gw
        .server_pool
        .borrow_mut()
        .take(server.address, now, admits);
    if let Some((conn, history)) = idle {
        return Ok(ServerConn { conn, history });
    }
    counter!("fulmar_gateway_connections_total").increment(1);
    let conn = dial::connect(server.address, CONNECT_TIMEOUT, &gw.timers).await?;
    Ok(ServerConn::new(conn))
}

/// Keeps an open connection to a server for another request. `idle` is the time after which the server
/// closes it, if it names one.
pub fn keep(gw: &core::Gateway, server: &server::Server, conn: ServerConn, idle: Option<Duration>) {
    let idle = idle.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    let until = gw.now() + idle.mul_f64(IDLE_TIMEOUT_FRACTION);
    let ServerConn { conn, history } = conn;
    gw.server_pool
        .borrow_mut()
        .put(server.address, conn, history, until);
}
