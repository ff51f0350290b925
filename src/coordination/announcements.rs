//! What backend servers say of themselves in their responses: that they are leaving, or that they
//! take no requests until a time that they name.
//!
//! Handles servers that are emptied while the directory still lists them as ready, and full or
//! throttled services, whose servers name the time at which they can serve again. A server is one
//! start of its process: another process under the same id or at the same address is another
//! server, and nothing that was said before applies to it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::state::{name, server};

/// Time for which a leaving server is remembered. It serves for seconds after it has said so, and
/// the directory may list it again after an outage of the store.
const LEAVING_TTL: Duration = Duration::from_secs(3600);

/// Number of entries from which on those that have ended are removed.
const PRUNE_THRESHOLD: usize = 256;

/// What a response says about the server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Whether the server is leaving.
    pub is_leaving: bool,
    /// Time after which the server can take a request again.
    pub retry_after: Option<Duration>,
    /// Requests a second that the server takes from all gateways together.
    pub limit: Option<f64>,
}

/// One start of a server's process.
type Process = (name::Name, u64);

fn process(server: &server::Server) -> Process {
    (server.id.clone(), server.started_unix_ms)
}

/// Servers of a service as far as their announcements go.
#[derive(Clone, Debug, Default)]
pub struct Open {
    /// Servers to which a request may be sent.
    pub servers: Vec<Arc<server::Server>>,
    /// Earliest time at which a server that named one takes requests again.
    pub opens_at: Option<Duration>,
}

/// Announcements of the backend servers.
#[derive(Debug, Default)]
pub struct Announcements {
    leaving: HashMap<Process, Duration>,
    closed_until: HashMap<Process, Duration>,
}

impl Announcements {
    /// Records what a response said about its server; returns what of it was not known yet.
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use fulmarproxy::{coordination::announcements::{Announcement, Announcements}, state::server};
    /// let server = server::Server {
    ///     id: "i-1".into(), service: "s".into(), address: "10.0.0.1:80".parse().unwrap(),
    ///     zone: "a".into(), software: "v1".into(), slots: 1, takes_work: true, started_unix_ms: 5,
    /// };
    /// let mut said = Announcements::default();
    /// let leaving = Announcement { is_leaving: true, ..Announcement::default() };
    /// assert_eq!(said.record(&server, leaving, Duration::ZERO), leaving);
    /// assert_eq!(said.record(&server, leaving, Duration::ZERO), Announcement::default());
    /// assert!(!said.admits(&server, Duration::from_secs(60)));
    /// let restarted = server::Server { started_unix_ms: 9, ..server };
    /// assert!(said.admits(&restarted, Duration::from_secs(60)));
    /// ```
    pub fn record(
        &mut self,
        server: &server::Server,
        announcement: Announcement,
        now: Duration,
    ) -> Announcement {
        let mut news = Announcement::default();
        if announcement.is_leaving {
            let until = now + LEAVING_TTL;
            news.is_leaving = self.leaving.insert(process(server), until).is_none();
        }
        if let Some(after) = announcement.retry_after {
            let until = now + after;
            // The newest answer counts, also when it names an earlier time.
            if self.closed_until.insert(process(server), until) != Some(until) {
                news.retry_after = Some(after);
            }
        }
        if self.leaving.len() + self.closed_until.len() > PRUNE_THRESHOLD {
            self.leaving.retain(|_, until| now < *until);
            self.closed_until.retain(|_, until| now < *until);
        }
        news
    }

    /// Whether a server is known to be leaving.
    pub fn is_leaving(&self, server: &server::Server, now: Duration) -> bool {
        let until = self.leaving.get(&process(server));
        until.is_some_and(|until| now < *until)
    }

    /// Time at which a server takes requests again; `None` when it has not named one that lies
    /// ahead.
    pub fn opens_at(&self, server: &server::Server, now: Duration) -> Option<Duration> {
        let until = self.closed_until.get(&process(server)).copied();
        until.filter(|until| now < *until)
    }

    /// Whether a request may be sent to a server.
    pub fn admits(&self, server: &server::Server, now: Duration) -> bool {
        !self.is_leaving(server, now) && self.opens_at(server, now).is_none()
    }

    /// Divides servers into those that may get a request now and those that may not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::announcements;
    /// let open = announcements::Announcements::default().open(&[], Duration::ZERO);
    /// assert!(open.servers.is_empty() && open.opens_at.is_none());
    /// ```
    pub fn open(&self, servers: &[Arc<server::Server>], now: Duration) -> Open {
        let mut open = Open::default();
        for server in servers {
            if self.is_leaving(server, now) {
                continue;
            }
            match self.opens_at(server, now) {
                Some(at) => open.opens_at = Some(open.opens_at.map_or(at, |known| known.min(at))),
                None => open.servers.push(server.clone()),
            }
        }
        open
    }
}
