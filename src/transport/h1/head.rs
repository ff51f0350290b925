//! Heads of HTTP messages: the request or status line and the headers.

use crate::transport::h1::{conn, fault};

/// Limit on the headers of one message; the largest message seen has about twenty.
const MAX_HEADERS: usize = 100;

/// Limit on the size of a response head; servers send well under a kilobyte.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Limit on the interim responses before one final response.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// One header, with its name and value as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name.
    pub name: String,
    /// Value.
    pub value: Vec<u8>,
}

/// Headers of a message, in the order received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Returns all values of a header; names are compared without case.
    ///
    /// ```
    /// use fulmarproxy::transport::h1::head;
    /// let mut headers = head::Headers::default();
    /// headers.push("Host", b"a.example");
    /// assert_eq!(headers.all("host").count(), 1);
    /// ```
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let named = move |header: &&Header| header.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|header| &header.value[..])
    }

    /// Returns the first value of a header, trimmed, if it is valid UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = self.all(name).next()?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a header with a comma-separated list contains a token, compared without case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.all(name).filter_map(|v| std::str::from_utf8(v).ok());
        let mut tokens = values.flat_map(|value| value.split(','));
        tokens.any(|found| found.trim().eq_ignore_ascii_case(token))
    }

    /// Adds a header.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.to_vec(),
        });
    }
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Whether the version is 1.1 rather than 1.0.
    pub is_1_1: bool,
    /// Headers.
    pub headers: Headers,
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Whether the version is 1.1 rather than 1.0.
    pub is_1_1: bool,
    /// Headers.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the connection may be used for another request after this response.
    pub fn keeps_alive(&self) -> bool {
        self.is_1_1 && !self.headers.has_token("Connection", "close")
    }
}

fn owned_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let headers = parsed.iter().map(|header| Header {
        name: header.name.to_owned(),
        value: header.value.to_vec(),
    });
    Headers(headers.collect())
}

/// Reads the head of a request; returns `None` when the peer closed before its first byte.
///
/// # Errors
///
/// [`fault::Fault::TooLarge`] when the head exceeds `max_bytes`; [`fault::Fault::Malformed`] when
/// the bytes are not a request; [`fault::Fault::ClosedMidMessage`] when the peer closed within the
/// head.
pub async fn read_request(
    conn: &mut conn::Conn,
    max_bytes: usize,
) -> Result<Option<RequestHead>, fault::Fault> {
    read_request_counted(conn, max_bytes, |_| Ok(())).await
}

/// As [`read_request`]; calls `received` with the bytes received so far each time that more are needed. It may
/// end the request by an error.
///
/// # Errors
///
/// As for [`read_request`], and those of `received`.
pub async fn read_request_counted(
    conn: &mut conn::Conn,
    max_bytes: usize,
    mut received: impl FnMut(usize) -> Result<(), fault::Fault>,
) -> Result<Option<RequestHead>, fault::Fault> {
    loop {
        if let Some((head, len)) = parse_request(conn.unread())? {
            if len > max_bytes {
                return Err(fault::Fault::TooLarge("request head"));
            }
            conn.consume(len);
            return Ok(Some(head));
        }
        if conn.unread().len() > max_bytes {
            return Err(fault::Fault::TooLarge("request head"));
        }
        received(conn.unread().len())?;
        if !conn.fill().await? {
            return match conn.unread().is_empty() {
                true => Ok(None),
                false => Err(fault::Fault::ClosedMidMessage),
            };
        }
    }
}

/// Parses the head of a request and returns it with its length; `None` when it is incomplete.
///
/// # Errors
///
/// [`fault::Fault::Malformed`] when the bytes are not the beginning of a request.
///
/// ```
/// use fulmarproxy::transport::h1::head;
/// let (head, len) = head::parse_request(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n").unwrap().unwrap();
/// assert_eq!((head.target.as_str(), len), ("/a", 28));
/// assert!(head::parse_request(b"GET /a HT").unwrap().is_none());
/// ```
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, fault::Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    let parsed = req.parse(bytes);
    let parsed = parsed.map_err(|_| fault::Fault::Malformed("request head"))?;
    let httparse::Status::Complete(len) = parsed else {
        return Ok(None);
    };
    let head = RequestHead {
        method: req.method.unwrap_or_default().to_owned(),
        target: req.path.unwrap_or_default().to_owned(),
        is_1_1: req.version == Some(1),
        headers: owned_headers(req.headers),
    };
    Ok(Some((head, len)))
}

/// What a response is by its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StatusKind {
    /// Another response follows.
    Interim,
    Final,
    /// No status of a response to a request that asked for no upgrade.
    Invalid,
}

fn status_kind(status: u16) -> StatusKind {
    match status {
        101 => StatusKind::Invalid,
        100..=199 => StatusKind::Interim,
        200..=599 => StatusKind::Final,
        _ => StatusKind::Invalid,
    }
}

/// Whether a head announces a body, which interim responses never have.
fn announces_body(headers: &Headers) -> bool {
    let mut names = ["Content-Length", "Transfer-Encoding"].into_iter();
    names.any(|name| headers.all(name).next().is_some())
}

/// Reads the head of the final response and skips interim responses (status 1xx).
///
/// # Errors
///
/// [`fault::Fault::ClosedMidMessage`] when the peer closed first; [`fault::Fault::Malformed`] when
/// the bytes are not a response, or its status is none; [`fault::Fault::TooLarge`] when the head or the number of interim
/// responses exceeds its limit.
pub async fn read_response(conn: &mut conn::Conn) -> Result<ResponseHead, fault::Fault> {
    let mut interim = 0;
    loop {
        if let Some((head, len)) = parse_response(conn.unread())? {
            conn.consume(len);
            match status_kind(head.status) {
                StatusKind::Final => return Ok(head),
                StatusKind::Interim if !announces_body(&head.headers) => (),
                StatusKind::Interim => {
                    return Err(fault::Fault::Malformed(
                        "interim answer: it announces a body",
                    ));
                }
                StatusKind::Invalid => return Err(fault::Fault::Malformed("answer status")),
            }
            interim += 1;
            if interim > MAX_INTERIM_RESPONSES {
                return Err(fault::Fault::TooLarge("number of interim answers"));
            }
            continue;
        }
        if conn.unread().len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(fault::Fault::TooLarge("answer head"));
        }
        if !conn.fill().await? {
            return Err(fault::Fault::ClosedMidMessage);
        }
    }
}

/// Whether a value holds the beginning of a status line. A head that was cut off goes on with the one of
/// another response then.
fn holds_status_line(value: &[u8]) -> bool {
    const LEN: usize = b"HTTP/1.1 200".len();
    value.windows(LEN).any(|window| {
        let (version, status) = window.split_at(LEN - 4);
        version.starts_with(b"HTTP/1.")
            && status[0] == b' '
            && status[1..].iter().all(u8::is_ascii_digit)
    })
}

fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, fault::Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes);
    let parsed = parsed.map_err(|_| fault::Fault::Malformed("answer head"))?;
    let httparse::Status::Complete(len) = parsed else {
        return Ok(None);
    };
    let is_mixed = holds_status_line(response.reason.unwrap_or_default().as_bytes())
        || response
            .headers
            .iter()
            .any(|it| holds_status_line(it.value));
    if is_mixed {
        return Err(fault::Fault::Malformed("answer head: it holds another one"));
    }
    let head = ResponseHead {
        status: response.code.unwrap_or_default(),
        is_1_1: response.version == Some(1),
        headers: owned_headers(response.headers),
    };
    Ok(Some((head, len)))
}

/// Position of the first response head within `bytes` that has a header `name`; it may be cut off after
/// that header.
///
/// ```
/// use fulmarproxy::transport::h1::head;
/// let bytes = b"done\nHTTP/1.1 503 Busy\r\nX-Id: 1\r\n";
/// assert_eq!(head::find_response(bytes, "X-Id"), Some(5));
/// assert_eq!(head::find_response(b"HTTP/1.1 503 Busy\r\n\r\nX-Id: 1", "X-Id"), None);
/// ```
pub fn find_response(bytes: &[u8], name: &str) -> Option<usize> {
    const VERSION: &[u8] = b"HTTP/1.";
    let starts = bytes.windows(VERSION.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == VERSION);
    starts.find_map(|(at, _)| {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        response.parse(&bytes[at..]).ok()?;
        let mut headers = response.headers.iter();
        let is_named = headers.any(|header| header.name.eq_ignore_ascii_case(name));
        is_named.then_some(at)
    })
}
