//! Reads an answer and checks that it is whole: that it ends properly, carries the tokens of a
//! single request and has them all in order.
//!
//! The engine stand-in makes this possible: each of its tokens is the request id and the token's
//! number, as in `req-7:3`.

use derive_more::Display;
use serde::Deserialize;

use crate::protocol::chat;

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The connection broke, or the stream ended without its `[DONE]` event.
    #[display("no end")]
    NoEnd,
    /// The stream carries an error event.
    #[display("error event")]
    ErrorEvent,
    /// An event, a body or a token does not parse.
    #[display("malformed")]
    Malformed,
    /// The answer carries tokens of another request.
    #[display("mixed")]
    Mixed,
    /// Tokens are missing, repeated or out of order, or their number differs from the reported
    /// usage.
    #[display("gap")]
    Gap,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Request id that the tokens carry.
    pub id: String,
    /// Number of tokens in the answer.
    pub tokens: u64,
    /// Usage that the engine reports.
    pub usage: chat::Usage,
}

/// Reads one answer and records its first fault.
#[derive(Debug, Default)]
pub struct Reader {
    stream: bool,
    /// Bytes that are not parsed yet: an incomplete line of a stream, or the body of an answer that
    /// is not streamed.
    buffer: Vec<u8>,
    whole: WholeAnswer,
    has_usage: bool,
    done_received: bool,
    fault: Option<Fault>,
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<chat::Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default, alias = "message")]
    delta: Content,
}

#[derive(Default, Deserialize)]
struct Content {
    #[serde(default)]
    content: String,
}

impl Reader {
    /// Starts reading an answer, streamed or not.
    pub fn new(stream: bool) -> Self {
        Self {
            stream,
            ..Self::default()
        }
    }

    /// Reads the next bytes; returns the number of tokens that they completed.
    pub fn push(&mut self, bytes: &[u8]) -> u64 {
        let before = self.whole.tokens;
        self.buffer.extend_from_slice(bytes);
        if self.stream {
            self.read_lines();
        }
        self.whole.tokens - before
    }

    fn read_lines(&mut self) {
        let buffer = std::mem::take(&mut self.buffer);
        let mut rest = &buffer[..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.read_line(&rest[..end]);
            rest = &rest[end + 1..];
        }
        self.buffer = rest.to_vec();
    }

    fn read_line(&mut self, line: &[u8]) {
        if line == b"event: error" {
            self.record_fault(Fault::ErrorEvent);
        }
        match line.strip_prefix(b"data: ") {
            Some(b"[DONE]") => self.done_received = true,
            Some(data) if self.fault.is_none() => self.read_event(data),
            _ => (),
        }
    }

    fn read_event(&mut self, data: &[u8]) {
        let Ok(event) = serde_json::from_slice::<Event>(data) else {
            return self.record_fault(Fault::Malformed);
        };
        for choice in &event.choices {
            self.check_tokens(&choice.delta.content);
        }
        if let Some(usage) = event.usage {
            self.whole.usage = usage;
            self.has_usage = true;
        }
    }

    /// Checks the id and the number of each token in a text.
    fn check_tokens(&mut self, text: &str) {
        for token in text.split_whitespace() {
            let Some((id, number)) = token.rsplit_once(':') else {
                return self.record_fault(Fault::Malformed);
            };
            if self.whole.tokens == 0 {
                id.clone_into(&mut self.whole.id);
            }
            if self.whole.id != id {
                return self.record_fault(Fault::Mixed);
            }
            self.whole.tokens += 1;
            if number.parse() != Ok(self.whole.tokens) {
                return self.record_fault(Fault::Gap);
            }
        }
    }

    /// Records a fault, unless one was found before.
    fn record_fault(&mut self, fault: Fault) {
        self.fault.get_or_insert(fault);
    }

    /// Ends the answer. `broken` says whether its connection broke.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    ///
    /// ```
    /// use fulmarproxy::load::answer;
    /// let mut reader = answer::Reader::new(false);
    /// reader.push(br#"{"choices":[{"message":{"content":"r:1 r:2 "}}],
    ///     "usage":{"prompt_tokens":5,"completion_tokens":2}}"#);
    /// assert_eq!(reader.finish(false).unwrap().id, "r");
    /// ```
    pub fn finish(mut self, broken: bool) -> Result<WholeAnswer, Fault> {
        if broken {
            self.record_fault(Fault::NoEnd);
        } else if !self.stream {
            let body = std::mem::take(&mut self.buffer);
            self.read_event(&body);
        } else if !self.done_received {
            self.record_fault(Fault::NoEnd);
        }
        if self.has_usage && self.whole.usage.completion_tokens != self.whole.tokens {
            self.record_fault(Fault::Gap);
        }
        self.fault.map_or(Ok(self.whole), Err)
    }
}
