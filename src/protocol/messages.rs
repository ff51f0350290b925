//! Calls between routers and agents, except the streamed attempts of [`crate::protocol::run`].

use std::time;

use crate::{
    code::Code,
    coordination::{crashes, roster},
    state::{member, name, receipt},
};

/// Newest versions that a member of the fleet has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Versions {
    /// Configuration version.
    pub config: u64,
    /// Revision of the list of fenced holders that the member applies.
    pub fences: u64,
}

/// Crashes of backend servers during which one request was running.
pub type CrashReport = crashes::CrashReport;

/// A heartbeat, in which an agent reports its state to the routers.
#[derive(Clone, Debug)]
pub struct AgentBeat {
    /// The agent that sends the heartbeat.
    pub member: member::Member,
    /// Service that its backend server belongs to.
    pub service: name::Name,
    /// Current load of the agent.
    pub load: roster::Load,
    /// Newest versions that the agent has seen.
    pub versions: Versions,
    /// Models that are loaded in the engine.
    pub models: Vec<name::Name>,
    /// Requests that were running when backend servers crashed.
    pub crashes: Vec<CrashReport>,
    /// Hashes of prompt prefixes that the engine has cached recently.
    pub prefixes: Vec<u64>,
}

/// A heartbeat that a router forwards to other routers.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The heartbeat.
    pub beat: AgentBeat,
    /// Time since the heartbeat was received from the agent.
    pub age: time::Duration,
}

/// What a router knows of the fleet, as routers exchange it.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// The router that sends the message.
    pub member: member::Member,
    /// Newest versions that the router has seen.
    pub versions: Versions,
    /// The latest heartbeats of agents.
    pub seen: Vec<Seen>,
    /// Requests that were running when backend servers crashed.
    pub crashes: Vec<CrashReport>,
    /// The fenced holders, as of the revision `versions.fences`.
    pub fenced: Vec<member::Incarnation>,
}

/// An order that a coordinator gives to an engine, such as to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Pool of the backend server.
    pub pool: name::Name,
    /// Fencing number; increases whenever another coordinator takes over, so that orders of an
    /// earlier one can be refused.
    pub fencing: u64,
    /// What to do: `load`, `unload` or `role`.
    pub action: String,
    /// Name of the model, adapter or role.
    pub subject: String,
    /// Version of the subject.
    pub version: String,
    /// Whether the engine checks fencing numbers itself.
    pub checked: bool,
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderResult {
    /// [`Code::Ok`] when the engine accepted the order.
    pub code: Code,
    /// Highest fencing number seen for the pool.
    pub newest: u64,
    /// Why the order was refused or failed; empty on success.
    pub message: String,
}

/// A call to an agent. Calls that name an incarnation have no effect when another process has
/// started at the agent's address since.
#[derive(Clone, Debug)]
pub enum AgentCall {
    /// Requests a holder's receipts after a given number, and its attempts that still run.
    Receipts {
        /// Incarnation of the agent that the call is for.
        agent: member::Incarnation,
        /// Holder that the receipts charge.
        holder: member::Incarnation,
        /// Number of the last receipt that the caller has.
        after: u64,
    },
    /// Tells the agent which holders are fenced, so that it refuses their attempts.
    Fence {
        /// Incarnation of the agent that the call is for.
        agent: member::Incarnation,
        /// Revision of the list of fenced holders.
        revision: u64,
        /// The fenced holders.
        holders: Vec<member::Incarnation>,
    },
    /// Cancels a request's attempt, and refuses later attempts of the request.
    Cancel {
        /// Incarnation of the agent that the call is for.
        agent: member::Incarnation,
        /// Request id.
        id: name::Name,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Checks whether the agent is alive.
    Ping {
        /// Newest versions that the caller has seen.
        versions: Versions,
    },
    /// Gives an order to the engine beside the agent.
    Order(Order),
    /// Starts or stops draining.
    Drain {
        /// Whether the agent accepts no new work.
        on: bool,
    },
}

/// Response of an agent.
#[derive(Clone, Debug)]
pub enum AgentReply {
    /// The running attempts as receipts numbered [`receipt::OPEN_NUMBER`], then the charged
    /// receipts in ascending order of their numbers.
    Receipts(Vec<receipt::Receipt>),
    /// Revision of the list of fenced holders that the agent now applies.
    Fenced(u64),
    /// The call is done, or had no effect since it was for another incarnation.
    Done,
    /// The agent is alive.
    Pong {
        /// The agent.
        member: member::Member,
        /// Its current load.
        load: roster::Load,
        /// Newest versions that it has seen.
        versions: Versions,
    },
    /// The result of an order.
    Ordered(OrderResult),
}

/// A call to a router.
#[derive(Clone, Debug)]
pub enum RouterCall {
    /// Delivers the heartbeat of an agent.
    Beat(AgentBeat),
    /// Requests tokens of a budget from the router's share.
    Draw {
        /// Incarnation of the router that is asked for tokens.
        giver: member::Incarnation,
        /// Holder that asks for them.
        asker: member::Incarnation,
        /// Budget that the tokens belong to.
        budget: name::Name,
        /// Total tokens of the budget that the asker has received from the giver so far; lets the
        /// giver recognise a repeated call.
        received: u64,
        /// Tokens wanted in addition.
        wanted: u64,
    },
    /// Exchanges what both routers know of the fleet.
    Gossip(Gossip),
    /// Requests the configuration if it is newer than a given version.
    Config {
        /// Version that the caller has.
        after: u64,
    },
    /// Asks a router to exchange no more tokens with holders that are being closed, and to return
    /// its holder record, which shows the tokens exchanged with them so far.
    Flows {
        /// Incarnation of the router that the call is for.
        router: member::Incarnation,
        /// Revision of the list of fenced holders.
        revision: u64,
        /// Holders that are being closed.
        closing: Vec<member::Incarnation>,
    },
    /// Requests a summary of the router's state.
    Status,
}

/// Response of a router.
#[derive(Clone, Debug)]
pub enum RouterReply {
    /// The heartbeat was accepted.
    Beat {
        /// Newest versions that the router has seen.
        versions: Versions,
        /// The fenced holders, as of the revision `versions.fences`.
        fenced: Vec<member::Incarnation>,
    },
    /// The tokens given.
    Drawn {
        /// Total tokens of the budget that the giver has given to the asker so far, this call
        /// included.
        given: u64,
        /// Tokens that the giver still has available.
        free: u64,
    },
    /// What the router knows of the fleet.
    Gossip(Gossip),
    /// The configuration.
    Config {
        /// Version that the router follows; nothing newer when it is not above `after` of the call.
        version: u64,
        /// The changes since `after`, or the whole configuration, as JSON of
        /// [`crate::coordination::history::Update`]; empty when there is nothing newer.
        set: Vec<u8>,
    },
    /// The router's holder record as JSON.
    Flows(Vec<u8>),
    /// The summary as JSON.
    Status(String),
}

/// Requests the rest of an answer that an agent keeps, whether its attempt still runs or has ended.
#[derive(Clone, Debug)]
pub struct Resume {
    /// Incarnation of the agent that keeps the answer.
    pub agent: member::Incarnation,
    /// Request id.
    pub id: name::Name,
    /// Bytes of the answer that have already arrived.
    pub offset: u64,
    /// Holder that pays for the request.
    pub holder: member::Incarnation,
}
