//! Decides whether a response that ended with its connection is complete.
//!
//! Nothing in such a response marks its end: the kernel closes the connections of a process that was killed
//! just as the process itself does at the end of a response. What tells the two apart is whether the process
//! still runs. In doubt the response counts as cut off.

use std::time::Duration;

/// Time within which the kernel closes the other connections of a process that ended, or this process
/// notices it. Assumed, not measured.
pub const CLOSE_WINDOW: Duration = Duration::from_millis(200);

/// Time for which the connection that was opened after the end must stay open. A process that is killed loses its
/// connections one after the other, and may lose its listener last. Each such response ends later by it. Assumed,
/// not measured.
pub const SETTLE_TIME: Duration = Duration::from_millis(20);

/// What a connection attempt after the end of the response met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Probe {
    /// A process accepts connections at the address.
    #[display("accepted")]
    Accepted,
    /// The connection was closed at once: the process has ended since, or has too many connections.
    #[display("closed")]
    Closed,
    /// No process does.
    #[display("refused")]
    Refused,
    /// Nothing answered in time, or the attempt failed for another reason.
    #[display("silent")]
    Silent,
}

/// What the list of servers says after the end of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Listing {
    /// The process that sent the response takes requests.
    #[display("ready")]
    Ready,
    /// That process is leaving.
    #[display("leaving")]
    Leaving,
    /// Neither that process nor another one at its address.
    #[display("gone")]
    Gone,
    /// Another process has its id or its address.
    #[display("replaced")]
    Replaced,
}

/// What became of a second connection to the process, opened before the end of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum SecondConn {
    /// It is still open.
    #[display("open")]
    Open,
    /// It was closed at about the time at which the response ended.
    #[display("closed")]
    Closed,
    /// There was none, or it was closed when its time had passed, as servers do with idle connections.
    #[display("none")]
    None,
}

/// What is known after the end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display("connection {probe}, server {listing}, second connection {second_conn}")]
pub struct Evidence {
    /// The connection attempt.
    pub probe: Probe,
    /// The list of servers.
    pub listing: Listing,
    /// The second connection.
    pub second_conn: SecondConn,
}

/// What the end of the response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The process that sent it runs on, so it ended the response itself.
    Complete,
    /// The process has ended although nothing said that it would.
    Crashed,
    /// The process may have ended.
    Doubtful,
}

impl End {
    /// Name in metrics.
    ///
    /// ```
    /// use fulmarproxy::coordination::response_end;
    /// assert_eq!(response_end::End::Doubtful.name(), "doubtful");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Crashed => "crashed",
            Self::Doubtful => "doubtful",
        }
    }
}

/// What became of a second connection that was closed at `closed_at`, when the response ended at `ended_at`.
///
/// ```
/// use std::time::Duration;
/// use fulmarproxy::coordination::response_end::{SecondConn, closed_second_conn};
/// let second = Duration::from_secs(1);
/// assert_eq!(closed_second_conn(9 * second, 9 * second), SecondConn::Closed);
/// assert_eq!(closed_second_conn(5 * second, 9 * second), SecondConn::None);
/// ```
pub fn closed_second_conn(closed_at: Duration, ended_at: Duration) -> SecondConn {
    match closed_at.abs_diff(ended_at) <= CLOSE_WINDOW {
        true => SecondConn::Closed,
        false => SecondConn::None,
    }
}

impl Evidence {
    /// Whether only the second connection shows that the process runs. The kernel closes the connections
    /// of a process one after the other, so it must still be open after [`CLOSE_WINDOW`].
    pub fn rests_on_second_conn(&self) -> bool {
        let without = Self {
            second_conn: SecondConn::None,
            ..*self
        };
        self.end() == End::Complete && without.end() != End::Complete
    }

    /// What the end of the response is.
    ///
    /// ```
    /// use fulmarproxy::coordination::response_end::{End, Evidence, Listing, Probe, SecondConn};
    /// let leaving = Evidence {
    ///     probe: Probe::Accepted,
    ///     listing: Listing::Leaving,
    ///     second_conn: SecondConn::None,
    /// };
    /// assert_eq!(leaving.end(), End::Complete);
    /// let killed = Evidence { probe: Probe::Refused, ..leaving };
    /// assert_eq!(killed.end(), End::Doubtful);
    /// let unlisted = Evidence { listing: Listing::Gone, ..leaving };
    /// assert_eq!(unlisted.end(), End::Doubtful);
    /// assert_eq!(Evidence { second_conn: SecondConn::Open, ..unlisted }.end(), End::Complete);
    /// ```
    pub fn end(&self) -> End {
        match (self.probe, self.listing, self.second_conn) {
            // An open connection to a machine that does not answer shows nothing, and a second connection to
            // an address that has a new owner may be one to that owner.
            (Probe::Silent, _, _) | (_, Listing::Replaced, _) => End::Doubtful,
            (_, _, SecondConn::Open) => End::Complete,
            (Probe::Closed, _, _) => End::Doubtful,
            (Probe::Refused, Listing::Ready, _) => End::Crashed,
            (Probe::Refused, Listing::Leaving | Listing::Gone, _) => End::Doubtful,
            // Another process may accept connections at the address before the list names it.
            (Probe::Accepted, _, SecondConn::Closed) | (Probe::Accepted, Listing::Gone, _) => {
                End::Doubtful
            }
            (Probe::Accepted, Listing::Ready | Listing::Leaving, SecondConn::None) => End::Complete,
        }
    }
}
