//! Simulates backend servers: model engines that stream tokens, and plain services that count runs.

use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::{protocol::chat, transport::backend};
use futures::stream;
use serde_json::json;

use super::{clock, faults};

/// Interval at which a waiting request looks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Word in a prompt that crashes every engine that runs it.
pub const CRASHING_WORD: &str = "crashing";

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Name of the request in the scenario.
    pub label: String,
    /// Number of the send among the sends of the request; zero if all sends have the same body.
    pub send_number: u32,
    /// Budget that the run is charged to.
    pub budget: String,
    /// Tokens of the prompt and of the answer so far.
    pub tokens: u64,
    /// Whether the answer was generated completely.
    pub finished: bool,
    /// Time of the start.
    pub started_at: Duration,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    /// Slots in use.
    active: u32,
    /// Whether the engine has crashed and not restarted yet.
    down: bool,
    /// Number of crashes; streams of before the last crash are reset.
    crash_count: u64,
}

/// A handle to a backend server.
#[derive(Clone)]
pub struct Engine {
    clock: clock::Clock,
    slots: u32,
    token_interval: Duration,
    faults: faults::Faults,
    state: Arc<Mutex<State>>,
}

/// A parsed prompt: request label, send number, budget, and whether it crashes engines.
#[derive(Clone, Debug, Default)]
struct Prompt {
    label: String,
    send_number: u32,
    budget: String,
    crashing: bool,
}

/// Writes a prompt that [`Engine`] parses.
pub fn prompt_text(label: &str, send_number: u32, budget: &str, crashing: bool) -> String {
    let mark = if crashing { CRASHING_WORD } else { "plain" };
    format!("{label} {send_number} {budget} {mark}")
}

fn parse_prompt(text: &str) -> Prompt {
    let words: Vec<_> = text.split_whitespace().collect();
    let word = |at: usize| words.get(at).copied().unwrap_or_default();
    Prompt {
        label: word(0).to_owned(),
        send_number: word(1).parse().unwrap_or(0),
        budget: word(2).to_owned(),
        crashing: word(3) == CRASHING_WORD,
    }
}

impl Engine {
    /// Creates an engine that runs up to `slots` requests concurrently.
    pub fn new(
        clock: clock::Clock,
        slots: u32,
        token_interval: Duration,
        faults: faults::Faults,
    ) -> Self {
        Self {
            faults,
            clock,
            slots,
            token_interval,
            state: Arc::default(),
        }
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Visits all runs so far.
    pub fn visit_runs(&self, mut visitor: impl FnMut(&Run)) {
        self.state
            .lock()
            .unwrap()
            .runs
            .iter()
            .for_each(&mut visitor);
    }

    /// Whether the engine has ever crashed.
    pub fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().crash_count > 0
    }

    /// Crashes the engine: all its streams are reset, and it accepts calls again after `down_for`.
    pub fn crash(&self, down_for: Duration) {
        let mut state = self.state.lock().unwrap();
        state.down = true;
        state.active = 0;
        state.crash_count += 1;
        drop(state);
        let engine = self.clone();
        let work = async move {
            engine.clock.sleep(down_for).await;
            engine.state.lock().unwrap().down = false;
        };
        self.clock.spawn(clock::OUTSIDE, Box::pin(work));
    }

    /// The engine as a backend of its agent.
    pub fn backend(&self) -> backend::Backend {
        let engine = self.clone();
        backend::Backend {
            send: Arc::new(move |call| {
                let engine = engine.clone();
                Box::pin(async move { engine.send(call).await })
            }),
        }
    }

    /// Answers a chat request, a call of a plain service, or a probe, which has an empty body.
    async fn send(&self, call: backend::Call) -> Result<backend::Response, backend::Failure> {
        if self.state.lock().unwrap().down {
            return Err(backend::Failure {
                may_have_run: false,
                message: "connection refused".to_owned(),
            });
        }
        match serde_json::from_slice::<chat::ChatRequest>(&call.body) {
            Ok(chat) if !chat.messages.is_empty() => self.generate(call, chat).await,
            _ if call.body.is_empty() => Ok(text_response(String::new())),
            _ => Ok(self.serve_plain(call)),
        }
    }

    fn serve_plain(&self, call: backend::Call) -> backend::Response {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let prompt = parse_prompt(body.trim_matches('"'));
        self.record_run(&call.request_id, &prompt, 1);
        let run = self.state.lock().unwrap().runs.len() - 1;
        self.state.lock().unwrap().runs[run].finished = true;
        text_response(format!("done {} {}", prompt.label, run + 1))
    }

    async fn generate(
        &self,
        call: backend::Call,
        chat: chat::ChatRequest,
    ) -> Result<backend::Response, backend::Failure> {
        let text = chat.messages[0].content.as_str().unwrap_or_default();
        let prompt = parse_prompt(text);
        let crash_count = self.state.lock().unwrap().crash_count;
        while self.state.lock().unwrap().active >= self.slots {
            self.clock.sleep(SLOT_POLL_INTERVAL).await;
        }
        if self.faults.is_on(faults::Fault::RepeatedRuns) {
            self.record_run(&call.request_id, &prompt, 0);
        }
        let run_index = self.record_run(
            &call.request_id,
            &prompt,
            text.split_whitespace().count() as u64,
        );
        let slot = SlotGuard {
            engine: self.clone(),
            crash_count,
        };
        slot.engine.state.lock().unwrap().active += 1;
        if prompt.crashing {
            self.clock.sleep(self.token_interval).await;
            self.crash(Duration::from_secs(2));
            return Err(backend::Failure {
                may_have_run: true,
                message: "connection reset".to_owned(),
            });
        }
        let answer = AnswerStream {
            slot,
            run_index,
            label: prompt.label,
            generated: 0,
            max_tokens: chat.max_answer_tokens().unwrap_or(16),
            stream: chat.stream,
            ended: false,
        };
        Ok(backend::Response {
            status: 200,
            body: Box::pin(stream::unfold(answer, AnswerStream::next)),
        })
    }

    fn record_run(&self, id: &str, prompt: &Prompt, tokens: u64) -> usize {
        let started_at = self.clock.now();
        let mut state = self.state.lock().unwrap();
        state.runs.push(Run {
            id: id.to_owned(),
            label: prompt.label.clone(),
            send_number: prompt.send_number,
            budget: prompt.budget.clone(),
            tokens,
            finished: false,
            started_at,
        });
        state.runs.len() - 1
    }
}

fn text_response(text: String) -> backend::Response {
    backend::Response {
        status: 200,
        body: Box::pin(stream::iter([Ok(text.into_bytes())])),
    }
}

/// A slot in use, released on drop unless a crash has released all slots meanwhile.
struct SlotGuard {
    engine: Engine,
    crash_count: u64,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.engine.state.lock().unwrap();
        if state.crash_count == self.crash_count {
            state.active = state.active.saturating_sub(1);
        }
    }
}

/// A chat answer in progress.
struct AnswerStream {
    slot: SlotGuard,
    run_index: usize,
    label: String,
    generated: u64,
    max_tokens: u64,
    stream: bool,
    ended: bool,
}

type BodyPart = io::Result<Vec<u8>>;

impl AnswerStream {
    async fn next(mut self) -> Option<(BodyPart, Self)> {
        if self.ended {
            return None;
        }
        let engine = self.slot.engine.clone();
        let mut text = String::new();
        while self.generated < self.max_tokens {
            engine.clock.sleep(engine.token_interval).await;
            let mut state = engine.state.lock().unwrap();
            if state.crash_count != self.slot.crash_count {
                drop(state);
                self.ended = true;
                let err = io::ErrorKind::ConnectionReset.into();
                return Some((Err(err), self));
            }
            state.runs[self.run_index].tokens += 1;
            drop(state);
            self.generated += 1;
            let token = format!("{}:{} ", self.label, self.generated);
            if self.stream {
                let choice = json!({ "index": 0, "delta": { "content": token } });
                let chunk = json!({ "choices": [choice] });
                return Some((Ok(format!("data: {chunk}\n\n").into_bytes()), self));
            }
            text.push_str(&token);
        }
        self.ended = true;
        let run = {
            let mut state = engine.state.lock().unwrap();
            state.runs[self.run_index].finished = true;
            state.runs[self.run_index].clone()
        };
        let usage = chat::Usage {
            prompt_tokens: run.tokens - self.generated,
            completion_tokens: self.generated,
        };
        let part = if self.stream {
            let event = json!({ "choices": [], "usage": usage });
            format!("data: {event}\n\ndata: [DONE]\n\n")
        } else {
            let message = json!({ "role": "assistant", "content": text });
            let choice = json!({ "index": 0, "message": message });
            json!({ "choices": [choice], "usage": usage }).to_string()
        };
        Some((Ok(part.into_bytes()), self))
    }
}

/// Text of a whole answer to a request.
pub fn expected_text(label: &str, max_tokens: u64) -> String {
    (1..=max_tokens).map(|n| format!("{label}:{n} ")).collect()
}

/// Text of an answer body, streamed or not; marked if a stream lacks its last event.
pub fn answer_text(body: &[u8], stream: bool) -> String {
    let body = String::from_utf8_lossy(body);
    let text = |value: &serde_json::Value, field: &str| {
        let content = &value["choices"][0][field]["content"];
        content.as_str().unwrap_or_default().to_owned()
    };
    if !stream {
        let value = serde_json::from_str(&body).unwrap_or_default();
        return text(&value, "message");
    }
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let parts = events.map(|event| {
        let value: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
        text(&value, "delta")
    });
    let text: String = parts.collect();
    let end = if body.ends_with("data: [DONE]\n\n") {
        ""
    } else {
        "(no end)"
    };
    text + end
}
