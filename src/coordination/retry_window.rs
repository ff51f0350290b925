//! How often this router may send a service's requests once more.
//!
//! Answers failures that would multiply the load: the fleet's allowance for a window is a part of
//! the requests plus a slack; each router takes its own requests' part and an even part of the
//! slack, so the sum stays within the allowance whatever the routers know of each other.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::state::name;

/// Part of the allowance that is used; the rest covers routers that have just joined and windows
/// that the fleet counts at other moments.
const USED_PART: f64 = 0.7;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// The fleet's allowance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Window over which repeats are counted.
    pub window: Duration,
    /// RetryWindows for each request.
    pub per_request: f64,
    /// RetryWindows beside these, over all routers.
    pub slack: f64,
}

/// Requests and repeats of this router, by service.
#[derive(Debug, Default)]
pub struct RetryWindows {
    windows: HashMap<name::Name, Window>,
}

fn forget(times: &mut VecDeque<Duration>, before: Duration) {
    while times.front().is_some_and(|time| *time < before) {
        times.pop_front();
    }
}

impl RetryWindows {
    /// Counts a request of a service.
    pub fn count_request(&mut self, service: &name::Name, now: Duration) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
    }

    /// Takes a repeat for a service; false when none is left in this window.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::retry_window;
    /// let allowance = retry_window::Allowance {
    ///     window: Duration::from_secs(10), per_request: 0.2, slack: 10.0,
    /// };
    /// let mut retries = retry_window::RetryWindows::default();
    /// assert!(retries.take_retry(&"s".into(), allowance, 5, Duration::ZERO));
    /// assert!(!retries.take_retry(&"s".into(), allowance, 5, Duration::ZERO));
    /// ```
    pub fn take_retry(
        &mut self,
        service: &name::Name,
        allowance: Allowance,
        routers: usize,
        now: Duration,
    ) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        let before = now.saturating_sub(allowance.window);
        forget(&mut window.requests, before);
        forget(&mut window.retries, before);
        let own = window.requests.len() as f64 * allowance.per_request;
        let slack = allowance.slack / routers.max(1) as f64;
        let allowed = (own + slack) * USED_PART;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
