//! When counts are sent again to a gateway that did not answer.
//!
//! Handles gateways that are dead, whose share of the calls would grow with each crash, and a gateway whose own
//! link is full: it would send the same counts to all others again and again, and keep its link full with them.

use std::{collections::HashMap, time::Duration};

/// Time after the first failure until the next try; doubled with each further one.
const MIN_DELAY: Duration = Duration::from_millis(500);
const MAX_DELAY: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Failed {
    due: Duration,
    delay: Duration,
}

/// Gateways that did not answer, by name.
#[derive(Debug, Default)]
pub struct Resending {
    failed: HashMap<String, Failed>,
}

impl Resending {
    /// Whether a gateway may be sent counts now.
    pub fn is_due(&self, gateway: &str, now: Duration) -> bool {
        let failed = self.failed.get(gateway);
        failed.is_none_or(|failed| now >= failed.due)
    }

    /// Records whether a gateway answered.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::crashes::resending::Resending;
    /// let ms = Duration::from_millis;
    /// let mut resending = Resending::default();
    /// resending.record("a", false, ms(0));
    /// assert!(!resending.is_due("a", ms(499)) && resending.is_due("a", ms(500)));
    /// assert!(resending.is_due("b", ms(0)), "others are due at once");
    /// resending.record("a", false, ms(500));
    /// assert_eq!(resending.next_due(), Some(ms(1500)));
    /// resending.record("a", true, ms(1500));
    /// assert_eq!(resending.next_due(), None);
    /// ```
    pub fn record(&mut self, gateway: &str, is_answered: bool, now: Duration) {
        if is_answered {
            self.failed.remove(gateway);
            return;
        }
        let earlier = self.failed.get(gateway);
        let delay = earlier.map_or(MIN_DELAY, |failed| (failed.delay * 2).min(MAX_DELAY));
        let due = now + delay;
        self.failed
            .insert(gateway.to_owned(), Failed { due, delay });
    }

    /// Time at which the next gateway may be tried again; `None` when all answered.
    pub fn next_due(&self) -> Option<Duration> {
        self.failed.values().map(|failed| failed.due).min()
    }

    /// Forgets gateways that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.failed.retain(|gateway, _| is_listed(gateway));
    }
}
