//! How long a router waits before it asks for further changes of the list of backend servers.
//!
//! Handles fleets of many routers and servers. A watch returns with the first change, and when it is
//! asked again at once, each change of one server's entry costs one store call at every router.

use std::time::Duration;

/// Pause for each router in the fleet.
const PAUSE_PER_ROUTER: Duration = Duration::from_millis(15);

/// Part of the time that a draining server may still get requests. The rest is for the watch call
/// itself, over a slow store, and for requests on their way.
const DRAIN_TIME_FRACTION: f64 = 0.4;

/// Time between the return of a watch with changes and the next watch.
///
/// `drain` is the time within which requests must stop to reach a server that says that it drains.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::watch_pacing;
/// let drain = Duration::from_secs(4);
/// assert_eq!(watch_pacing::pause(4, drain), Duration::from_millis(60));
/// assert_eq!(watch_pacing::pause(300, drain), Duration::from_millis(1600));
/// ```
pub fn pause(routers: usize, drain: Duration) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let pause = PAUSE_PER_ROUTER.saturating_mul(routers);
    pause.min(drain.mul_f64(DRAIN_TIME_FRACTION))
}
