//! Limits how many requests of a service this router may retry within a sliding window.
//!
//! Without a limit, retries of failed requests would multiply the load. The fleet's allowance for a
//! window is a fraction of its requests plus a fixed slack. Each router uses that fraction of its
//! own requests and an equal share of the slack, so the sum over all routers stays within the
//! allowance without any exchange between them.
//!
//! A router that has just started does not know what the process before it used of its share of the
//! slack, and can't know its share before it has read how many routers there are.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::state::name;

/// Fraction of the allowance that a router uses. The rest covers routers that have just joined, and
/// windows over the whole fleet that are counted at other times than a router's.
const USED_FRACTION: f64 = 0.7;

/// Fraction of its share of the slack that a router uses during its first window. Up to two restarts
/// of all routers in a window stay within the allowance.
const FIRST_WINDOW_FRACTION: f64 = 0.2;

#[derive(Debug, Default)]
struct Window {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Retries that the fleet may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Length of the window over which retries are counted.
    pub window: Duration,
    /// Retries allowed for each request.
    pub per_request: f64,
    /// Further retries in a window, summed over all routers.
    pub slack: f64,
}

/// This router's requests and retries in the current window, by service.
#[derive(Debug, Default)]
pub struct RetryWindows {
    windows: HashMap<name::Name, Window>,
}

fn remove_before(times: &mut VecDeque<Duration>, start: Duration) {
    while times.front().is_some_and(|time| *time < start) {
        times.pop_front();
    }
}

impl RetryWindows {
    /// Counts a request of a service.
    pub fn count_request(&mut self, service: &name::Name, now: Duration) {
        let window = self.windows.entry(service.clone()).or_default();
        window.requests.push_back(now);
    }

    /// Forgets what happened before the window that ends now. To be called at regular times: a service
    /// without retries would otherwise keep an entry for each request.
    pub fn forget(&mut self, window: Duration, now: Duration) {
        let start = now.saturating_sub(window);
        self.windows.retain(|_, kept| {
            remove_before(&mut kept.requests, start);
            remove_before(&mut kept.retries, start);
            !kept.requests.is_empty() || !kept.retries.is_empty()
        });
    }

    /// Takes one retry for a service; returns false when none is left in the window.
    ///
    /// `routers` is their number, `None` until it is known; `now` is the time since the process
    /// started.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::retry_window;
    /// let allowance = retry_window::Allowance {
    ///     window: Duration::from_secs(10), per_request: 0.2, slack: 10.0,
    /// };
    /// let mut retries = retry_window::RetryWindows::default();
    /// let mut take = |routers, seconds| {
    ///     retries.take_retry(&"s".into(), allowance, routers, Duration::from_secs(seconds))
    /// };
    /// assert!(!take(None, 10));
    /// assert!(!take(Some(5), 9), "less than one in the first window");
    /// assert!(take(Some(5), 10));
    /// assert!(!take(Some(5), 10));
    /// ```
    pub fn take_retry(
        &mut self,
        service: &name::Name,
        allowance: Allowance,
        routers: Option<usize>,
        now: Duration,
    ) -> bool {
        let window = self.windows.entry(service.clone()).or_default();
        let start = now.saturating_sub(allowance.window);
        remove_before(&mut window.requests, start);
        remove_before(&mut window.retries, start);
        let own = window.requests.len() as f64 * allowance.per_request;
        let share = routers.map_or(0.0, |count| allowance.slack / count.max(1) as f64);
        let slack = match now < allowance.window {
            true => share * FIRST_WINDOW_FRACTION,
            false => share,
        };
        let allowed = (own + slack) * USED_FRACTION;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }
}
