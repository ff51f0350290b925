//! Passes a backend server's answer on to the caller.

use crate::{
    gateway::{exchange, meter, refusal},
    platform::headers,
    transport::h1::{conn, fault, head},
};

/// Most bytes of a plain answer that is read whole before it is passed on.
const MAX_PLAIN_BYTES: usize = 16 << 20;

/// Why an answer was not passed on whole.
pub enum Broken {
    /// The caller is gone.
    Caller(fault::Fault),
    /// The server broke off.
    Server(fault::Fault),
}

/// A stream of events on its way to the caller.
pub struct Stream {
    /// Counts what the request spends.
    pub meter: meter::Meter,
    /// Whether the caller has the head of the answer.
    pub is_begun: bool,
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
pub async fn read_plain(answer: &mut exchange::Answer) -> Result<Vec<u8>, fault::Fault> {
    let exchange::Answer { body, conn, .. } = answer;
    body.read_all(conn, MAX_PLAIN_BYTES).await
}

/// Passes a plain answer on.
///
/// # Errors
///
/// [`fault::Fault`] when the caller is gone.
pub async fn send_plain(
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
fn whole_events(bytes: &[u8]) -> usize {
    let lf = memmem(bytes, b"\n\n").map(|at| at + 2);
    let crlf = memmem(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf).unwrap_or(0)
}

fn memmem(bytes: &[u8], end: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).rposition(|window| window == end)
}

impl Stream {
    /// A stream of which nothing was passed on yet.
    pub fn new(meter: meter::Meter) -> Self {
        Self {
            meter,
            is_begun: false,
            last_id: None,
            partial: Vec::new(),
        }
    }

    /// Passes events on as they come, whole ones only, up to the end of the answer.
    ///
    /// # Errors
    ///
    /// [`Broken`] tells which side ended it early.
    pub async fn pass(
        &mut self,
        caller: &mut conn::Conn,
        answer: &mut exchange::Answer,
        close: bool,
    ) -> Result<(), Broken> {
        self.partial.clear();
        loop {
            let piece = answer.next().await.map_err(Broken::Server)?;
            let Some(piece) = piece else { break };
            self.partial.extend_from_slice(&piece);
            let len = whole_events(&self.partial);
            if len > 0 {
                let events: Vec<u8> = self.partial.drain(..len).collect();
                self.send(caller, &answer.head, &events, close).await?;
            }
        }
        if !self.partial.is_empty() {
            let rest = std::mem::take(&mut self.partial);
            self.send(caller, &answer.head, &rest, close).await?;
        }
        self.begin(caller, &answer.head, close).await?;
        caller.write(b"0\r\n\r\n").await.map_err(Broken::Caller)
    }

    /// Sends the head of the answer once.
    async fn begin(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::AnswerHead,
        close: bool,
    ) -> Result<(), Broken> {
        if self.is_begun {
            return Ok(());
        }
        self.is_begun = true;
        let headers = headers::to_caller(&head.headers);
        let bytes = refusal::answer_bytes(head.status, &headers, None, close);
        caller.write(&bytes).await.map_err(Broken::Caller)
    }

    async fn send(
        &mut self,
        caller: &mut conn::Conn,
        head: &head::AnswerHead,
        events: &[u8],
        close: bool,
    ) -> Result<(), Broken> {
        self.begin(caller, head, close).await?;
        self.count(events);
        let mut chunk = format!("{:x}\r\n", events.len()).into_bytes();
        chunk.extend_from_slice(events);
        chunk.extend_from_slice(b"\r\n");
        caller.write(&chunk).await.map_err(Broken::Caller)
    }

    /// Counts events and remembers the id of the last.
    fn count(&mut self, events: &[u8]) {
        let text = String::from_utf8_lossy(events);
        for line in text.lines() {
            if let Some(id) = line.strip_prefix("id:") {
                self.last_id = Some(id.trim().to_owned());
                self.meter.events(1);
            }
        }
    }
}
