//! Reads the token usage from the bytes of an answer as they pass through.

use crate::protocol::chat;

/// Limit on the bytes buffered of one line; input beyond it is skipped.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Finds the engine's token counts in an answer, whether streamed as events or sent as one JSON
/// body.
#[derive(Debug, Default)]
pub struct UsageParser {
    line: Vec<u8>,
    usage: Option<chat::Usage>,
    finished: bool,
    json: JsonNesting,
}

/// Nesting of a JSON body, to tell where it ends.
#[derive(Debug, Default)]
struct JsonNesting {
    depth: usize,
    in_string: bool,
    is_escaped: bool,
    closed: bool,
}

impl JsonNesting {
    fn read(&mut self, byte: u8) {
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' => self.is_escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => (),
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.closed = self.depth == 0;
            }
            _ => (),
        }
    }
}

impl UsageParser {
    /// Reads the next bytes of the answer.
    pub fn read(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.json.read(*byte));
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + piece.len() <= MAX_LINE_BYTES {
                self.line.extend_from_slice(piece);
            }
            if piece.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    /// Ends the answer and returns the token usage that the engine reported, if any.
    pub fn finish(mut self) -> Option<chat::Usage> {
        self.end_line();
        self.usage
    }

    /// Whether the answer has its end: the closing event of a stream (`[DONE]`), or that of a JSON
    /// body. The end of the connection may be that of a body without length, and tells nothing.
    ///
    /// ```
    /// let mut parser = fulmarproxy::agent::usage::UsageParser::default();
    /// parser.read(br#"{"choices": [{"message": {"content": "a \"}"#);
    /// assert!(!parser.is_complete(false));
    /// parser.read(br#""}}]}"#);
    /// assert!(parser.is_complete(false));
    /// ```
    pub fn is_complete(&self, is_stream: bool) -> bool {
        match is_stream {
            true => self.finished,
            false => self.json.closed && self.json.depth == 0,
        }
    }

    /// Parses the line read so far and starts a new one.
    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let data = line.strip_prefix(b"data:").unwrap_or(&line).trim_ascii();
        if data == b"[DONE]" {
            self.finished = true;
        } else if let Ok(chunk) = serde_json::from_slice::<chat::ChatChunk>(data) {
            self.usage = chunk.usage.or(self.usage);
        }
    }
}
