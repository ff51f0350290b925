//! Result codes of requests, which callers, routers and agents exchange by name or number.

use derive_more::Display;

/// Result of a request. Members of the fleet send each other the numbers, so a number never changes
/// its meaning.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u16)]
pub enum Code {
    /// The whole answer was sent.
    #[display("ok")]
    Ok = 0,
    /// The head or body of the request is malformed, or the backend server rejected the request.
    #[display("bad_request")]
    BadRequest = 100,
    /// The caller's API key is missing or unknown.
    #[display("bad_key")]
    BadKey = 101,
    /// The workspace may use no route of that name.
    #[display("unknown_route")]
    UnknownRoute = 102,
    /// The head or body of the request is larger than allowed.
    #[display("too_large")]
    TooLarge = 103,
    /// The idempotency key was used before with a different request.
    #[display("key_reused")]
    KeyReused = 104,
    /// The idempotency key is older than the time for which keys are kept.
    #[display("key_expired")]
    KeyExpired = 105,
    /// The request asks for more tokens than the route allows.
    #[display("over_limit")]
    OverLimit = 106,
    /// No tokens are left in the budget.
    #[display("budget_spent")]
    BudgetSpent = 200,
    /// Tokens may be left in the budget, but this process cannot obtain any at the moment.
    #[display("budget_unreachable")]
    BudgetUnreachable = 201,
    /// The request cannot be served within its deadline, or all capacity is in use.
    #[display("overloaded")]
    Overloaded = 300,
    /// No backend server of the route is available.
    #[display("no_backend")]
    NoBackend = 301,
    /// The agent or gateway is draining and accepts no new work.
    #[display("draining")]
    Draining = 302,
    /// The agent refuses work of a fenced holder, or an order with an old fencing number.
    #[display("fenced")]
    Fenced = 303,
    /// The router follows an older configuration than the agent has seen.
    #[display("stale_config")]
    StaleConfig = 304,
    /// Another process now listens at the agent's address, such as a restarted agent.
    #[display("wrong_agent")]
    WrongAgent = 305,
    /// The request was running when backend servers crashed, and may have caused the crashes.
    #[display("crash_suspect")]
    CrashSuspect = 306,
    /// The store cannot be reached to claim a request that must not run twice.
    #[display("claim_unavailable")]
    ClaimUnavailable = 307,
    /// The router or gateway is not ready to serve requests.
    #[display("not_ready")]
    NotReady = 308,
    /// The backend server refused or failed the request before it began to run it.
    #[display("backend_refused")]
    BackendRefused = 309,
    /// Every backend server of the route has named a time until which it takes no requests, or a
    /// limit that is reached.
    #[display("backends_closed")]
    BackendsClosed = 310,
    /// The stream can't be resumed: no backend server runs the software version that began it, or it is
    /// not known any more which one that was.
    #[display("stream_lost")]
    StreamLost = 311,
    /// Which software version began the stream cannot be found out at the moment.
    #[display("stream_origin_unknown")]
    StreamOriginUnknown = 312,
    /// The gateway is short of processor time, and others have room.
    #[display("gateway_busy")]
    GatewayBusy = 315,
    /// By their reports, no backend server can begin to answer the request before its deadline.
    #[display("servers_busy")]
    ServersBusy = 316,
    /// The backend server failed after it may have begun to run the request.
    #[display("backend_failed")]
    BackendFailed = 400,
    /// The connection to the agent was lost.
    #[display("agent_lost")]
    AgentLost = 401,
    /// The deadline passed while the request was running.
    #[display("deadline_passed")]
    DeadlinePassed = 402,
    /// The request was claimed before with the same idempotency key, and its answer is not
    /// available any more.
    #[display("already_claimed")]
    AlreadyClaimed = 403,
    /// The caller closed the connection or cancelled the request.
    #[display("caller_gone")]
    CallerGone = 404,
    /// The backend server crashed while the request was running.
    #[display("backend_crashed")]
    BackendCrashed = 405,
    /// An internal fault of a router, agent or gateway.
    #[display("internal")]
    Internal = 500,
}

impl Code {
    /// All codes, in ascending order of their numbers.
    pub const ALL: [Self; 32] = [
        Self::Ok,
        Self::BadRequest,
        Self::BadKey,
        Self::UnknownRoute,
        Self::TooLarge,
        Self::KeyReused,
        Self::KeyExpired,
        Self::OverLimit,
        Self::BudgetSpent,
        Self::BudgetUnreachable,
        Self::Overloaded,
        Self::NoBackend,
        Self::Draining,
        Self::Fenced,
        Self::StaleConfig,
        Self::WrongAgent,
        Self::CrashSuspect,
        Self::ClaimUnavailable,
        Self::NotReady,
        Self::BackendRefused,
        Self::BackendsClosed,
        Self::StreamLost,
        Self::StreamOriginUnknown,
        Self::GatewayBusy,
        Self::ServersBusy,
        Self::BackendFailed,
        Self::AgentLost,
        Self::DeadlinePassed,
        Self::AlreadyClaimed,
        Self::CallerGone,
        Self::BackendCrashed,
        Self::Internal,
    ];

    /// Returns the code with this number, if there is one.
    ///
    /// ```
    /// use fulmarproxy::code::Code;
    /// assert_eq!(Code::from_number(200), Some(Code::BudgetSpent));
    /// assert_eq!(Code::from_number(7), None);
    /// ```
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|code| *code as u16 == number)
    }

    /// HTTP status of the response to the caller.
    ///
    /// ```
    /// assert_eq!(fulmarproxy::code::Code::BadKey.http_status(), 401);
    /// ```
    pub fn http_status(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest | Self::OverLimit => 400,
            Self::BadKey => 401,
            Self::BudgetSpent => 402,
            Self::UnknownRoute => 404,
            Self::AlreadyClaimed | Self::KeyReused => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::CrashSuspect => 422,
            Self::BudgetUnreachable => 429,
            Self::CallerGone => 499,
            Self::BackendFailed | Self::BackendCrashed | Self::AgentLost => 502,
            Self::DeadlinePassed => 504,
            Self::Internal => 500,
            _ => 503,
        }
    }
}
