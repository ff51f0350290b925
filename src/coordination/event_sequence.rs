//! Checks that the bytes which servers send for a stream are its events, each once and in order.
//!
//! Handles servers that send other bytes in the place of events: the text of an error, another response,
//! or events that the caller has received before. The framing of a response does not tell them apart.

/// What servers sent for a stream, as far as it was accepted.
#[derive(Debug)]
pub struct EventSequence {
    /// Names of the fields that an event may have.
    fields: &'static [&'static str],
    /// Id of the last event accepted.
    last: Option<u64>,
}

/// Why bytes are not the next events of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Mismatch {
    /// They are no event.
    #[display("bytes that are no event")]
    NotAnEvent,
    /// An event has no id although those before it have.
    #[display("an event without an id")]
    NoId,
    /// The id of an event is not above that of the one before it.
    #[display("an event out of order")]
    OutOfOrder,
}

/// How many of the given bytes were accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Accepted<'a> {
    /// Length in bytes of the events and comments at the beginning that were accepted.
    pub len: usize,
    /// Number of events with an id among them.
    pub ids: u64,
    /// Id of the last one, as it was sent.
    pub last_id: Option<&'a str>,
    /// Why the bytes after them were not accepted; `None` when there are none.
    pub mismatch: Option<Mismatch>,
}

/// Fields of one event, as far as they were read.
#[derive(Default)]
struct Event<'a> {
    has_fields: bool,
    /// Id, as a number and as it was sent.
    id: Option<(u64, &'a str)>,
    mismatch: Option<Mismatch>,
}

impl<'a> Event<'a> {
    /// Reads a line that is not empty.
    fn read_line(&mut self, line: &'a [u8], fields: &[&str]) {
        if line.starts_with(b":") {
            return;
        }
        self.has_fields = true;
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        if !fields.iter().any(|field| field.as_bytes() == name) {
            self.mismatch = Some(Mismatch::NotAnEvent);
        }
        if name != b"id" {
            return;
        }
        let text = std::str::from_utf8(value).unwrap_or_default();
        let text = text.trim_start_matches(':').trim();
        let id = text.parse().ok().map(|number| (number, text));
        if id.is_none() || self.id.is_some() {
            self.mismatch = Some(Mismatch::NotAnEvent);
        }
        self.id = id;
    }
}

/// Splits off the first line; returns it without its end, and the length with it. Lines end with LF, CRLF
/// or CR.
fn first_line(bytes: &[u8]) -> (&[u8], usize) {
    let Some(end) = bytes.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
        return (bytes, bytes.len());
    };
    let end_len = match bytes[end..].starts_with(b"\r\n") {
        true => 2,
        false => 1,
    };
    (&bytes[..end], end + end_len)
}

impl EventSequence {
    /// Starts with nothing accepted. `last` is the id of the last event that the caller received elsewhere;
    /// `fields` are the names of the fields that an event may have.
    pub fn new(fields: &'static [&'static str], last: Option<u64>) -> Self {
        Self { fields, last }
    }

    /// Accepts the complete events at the beginning of `bytes` that may follow those accepted before.
    ///
    /// ```
    /// use fulmarproxy::coordination::event_sequence::{EventSequence, Mismatch};
    /// let mut stream = EventSequence::new(&["id", "data"], None);
    /// let accepted = stream.accept(b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    /// assert_eq!((accepted.len, accepted.ids, accepted.mismatch), (30, 2, None));
    /// let repeated = stream.accept(b"id: 1\ndata: b\n\n");
    /// assert_eq!((repeated.len, repeated.mismatch), (0, Some(Mismatch::OutOfOrder)));
    /// let other = stream.accept(b"HTTP/1.1 500 Error\r\n\r\n");
    /// assert_eq!(other.mismatch, Some(Mismatch::NotAnEvent));
    /// ```
    pub fn accept<'a>(&mut self, bytes: &'a [u8]) -> Accepted<'a> {
        let mut accepted = Accepted::default();
        let mut event = Event::default();
        let mut at = 0;
        while at < bytes.len() {
            let (line, len) = first_line(&bytes[at..]);
            at += len;
            if !line.is_empty() {
                event.read_line(line, self.fields);
                continue;
            }
            let ended = std::mem::take(&mut event);
            accepted.mismatch = self.mismatch(&ended);
            if accepted.mismatch.is_some() {
                break;
            }
            accepted.len = at;
            if let Some((number, text)) = ended.id {
                self.last = Some(number);
                accepted.ids += 1;
                accepted.last_id = Some(text);
            }
        }
        accepted
    }

    fn mismatch(&self, event: &Event<'_>) -> Option<Mismatch> {
        if !event.has_fields || event.mismatch.is_some() {
            return event.mismatch;
        }
        match (self.last, event.id) {
            (Some(_), None) => Some(Mismatch::NoId),
            (Some(last), Some((id, _))) if id <= last => Some(Mismatch::OutOfOrder),
            _ => None,
        }
    }
}
