//! Connecting, with limits on how long a silent peer goes unnoticed.

use std::{net::SocketAddr, time::Duration};

use crate::transport::{h1::conn, timers};

/// Silence on a connection after which the kernel probes it; well under the 3 s after which a
/// machine counts as in touch again.
const PROBE_AFTER: Duration = Duration::from_millis(1000);

/// Pause between two probes; the kernel takes whole seconds.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection.
const PROBES: u32 = 2;

/// Longest time that written bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2500);

/// Connects within `limit`.
///
/// # Errors
///
/// The socket's error; a limit that passed is [`std::io::ErrorKind::TimedOut`].
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
    Ok(conn::Conn::new(stream))
}

/// Sets a socket's options so that a peer that vanished is noticed.
///
/// # Errors
///
/// The error of a refused option.
pub fn detect_dead_peer(stream: &async_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
