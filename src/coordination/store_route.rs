//! Decides whether calls to the platform's store go directly or through a carrier.
//!
//! A carrier is a process on another VM that forwards bytes to the store. It is needed when a
//! network partition separates a router from the store, but not from some VMs that still reach the
//! store.

use std::{net::SocketAddr, time::Duration};

/// Time after the first failed direct call until the next one is tried; doubles with each failure.
const INITIAL_DIRECT_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum time until a direct call is tried again. It bounds how long carriers are loaded after a
/// partition has ended.
const MAX_DIRECT_RETRY_DELAY: Duration = Duration::from_secs(4);

/// Time for which a carrier that failed is not used.
const CARRIER_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The addresses by which the store can be reached, and which of them failed.
#[derive(Debug)]
pub struct StoreRoute {
    store: SocketAddr,
    carriers: Vec<SocketAddr>,
    /// Time from which on direct calls are tried again.
    direct_at: Duration,
    direct_retry_delay: Duration,
    /// Carrier that answered the last call.
    carrier: Option<SocketAddr>,
    /// Carriers that failed, with the time of the failure.
    failed_carriers: Vec<(SocketAddr, Duration)>,
}

impl StoreRoute {
    /// Starts with direct calls to a store.
    pub fn new(store: SocketAddr) -> Self {
        Self {
            store,
            carriers: Vec::new(),
            direct_at: Duration::ZERO,
            direct_retry_delay: Duration::ZERO,
            carrier: None,
            failed_carriers: Vec::new(),
        }
    }

    /// Sets another address of the store.
    pub fn set_store(&mut self, store: SocketAddr) {
        self.store = store;
    }

    /// Sets the addresses of the carriers, in order of preference.
    pub fn set_carriers(&mut self, carriers: Vec<SocketAddr>) {
        self.carriers = carriers;
    }

    /// Address for the next call: the store, or a carrier while the store can't be reached
    /// directly.
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
        self.failed_carriers
            .retain(|(_, at)| now < *at + CARRIER_RETRY_DELAY);
        let failed = |carrier: &&SocketAddr| {
            self.failed_carriers
                .iter()
                .any(|(found, _)| found == *carrier)
        };
        let carrier = self.carriers.iter().find(|carrier| !failed(carrier));
        carrier.copied().unwrap_or(self.store)
    }

    /// Records that a call to this address was answered.
    pub fn record_success(&mut self, address: SocketAddr) {
        if address == self.store {
            self.direct_retry_delay = Duration::ZERO;
            self.direct_at = Duration::ZERO;
            self.carrier = None;
        } else {
            self.carrier = Some(address);
        }
    }

    /// Records that a call to this address got no answer or was refused.
    pub fn record_failure(&mut self, address: SocketAddr, now: Duration) {
        if address == self.store {
            self.direct_retry_delay = (self.direct_retry_delay * 2)
                .clamp(INITIAL_DIRECT_RETRY_DELAY, MAX_DIRECT_RETRY_DELAY);
            self.direct_at = now + self.direct_retry_delay;
            return;
        }
        if self.carrier == Some(address) {
            self.carrier = None;
        }
        self.failed_carriers.push((address, now));
    }

    /// Whether calls go directly to the store.
    pub fn is_direct(&self, now: Duration) -> bool {
        now >= self.direct_at
    }
}
