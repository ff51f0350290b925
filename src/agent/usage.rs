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
}

impl UsageParser {
    /// Reads the next bytes of the answer.
    pub fn read(&mut self, bytes: &[u8]) {
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

    /// Whether the closing event of a stream (`[DONE]`) has been read.
    pub fn is_finished(&self) -> bool {
        self.finished
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
