//! By which way calls reach the platform's store: straight, or through a carrier.
//!
//! Answers partitions that part a router from the store alone, while it still reaches members
//! that are not parted: any of them can carry its calls.

use std::{net::SocketAddr, time::Duration};

/// Time after which the straight way is tried again after its first failure; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Longest time until the straight way is tried again; bounds the load on carriers after a cut.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Time for which a carrier that failed is passed over.
const CARRIER_PAUSE: Duration = Duration::from_secs(2);

/// The ways to the store.
#[derive(Debug)]
pub struct StoreRoute {
    store: SocketAddr,
    carriers: Vec<SocketAddr>,
    direct_at: Duration,
    pause: Duration,
    carrier: Option<SocketAddr>,
    failed: Vec<(SocketAddr, Duration)>,
}

impl StoreRoute {
    /// The straight way to a store.
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store,
            carriers: Vec::new(),
            direct_at: Duration::ZERO,
            pause: Duration::ZERO,
            carrier: None,
            failed: Vec::new(),
        }
    }

    /// Takes another address of the store.
    pub fn set_store(&mut self, store: SocketAddr) {
        self.store = store;
    }

    /// Takes the addresses of carriers, in the order of preference.
    pub fn set_carriers(&mut self, carriers: Vec<SocketAddr>) {
        self.carriers = carriers;
    }

    /// Address for the next call.
    ///
    /// ```
    /// use std::time::Duration;
    /// let [store, carrier] = ["10.0.0.1:1", "10.0.0.2:1"].map(|text| text.parse().unwrap());
    /// let mut route = fulmarproxy::coordination::store_route::StoreRoute::new(store);
    /// route.set_carriers(vec![carrier]);
    /// assert_eq!(route.next_address(Duration::ZERO), store);
    /// route.record_failure(store, Duration::ZERO);
    /// assert_eq!(route.next_address(Duration::ZERO), carrier);
    /// assert_eq!(route.next_address(Duration::from_secs(60)), store);
    /// ```
    pub fn next_address(&mut self, now: Duration) -> SocketAddr {
        if now >= self.direct_at {
            return self.store;
        }
        if let Some(carrier) = self.carrier {
            return carrier;
        }
        self.failed.retain(|(_, at)| now < *at + CARRIER_PAUSE);
        let failed = |carrier: &&SocketAddr| self.failed.iter().any(|(found, _)| found == *carrier);
        let carrier = self.carriers.iter().find(|carrier| !failed(carrier));
        carrier.copied().unwrap_or(self.store)
    }

    /// Notes that a call was answered.
    pub fn record_success(&mut self, address: SocketAddr) {
        if address == self.store {
            self.pause = Duration::ZERO;
            self.direct_at = Duration::ZERO;
            self.carrier = None;
        } else {
            self.carrier = Some(address);
        }
    }

    /// Notes that a call got no answer or was turned away.
    pub fn record_failure(&mut self, address: SocketAddr, now: Duration) {
        if address == self.store {
            self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
            self.direct_at = now + self.pause;
            return;
        }
        if self.carrier == Some(address) {
            self.carrier = None;
        }
        self.failed.push((address, now));
    }

    /// Whether calls go straight to the store.
    pub fn is_direct(&self, now: Duration) -> bool {
        now >= self.direct_at
    }
}
