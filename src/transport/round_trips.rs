//! Measures round trips to other processes, from which the delay at the own VM follows.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use crate::{coordination::overload::own_delay, transport::timers};

/// Recent round trips of a process.
pub struct RoundTrips {
    timers: timers::Timers,
    samples: RefCell<own_delay::OwnDelay>,
    delay: Cell<Duration>,
}

impl RoundTrips {
    /// Starts without any round trip.
    pub fn new(timers: timers::Timers) -> Self {
        Self {
            timers,
            samples: RefCell::default(),
            delay: Cell::default(),
        }
    }

    /// Records that an exchange which the peer answers at once was answered now, or failed.
    pub fn record_probe(&self, peer: SocketAddr, started: Duration) {
        let now = self.timers.now();
        let took = now.saturating_sub(started);
        self.samples.borrow_mut().record_probe(peer, took, now);
    }

    /// Records that another process answered now, which may have taken it some time.
    pub fn record_answer(&self, started: Duration) {
        let now = self.timers.now();
        let took = now.saturating_sub(started);
        self.samples.borrow_mut().record_answer(took, now);
    }

    /// Computes the delay at the own VM anew, and returns it.
    pub fn update(&self) -> Duration {
        let delay = self.samples.borrow().estimate(self.timers.now());
        self.delay.set(delay);
        delay
    }

    /// Delay at the own VM when it was last computed; zero while nothing shows one.
    ///
    /// ```
    /// use fulmarproxy::transport::{round_trips, timers};
    /// let round_trips = round_trips::RoundTrips::new(timers::Timers::default());
    /// assert!(round_trips.delay().is_zero());
    /// assert!(!round_trips.is_slow());
    /// ```
    pub fn delay(&self) -> Duration {
        self.delay.get()
    }

    /// Time by which time limits of calls are longer because of the delay at the own VM.
    pub fn patience(&self) -> Duration {
        own_delay::patience(self.delay())
    }

    /// Whether the delay is so high that a call without an answer in time says nothing about its peer.
    pub fn is_slow(&self) -> bool {
        self.delay() >= own_delay::SLOW
    }
}
