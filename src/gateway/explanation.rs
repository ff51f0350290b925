//! The explanation of where a request would go, as `/explain` returns it. It contains no key.

use serde::{Deserialize, Serialize};

/// Servers of one kind that an explanation lists. 24 connections of the admin listener then hold 3 MB of
/// explanations at most, also for a service with thousands of servers.
pub const MAX_SERVERS: usize = 128;

/// Where a request would go, and why.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Explanation {
    /// `vm/incarnation` of the gateway.
    pub gateway: String,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Name of the route; `None` when the request was refused before it was found.
    pub route: Option<String>,
    /// Service to which the request would go.
    pub service: Option<String>,
    /// Part of the route's requests that go to that service.
    pub service_share: Option<f64>,
    /// Workspace; `None` on a public route.
    pub workspace: Option<String>,
    /// Tokens that the request needs; `None` when it is not charged for any.
    pub budget: Option<Budget>,
    /// What decides whether the gateway is too busy.
    pub load: Option<Load>,
    /// The refusal that the request would get; `None` when it would be sent.
    pub refusal: Option<Refused>,
    /// What could not be found out without sending the request.
    pub unknown: Option<String>,
    /// Id of the server that it would go to.
    pub chosen: Option<String>,
    /// Whether it is kept away from others, whatever it costs, because servers crashed while it or others with
    /// a part of its prompt ran.
    pub is_isolated: bool,
    /// Whether a random number decides among the servers.
    pub is_by_chance: bool,
    /// Servers in the order of their cost; at most [`MAX_SERVERS`].
    pub servers: Vec<Server>,
    /// Number of more expensive ones that are left out.
    pub more_servers: usize,
    /// Servers of the service that it would not go to; at most [`MAX_SERVERS`].
    pub excluded: Vec<Excluded>,
    /// Number of those that are left out.
    pub more_excluded: usize,
}

/// How a budget covers a request, in tokens.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Budget {
    /// `covered` by the share of this gateway, `to_be_acquired`, `unreachable` or `insufficient`.
    pub state: String,
    /// Needed at most.
    pub needed: u64,
    /// Available in the share of this gateway.
    pub available: u64,
    /// Prepaid in all.
    pub prepaid: u64,
    /// Fleet address of the gateway that is asked for more; `None` when it is this one.
    pub home: Option<String>,
    /// Tokens that the ledger can grant, as this gateway last read it; `None` when it has not.
    pub grantable: Option<u64>,
}

/// What decides whether a gateway is too busy for a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Lag of the event loop, in milliseconds.
    pub lag_ms: f64,
    /// Lag that is tolerated, in milliseconds.
    pub limit_ms: Option<f64>,
    /// Part of the known gateways that have room.
    pub room: f64,
    /// How much is refused, from 0 to 1.
    pub pressure: f64,
    /// Probability that the request is refused because others have room.
    pub chance: f64,
}

/// A refusal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Refused {
    /// Number of the result code.
    pub number: u16,
    /// Its name.
    pub code: String,
    /// HTTP status.
    pub status: u16,
    /// Message for the caller.
    pub message: String,
    /// `Retry-After` in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// A server that the request may go to. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Server {
    /// Id.
    pub server: String,
    /// Availability zone; it does not matter for the cost.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Cost by which servers are compared: the sum of the next three.
    pub cost_ms: f64,
    /// Expected time until the first event.
    pub first_event_ms: f64,
    /// Delay to other requests there.
    pub others_ms: f64,
    /// Cost of a new connection; 0 with an idle one.
    pub connect_ms: f64,
    /// Expected longest time between two events.
    pub gap_ms: f64,
    /// Tokens of the prompt that it has to read.
    pub tokens: u64,
    /// Those of them that the first server has probably read.
    pub read_again: u64,
    /// Whether it has probably read the shared prefix.
    pub is_first: bool,
    /// Tokens that it has to read before.
    pub unread: u64,
    /// Requests that run or wait there, as assumed.
    pub running: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Time that it takes for the same work, relative to the others.
    pub slowness: f64,
    /// Requests of this gateway in flight there.
    pub own_running: u64,
    /// Running requests that it reported.
    pub reported_running: Option<u32>,
    /// Waiting requests that it reported.
    pub reported_waiting: Option<u32>,
    /// Age of that report.
    pub report_age_ms: Option<u64>,
    /// Part of the requests for which the server is considered.
    pub considered: f64,
    /// Requests a second that it takes from all gateways, as it named them. A request to it may have to wait
    /// for a permit.
    pub limit: Option<f64>,
}

/// A server that a request does not go to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Excluded {
    /// Id.
    pub server: String,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// `draining`, `version`, `ended`, `leaving`, `closed`, `limit_reached`, `ejected` or `isolated`.
    pub reason: String,
    /// Time after which it takes requests again, in milliseconds.
    pub opens_in_ms: Option<u64>,
}
