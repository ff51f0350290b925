//! Decides how many servers a router considers when others send requests that no report shows yet.
//!
//! Routers that read the same reports would all choose the same server until the next report. The more
//! requests they probably send meanwhile, the smaller is the random part of the servers that each considers.

use std::time::Duration;

/// Requests that other routers may send, in the mean, to the best server before a report of it shows
/// them. Beyond that, a router considers only a random part of the servers, so that routers with
/// the same reports choose different ones.
const MAX_UNSEEN: f64 = 2.0;

/// Minimum of the servers that are considered, in the mean, beside those that may have read the prefix. With
/// all 18, twice as many short prompts were late at half of the capacity.
const MIN_CONSIDERED: f64 = 2.0;

/// Time that a report is older than it says, because requests that were sent before it was made
/// were still on their way.
const TRANSIT_S: f64 = 0.03;

/// Time over which the rate of sends is taken.
const RATE_TIME_S: f64 = 1.0;

/// Rate at which this router sends requests.
#[derive(Debug, Default)]
pub struct SendRate {
    per_s: f64,
    at: Duration,
}

impl SendRate {
    /// Counts a request.
    pub fn record(&mut self, now: Duration) {
        self.per_s = self.per_s(now) + 1.0 / RATE_TIME_S;
        self.at = now;
    }

    /// Requests per second that the other routers send, if each sends as many as this one. `routers`
    /// is the number of all.
    pub fn of_others(&self, routers: usize, now: Duration) -> f64 {
        self.per_s(now) * routers.saturating_sub(1) as f64
    }

    fn per_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-age / RATE_TIME_S).exp()
    }
}

/// Share of the servers that is considered when the others send this many requests per second and
/// the report of a server is this old; 1 or more means all.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::placing::unseen;
/// let age = Duration::from_millis(70);
/// assert!(unseen::considered_share(0.0, age, 56) > 1.0);
/// assert!(unseen::considered_share(300.0, age, 56) < 0.1);
/// assert_eq!(unseen::considered_share(300.0, age, 2), 1.0);
/// ```
pub fn considered_share(others_per_s: f64, age: Duration, servers: usize) -> f64 {
    let unseen = others_per_s * (age.as_secs_f64() + TRANSIT_S);
    f64::max(MAX_UNSEEN / unseen, MIN_CONSIDERED / servers as f64)
}
