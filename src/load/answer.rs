//! Reads an answer and checks that it is whole and belongs to one request.

use derive_more::Display;
use serde::Deserialize;

use crate::protocol::chat;

/// Why an answer is not whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Fault {
    /// The connection broke, or the stream done_received without its proper end.
    #[display("no end")]
    NoEnd,
    /// The stream carries an error event.
    #[display("error event")]
    ErrorEvent,
    /// A part does not parse.
    #[display("malformed")]
    Malformed,
    /// The answer carries another request's tokens.
    #[display("mixed")]
    Mixed,
    /// Tokens are missing, repeated or out of order.
    #[display("gap")]
    Gap,
}

/// A whole answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WholeAnswer {
    /// Request id that the tokens carry.
    pub id: String,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Tokens that the engine reports.
    pub usage: chat::Usage,
}

/// An answer that is being read.
#[derive(Debug, Default)]
pub struct Reader {
    stream: bool,
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
    /// Begins an answer, streamed or not.
    pub fn new(stream: bool) -> Self {
        Self {
            stream,
            ..Self::default()
        }
    }

    /// Takes the next bytes; returns how many tokens they completed.
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

    fn record_fault(&mut self, fault: Fault) {
        self.fault.get_or_insert(fault);
    }

    /// Ends the answer; `broken` tells that its connection broke.
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
