//! Tokens of an answer, read from its bytes as they pass.

use crate::protocol::chat;

/// Longest line that is searched for a token count, in bytes.
const LINE_LIMIT: usize = 1 << 20;

/// Finds the token counts in an answer.
#[derive(Debug, Default)]
pub struct UsageParser {
    line: Vec<u8>,
    usage: Option<chat::Usage>,
    finished: bool,
}

impl UsageParser {
    /// Reads the next bytes of the answer.
    pub fn read(&mut self, bytes: &[u8]) {
        for piece in bytes.split_inclusive(|byte| *byte == b'\n') {
            if self.line.len() + piece.len() <= LINE_LIMIT {
                self.line.extend_from_slice(piece);
            }
            if piece.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    /// Ends the answer; returns the tokens that the engine reported, if it did.
    pub fn finish(mut self) -> Option<chat::Usage> {
        self.end_line();
        self.usage
    }

    /// Whether a stream's closing event has passed.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

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
