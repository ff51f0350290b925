//! How a response of the store arrives: whether it has begun, and how many of its bytes there are.

use std::time::Duration;

/// Progress of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which its head arrived; `None` until then.
    pub began_at: Option<Duration>,
    /// Length of its body in bytes, if the head announced it.
    pub announced: Option<u64>,
    /// Bytes of the body that have arrived.
    pub received: u64,
}

impl Arrival {
    /// Records that the head arrived.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::arrival::Arrival;
    /// let mut arrival = Arrival::default();
    /// arrival.begin(Some(400_000), Duration::from_millis(40));
    /// arrival.record(16_000);
    /// assert_eq!((arrival.announced, arrival.received), (Some(400_000), 16_000));
    /// ```
    pub fn begin(&mut self, announced: Option<u64>, now: Duration) {
        self.began_at = Some(now);
        self.announced = announced;
    }

    /// Records that bytes of the body arrived.
    pub fn record(&mut self, bytes: u64) {
        self.received += bytes;
    }
}
