//! How long packets wait at this VM's own link or process, found from calls to many peers.
//!
//! Handles links that callers fill: every call then waits in the same queue as their requests, and each
//! peer seems silent although none is. Handles peers that are dead, slow or partitioned, which say nothing
//! about the own VM as long as others answer fast.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Time for which a sample counts. A gateway that has a slow exchange asks several peers about five times
/// meanwhile.
const WINDOW: Duration = Duration::from_millis(1500);

/// Number of peers that must have been slow. Fewer may be dead at the same time while nobody else is called.
pub const MIN_PEERS: usize = 3;

/// Delay from which on the own VM counts as slow. A round trip takes a few milliseconds, and a VM that gets its
/// processor time in slices is late by up to 90 ms at each end of it.
pub const SLOW: Duration = Duration::from_millis(200);

/// Longest time by which a slow VM extends the time limit of a call.
const MAX_PATIENCE: Duration = Duration::from_secs(2);

/// Time by which the time limits of calls are longer while the own VM is slow: a call to a peer that answers
/// may take twice the delay of the fastest one.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::overload::own_delay;
/// let ms = Duration::from_millis;
/// assert_eq!(own_delay::patience(ms(20)), ms(0));
/// assert_eq!(own_delay::patience(ms(400)), ms(800));
/// assert_eq!(own_delay::patience(ms(4000)), ms(2000));
/// ```
pub fn patience(delay: Duration) -> Duration {
    match delay >= SLOW {
        true => (delay * 2).min(MAX_PATIENCE),
        false => Duration::ZERO,
    }
}

/// Number of peers that are remembered at most.
const MAX_PEERS: usize = 64;

/// A round trip, and when it ended.
#[derive(Clone, Copy, Debug)]
struct Sample {
    took: Duration,
    at: Duration,
}

impl Sample {
    fn is_recent(&self, now: Duration) -> bool {
        now < self.at + WINDOW
    }
}

/// Recent round trips.
#[derive(Debug, Default)]
pub struct OwnDelay {
    /// Newest exchange with each peer.
    probes: HashMap<SocketAddr, Sample>,
    /// Fastest other answer.
    answer: Option<Sample>,
}

impl OwnDelay {
    /// Records how long an exchange took that a peer answers at once. For one that failed this is the time until
    /// it did.
    pub fn record_probe(&mut self, peer: SocketAddr, took: Duration, now: Duration) {
        if self.probes.len() >= MAX_PEERS {
            self.probes.retain(|_, probe| probe.is_recent(now));
        }
        if self.probes.len() < MAX_PEERS || self.probes.contains_key(&peer) {
            self.probes.insert(peer, Sample { took, at: now });
        }
    }

    /// Records how long an answer took for which the other side may have needed time. It shows that the own VM
    /// adds no more than that.
    pub fn record_answer(&mut self, took: Duration, now: Duration) {
        let known = self.answer.filter(|known| known.is_recent(now));
        if known.is_none_or(|known| took <= known.took) {
            self.answer = Some(Sample { took, at: now });
        }
    }

    /// Round-trip time that the fastest peer had recently; zero unless several peers were called.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::overload::own_delay::OwnDelay;
    /// let ms = Duration::from_millis;
    /// let peers: Vec<std::net::SocketAddr> =
    ///     (1..=3).map(|host| ([10, 0, 0, host], 7).into()).collect();
    /// let mut delay = OwnDelay::default();
    /// delay.record_probe(peers[0], ms(300), ms(0));
    /// delay.record_probe(peers[1], ms(100), ms(0));
    /// assert_eq!(delay.estimate(ms(0)), ms(0), "two peers may be dead");
    /// delay.record_probe(peers[2], ms(350), ms(0));
    /// assert_eq!(delay.estimate(ms(0)), ms(100));
    /// delay.record_answer(ms(40), ms(500));
    /// assert_eq!(delay.estimate(ms(500)), ms(40));
    /// assert_eq!(delay.estimate(ms(2000)), ms(0), "all samples are old");
    /// ```
    pub fn estimate(&self, now: Duration) -> Duration {
        let probes = self.probes.values().filter(|it| it.is_recent(now));
        if probes.clone().count() < MIN_PEERS {
            return Duration::ZERO;
        }
        let answer = self.answer.iter().filter(|it| it.is_recent(now));
        let fastest = probes.chain(answer).map(|it| it.took).min();
        fastest.unwrap_or_default()
    }
}
