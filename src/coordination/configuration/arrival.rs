//! When a response of the store times out.
//!
//! It must begin within the time limit of its call, and once it has begun, it must make progress. It may take as long as
//! its size and the link need. The decision is based on the time of the call and the bytes that have arrived so far.

use std::time::Duration;

/// Time within which a response that has begun must make progress, on a link without delay.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes that count as progress. A share of a link that is full of other traffic is enough for them.
const MIN_PROGRESS: u64 = 8 * 1024;

/// Progress of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time at which its head arrived; `None` until then.
    pub began_at: Option<Duration>,
    /// Length of its body in bytes, if the head announced it.
    pub announced: Option<u64>,
    /// Bytes of the body that have arrived.
    pub received: u64,
    /// Bytes that had arrived at the last progress.
    counted: u64,
    due: Duration,
}

impl Arrival {
    /// Starts with a response that must begin by `due`.
    pub fn new(due: Duration) -> Self {
        Self {
            began_at: None,
            announced: None,
            received: 0,
            counted: 0,
            due,
        }
    }

    /// Records that the head arrived. `limit` is the time within which progress must follow.
    pub fn begin(&mut self, announced: Option<u64>, now: Duration, limit: Duration) {
        self.began_at = Some(now);
        self.announced = announced;
        self.due = now + limit;
    }

    /// Records that bytes of the body arrived. `limit` is the time within which more must follow.
    pub fn record(&mut self, bytes: u64, now: Duration, limit: Duration) {
        self.received += bytes;
        if self.received >= self.counted + MIN_PROGRESS {
            self.counted = self.received;
            self.due = now + limit;
        }
    }

    /// Time at which the response times out.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::configuration::arrival::{Arrival, STALL_TIMEOUT};
    /// let ms = Duration::from_millis;
    /// let mut arrival = Arrival::new(ms(800));
    /// assert_eq!(arrival.due(), ms(800), "it has not begun");
    /// arrival.begin(Some(2_000_000), ms(40), STALL_TIMEOUT);
    /// arrival.record(900_000, ms(790), STALL_TIMEOUT);
    /// assert_eq!(arrival.due(), ms(1590), "it is large, and arriving");
    /// arrival.record(1, ms(1500), STALL_TIMEOUT);
    /// assert_eq!(arrival.due(), ms(1590), "a byte now and then is no progress");
    /// ```
    pub fn due(&self) -> Duration {
        self.due
    }
}
