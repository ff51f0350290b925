//! How long one watch of the store lasts, and how long a router waits before the next one.
//!
//! Handles fleets of many routers and servers. A watch returns with the first change, and when it is
//! asked again at once, each change of one server's entry costs one store call at every router.
//!
//! Handles responses that are lost while their connection stays open. Such a watch reports nothing
//! more, and nothing but its time limit ends it.

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
/// use fulmarproxy::coordination::configuration::watch_pacing;
/// let drain = Duration::from_secs(4);
/// assert_eq!(watch_pacing::pause(4, drain), Duration::from_millis(60));
/// assert_eq!(watch_pacing::pause(300, drain), Duration::from_millis(1600));
/// ```
pub fn pause(routers: usize, drain: Duration) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let pause = PAUSE_PER_ROUTER.saturating_mul(routers);
    pause.min(drain.mul_f64(DRAIN_TIME_FRACTION))
}

/// Part of the stable window in which a watch without a response is given up (0.8 s), the next call is
/// delayed (0.25 s), and what the watch may have missed is read anew.
const REREAD_TIME: Duration = Duration::from_millis(1500);

/// Shortest time for which one watch waits.
pub const MIN_WATCH_TIME: Duration = Duration::from_millis(250);

/// Longest time for which one watch waits. The platform allows 30 s.
pub const MAX_WATCH_TIME: Duration = Duration::from_secs(20);

/// Time after the end of a watch at which the client of the store gives it up.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which one short watch waits for changes.
///
/// `stable_window` is the time after a disruption of the store within which a router must know again
/// what the store holds, also when the response to its watch was lost.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::configuration::watch_pacing;
/// let wait = watch_pacing::wait(Duration::from_secs(3));
/// assert_eq!(wait, Duration::from_millis(1500));
/// ```
pub fn wait(stable_window: Duration) -> Duration {
    let wait = stable_window.saturating_sub(REREAD_TIME);
    wait.clamp(MIN_WATCH_TIME, MAX_WATCH_TIME)
}
