//! One attempt at a request: sends it to a backend server and reads the head of the response.

use std::{cell::Cell, io::ErrorKind, rc::Rc, sync::Arc, time::Duration};

use derive_more::Display;
use futures::future;
use metrics::counter;

use crate::{
    coordination::{
        announcements, placing::event_pace, placing::placement, send_history, suspect_keys,
        suspects,
    },
    gateway::{connections, core, server_conn},
    platform::headers,
    state::{deployment, name, server},
    transport::h1::{body, conn, fault, head},
};

/// Maximum size of the body of a response to another request, which is read and discarded, in bytes.
const MAX_FOREIGN_BODY_BYTES: usize = 1 << 20;

/// Size up to which a body is sent in one write with its head, in bytes. A larger one is not copied.
const JOINED_BODY_BYTES: usize = 16 * 1024;

/// A request as every attempt sends it.
pub struct OutgoingRequest {
    /// Request id, as sent by the caller.
    pub id: String,
    /// Head as the caller sent it.
    pub head: head::RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// Workspace whose budget pays; `None` when the request needs no API key.
    pub workspace: Option<Arc<deployment::Workspace>>,
    /// Priority at a model engine; `None` for plain services.
    pub priority: Option<u8>,
    /// Parts of the prompt, as the request names them.
    pub parts: Vec<headers::PromptPart>,
    /// Keys by which crashes of servers are counted.
    pub keys: suspect_keys::Keys,
}

/// A server's response, of which the head has been read.
pub struct Response {
    /// Server that sent the response.
    pub server: Arc<server::Server>,
    /// Head of the response.
    pub head: head::ResponseHead,
    /// How the end of the body is marked.
    pub framing: body::Framing,
    /// Reader of the body.
    pub body: body::Body,
    /// Connection from which the body is read.
    conn: server_conn::ServerConn,
    /// What shows that the response is the one to this request.
    pub evidence: Evidence,
    /// Whether the whole request was sent.
    sent_whole: bool,
    /// Whether the connection may be reused once the body has been read.
    reusable: bool,
    /// Counts the request as running at the server until the response is dropped.
    running: RunningGuard,
    /// Time at which the request was sent.
    sent_at: Duration,
    /// Measures the time between events, of which each has this many tokens; `None` where the speed
    /// of servers is not measured.
    pace: Option<(event_pace::EventPace, u64)>,
}

/// What shows to which request a response belongs.
#[derive(Clone, Copy, Debug, Display)]
#[display("{id} id, {discarded} discarded before it, {earlier} requests earlier on its connection")]
pub struct Evidence {
    /// Whether it names the request: `own`, or `none` when it names no request.
    id: &'static str,
    /// Responses to other requests that came before it.
    discarded: u32,
    /// Requests that the connection had carried.
    earlier: usize,
}

/// Why an attempt yielded no response that could be relayed.
pub enum AttemptError {
    /// The request did not run because no connection could be opened.
    NotRun(String),
    /// As [`Self::NotRun`], because the own link is slow, which says nothing about the server.
    LinkSlow(String),
    /// The request was sent, at least in part, and may have run.
    MayHaveRun(String),
    /// As [`Self::MayHaveRun`], and the server ended the connection.
    Disconnected(String),
}

/// Counts a request as running at a server for as long as it lives.
struct RunningGuard {
    gw: Rc<core::Gateway>,
    id: name::Name,
    unread_tokens: Cell<u64>,
}

impl RunningGuard {
    fn new(gw: &Rc<core::Gateway>, placed: &placement::Placed) -> Self {
        let (server, tokens) = (&placed.server, placed.unread_tokens);
        gw.placement.borrow_mut().begin(server, tokens, gw.now());
        let mut sources = gw.load_sources.borrow_mut();
        sources.record_use(&server.service, gw.now());
        Self {
            gw: gw.clone(),
            id: server.id.clone(),
            unread_tokens: Cell::new(placed.unread_tokens),
        }
    }

    /// Records that the server has read the prompt.
    fn record_read(&self) {
        let tokens = self.unread_tokens.take();
        if tokens > 0 {
            self.gw.placement.borrow_mut().record_read(&self.id, tokens);
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.record_read();
        let now = self.gw.now();
        self.gw.placement.borrow_mut().end(&self.id, now);
    }
}

/// Sends a request to a server and reads the head of the response.
///
/// `left` is the time that the server has for the request. `last_event` is the id of the last event
/// that the caller has received, when a stream is resumed.
///
/// # Errors
///
/// [`AttemptError`] tells whether the request may have run.
pub async fn attempt(
    gw: &Rc<core::Gateway>,
    req: &OutgoingRequest,
    placed: &placement::Placed,
    left: Duration,
    last_event: Option<&str>,
) -> Result<Response, AttemptError> {
    let server = &placed.server;
    let running = RunningGuard::new(gw, placed);
    let mut conn = connections::checkout(gw, server, &req.id)
        .await
        .map_err(|err| {
            counter!("fulmar_gateway_attempt_failures_total", "reason" => "no_connection")
                .increment(1);
            let cause = format!("no connection: {err}");
            match err.kind() == ErrorKind::TimedOut && gw.round_trips.is_slow() {
                true => {
                    counter!("fulmar_gateway_late_timeouts_total", "call" => "server").increment(1);
                    AttemptError::LinkSlow(cause)
                }
                false => AttemptError::NotRun(cause),
            }
        })?;
    if !gw.announcements.borrow().admits(server, gw.now()) {
        // Another response said so while this request waited for its connection.
        counter!("fulmar_gateway_attempt_failures_total", "reason" => "closed_meanwhile")
            .increment(1);
        return Err(AttemptError::NotRun(
            "the server takes no requests any more".to_owned(),
        ));
    }
    let context = headers::RequestContext {
        server_id: &server.id,
        workspace: req.workspace.as_ref().map(|workspace| &*workspace.name),
        time_left: left,
        priority: req.priority,
        last_event_id: last_event,
    };
    let head = request_head(
        req,
        &headers::forwarded_request_headers(&req.head.headers, &context),
    );
    let earlier = conn.history().sends();
    let sent_at = gw.now();
    conn.begin_exchange(&req.id);
    let (sent, received_head) = send_and_read(&mut conn, head, &req.body, &req.id).await;
    let (head, discarded) = received_head.map_err(|err| {
        counter!("fulmar_gateway_attempt_failures_total", "reason" => failure_reason(&err))
            .increment(1);
        let cause = format!("{err} on a connection with {earlier} earlier requests");
        match err.is_ended_by_peer() {
            true => AttemptError::Disconnected(cause),
            false => AttemptError::MayHaveRun(cause),
        }
    })?;
    gw.round_trips.record_answer(sent_at);
    record_announcement(gw, server, &head);
    let is_named = head.headers.text(headers::REQUEST_ID).is_some();
    let evidence = Evidence {
        id: if is_named { "own" } else { "none" },
        discarded,
        earlier,
    };
    if headers::was_not_executed(&head) {
        let connection = if earlier == 0 { "new" } else { "kept" };
        counter!("fulmar_gateway_rejections_total", "id" => evidence.id, "connection" => connection)
            .increment(1);
    }
    let framing = body::response_framing(&head, &req.head.method)
        .map_err(|err| AttemptError::MayHaveRun(err.to_string()))?;
    // A second copy of a response that names no request would meet the next one.
    let sent_whole = sent == Sent::Whole;
    let reusable = sent_whole && is_named && head.keeps_alive() && framing != body::Framing::Close;
    let mut body = body::Body::new(framing);
    if sent == Sent::Failed {
        body.record_failure();
    }
    Ok(Response {
        server: server.clone(),
        head,
        framing,
        body,
        conn,
        evidence,
        sent_whole,
        reusable,
        running,
        sent_at,
        pace: None,
    })
}

/// Records what the head of a response says about the server that sent it.
fn record_announcement(gw: &core::Gateway, server: &server::Server, head: &head::ResponseHead) {
    let (said, malformed) = headers::announcement(head);
    record_limit(gw, server, head, &said, &malformed);
    for header in malformed {
        counter!("fulmar_gateway_malformed_announcements_total", "header" => header).increment(1);
        tracing::warn!(server = %server.id, header, "directory: malformed announcement ignored");
    }
    if said == announcements::Announcement::default() {
        return;
    }
    let news = gw.announcements.borrow_mut().record(server, said, gw.now());
    if news.is_leaving {
        // Kept connections to a leaving server are of no further use.
        gw.server_pool.borrow_mut().close_all(server.address);
        counter!("fulmar_gateway_announcements_total", "kind" => "leaving").increment(1);
        tracing::info!(server = %server.id, "directory: backend server says that it is leaving");
    }
    if let Some(after) = news.retry_after {
        let closed_ms = after.as_millis() as u64;
        counter!("fulmar_gateway_announcements_total", "kind" => "retry_after").increment(1);
        tracing::info!(server = %server.id, closed_ms, "directory: backend server named a time");
    }
}

/// Records which limit the head of a response names. One of the server's own that names none ends
/// the limit.
fn record_limit(
    gw: &core::Gateway,
    server: &server::Server,
    head: &head::ResponseHead,
    said: &announcements::Announcement,
    malformed: &[&str],
) {
    let is_own = headers::is_signed(head) || headers::was_not_executed(head);
    let is_other_process = head.status == 421;
    let is_malformed = malformed.contains(&headers::SERVER_LIMIT);
    if is_other_process || is_malformed || said.limit.is_none() && !is_own {
        return;
    }
    let (id, limit) = (&server.id, said.limit);
    let number = suspects::server_number(server);
    let mut limits = gw.server_limits.borrow_mut();
    if limits.record(number, limit, gw.now()) {
        counter!("fulmar_gateway_announcements_total", "kind" => "limit").increment(1);
        tracing::info!(%id, limit, "limits: backend server changed its limit");
        gw.limits_changed.notify(usize::MAX);
        gw.permits_changed.notify(usize::MAX);
    }
}

fn failure_reason(err: &fault::Fault) -> &'static str {
    match err {
        fault::Fault::Io(_) => "socket",
        fault::Fault::ClosedMidMessage => "closed",
        fault::Fault::Malformed(_) => "malformed",
        fault::Fault::TooLarge(_) => "too_large",
        fault::Fault::NoMemory(_) => "no_memory",
        fault::Fault::TooSlow(_) => "too_slow",
    }
}

/// Encodes the head of a request, and its body after it if that is small.
fn request_head(req: &OutgoingRequest, headers: &head::Headers) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024);
    bytes.extend_from_slice(req.head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(req.head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut bytes, headers);
    if !req.body.is_empty() || !matches!(req.head.method.as_str(), "GET" | "HEAD" | "DELETE") {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", req.body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    if req.body.len() <= JOINED_BODY_BYTES {
        bytes.extend_from_slice(&req.body);
    }
    bytes
}

/// Appends headers, one line each.
pub fn write_headers(bytes: &mut Vec<u8>, headers: &head::Headers) {
    for header in &headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
}

/// How much of a request was sent when its response began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sent {
    Whole,
    Partly,
    /// The connection failed meanwhile.
    Failed,
}

/// Sends a request and reads the head of the response at the same time, since a server may respond
/// before it has read a long body. Returns how much was sent, and the head as [`read_own_response`] does.
async fn send_and_read(
    conn: &mut server_conn::ServerConn,
    head: Vec<u8>,
    body: &[u8],
    id: &str,
) -> (Sent, Result<(head::ResponseHead, u32), fault::Fault>) {
    let mut writer = conn::Conn::new(conn.reader().socket());
    let sending = std::pin::pin!(async {
        writer.write(&head).await?;
        match body.len() <= JOINED_BODY_BYTES {
            true => Ok(()),
            false => writer.write(body).await,
        }
    });
    let reading = std::pin::pin!(read_own_response(conn, id));
    match future::select(sending, reading).await {
        future::Either::Left((Ok(()), reading)) => (Sent::Whole, reading.await),
        // The server may have responded before it closed the connection.
        future::Either::Left((Err(err), reading)) => {
            counter!("fulmar_gateway_uploads_broken_total").increment(1);
            tracing::debug!(id, %err, "exchange: the connection failed while a request was sent");
            (Sent::Failed, reading.await)
        }
        future::Either::Right((response, _)) => (Sent::Partly, response),
    }
}

/// Reads response heads up to that of the response to this request, the newest on its connection. Late
/// ones to other requests are discarded, and their number is returned. A response that may be a late one
/// is a fault.
async fn read_own_response(
    conn: &mut server_conn::ServerConn,
    id: &str,
) -> Result<(head::ResponseHead, u32), fault::Fault> {
    let mut discarded = 0;
    loop {
        let head = head::read_response(conn.reader()).await?;
        let found = head.headers.text(headers::REQUEST_ID);
        match conn.history().owner(id, found) {
            send_history::Owner::Newest => return Ok((head, discarded)),
            send_history::Owner::Other => {
                counter!("fulmar_gateway_foreign_answers_total").increment(1);
                tracing::warn!(
                    id,
                    found,
                    "exchange: discarded a response to another request"
                );
                let framing = body::response_framing(&head, "GET")?;
                body::Body::new(framing)
                    .read_all(conn.reader(), MAX_FOREIGN_BODY_BYTES)
                    .await?;
                discarded += 1;
            }
            send_history::Owner::Uncertain => {
                counter!("fulmar_gateway_unnamed_answers_total").increment(1);
                let earlier = conn.history().sends();
                tracing::warn!(id, earlier, "exchange: a response names no request");
                return Err(fault::Fault::Malformed("answer: it names no request"));
            }
        }
    }
}

impl Response {
    /// Next bytes of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`fault::Fault`] when the connection ends before the body does.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, fault::Fault> {
        let piece = self.body.next(self.conn.reader()).await;
        if self.sent_whole && matches!(piece, Ok(None)) {
            self.conn.end_exchange();
        }
        self.running.record_read();
        piece
    }

    /// Takes samples of the server's speed: the time to the first event, which is the time until now,
    /// and from now on the time between events. Returns the first.
    pub fn measure_speed(&mut self, gw: &core::Gateway, placed: &placement::Placed) -> Duration {
        let now = gw.now();
        let took = now.saturating_sub(self.sent_at);
        let mut placement = gw.placement.borrow_mut();
        placement.record_first_event(placed, took, now);
        self.pace = Some((event_pace::EventPace::new(now), placed.tokens_per_event));
        took
    }

    /// Counts events of the stream for the measured speed of its server.
    pub fn count_events(&mut self, gw: &core::Gateway, events: u64) {
        let Some((pace, tokens)) = &mut self.pace else {
            return;
        };
        let now = gw.now();
        if let Some(gap) = pace.count(events, now) {
            let mut placement = gw.placement.borrow_mut();
            placement.record_gap(&self.server, gap, *tokens, now);
        }
    }

    /// Has the next read try the socket at once, since bytes have probably arrived since the last one.
    pub fn expect_bytes(&mut self) {
        self.conn.reader().expect_bytes();
    }

    /// Bytes of the body that have been read from the socket already; `None` when there are none.
    ///
    /// # Errors
    ///
    /// [`fault::Fault`] when they do not parse.
    pub fn next_buffered(&mut self) -> Result<Option<Vec<u8>>, fault::Fault> {
        self.body.next_buffered(self.conn.reader())
    }

    /// Returns the connection to the pool if it may be reused. To be called once the whole body has
    /// been read.
    pub fn recycle(mut self, gw: &core::Gateway) {
        let is_leaving = gw.announcements.borrow().is_leaving(&self.server, gw.now());
        if !self.reusable || is_leaving || !self.conn.reader().unread().is_empty() {
            return;
        }
        let idle = headers::keep_alive_timeout(&self.head);
        connections::keep(gw, &self.server, self.conn, idle);
    }
}
