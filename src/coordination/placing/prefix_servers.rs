//! Decides which servers have probably read the prefix of a prompt before.
//!
//! All routers rank the servers of a service for a prefix in the same order, by rendezvous hashing. Requests
//! with the prefix go to the first one, and to the second one while the first is too busy. So a prefix
//! is read at two servers under load, instead of at all of them. A prefix that very many requests share
//! needs more servers: the more requests, the less does reading it once more at another server count.

use std::{sync::Arc, time::Duration};

use crate::{coordination::rendezvous, state::server};

/// Share of a prefix that the second server probably has to read. It has read the prefix if the first was
/// too busy for an earlier request, which a router knows only of its own requests. At the capacity of 18
/// engines, with 0, 0.2, 0.5 and 1, 22.2, 20.3, 18.9 and 19.8 % of the short prompts were late, and 7.2, 6.9, 10.2
/// and 10.6 % of the long ones.
const UNREAD_AT_SECOND: f64 = 0.2;

/// Time over which requests with a prefix are counted: a server that has read a prefix keeps it in memory
/// for at least as long. With 5 or 20 s, within 2 percentage points as many prompts were late.
const COUNTING_TIME: Duration = Duration::from_secs(10);

/// Number of prefixes of which requests are counted, of 32 bytes each. A newer one replaces an older one
/// with the same place; the replaced one counts as rare again.
const COUNTED_PREFIXES: usize = 1024;

/// Requests of one router with a prefix.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    prefix: u64,
    requests: f64,
    at: Duration,
}

/// How often this router's requests have had the same prefix lately.
#[derive(Debug, Default)]
pub struct PrefixCounts {
    counts: Vec<Count>,
}

impl PrefixCounts {
    /// Counts a request with a prefix that its server has read.
    pub fn record(&mut self, prefix: u64, now: Duration) {
        let requests = self.get(prefix, now) + 1.0;
        if self.counts.is_empty() {
            self.counts.resize(COUNTED_PREFIXES, Count::default());
        }
        self.counts[prefix as usize % COUNTED_PREFIXES] = Count {
            prefix,
            requests,
            at: now,
        };
    }

    /// Requests with a prefix, of which older ones count less.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::prefix_servers::PrefixCounts;
    /// let (mut counts, secs) = (PrefixCounts::default(), Duration::from_secs);
    /// counts.record(7, secs(5));
    /// counts.record(7, secs(5));
    /// assert_eq!((counts.get(7, secs(5)), counts.get(8, secs(5))), (2.0, 0.0));
    /// assert!(counts.get(7, secs(60)) < 0.1);
    /// ```
    pub fn get(&self, prefix: u64, now: Duration) -> f64 {
        let count = self.counts.get(prefix as usize % COUNTED_PREFIXES);
        count.filter(|it| it.prefix == prefix).map_or(0.0, |it| {
            let age = now.saturating_sub(it.at).as_secs_f64();
            it.requests * (-age / COUNTING_TIME.as_secs_f64()).exp()
        })
    }
}

/// What is expected of the servers in a list for one prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixServers {
    /// Position of the server that has probably read the prefix.
    pub first: usize,
    /// Position of the server that may have read it; `None` without a prefix or with one server.
    pub second: Option<usize>,
    /// Share of the prefix that counts as unread at the others.
    unread_share: f64,
}

impl PrefixServers {
    /// Ranks the servers for a prefix of which the fleet has sent this many requests lately. Without a
    /// prefix, `tie` selects the first server. Returns `None` when there is no server.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use fulmarproxy::{coordination::placing::prefix_servers::PrefixServers, state::server};
    /// let server = |id: &str| Arc::new(server::Server {
    ///     id: id.into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 0,
    /// });
    /// let servers = ["i-1", "i-2", "i-3"].map(server);
    /// let rare = PrefixServers::new(&servers, Some(7), 0, 0.0).unwrap();
    /// let (second, other) = (rare.second.unwrap(), 3 - rare.first - rare.second.unwrap());
    /// assert_eq!((rare.unread_share(rare.first), rare.unread_share(other)), (0.0, 1.0));
    /// assert!((0.1..0.9).contains(&rare.unread_share(second)));
    /// // One request per server, so that half of what another server reads is for later ones.
    /// let frequent = PrefixServers::new(&servers, Some(7), 0, 3.0).unwrap();
    /// assert_eq!((frequent.first, frequent.unread_share(other)), (rare.first, 0.5));
    /// assert!(PrefixServers::new(&[], Some(7), 0, 0.0).is_none());
    /// ```
    pub fn new(
        servers: &[Arc<server::Server>],
        prefix: Option<u64>,
        tie: u64,
        requests: f64,
    ) -> Option<Self> {
        let hash = prefix.unwrap_or(tie);
        let (mut first, mut second) = (None, None);
        for (at, server) in servers.iter().enumerate() {
            let ranked = Some((rendezvous::weight(&server.id, hash), at));
            if ranked > first {
                (first, second) = (ranked, first);
            } else {
                second = second.max(ranked);
            }
        }
        Some(Self {
            first: first?.1,
            second: second.filter(|_| prefix.is_some()).map(|(_, at)| at),
            unread_share: 1.0 / (1.0 + requests / servers.len() as f64),
        })
    }

    /// Whether the server at this position has probably read the prefix or may have read it.
    pub fn contains(&self, at: usize) -> bool {
        at == self.first || Some(at) == self.second
    }

    /// Share of the prefix that counts as unread at the server at this position, 0 to 1.
    pub fn unread_share(&self, at: usize) -> f64 {
        if at == self.first {
            0.0
        } else if Some(at) == self.second {
            UNREAD_AT_SECOND.min(self.unread_share)
        } else {
            self.unread_share
        }
    }
}
