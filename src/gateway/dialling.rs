//! Connects to other routers, and distinguishes a silent router from a late timer of this process.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use metrics::counter;

use crate::{
    coordination::overload::lateness,
    gateway::core,
    transport::h1::{conn, dial},
};

/// Time limit for connecting to another router.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of times that a time limit is waited for when this process was late to notice that it had
/// passed: what was waited for may have happened meanwhile.
pub const MAX_WAITS: u32 = 2;

/// The error of a connection that was not made because this process stood still.
#[derive(Debug, Display, Error)]
#[display("this process stood still while it connected")]
struct LateTimer;

/// Whether a connection was not made because this process stood still, which says nothing about the
/// other router.
pub fn was_late(err: &std::io::Error) -> bool {
    err.get_ref().is_some_and(|err| err.is::<LateTimer>())
}

/// Connects to a router within `limit`.
///
/// # Errors
///
/// The error of the socket, or one for which [`was_late`] holds.
pub async fn connect(
    gw: &core::Gateway,
    peer: SocketAddr,
    limit: Duration,
) -> std::io::Result<conn::Conn> {
    for _ in 0..MAX_WAITS {
        let began = gw.now();
        let connected = dial::connect(peer, limit, &gw.timers).await;
        let has_timed_out = matches!(&connected, Err(err) if err.kind() == ErrorKind::TimedOut);
        if !has_timed_out || !(lateness::Limit { began, limit }).was_late(gw.now()) {
            return connected;
        }
        counter!("fulmar_gateway_late_timers_total").increment(1);
    }
    Err(std::io::Error::other(LateTimer))
}
