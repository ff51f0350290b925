//! Connections to backend servers: takes idle ones from the pool, opens new ones, and keeps them.

use std::time::Duration;

use metrics::counter;

use crate::{
    gateway::{core, server_conn},
    state::server,
    transport::h1::dial,
};

/// Time limit for connecting to a server. A round trip takes a few milliseconds, and a lost SYN
/// packet is retransmitted only after seconds, so another attempt is faster than waiting for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an idle connection is kept open when the server sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Fraction of the server's idle timeout for which a connection is reused, so that the server
/// doesn't close it just as a request is sent.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Takes an idle connection to a server that may carry a request with this id, or opens one.
///
/// # Errors
///
/// The error of opening one.
pub async fn checkout(
    gw: &core::Gateway,
    server: &server::Server,
    id: &str,
) -> std::io::Result<server_conn::ServerConn> {
    let now = gw.now();
    let admits = |conn: &server_conn::ServerConn| conn.history().admits(id);
    let taken = gw
        .server_pool
        .borrow_mut()
        .take(server.address, now, admits);
    if let Some(conn) = taken {
        return Ok(conn);
    }
    counter!("fulmar_gateway_connections_total").increment(1);
    let conn = dial::connect(server.address, CONNECT_TIMEOUT, &gw.timers).await?;
    Ok(server_conn::ServerConn::new(conn))
}

/// Takes an idle connection to a server, or opens one, that will carry no request. Returns with it the
/// time until which it may be reused, for [`give_back`].
///
/// # Errors
///
/// The error of opening one.
pub async fn lend(
    gw: &core::Gateway,
    server: &server::Server,
) -> std::io::Result<(server_conn::ServerConn, Duration)> {
    let now = gw.now();
    let lent = gw.server_pool.borrow_mut().lend(server.address, now);
    if let Some(lent) = lent {
        return Ok(lent);
    }
    counter!("fulmar_gateway_connections_total").increment(1);
    let conn = dial::connect(server.address, CONNECT_TIMEOUT, &gw.timers).await?;
    let until = gw.now() + DEFAULT_IDLE_TIMEOUT.mul_f64(IDLE_TIMEOUT_FRACTION);
    Ok((server_conn::ServerConn::new(conn), until))
}

/// Keeps a connection that was lent and is not in use any more, unless its time has passed.
pub fn give_back(
    gw: &core::Gateway,
    server: &server::Server,
    conn: server_conn::ServerConn,
    until: Duration,
) {
    if until > gw.now() {
        gw.server_pool.borrow_mut().put(server.address, conn, until);
    }
}

/// Keeps an open connection to a server for another request. `idle` is the time after which the server
/// closes it, if it names one.
pub fn keep(
    gw: &core::Gateway,
    server: &server::Server,
    mut conn: server_conn::ServerConn,
    idle: Option<Duration>,
) {
    let idle = idle.unwrap_or(DEFAULT_IDLE_TIMEOUT);
    let until = gw.now() + idle.mul_f64(IDLE_TIMEOUT_FRACTION);
    conn.reader().release_buffer();
    let mut pool = gw.server_pool.borrow_mut();
    pool.put(server.address, conn, until);
}
