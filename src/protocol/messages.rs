//! Calls between members, besides the streaming ones of [`crate::protocol::run`].

use std::time;

use crate::{
    code::Code,
    coordination::{crashes, roster},
    state::{member, name, receipt},
};

/// Newest versions that a member has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Configuration version.
    pub config: u64,
    /// Revision of the fence list that is applied.
    pub fences: u64,
}

/// A request that was there when a backend server crashed.
pub type CrashReport = crashes::CrashReport;

/// What an agent reports of itself.
#[derive(Clone, Debug)]
pub struct AgentBeat {
    /// The agent.
    pub member: member::Member,
    /// Service of its backend server.
    pub service: name::Name,
    /// Load.
    pub load: roster::Load,
    /// Newest versions seen.
    pub versions: Versions,
    /// Models that the engine holds.
    pub models: Vec<name::Name>,
    /// Requests that were there at crashes.
    pub crashes: Vec<CrashReport>,
    /// Prompt prefixes that the engine has cached of late.
    pub prefixes: Vec<u64>,
}

/// A heartbeat that a router passes on.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The heartbeat.
    pub beat: AgentBeat,
    /// Time since it was received.
    pub age: time::Duration,
}

/// What routers tell one another.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The router that tells.
    pub member: member::Member,
    /// Newest versions seen.
    pub versions: Versions,
    /// Heartbeats of agents.
    pub seen: Vec<Seen>,
    /// Requests that were there at crashes.
    pub crashes: Vec<CrashReport>,
    /// Fenced holders, at the revision named in `versions`.
    pub fenced: Vec<member::Incarnation>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Pool of the backend server.
    pub pool: name::Name,
    /// Grows with each change of the coordinator.
    pub fencing: u64,
    /// `load`, `unload` or `role`.
    pub action: String,
    /// Model, adapter or role name.
    pub subject: String,
    /// Version of the subject.
    pub version: String,
    /// Whether the engine checks fencing numbers itself.
    pub checked: bool,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderResult {
    /// [`Code::Ok`] when the engine took it.
    pub code: Code,
    /// Newest fencing number seen for the pool.
    pub newest: u64,
    /// Detail.
    pub message: String,
}

/// A call to an agent; each names the incarnation that is meant.
#[derive(Clone, Debug)]
pub enum AgentCall {
    /// Asks for the receipts of a holder above a number.
    Receipts {
        /// Incarnation meant.
        agent: member::Incarnation,
        /// Holder.
        holder: member::Incarnation,
        /// Number of the last receipt that is known.
        after: u64,
    },
    /// Tells which holders are fenced.
    Fence {
        /// Incarnation meant.
        agent: member::Incarnation,
        /// Revision of the fence list.
        revision: u64,
        /// Fenced holders.
        holders: Vec<member::Incarnation>,
    },
    /// Cancels an attempt.
    Cancel {
        /// Incarnation meant.
        agent: member::Incarnation,
        /// Request id.
        id: name::Name,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Asks whether the agent lives.
    Ping {
        /// Newest versions that the caller has seen.
        versions: Versions,
    },
    /// Passes an order to the engine.
    Order(Order),
    /// Begins or ends draining.
    Drain {
        /// Whether the agent takes no new work.
        on: bool,
    },
}

/// Answer of an agent.
#[derive(Clone, Debug)]
pub enum AgentReply {
    /// Receipts, in order.
    Receipts(Vec<receipt::Receipt>),
    /// Revision of the fence list that is applied.
    Fenced(u64),
    /// Nothing to tell.
    Done,
    /// The agent lives.
    Pong {
        /// The agent.
        member: member::Member,
        /// Load.
        load: roster::Load,
        /// Newest versions seen.
        versions: Versions,
    },
    /// What became of an order.
    Ordered(OrderResult),
}

/// A call to a router.
#[derive(Clone, Debug)]
pub enum RouterCall {
    /// Heartbeat of an agent.
    Beat(AgentBeat),
    /// Asks for tokens.
    Draw {
        /// Incarnation meant.
        giver: member::Incarnation,
        /// Holder that asks.
        asker: member::Incarnation,
        /// Budget.
        budget: name::Name,
        /// All tokens of the budget that the asker ever received from the giver.
        received: u64,
        /// Tokens wanted on top.
        wanted: u64,
    },
    /// Exchanges what two routers know.
    Gossip(Gossip),
    /// Asks for the configuration if it is newer than a version.
    Config {
        /// Version that is known.
        after: u64,
    },
    /// Asks a router to accept nothing more from closing holders, and for its record.
    Flows {
        /// Incarnation meant.
        router: member::Incarnation,
        /// Revision of the fence list.
        revision: u64,
        /// Holders that are being closed.
        closing: Vec<member::Incarnation>,
    },
    /// Asks for a summary.
    Status,
}

/// Answer of a router.
#[derive(Clone, Debug)]
pub enum RouterReply {
    /// Heartbeat taken.
    Beat {
        /// Newest versions that the router has seen.
        versions: Versions,
        /// Fenced holders, at the revision named in `versions`.
        fenced: Vec<member::Incarnation>,
    },
    /// Tokens given.
    Drawn {
        /// All tokens of the budget that the giver ever gave to the asker.
        given: u64,
        /// Tokens that the giver still has available.
        free: u64,
    },
    /// What the router knows.
    Gossip(Gossip),
    /// Configuration.
    Config {
        /// Version; not above the one asked after when there is nothing newer.
        version: u64,
        /// The objects as JSON; empty when there is nothing newer.
        set: Vec<u8>,
    },
    /// The router's holder record as JSON.
    Flows(Vec<u8>),
    /// A summary as JSON.
    Status(String),
}

/// Asks for the rest of a running or finished answer.
#[derive(Clone, Debug)]
pub struct Resume {
    /// Incarnation of the agent that is meant.
    pub agent: member::Incarnation,
    /// Request id.
    pub id: name::Name,
    /// Bytes that arrived already.
    pub offset: u64,
    /// Holder that pays.
    pub holder: member::Incarnation,
}
