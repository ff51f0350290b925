//! Numbered result codes of requests.

use derive_more::Display;

/// Result of a request; the numbers never change their meaning.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[repr(u16)]
pub enum Code {
    /// The whole answer was sent.
    #[display("ok")]
    Ok = 0,
    /// The head or body of the request is malformed.
    #[display("bad_request")]
    BadRequest = 100,
    /// The caller's key is missing or unknown.
    #[display("bad_key")]
    BadKey = 101,
    /// No route of that name is open to the workspace.
    #[display("unknown_route")]
    UnknownRoute = 102,
    /// The body is larger than the router accepts.
    #[display("too_large")]
    TooLarge = 103,
    /// The same idempotency key came with another body.
    #[display("key_reused")]
    KeyReused = 104,
    /// The idempotency key is past its retention.
    #[display("key_expired")]
    KeyExpired = 105,
    /// The request would need more tokens than the route allows.
    #[display("over_limit")]
    OverLimit = 106,
    /// The budget is spent.
    #[display("budget_spent")]
    BudgetSpent = 200,
    /// Tokens are left, but none that this router can reach now.
    #[display("budget_unreachable")]
    BudgetUnreachable = 201,
    /// The deadline cannot be met.
    #[display("overloaded")]
    Overloaded = 300,
    /// No backend server of the route is available.
    #[display("no_backend")]
    NoBackend = 301,
    /// The backend server is leaving.
    #[display("draining")]
    Draining = 302,
    /// The agent refuses work of a fenced holder.
    #[display("fenced")]
    Fenced = 303,
    /// The router follows an older configuration than the agent has seen.
    #[display("stale_config")]
    StaleConfig = 304,
    /// Another process answers at the agent's address.
    #[display("wrong_agent")]
    WrongAgent = 305,
    /// The request was there when backend servers crashed.
    #[display("crash_suspect")]
    CrashSuspect = 306,
    /// The store cannot be reached, and the call must not be repeated.
    #[display("claim_unavailable")]
    ClaimUnavailable = 307,
    /// The router is not ready.
    #[display("not_ready")]
    NotReady = 308,
    /// The backend server failed before it began.
    #[display("backend_refused")]
    BackendRefused = 309,
    /// The backend server failed after it may have begun.
    #[display("backend_failed")]
    BackendFailed = 400,
    /// The connection to the agent was lost.
    #[display("agent_lost")]
    AgentLost = 401,
    /// The deadline passed while the request ran.
    #[display("deadline_passed")]
    DeadlinePassed = 402,
    /// The call was claimed before and its outcome is unknown.
    #[display("already_claimed")]
    AlreadyClaimed = 403,
    /// The caller went away.
    #[display("caller_gone")]
    CallerGone = 404,
    /// The backend server crashed while the request ran.
    #[display("backend_crashed")]
    BackendCrashed = 405,
    /// A fault of the fleet itself.
    #[display("internal")]
    Internal = 500,
}

impl Code {
    /// Every code, in the order of the numbers.
    pub const ALL: [Self; 27] = [
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
        Self::BackendFailed,
        Self::AgentLost,
        Self::DeadlinePassed,
        Self::AlreadyClaimed,
        Self::CallerGone,
        Self::BackendCrashed,
        Self::Internal,
    ];

    /// Returns the code with a number.
    ///
    /// ```
    /// use fulmarproxy::code::Code;
    /// assert_eq!(Code::from_number(200), Some(Code::BudgetSpent));
    /// assert_eq!(Code::from_number(7), None);
    /// ```
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|code| *code as u16 == number)
    }

    /// HTTP status that a caller sees.
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
