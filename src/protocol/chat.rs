//! The parts of the chat completions API that the fleet reads.

use serde::{Deserialize, Serialize};

/// Tokens that a chat message costs besides its text.
pub const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// What the router reads of a chat completions request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model route.
    pub model: String,
    /// Messages; only their text is counted.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Longest answer in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens`.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One chat message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// Text, or parts of it.
    #[serde(default)]
    pub content: serde_json::Value,
}

/// Tokens that an engine reports for one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// What the agent reads of an answer, whole or one event of a stream.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ChatChunk {
    /// Present in a whole answer and in the last event of a stream.
    #[serde(default)]
    pub usage: Option<Usage>,
}

impl ChatRequest {
    /// Most tokens that the prompt can hold: a token covers at least one byte.
    ///
    /// ```
    /// use fulmarproxy::protocol::chat;
    /// let req: chat::ChatRequest =
    ///     serde_json::from_str(r#"{"model":"m","messages":[{"content":"hello"}]}"#).unwrap();
    /// assert_eq!(req.max_prompt_tokens(), 5 + chat::MESSAGE_OVERHEAD_TOKENS);
    /// ```
    pub fn max_prompt_tokens(&self) -> u64 {
        self.messages.iter().map(ChatMessage::bound).sum()
    }

    /// Longest answer asked for, if any.
    ///
    /// ```
    /// use fulmarproxy::protocol::chat;
    /// let req: chat::ChatRequest =
    ///     serde_json::from_str(r#"{"model":"m","max_tokens":4}"#).unwrap();
    /// assert_eq!(req.max_answer_tokens(), Some(4));
    /// ```
    pub fn max_answer_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }
}

impl ChatMessage {
    fn bound(&self) -> u64 {
        let bytes = match &self.content {
            serde_json::Value::String(text) => text.len(),
            other => other.to_string().len(),
        };
        bytes as u64 + MESSAGE_OVERHEAD_TOKENS
    }
}
