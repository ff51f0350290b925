//! Opens TCP connections, with socket options that detect a peer that vanished without closing.

use std::{net::SocketAddr, time::Duration};

use crate::transport::{h1::conn, timers};

/// Time without traffic after which the kernel sends the first keepalive probe; well under the 3 s
/// after which a machine counts as reachable again.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1000);

/// Time between two keepalive probes; the kernel accepts only whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest time that sent bytes may stay unacknowledged before the kernel closes the connection
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Size of the kernel's buffers of a connection, in bytes; the kernel doubles it. This is the size with which Linux
/// opens a receive buffer. It would grow to several megabytes while a slow caller holds up a fast server.
const BUFFER_BYTES: usize = 64 * 1024;

/// Connects within `limit` and sets the options of [`detect_dead_peer`].
///
/// # Errors
///
/// The error of the socket, or [`std::io::ErrorKind::TimedOut`] when `limit` passed.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
    timers: &timers::Timers,
) -> std::io::Result<conn::Conn> {
    let connected = timers.within(limit, async_net::TcpStream::connect(address));
    let stream = match connected.await {
        Some(stream) => stream?,
        None => return Err(std::io::ErrorKind::TimedOut.into()),
    };
    detect_dead_peer(&stream)?;
    let socket = socket2::SockRef::from(&stream);
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    Ok(conn::Conn::new(stream))
}

/// Sets the keepalive and user timeout options of a socket, so that the kernel closes the
/// connection when its peer vanished; also disables Nagle's algorithm.
///
/// # Errors
///
/// The error of an option that the kernel rejects.
pub fn detect_dead_peer(stream: &async_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
