//! A model engine's stand-in: streams tokens at a set rate and counts what it ran.

use std::{
    collections::HashMap,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::{TryStreamExt, stream};
use serde_json::json;
use trillium::{Body, Conn, KnownHeaderName, Status};

use crate::{error, protocol::chat, transport::http};

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time from one token to the next.
    pub token_interval: Duration,
}

/// What an engine ran, by request id.
#[derive(Debug, Default)]
pub struct Engine {
    runs: Mutex<HashMap<String, u64>>,
    tokens: Mutex<u64>,
}

/// Starts the stand-in on a bound socket.
pub fn start(
    listener: TcpListener,
    options: Options,
) -> Result<trillium_smol::Swansong, error::Error> {
    let engine = Arc::new(Engine::default());
    let handler = move |conn: Conn| {
        let engine = engine.clone();
        async move { serve(engine, options, conn).await }
    };
    http::serve(listener, handler)
}

async fn serve(engine: Arc<Engine>, options: Options, mut conn: Conn) -> Conn {
    if conn.path() == "/counts" {
        return conn.ok(engine.counts());
    }
    let id = conn
        .request_headers()
        .get_str("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let body = conn.request_body().read_bytes().await.unwrap_or_default();
    let req: chat::ChatRequest = match serde_json::from_slice(&body) {
        Ok(req) => req,
        Err(err) => {
            return conn
                .with_status(Status::BadRequest)
                .with_body(err.to_string());
        }
    };
    let run = Run {
        prompt: prompt_tokens(&req),
        wanted: req.answer_limit().unwrap_or(16),
        made: 0,
        id,
        options,
        engine,
    };
    run.engine.begin(&run.id, run.prompt);
    if req.stream {
        conn.insert_response_header(KnownHeaderName::ContentType, "text/event-stream");
        return conn.ok(stream_answer(run));
    }
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    conn.ok(whole_answer(run).await)
}

/// A request that runs.
struct Run {
    id: String,
    prompt: u64,
    wanted: u64,
    made: u64,
    options: Options,
    engine: Arc<Engine>,
}

impl Run {
    async fn next(&mut self) -> Option<String> {
        if self.made == self.wanted {
            return None;
        }
        smol::Timer::after(self.options.token_interval).await;
        self.made += 1;
        *self.engine.tokens.lock().unwrap() += 1;
        Some(format!("{}:{} ", self.id, self.made))
    }

    fn usage(&self) -> chat::Usage {
        chat::Usage {
            prompt_tokens: self.prompt,
            completion_tokens: self.made,
        }
    }
}

impl Engine {
    fn begin(&self, id: &str, prompt: u64) {
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        *self.tokens.lock().unwrap() += prompt;
    }

    fn counts(&self) -> String {
        let runs = self.runs.lock().unwrap();
        let tokens = self.tokens.lock().unwrap();
        json!({ "tokens": *tokens, "runs": *runs }).to_string()
    }
}

fn prompt_tokens(req: &chat::ChatRequest) -> u64 {
    let words = |message: &chat::ChatMessage| {
        message
            .content
            .as_str()
            .unwrap_or_default()
            .split_whitespace()
            .count() as u64
    };
    req.messages.iter().map(words).sum()
}

async fn whole_answer(mut run: Run) -> String {
    let mut text = String::new();
    while let Some(token) = run.next().await {
        text.push_str(&token);
    }
    json!({
        "id": run.id,
        "object": "chat.completion",
        "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
        "usage": run.usage(),
    })
    .to_string()
}

fn stream_answer(run: Run) -> Body {
    let events = stream::unfold((run, false), |(mut run, ended)| async move {
        if ended {
            return None;
        }
        let event = match run.next().await {
            Some(token) => {
                let choice = json!({ "index": 0, "delta": { "content": token } });
                let chunk = json!({ "id": run.id, "choices": [choice] });
                return Some((Ok(format!("data: {chunk}\n\n").into_bytes()), (run, false)));
            }
            None => json!({ "id": run.id, "choices": [], "usage": run.usage() }),
        };
        let end = format!("data: {event}\n\ndata: [DONE]\n\n").into_bytes();
        Some((Ok::<_, std::io::Error>(end), (run, true)))
    });
    Body::new_streaming(Box::pin(events).into_async_read(), None)
}
