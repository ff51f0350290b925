//! Names of headers, decoded into what a request or an answer says.

use std::time::Duration;

use crate::transport::h1::head;

/// Id of a caller's attempt.
pub const REQUEST_ID: &str = "X-Request-Id";

/// Milliseconds that the receiver has left.
pub const DEADLINE_MS: &str = "X-Deadline-Ms";

/// Proof that a backend server made the answer.
pub const SIGNATURE: &str = "X-Response-Signature";

/// Id of the last event that the caller holds.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";

/// Seconds after which a caller may come back.
pub const RETRY_AFTER: &str = "Retry-After";

const AUTHORIZATION: &str = "Authorization";
const TOKEN_USAGE: &str = "X-Token-Usage";
const PROMPT_PREFIX: &str = "X-Prompt-Prefix";
const EXPECT_INSTANCE: &str = "X-Expect-Instance";
const WORKSPACE: &str = "X-Tenant";
const PRIORITY: &str = "X-Request-Priority";
const NOT_EXECUTED: &str = "X-Not-Executed";

/// Headers that only this system may set towards a backend server.
const RESERVED: &[&str] = &[
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    WORKSPACE,
    PRIORITY,
    NOT_EXECUTED,
    SIGNATURE,
    "X-Expect-Version",
    "X-Pin-Ms",
    "X-Hold",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
];

/// Headers that concern one connection only, and those that this system writes anew.
const HOP_BY_HOP: &[&str] = &[
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Content-Length",
    "Upgrade",
    "Expect",
];

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Tokens that a request needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenNeed {
    /// Tokens of the prompt.
    pub input: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

impl TokenNeed {
    /// Tokens of the request at its most.
    ///
    /// ```
    /// let need = fulmarproxy::platform::headers::TokenNeed { input: 5, max_output: 2 };
    /// assert_eq!(need.max_total(), 7);
    /// ```
    pub fn max_total(self) -> u64 {
        self.input.saturating_add(self.max_output)
    }
}

/// API key of a request.
pub fn api_key(headers: &head::Headers) -> Option<&str> {
    headers.text(AUTHORIZATION)?.strip_prefix("Token ")
}

/// Time that a caller waits.
pub fn deadline(headers: &head::Headers) -> Option<Duration> {
    let millis: f64 = headers.text(DEADLINE_MS)?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Tokens that a request needs; `None` when it does not say, or not in figures.
///
/// ```
/// use fulmarproxy::{platform::headers, transport::h1::head};
/// let mut given = head::Headers::default();
/// given.push("X-Token-Usage", b"1460,80");
/// assert_eq!(headers::token_need(&given).unwrap().max_total(), 1540);
/// ```
pub fn token_need(headers: &head::Headers) -> Option<TokenNeed> {
    let (input, max_output) = headers.text(TOKEN_USAGE)?.split_once(',')?;
    Some(TokenNeed {
        input: input.trim().parse().ok()?,
        max_output: max_output.trim().parse().ok()?,
    })
}

/// Parts of a prompt, in order; those that do not parse are left out.
pub fn prompt_parts(headers: &head::Headers) -> Vec<PromptPart> {
    let parts = headers.text(PROMPT_PREFIX).unwrap_or_default().split(',');
    let parsed = parts.filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parsed.collect()
}

/// Whether an answer states that the request was not run.
pub fn was_not_executed(answer: &head::AnswerHead) -> bool {
    answer.status == 421 || answer.headers.all(NOT_EXECUTED).next().is_some()
}

/// What the system tells a backend server about a request.
pub struct RequestContext<'a> {
    /// Id of the backend server that must run it.
    pub server_id: &'a str,
    /// Workspace that pays; `None` on a public route.
    pub workspace: Option<&'a str>,
    /// Time left.
    pub time_left: Duration,
    /// Rank at the engine, 0 (first) to 9; `None` for plain services.
    pub priority: Option<u8>,
    /// Last event that the caller holds, when a stream goes on.
    pub last_event_id: Option<&'a str>,
}

fn is_dropped(name: &str, per_connection: &[&str]) -> bool {
    let named = |found: &&str| found.eq_ignore_ascii_case(name);
    per_connection.iter().any(named)
}

/// Headers named by `Connection`, which end here.
fn named_by_connection(headers: &head::Headers) -> Vec<String> {
    let values = headers.all("Connection");
    let words = values.filter_map(|value| std::str::from_utf8(value).ok());
    let words = words.flat_map(|value| value.split(','));
    let ours = |name: &String| {
        ![REQUEST_ID, "Host"]
            .iter()
            .any(|h| h.eq_ignore_ascii_case(name))
    };
    words
        .map(|word| word.trim().to_owned())
        .filter(ours)
        .collect()
}

/// Headers of a caller's request as a backend server gets them.
pub fn forwarded_request_headers(
    headers: &head::Headers,
    context: &RequestContext<'_>,
) -> head::Headers {
    let named = named_by_connection(headers);
    let kept = headers.0.iter().filter(|header| {
        let resumed =
            context.last_event_id.is_some() && header.name.eq_ignore_ascii_case(LAST_EVENT_ID);
        !(resumed
            || is_dropped(&header.name, RESERVED)
            || is_dropped(&header.name, HOP_BY_HOP)
            || named
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name)))
    });
    let mut sent = head::Headers(kept.cloned().collect());
    let left = context.time_left.as_millis().to_string();
    sent.push(DEADLINE_MS, left.as_bytes());
    sent.push(EXPECT_INSTANCE, context.server_id.as_bytes());
    if let Some(workspace) = context.workspace {
        sent.push(WORKSPACE, workspace.as_bytes());
    }
    if let Some(priority) = context.priority {
        sent.push(PRIORITY, priority.to_string().as_bytes());
    }
    if let Some(id) = context.last_event_id {
        sent.push(LAST_EVENT_ID, id.as_bytes());
    }
    sent
}

/// Headers of a backend server's answer as the caller gets them.
pub fn forwarded_response_headers(headers: &head::Headers) -> head::Headers {
    let named = named_by_connection(headers);
    let kept = headers.0.iter().filter(|header| {
        !(is_dropped(&header.name, HOP_BY_HOP)
            || named
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name)))
    });
    head::Headers(kept.cloned().collect())
}

/// Whether an answer is a backend server's own and whole in form: signed, and not encoded.
pub fn is_signed(answer: &head::AnswerHead) -> bool {
    answer.headers.all(SIGNATURE).next().is_some()
        && answer.headers.all("Content-Encoding").next().is_none()
}

/// Time that an idle connection stays open, by the answer's `Keep-Alive`.
pub fn keep_alive_timeout(answer: &head::AnswerHead) -> Option<Duration> {
    let value = answer.headers.text("Keep-Alive")?;
    let mut words = value.split(',').map(str::trim);
    let seconds = words.find_map(|word| word.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
