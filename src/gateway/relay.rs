//! Passes a backend server's answer on to the caller.

use crate::{
    gateway::{exchange, meter, refusal},
    platform::headers,
    transport::h1::{conn, fault, head},
};

/// Most bytes of a plain answer that is read whole before it is passed on.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Why an answer was not passed on whole.
pub enum RelayError {
    /// The caller is gone.
    Caller(fault::Fault),
    /// The server broke off.
    Server(fault::Fault),
}

/// A stream of events on its way to the caller.
pub struct EventStream {
    /// Counts what the request spends.
    pub meter: meter::TokenMeter,
    /// Whether the caller has the head of the answer.
    pub is_started: bool,
    /// Id of the last event passed on.
    pub last_id: Option<String>,
    /// Bytes of an event that is not whole yet.
    partial: Vec<u8>,
}

/// Reads a plain answer whole.
///
/// # Errors
///
/// [`fault::Fault`] when it ends early.
pub async fn read_body(answer: &mut exchange::Response) -> Result<Vec<u8>, fault::Fault> {
    let exchange::Response { body, conn, .. } = answer;
    body.read_all(conn, MAX_BODY_BYTES).await
}

/// Passes a plain answer on.
///
/// # Errors
///
/// [`fault::Fault`] when the caller is gone.
pub async fn send_response(
    caller: &mut conn::Conn,
    head: &head::AnswerHead,
    body: &[u8],
    close: bool,
) -> Result<(), fault::Fault> {
    let headers = headers::to_caller(&head.headers);
    let bytes = refusal::answer_bytes(head.status, &headers, Some(body), close);
    caller.write(&bytes).await
}

/// End of the last whole event in some bytes.
fn complete_events_len(bytes: &[u8]) -> usize {
    let lf = find_last(bytes, b"\n\n").map(|at| at + 2);
    let crlf = find_last(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf).unwrap_or(0)
}

fn find_last(bytes: &[u8], end: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).rposition(|window| window == end)
}

impl EventStream {
    /// A stream of which nothing was passed on yet.
    pub fn new(meter: meter::TokenMeter) -> Self {
        Self {
            meter,
            is_started: false,
            last_id: None,
            partial: Vec::new(),
        }
    }

    /// Passes events on as they come, whole ones only, up to the end of the answer.
    ///
    /// # Errors
    ///
    /// [`Broken`] tells which side ended it early.
    pub async fn relay(
        &mut self,
        caller: &mut conn::Conn,
        answer: &mut exchange::Response,
        close: bool,
    ) -> Result<(), RelayError> {
        self.partial.clear();
        loop {
            let piece = answer.next().await.map_err(RelayError::Server)?;
            let Some(piece) = piece else { break };
            self.partial.extend_from_slice(&piece);
            let len = complete_events_len(&self.partial);
            if len > 0 {
                let events: Vec<u8> = self.partial.drain(..len).collect();
                self.send_chunk(caller, &answer.head, &events, close)
                    .await?;
            }
        }
        if !self.partial.is_empty() {
            let rest = std::mem::take(&mut self.partial);
            self.send_chunk(caller, &answer.head, &rest, close).await?;
        }
        self.send_head(caller, &answer.head, close).await?;
        caller.write(b"0\r\n\r\n").await.map_err(RelayError::Caller)
    }

    /// Sends the head of the answer once.
    async fn send_head(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::AnswerHead,
        close: bool,
    ) -> Result<(), RelayError> {
        if self.is_started {
            return Ok(());
        }
        self.is_started = true;
        let headers = headers::to_caller(&head.headers);
        let bytes = refusal::answer_bytes(head.status, &headers, None, close);
        caller.write(&bytes).await.map_err(RelayError::Caller)
    }

    async fn send_chunk(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::AnswerHead,
        events: &[u8],
        close: bool,
    ) -> Result<(), RelayError> {
        self.send_head(caller, head, close).await?;
        self.count_events(events);
        let mut chunk = format!("{:x}\r\n", events.len()).into_bytes();
        chunk.extend_from_slice(events);
        chunk.extend_from_slice(b"\r\n");
        caller.write(&chunk).await.map_err(RelayError::Caller)
    }

    /// Counts events and remembers the id of the last.
    fn count_events(&mut self, events: &[u8]) {
        let text = String::from_utf8_lossy(events);
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                self.last_id = Some(id.trim().to_owned());
                self.meter.count_events(1);
            }
        }
    }
}
