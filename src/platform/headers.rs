//! HTTP headers that callers, gateways and backend servers exchange on the platform.

use std::time::Duration;

use crate::{
    coordination::{announcements, era},
    transport::h1::head,
};

/// Id that a caller gives to one attempt at a request.
pub const REQUEST_ID: &str = "X-Request-Id";

/// Milliseconds that the receiver has left to respond.
pub const DEADLINE_MS: &str = "X-Deadline-Ms";

/// Proof that a backend server made the response.
pub const SIGNATURE: &str = "X-Response-Signature";

/// Id of the last event that the caller has received, to resume a stream after it.
pub const LAST_EVENT_ID: &str = "Last-Event-Id";

/// Id of the request that brought the first event of a stream which the caller takes up again.
pub const RESUMES: &str = "Resumes";

/// Names of the fields that an event of a stream may have.
pub const EVENT_FIELDS: &[&str] = &["event", "data", "id", "retry", "x-weight-versions"];

/// Seconds after which a caller may try again.
pub const RETRY_AFTER: &str = "Retry-After";

const STORE_ERA: &str = "Store-Era";
const SERVER_LEAVING: &str = "Server-Leaving";
/// Requests a second that a backend server takes from all gateways together.
pub const SERVER_LIMIT: &str = "Server-Limit";
pub(super) const AUTHORIZATION: &str = "Authorization";
pub(super) const TOKEN_USAGE: &str = "X-Token-Usage";
pub(super) const PROMPT_PREFIX: &str = "X-Prompt-Prefix";
/// Scheme before the key in [`AUTHORIZATION`].
pub(super) const KEY_SCHEME: &str = "Token ";
const EXPECT_INSTANCE: &str = "X-Expect-Instance";
const WORKSPACE: &str = "X-Tenant";
const PRIORITY: &str = "X-Request-Priority";
const NOT_EXECUTED: &str = "X-Not-Executed";

/// Headers that callers must not pass to a backend server; only the gateway sets them.
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

/// Headers that apply to one connection only, and others that the gateway writes itself. None of
/// them is forwarded.
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

/// A part of a prompt. Requests whose prompts start with the same parts share a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// Number of tokens that a request needs, as its caller declares it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenNeed {
    /// Tokens of the prompt.
    pub input: u64,
    /// Maximum number of tokens in the response.
    pub max_output: u64,
}

impl TokenNeed {
    /// Maximum number of tokens that the request can use, prompt and response together.
    ///
    /// ```
    /// let need = fulmarproxy::platform::headers::TokenNeed { input: 5, max_output: 2 };
    /// assert_eq!(need.max_total(), 7);
    /// ```
    pub fn max_total(self) -> u64 {
        self.input.saturating_add(self.max_output)
    }
}

/// API key of a request; `None` when it has none.
pub fn api_key(headers: &head::Headers) -> Option<&str> {
    headers.text(AUTHORIZATION)?.strip_prefix(KEY_SCHEME)
}

/// Time that the caller still waits for the response; `None` when the request does not say.
pub fn deadline(headers: &head::Headers) -> Option<Duration> {
    let millis: f64 = headers.text(DEADLINE_MS)?.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1000.0).ok()
}

/// Tokens that a request needs; `None` when the header is missing or does not parse.
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

/// A stream that a caller takes up again after it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption<'a> {
    /// Id of the request that brought the first event; empty when the caller does not name it.
    pub first_request: &'a str,
    /// Id of the last event that the caller has received; empty when it does not name one.
    pub last_event: &'a str,
}

/// The stream that a request resumes; `None` when it begins one.
///
/// ```
/// use fulmarproxy::{platform::headers, transport::h1::head};
/// let mut given = head::Headers::default();
/// assert!(headers::resumption(&given).is_none());
/// given.push("Last-Event-Id", b"7");
/// given.push("Resumes", b"9c41d0");
/// assert_eq!(headers::resumption(&given).unwrap().first_request, "9c41d0");
/// ```
pub fn resumption(headers: &head::Headers) -> Option<Resumption<'_>> {
    let (first_request, last_event) = (headers.text(RESUMES), headers.text(LAST_EVENT_ID));
    if first_request.is_none() && last_event.is_none() {
        return None;
    }
    Some(Resumption {
        first_request: first_request.unwrap_or_default(),
        last_event: last_event.unwrap_or_default(),
    })
}

/// Parts of a request's prompt, in order. Those that do not parse are left out.
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

/// Whether a response states that the request was not executed, by a header or by status 421
/// (Misdirected Request).
pub fn was_not_executed(response: &head::ResponseHead) -> bool {
    response.status == 421 || response.headers.all(NOT_EXECUTED).next().is_some()
}

/// Whether a status states that a request did not run and never will.
///
/// ```
/// use fulmarproxy::platform::headers;
/// assert!(headers::promises_not_run(503) && !headers::promises_not_run(502));
/// ```
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Longest time that a backend server can name in `Retry-After`; a longer one is no time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// The only value of a header; an error when it occurs more than once.
fn single<'a>(headers: &'a head::Headers, name: &'static str) -> Result<Option<&'a str>, ()> {
    match headers.all(name).count() {
        0 => Ok(None),
        1 => headers.text(name).ok_or(()).map(Some),
        _ => Err(()),
    }
}

fn parse_leaving(value: &str) -> Result<bool, ()> {
    match value.trim() {
        "1" => Ok(true),
        _ => Err(()),
    }
}

/// Parses a number with an optional fraction; signs and exponents belong to no such number.
fn parse_decimal(value: &str) -> Result<f64, ()> {
    let value = value.trim();
    let is_plain = |c: char| c.is_ascii_digit() || c == '.';
    if !value.starts_with(|c: char| c.is_ascii_digit()) || !value.chars().all(is_plain) {
        return Err(());
    }
    let number: f64 = value.parse().map_err(|_| ())?;
    if number.is_finite() {
        Ok(number)
    } else {
        Err(())
    }
}

fn parse_seconds(value: &str) -> Result<Duration, ()> {
    let seconds = parse_decimal(value)?;
    let time = Duration::try_from_secs_f64(seconds).map_err(|_| ())?;
    if time > MAX_RETRY_AFTER {
        return Err(());
    }
    Ok(time)
}

/// What a response says about the backend server that sent it, and the names of headers with
/// malformed values, which count as absent.
///
/// `Retry-After` counts with status 503 only. A response with status 421 comes from another process
/// than the one addressed and says nothing about that one.
///
/// ```
/// use fulmarproxy::{platform::headers, transport::h1::head};
/// let mut given = head::Headers::default();
/// given.push("Retry-After", b"0.5");
/// let response = head::ResponseHead { status: 503, is_1_1: true, headers: given };
/// let (said, malformed) = headers::announcement(&response);
/// assert_eq!(said.retry_after, Some(std::time::Duration::from_millis(500)));
/// assert!(!said.is_leaving && malformed.is_empty());
/// ```
pub fn announcement(
    response: &head::ResponseHead,
) -> (announcements::Announcement, Vec<&'static str>) {
    let mut said = announcements::Announcement::default();
    let mut malformed = Vec::new();
    if response.status == 421 {
        return (said, malformed);
    }
    let leaving = single(&response.headers, SERVER_LEAVING);
    match leaving.and_then(|value| value.map_or(Ok(false), parse_leaving)) {
        Ok(is_leaving) => said.is_leaving = is_leaving,
        Err(()) => malformed.push(SERVER_LEAVING),
    }
    let limit = single(&response.headers, SERVER_LIMIT);
    match limit.and_then(|value| value.map(parse_decimal).transpose()) {
        Ok(limit) => said.limit = limit,
        Err(()) => malformed.push(SERVER_LIMIT),
    }
    if response.status == 503 {
        let after = single(&response.headers, RETRY_AFTER);
        match after.and_then(|value| value.map(parse_seconds).transpose()) {
            Ok(after) => said.retry_after = after,
            Err(()) => malformed.push(RETRY_AFTER),
        }
    }
    (said, malformed)
}

/// Era of the store that a response of the store names.
///
/// ```
/// use fulmarproxy::{coordination::era, platform::headers, transport::h1::head};
/// let mut given = head::Headers::default();
/// given.push("Store-Era", b"4");
/// let response = head::ResponseHead { status: 200, is_1_1: true, headers: given };
/// assert_eq!(headers::store_era(&response), era::Named::Era(4));
/// ```
pub fn store_era(response: &head::ResponseHead) -> era::Named {
    match single(&response.headers, STORE_ERA) {
        Ok(None) => era::Named::None,
        Ok(Some(value)) if value.trim().bytes().all(|byte| byte.is_ascii_digit()) => {
            let era = value.trim().parse();
            era.map_or(era::Named::Malformed, era::Named::Era)
        }
        Ok(Some(_)) | Err(()) => era::Named::Malformed,
    }
}

/// What the gateway tells a backend server about a request, in reserved headers.
pub struct RequestContext<'a> {
    /// Id of the backend server that must execute the request.
    pub server_id: &'a str,
    /// Workspace whose budget is charged; `None` on a public route.
    pub workspace: Option<&'a str>,
    /// Time left to respond.
    pub time_left: Duration,
    /// Priority at the engine, from 0 (most urgent) to 9; `None` for plain services.
    pub priority: Option<u8>,
    /// Id of the last event that the caller has received, when a stream is resumed.
    pub last_event_id: Option<&'a str>,
}

fn is_listed(name: &str, list: &[&str]) -> bool {
    let matches = |listed: &&str| listed.eq_ignore_ascii_case(name);
    list.iter().any(matches)
}

/// Names of headers that `Connection` lists and that are therefore not forwarded.
///
/// The request id and `Host` are forwarded even if they are listed.
fn listed_in_connection(headers: &head::Headers) -> Vec<String> {
    let values = headers.all("Connection");
    let lists = values.filter_map(|value| std::str::from_utf8(value).ok());
    let names = lists.flat_map(|value| value.split(','));
    let may_drop = |name: &String| {
        ![REQUEST_ID, "Host"]
            .iter()
            .any(|h| h.eq_ignore_ascii_case(name))
    };
    names
        .map(|name| name.trim().to_owned())
        .filter(may_drop)
        .collect()
}

/// Returns the headers of a caller's request as they are sent to a backend server.
pub fn forwarded_request_headers(
    headers: &head::Headers,
    context: &RequestContext<'_>,
) -> head::Headers {
    let dropped = listed_in_connection(headers);
    let forwarded = headers.0.iter().filter(|header| {
        let is_replaced =
            context.last_event_id.is_some() && header.name.eq_ignore_ascii_case(LAST_EVENT_ID);
        !(is_replaced
            || is_listed(&header.name, RESERVED)
            || is_listed(&header.name, HOP_BY_HOP)
            || dropped
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name)))
    });
    let mut sent = head::Headers(forwarded.cloned().collect());
    let time_left = context.time_left.as_millis().to_string();
    sent.push(DEADLINE_MS, time_left.as_bytes());
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

/// Returns the headers of a backend server's response as they are sent to the caller.
pub fn forwarded_response_headers(headers: &head::Headers) -> head::Headers {
    let dropped = listed_in_connection(headers);
    let forwarded = headers.0.iter().filter(|header| {
        !(is_listed(&header.name, HOP_BY_HOP)
            || dropped
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name)))
    });
    head::Headers(forwarded.cloned().collect())
}

/// Whether a response was made by a backend server, which its signature shows, and has no content
/// encoding.
pub fn is_signed(response: &head::ResponseHead) -> bool {
    response.headers.all(SIGNATURE).next().is_some()
        && response.headers.all("Content-Encoding").next().is_none()
}

/// Time for which the backend server keeps an idle connection open, from the response's
/// `Keep-Alive` header.
pub fn keep_alive_timeout(response: &head::ResponseHead) -> Option<Duration> {
    let value = response.headers.text("Keep-Alive")?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
