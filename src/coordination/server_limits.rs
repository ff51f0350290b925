//! What backend servers say of how many requests a second they take from all gateways together.
//!
//! A server is one start of its process, see [`crate::coordination::suspects::server_number`]. The
//! newest answer of a process counts, at whatever gateway it arrived; one that names no limit ends
//! it. Gateways exchange what they have read by its age.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

/// Number of servers from which on those that were not heard of for the longest time are dropped.
const MAX_SERVERS: usize = 4096;

/// What a gateway reports about a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Number of the server's run.
    pub server: u64,
    /// Requests a second; `None` when the server named no limit any more.
    pub limit: Option<f64>,
    /// Milliseconds since the answer.
    pub age_ms: u64,
}

/// Milliseconds since the start of this process; negative for what others report of the time before.
type Moment = i64;

#[derive(Clone, Copy, Debug)]
struct Named {
    limit: Option<f64>,
    at: Moment,
    /// Number of the change that set the limit.
    change: u64,
    /// Whether this gateway read it itself.
    is_own: bool,
}

/// The limits that servers have named.
#[derive(Debug, Default)]
pub struct ServerLimits {
    named: HashMap<u64, Named>,
    changes: u64,
}

impl ServerLimits {
    /// Records what an answer of a server says; returns whether this changes its limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::server_limits;
    /// let mut limits = server_limits::ServerLimits::default();
    /// assert!(!limits.record(7, None, Duration::ZERO), "never had one");
    /// assert!(limits.record(7, Some(1.4), Duration::from_secs(1)));
    /// assert!(!limits.record(7, Some(1.4), Duration::from_secs(2)));
    /// assert_eq!(limits.limit(7), Some(1.4));
    /// assert!(limits.record(7, None, Duration::from_secs(3)));
    /// ```
    pub fn record(&mut self, server: u64, limit: Option<f64>, now: Duration) -> bool {
        self.set(server, limit, now.as_millis() as Moment, true)
    }

    /// Merges what another gateway has read; returns whether this changes a limit.
    pub fn merge(&mut self, reports: &[Report], now: Duration) -> bool {
        let mut is_news = false;
        for report in reports {
            let at = (now.as_millis() as Moment).saturating_sub_unsigned(report.age_ms);
            is_news |= self.set(report.server, report.limit, at, false);
        }
        is_news
    }

    fn set(&mut self, server: u64, limit: Option<f64>, at: Moment, is_own: bool) -> bool {
        let known = self.named.get(&server).copied();
        if known.is_none() && limit.is_none() || known.is_some_and(|known| known.at > at) {
            return false;
        }
        let is_news = known.is_none_or(|known| known.limit != limit);
        self.changes += u64::from(is_news);
        let named = match known {
            Some(known) if !is_news => Named { at, ..known },
            _ => Named {
                limit,
                at,
                change: self.changes,
                is_own,
            },
        };
        self.named.insert(server, named);
        if self.named.len() > MAX_SERVERS {
            let oldest = self.named.iter().min_by_key(|(_, named)| named.at);
            if let Some((&oldest, _)) = oldest {
                self.named.remove(&oldest);
            }
        }
        is_news
    }

    /// Requests a second that a server takes; `None` when it has named no limit.
    pub fn limit(&self, server: u64) -> Option<f64> {
        self.named.get(&server)?.limit
    }

    /// What is known of a server.
    pub fn report(&self, server: u64, now: Duration) -> Option<Report> {
        let named = self.named.get(&server)?;
        let age = (now.as_millis() as Moment).saturating_sub(named.at);
        Some(Report {
            server,
            limit: named.limit,
            age_ms: age.max(0) as u64,
        })
    }

    /// The limits in force that were heard of last, at most `most` of them, for a gateway that has
    /// started.
    pub fn newest(&self, most: usize, now: Duration) -> Vec<Report> {
        let mut named: Vec<_> = self.named.iter().collect();
        named.retain(|(_, named)| named.limit.is_some());
        named.sort_by_key(|(_, named)| std::cmp::Reverse(named.at));
        let reports = named.into_iter().take(most);
        reports
            .filter_map(|(server, _)| self.report(*server, now))
            .collect()
    }

    /// Whether no server has named a limit so far.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }

    /// Number of servers with a limit.
    pub fn count(&self) -> usize {
        let named = self.named.values();
        named.filter(|named| named.limit.is_some()).count()
    }

    /// Number of the last change.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// The limits that were changed after change number `after`, oldest change first, at most `most` of
    /// them, and the number of the last change that they cover. `tells` chooses among them by the
    /// server and by whether this gateway read the limit itself.
    pub fn changes_after(
        &self,
        after: u64,
        most: usize,
        now: Duration,
        tells: impl Fn(u64, bool) -> bool,
    ) -> (Vec<Report>, u64) {
        let mut changed: Vec<_> = self.named.iter().collect();
        changed.retain(|(_, named)| named.change > after);
        changed.sort_by_key(|(_, named)| named.change);
        let covered = match changed.get(most) {
            Some((_, next)) => next.change - 1,
            None => self.changes,
        };
        let reports = changed.into_iter().take(most);
        let told = reports.filter(|(server, named)| tells(**server, named.is_own));
        let told = told.filter_map(|(server, _)| self.report(*server, now));
        (told.collect(), covered)
    }
}
