//! The fields of the chat completions API that routers and agents read.

use serde::{Deserialize, Serialize};

/// Tokens counted for each chat message in addition to its text.
pub const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// A chat completions request, reduced to the fields that a router reads.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the route that the caller asks for.
    pub model: String,
    /// Messages of the prompt; only their content counts toward the prompt's tokens.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the completion in tokens.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Newer name of `max_tokens` in the API; takes precedence over it.
    #[serde(default)]
    pub max_completion_tokens: Option<u64>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One chat message.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatMessage {
    /// The text, or an array of content parts.
    #[serde(default)]
    pub content: serde_json::Value,
}

/// Token counts that an engine reports for one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the completion.
    pub completion_tokens: u64,
}

/// A whole response, or one event of a streamed one, reduced to the fields that an agent reads.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ChatChunk {
    /// Token counts; present in a whole response and in the last event of a stream.
    #[serde(default)]
    pub usage: Option<Usage>,
}

impl ChatRequest {
    /// Upper bound of the prompt's tokens: each token covers at least one byte of text, and each
    /// message adds [`MESSAGE_OVERHEAD_TOKENS`].
    ///
    /// ```
    /// use fulmarproxy::protocol::chat;
    /// let req: chat::ChatRequest =
    ///     serde_json::from_str(r#"{"model":"m","messages":[{"content":"hello"}]}"#).unwrap();
    /// assert_eq!(req.max_prompt_tokens(), 5 + chat::MESSAGE_OVERHEAD_TOKENS);
    /// ```
    pub fn max_prompt_tokens(&self) -> u64 {
        self.messages.iter().map(ChatMessage::max_tokens).sum()
    }

    /// Maximum completion length that the caller asked for, if any.
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
    fn max_tokens(&self) -> u64 {
        let bytes = match &self.content {
            serde_json::Value::String(text) => text.len(),
            other => other.to_string().len(),
        };
        bytes as u64 + MESSAGE_OVERHEAD_TOKENS
    }
}
