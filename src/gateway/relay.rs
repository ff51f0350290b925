//! Relays a backend server's response to the caller.

use std::rc::Rc;

use metrics::counter;

use crate::{
    coordination::{event_sequence, origin_search, overload::batching},
    gateway::{
        core, exchange,
        held::{Held, write_held},
        meter, overload, refusal, stream_origins,
    },
    platform::headers,
    transport::h1::{body, conn, fault, head},
};

/// Maximum size of a body that is buffered before it is relayed, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size up to which a response is sent in one write with its head, in bytes. A larger one is not copied.
const JOINED_BODY_BYTES: usize = 16 * 1024;

/// Why a response was not relayed completely.
pub enum RelayError {
    /// Writing to the caller failed.
    Caller(fault::Fault),
    /// Reading from the server failed.
    Server(fault::Fault),
    /// What the server sent, to the end of its response or up to some point, is not the rest of the stream;
    /// the text is the cause.
    Broken(String),
}

/// A stream of server-sent events that is relayed to the caller, across all attempts of a request.
pub struct EventStream {
    /// Counts the tokens that the request spends.
    pub meter: meter::TokenMeter,
    /// Whether a response has been sent to the caller, at least in part; it may be no stream.
    pub is_started: bool,
    /// Id of the last event relayed.
    pub last_id: Option<String>,
    /// What may be relayed next.
    sequence: event_sequence::EventSequence,
    /// Release that brought the first event.
    pub origin: origin_search::Origin,
    /// Hash under which the origin is noted; `None` when the stream can't be resumed.
    key: Option<u64>,
    gw: Rc<core::Gateway>,
    /// Bytes of an event that has not been received completely.
    partial: Held,
    /// Events relayed, and how many the request allows at most, if it says so.
    events: u64,
    max_events: Option<u64>,
    /// Bytes for the caller that are written together with the end of the stream.
    unsent: Vec<u8>,
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// [`fault::Fault`] when the body ends early, is too large, or ends with its connection and holds another
/// response.
pub async fn read_body(
    gw: &Rc<core::Gateway>,
    response: &mut exchange::Response,
) -> Result<Held, fault::Fault> {
    let mut held = Held::new(&gw.memory);
    let whole = match response.framing {
        body::Framing::Length(len) => usize::try_from(len).ok(),
        body::Framing::Chunked | body::Framing::Close => None,
    };
    while let Some(piece) = response.next().await? {
        held.add(&piece, whole, MAX_BODY_BYTES).await?;
    }
    // Nothing else shows where such a body ends.
    if response.framing == body::Framing::Close
        && head::find_response(&held.bytes, headers::REQUEST_ID).is_some()
    {
        counter!("fulmar_gateway_foreign_answers_total").increment(1);
        let (server, len) = (&response.server.id, held.bytes.len());
        tracing::warn!(%server, len, "relay: a body without a length holds another response");
        return Err(fault::Fault::Malformed("body: it holds another answer"));
    }
    Ok(held)
}

/// Whether a response to a request for a stream may be one; it need not name its type.
///
/// ```
/// use fulmarproxy::{gateway::relay, transport::h1::head};
/// let mut headers = head::Headers::default();
/// headers.push("Content-Type", b"text/event-stream; charset=utf-8");
/// let mut response = head::ResponseHead { status: 200, is_1_1: true, headers };
/// assert!(relay::is_event_stream(&response));
/// response.headers.0[0].value = b"application/json".to_vec();
/// assert!(!relay::is_event_stream(&response));
/// ```
pub fn is_event_stream(response: &head::ResponseHead) -> bool {
    response.headers.all("Content-Type").next().is_none() || names_event_stream(response)
}

/// Whether a response names the type of an event stream.
fn names_event_stream(response: &head::ResponseHead) -> bool {
    const TYPE: &[u8] = b"text/event-stream";
    let mut types = response.headers.all("Content-Type");
    types.next().is_some_and(|value| {
        let name = value.split(|byte| *byte == b';').next();
        name.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(TYPE))
    })
}

/// Sends a buffered response to the caller.
///
/// # Errors
///
/// [`fault::Fault`] when writing to the caller fails.
pub async fn send_response(
    caller: &mut conn::Conn,
    head: &head::ResponseHead,
    body: &Held,
    close: bool,
) -> Result<(), fault::Fault> {
    let headers = headers::forwarded_response_headers(&head.headers);
    let has_no_body = matches!(head.status, 204 | 304);
    if has_no_body || body.bytes.len() <= JOINED_BODY_BYTES {
        let bytes = refusal::encode_response(head.status, &headers, Some(&body.bytes), close);
        return caller.write(&bytes).await;
    }
    let head = refusal::encode_head(head.status, &headers, Some(body.bytes.len()), close);
    caller.write(&head).await?;
    write_held(body.holding.as_ref(), caller, &body.bytes).await
}

/// Length of the complete events at the start of `bytes`; an event ends with an empty line. None of
/// them ends within the first `searched` bytes.
fn complete_events_len(bytes: &[u8], searched: usize) -> usize {
    // Lines end with LF, CRLF or CR.
    const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
    let from = searched.saturating_sub(2);
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        let at = find_last(&bytes[from..], end)?;
        Some(from + at + end.len())
    });
    ends.max().unwrap_or(0)
}

/// Whether the bytes after the last complete event are a part of another one, or of a line. Blank
/// lines and comments belong to no event.
fn is_inside_event(rest: &[u8]) -> bool {
    let mut lines = rest.split(|byte| matches!(byte, b'\n' | b'\r'));
    let is_cut = lines.next_back().is_some_and(|line| !line.is_empty());
    is_cut || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn find_last(bytes: &[u8], end: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).rposition(|window| window == end)
}

impl EventStream {
    /// Creates a stream of which nothing has been relayed yet. `origin` is known when the caller takes it
    /// up again, and `received` is the id of the last event that it has; `key` is the hash under which the
    /// origin is noted, `None` when the stream can't be resumed. `max_events` is the number of events that
    /// the request allows.
    pub fn new(
        gw: &Rc<core::Gateway>,
        meter: meter::TokenMeter,
        key: Option<u64>,
        origin: origin_search::Origin,
        received: Option<u64>,
        max_events: Option<u64>,
    ) -> Self {
        Self {
            meter,
            is_started: false,
            last_id: None,
            sequence: event_sequence::EventSequence::new(headers::EVENT_FIELDS, received),
            origin,
            key,
            gw: gw.clone(),
            partial: Held::new(&gw.memory),
            events: 0,
            max_events,
            unsent: Vec::new(),
        }
    }

    /// Relays events as they arrive, up to the end of the server's response. What was read at once is
    /// written at once, and a busy gateway lets events gather. The caller's response stays open.
    ///
    /// An event is held back until it is complete, so that another server can resume the stream
    /// after the last relayed event. A response that ends inside an event was broken off, however
    /// its end is marked, and so was one that goes on with other bytes than the next events.
    ///
    /// # Errors
    ///
    /// [`RelayError`] tells which side failed.
    pub async fn relay_events(
        &mut self,
        caller: &mut conn::Conn,
        response: &mut exchange::Response,
        close: bool,
    ) -> Result<(), RelayError> {
        self.partial.bytes.clear();
        let mut has_events = false;
        loop {
            let may_pause = has_events && batching::may_pause(self.events, self.max_events);
            let may_pause = may_pause && !response.body.is_done();
            if may_pause && overload::collect_events(&self.gw).await {
                response.expect_bytes();
            }
            let piece = response.next().await.map_err(RelayError::Server)?;
            let Some(piece) = piece else { break };
            let searched = self.partial.bytes.len();
            let received = self.add_received(&piece, response).await;
            let len = complete_events_len(&self.partial.bytes, searched);
            if len > 0 {
                // They stay charged until they are sent.
                let rest = self.partial.bytes.split_off(len);
                let events = std::mem::replace(&mut self.partial.bytes, rest);
                let accepted = self.sequence.accept(&events);
                if accepted.len > 0 {
                    has_events = true;
                    self.note_origin(response);
                    response.count_events(&self.gw, accepted.ids);
                    self.count_events(&accepted);
                    let is_last = received.is_ok()
                        && response.body.is_done()
                        && accepted.len == events.len()
                        && self.partial.bytes.is_empty();
                    let accepted = &events[..accepted.len];
                    self.add_chunk(caller, &response.head, accepted, close)
                        .await?;
                    if !is_last {
                        self.flush(caller).await?;
                    }
                }
                if let Some(mismatch) = accepted.mismatch {
                    self.note_mismatch(response, mismatch);
                    return Err(RelayError::Broken(format!("broken off: {mismatch}")));
                }
                drop(events);
                self.partial.settle();
            }
            received.map_err(RelayError::Server)?;
            // Complete events may precede a part of one, whose size is checked with the next bytes.
            if len == 0 && self.partial.bytes.len() > MAX_EVENT_BYTES {
                return Err(RelayError::Server(fault::Fault::TooLarge("event")));
            }
        }
        self.note_end(response);
        if is_inside_event(&self.partial.bytes) {
            return Err(RelayError::Broken("broken off inside an event".to_owned()));
        }
        if !has_events && !names_event_stream(&response.head) {
            // Nothing shows that it is a stream.
            let cause = "an answer without an event or a type".to_owned();
            return Err(RelayError::Broken(cause));
        }
        if !self.partial.bytes.is_empty() {
            let rest = std::mem::take(&mut self.partial.bytes);
            self.add_chunk(caller, &response.head, &rest, close).await?;
            self.flush(caller).await?;
        }
        Ok(())
    }

    /// Adds bytes of the server's response, and those that were read from its connection with them.
    ///
    /// # Errors
    ///
    /// [`fault::Fault`] when memory is short, or the bytes after those added do not parse.
    async fn add_received(
        &mut self,
        piece: &[u8],
        response: &mut exchange::Response,
    ) -> Result<(), fault::Fault> {
        self.add_piece(piece).await?;
        while let Some(piece) = response.next_buffered()? {
            self.add_piece(&piece).await?;
        }
        Ok(())
    }

    async fn add_piece(&mut self, piece: &[u8]) -> Result<(), fault::Fault> {
        let max_bytes = self.partial.bytes.len() + piece.len() + MAX_EVENT_BYTES;
        self.partial.add(piece, None, max_bytes).await
    }

    /// Ends the caller's response as a complete one; `head` is that of the server's response.
    ///
    /// # Errors
    ///
    /// [`RelayError::Caller`] when writing to the caller failed.
    pub async fn finish(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::ResponseHead,
        close: bool,
    ) -> Result<(), RelayError> {
        self.add_head(head, close);
        self.unsent.extend_from_slice(b"0\r\n\r\n");
        self.flush(caller).await
    }

    /// Notes which server brought the first event.
    fn note_origin(&mut self, response: &exchange::Response) {
        if let (Some(key), origin_search::Origin::NotBegun) = (self.key, &self.origin) {
            self.origin = stream_origins::record_begun(&self.gw, key, &response.server);
        }
    }

    /// Counts how the server's part of the stream ended.
    fn note_end(&self, response: &exchange::Response) {
        let framing = response.framing.name();
        let is_inside_event = is_inside_event(&self.partial.bytes);
        let at = match is_inside_event {
            true => "inside_event",
            false => "event_end",
        };
        counter!("fulmar_gateway_stream_ends_total", "framing" => framing, "at" => at).increment(1);
        if is_inside_event {
            let (server, unfinished) = (&response.server.id, self.partial.bytes.len());
            tracing::info!(%server, framing, unfinished, "relay: a stream ended inside an event");
        }
    }

    /// Counts and logs that a server sent other bytes than the next events.
    fn note_mismatch(&self, response: &exchange::Response, mismatch: event_sequence::Mismatch) {
        let reason = match mismatch {
            event_sequence::Mismatch::NotAnEvent => "not_an_event",
            event_sequence::Mismatch::NoId => "no_id",
            event_sequence::Mismatch::OutOfOrder => "out_of_order",
        };
        counter!("fulmar_gateway_stream_mismatches_total", "reason" => reason).increment(1);
        let (server, last_id) = (&response.server.id, &self.last_id);
        tracing::info!(%server, last_id, %mismatch, "relay: a server sent no next event");
    }

    /// Adds the head of the response to what is written next, unless it has been sent.
    fn add_head(&mut self, head: &head::ResponseHead, close: bool) {
        if self.is_started {
            return;
        }
        self.is_started = true;
        let headers = headers::forwarded_response_headers(&head.headers);
        let bytes = refusal::encode_response(head.status, &headers, None, close);
        self.unsent.extend_from_slice(&bytes);
    }

    /// Adds events to what is written next, and the head if it has not been sent. Long ones are written
    /// at once instead of copied.
    async fn add_chunk(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::ResponseHead,
        events: &[u8],
        close: bool,
    ) -> Result<(), RelayError> {
        self.add_head(head, close);
        let size = format!("{:x}\r\n", events.len());
        self.unsent.extend_from_slice(size.as_bytes());
        if events.len() > JOINED_BODY_BYTES {
            self.flush(caller).await?;
            let holding = self.partial.holding.as_ref();
            let sent = write_held(holding, caller, events).await;
            sent.map_err(RelayError::Caller)?;
        } else {
            self.unsent.extend_from_slice(events);
        }
        self.unsent.extend_from_slice(b"\r\n");
        Ok(())
    }

    /// Writes to the caller what has been added.
    async fn flush(&mut self, caller: &mut conn::Conn) -> Result<(), RelayError> {
        let bytes = std::mem::take(&mut self.unsent);
        caller.write(&bytes).await.map_err(RelayError::Caller)
    }

    /// Counts accepted events, and stores the id of the last one.
    fn count_events(&mut self, accepted: &event_sequence::Accepted<'_>) {
        if let Some(id) = accepted.last_id {
            self.last_id = Some(id.to_owned());
            self.events = self.events.saturating_add(accepted.ids);
            self.meter.count_events(accepted.ids);
        }
    }
}
