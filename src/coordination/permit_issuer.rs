//! Issues permits for requests to servers that have named a limit.
//!
//! Each limited server has one router that issues its permits, so that the sum over all routers
//! stays within the limit whatever their shares of the load are. A token bucket for each server fills
//! at the rate that the server named; it starts empty, since requests were sent before.

use std::{collections::HashMap, time::Duration};

use crate::coordination::{rendezvous, router_count};

/// Time for which the list must have been read before a router knows the others, and share that it
/// issues until then.
const KNOWING_TIME: Duration = Duration::from_secs(2);
const UNKNOWING_SHARE: f64 = 0.1;

/// Time for which the list must have been read before the others know a router, and share that it
/// issues until then.
const KNOWN_TIME: Duration = Duration::from_secs(7);
const UNKNOWN_SHARE: f64 = 0.5;

/// Time whose permits a bucket holds at most. At least one permit fits.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Least number of requests a second that are sent to a server, also if it named zero, to hear when
/// that ends.
const MIN_RATE: f64 = 0.1;

/// Longest time over which routers that got no permit are spread.
const MAX_SPREAD: Duration = Duration::from_secs(2);

/// Number of buckets from which on those that are full are removed.
const PRUNE_THRESHOLD: usize = 256;

/// Answer to a router that asked for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of permits.
    pub permits: u32,
    /// Time after which the router may ask again if there are none.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    permits: f64,
    filled: Duration,
    /// Time at which the last router that got none was told to ask again.
    promised: Duration,
}

/// Buckets of permits, by server.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<u64, Bucket>,
}

fn seconds(time: f64) -> Duration {
    Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX)
}

impl PermitIssuer {
    /// Issues up to `wanted` permits for a server that takes `per_second` requests a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::permit_issuer;
    /// let mut issuer = permit_issuer::PermitIssuer::default();
    /// let mut issue = |seconds| issuer.issue(7, 2.0, 4, Duration::from_secs_f64(seconds));
    /// assert_eq!(issue(0.0).permits, 0);
    /// assert_eq!(issue(0.0).retry_after.as_millis(), 1000, "the first gets the next permit");
    /// assert_eq!(issue(0.5).permits, 1);
    /// assert_eq!(issue(60.0).permits, 1, "the others were not kept");
    /// ```
    pub fn issue(&mut self, server: u64, per_second: f64, wanted: u32, now: Duration) -> Grant {
        let rate = per_second.max(MIN_RATE);
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        if self.buckets.len() > PRUNE_THRESHOLD {
            let is_idle =
                |bucket: &Bucket| now >= bucket.filled + MAX_SPREAD.max(seconds(1.0 / rate));
            self.buckets.retain(|_, bucket| !is_idle(bucket));
        }
        let bucket = self.buckets.entry(server).or_insert(Bucket {
            permits: 0.0,
            filled: now,
            promised: now,
        });
        let elapsed = now.saturating_sub(bucket.filled).as_secs_f64();
        bucket.permits = (bucket.permits + elapsed * rate).min(capacity);
        bucket.filled = now;
        let permits = wanted.min(bucket.permits as u32);
        if permits > 0 {
            bucket.permits -= f64::from(permits);
            return Grant {
                permits,
                retry_after: Duration::ZERO,
            };
        }
        let next = now.saturating_add(seconds((1.0 - bucket.permits) / rate));
        let latest = next.max(now + MAX_SPREAD);
        let told = next.max(bucket.promised).min(latest);
        bucket.promised = told.saturating_add(seconds(1.0 / rate)).min(latest);
        Grant {
            permits,
            retry_after: told - now,
        }
    }
}

/// What a router knows of the others.
pub struct Fleet<P> {
    /// Names of the other routers, as last listed.
    pub peers: P,
    /// Number of routers, with this one.
    pub routers: router_count::RouterCount,
}

/// Share of a server's limit that a router issues. The sum over all routers stays below one and a
/// half of the limit, even while two disagree about which of them issues it: the first in the ranking
/// issues all, and each further one half of what the one before it does.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::{permit_issuer, router_count};
/// let mut routers = router_count::RouterCount::default();
/// (0..10).for_each(|second| routers.record(2, Duration::from_secs(second)));
/// let share = |own, peer| {
///     let fleet = permit_issuer::Fleet { peers: [peer].into_iter(), routers };
///     permit_issuer::share(7, own, fleet)
/// };
/// assert_eq!(share("a/1", "b/2") + share("b/2", "a/1"), 1.5);
/// ```
pub fn share<'a>(server: u64, own: &str, fleet: Fleet<impl Iterator<Item = &'a str>>) -> f64 {
    let Some(routers) = fleet.routers.get() else {
        return 0.0;
    };
    let rank = rendezvous::weight(own, server);
    let peers: Vec<&str> = fleet.peers.collect();
    if peers.len() + 1 < routers {
        // The list lost entries lately, maybe of routers that run and issue permits.
        return 1.0 / routers as f64;
    }
    let before = peers
        .iter()
        .filter(|peer| rendezvous::weight(peer, server) > rank);
    let halvings = i32::try_from(before.count()).unwrap_or(i32::MAX);
    let most = match fleet.routers.longest_read() {
        read if read < KNOWING_TIME => UNKNOWING_SHARE,
        read if read < KNOWN_TIME => UNKNOWN_SHARE,
        _ => 1.0,
    };
    most * 0.5_f64.powi(halvings)
}

/// The router that issues the permits of a server, the first of those given in the ranking; `None`
/// when it is this one.
///
/// ```
/// use fulmarproxy::coordination::permit_issuer;
/// let first = permit_issuer::issuer(7, "a/1", ["b/2"].into_iter());
/// let other = permit_issuer::issuer(7, "b/2", ["a/1"].into_iter());
/// assert!(first.is_some() != other.is_some());
/// ```
pub fn issuer<'a>(server: u64, own: &str, peers: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let rank = |router: &str| rendezvous::weight(router, server);
    let first = peers.max_by_key(|peer| rank(peer))?;
    (rank(first) > rank(own)).then_some(first)
}
