//! One run of an engine: generates tokens at the engine's rate until the answer is complete, the
//! caller disconnects or the engine crashes.

use std::{sync::Arc, time::Duration};

use futures::{TryStreamExt, stream};
use serde_json::json;
use trillium::Body;

use crate::{
    protocol::chat,
    standin::{batch, engine},
};

/// Length of an answer in tokens when the request sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Fraction by which a token takes longer when all slots are taken.
const FULL_BATCH_SLOWDOWN: f64 = 0.5;

/// A request that holds a slot.
pub struct Run {
    id: String,
    prompt_tokens: u64,
    cached_tokens: u64,
    max_tokens: u64,
    generated_tokens: u64,
    /// Crash generation in which the run started.
    generation: u64,
    triggers_crash: bool,
    engine: Arc<engine::Engine>,
    slot: Option<batch::Slot>,
}

/// Error: the engine crashed during the run.
#[derive(Debug)]
pub struct Crashed;

impl Run {
    /// Starts a run in a slot.
    pub fn start(
        engine: Arc<engine::Engine>,
        slot: batch::Slot,
        id: String,
        req: &chat::ChatRequest,
    ) -> Self {
        let text = prompt_text(req);
        let words: Vec<&str> = text.split_whitespace().collect();
        let prompt_tokens = words.len() as u64;
        let cached_tokens = engine
            .prefix_cache
            .lock()
            .unwrap()
            .lookup_and_insert(&words) as u64;
        engine
            .counters
            .record_start(&id, prompt_tokens, cached_tokens);
        engine.record_load();
        Self {
            id,
            prompt_tokens,
            cached_tokens,
            max_tokens: req.max_answer_tokens().unwrap_or(DEFAULT_MAX_TOKENS),
            generated_tokens: 0,
            generation: engine.crash_state.generation(),
            triggers_crash: engine.crash_state.contains_trigger(&text),
            engine,
            slot: Some(slot),
        }
    }

    /// Waits for the next token; `None` at the end of the answer.
    ///
    /// A run whose prompt contains the crash trigger crashes the engine before its first token.
    async fn next_token(&mut self) -> Result<Option<String>, Crashed> {
        if self.generated_tokens == self.max_tokens {
            return Ok(None);
        }
        if self.generated_tokens == 0 {
            smol::Timer::after(self.prompt_time()).await;
        }
        smol::Timer::after(self.token_time()).await;
        if self.triggers_crash {
            self.triggers_crash = false;
            self.engine.crash();
        }
        if self.generation != self.engine.crash_state.generation() {
            return Err(Crashed);
        }
        self.generated_tokens += 1;
        self.engine.counters.record_token(&self.id);
        Ok(Some(format!("{}:{} ", self.id, self.generated_tokens)))
    }

    fn prompt_time(&self) -> Duration {
        let computed = self.prompt_tokens - self.cached_tokens;
        self.engine.options.prompt_token_time * u32::try_from(computed).unwrap_or(u32::MAX)
    }

    fn token_time(&self) -> Duration {
        let slowdown = 1.0 + FULL_BATCH_SLOWDOWN * self.engine.batch.utilization();
        self.engine.options.token_interval.mul_f64(slowdown)
    }

    fn usage(&self) -> chat::Usage {
        chat::Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.generated_tokens,
        }
    }

    /// Generates the whole answer.
    ///
    /// # Errors
    ///
    /// [`Crashed`] when the engine crashes before the answer is complete.
    pub async fn whole_answer(mut self) -> Result<serde_json::Value, Crashed> {
        let mut text = String::new();
        while let Some(token) = self.next_token().await? {
            text.push_str(&token);
        }
        Ok(json!({
            "id": self.id,
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
            "usage": self.usage(),
        }))
    }

    /// A response body that streams the answer as server-sent events.
    ///
    /// The last event carries the usage. A crash breaks the body off.
    pub fn stream_answer(self) -> Body {
        let events = stream::unfold(Some(self), |run| async move {
            let mut run = run?;
            let event = match run.next_token().await {
                Ok(Some(token)) => {
                    let choice = json!({ "index": 0, "delta": { "content": token } });
                    let chunk = json!({ "id": run.id, "choices": [choice] });
                    return Some((Ok(format!("data: {chunk}\n\n").into_bytes()), Some(run)));
                }
                Ok(None) => json!({ "id": run.id, "choices": [], "usage": run.usage() }),
                Err(Crashed) => return Some((Err(std::io::Error::other("crashed")), None)),
            };
            let end = format!("data: {event}\n\ndata: [DONE]\n\n").into_bytes();
            Some((Ok(end), None))
        });
        Body::new_streaming(Box::pin(events).into_async_read(), None)
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let crashed = self.generation != self.engine.crash_state.generation();
        let finished = self.generated_tokens == self.max_tokens;
        self.engine.counters.update(|counts| {
            counts.finished += u64::from(finished);
            counts.cancelled += u64::from(!finished && !crashed);
        });
        drop(self.slot.take());
        self.engine.record_load();
    }
}

/// The text of all messages of a request.
fn prompt_text(req: &chat::ChatRequest) -> String {
    let texts = req.messages.iter().filter_map(|m| m.content.as_str());
    texts.collect::<Vec<_>>().join(" ")
}
