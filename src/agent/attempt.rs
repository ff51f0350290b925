//! One attempt at the backend server.

use std::{sync::atomic::Ordering, time::Duration};

use futures::StreamExt;

use crate::{
    agent::{Agent, usage},
    code::Code,
    protocol::run,
    transport::backend,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// What became of the exchange with the backend server.
struct Exchange {
    code: Code,
    ran: bool,
    message: String,
    status: u16,
    length: u64,
    tokens: Option<u64>,
}

impl Exchange {
    fn failed(code: Code, ran: bool, message: impl ToString) -> Self {
        Self {
            code,
            ran,
            message: message.to_string(),
            status: 0,
            length: 0,
            tokens: None,
        }
    }
}

/// Runs a request and charges it.
pub async fn run(
    agent: &Agent,
    req: &run::RunRequest,
    tx: &async_channel::Sender<Vec<u8>>,
) -> run::RunOutcome {
    let timers = &agent.runtime.timers;
    let exchange = timers.within(req.deadline, exchange(agent, req, tx)).await;
    let exchange = exchange
        .unwrap_or_else(|| Exchange::failed(Code::DeadlinePassed, true, "the deadline passed"));
    let receipt = exchange.ran.then(|| {
        let tokens = exchange.tokens.unwrap_or(req.bound).min(req.bound);
        let (id, budget) = (req.id.clone(), req.budget.clone());
        agent
            .receipts
            .lock()
            .unwrap()
            .charge(req.holder, id, budget, tokens)
    });
    run::RunOutcome {
        code: exchange.code,
        ran: exchange.ran,
        receipt,
        message: exchange.message,
        config: agent.config.load(Ordering::Relaxed),
        retry_after: Duration::ZERO,
        status: exchange.status,
        length: exchange.length,
    }
}

async fn exchange(
    agent: &Agent,
    req: &run::RunRequest,
    tx: &async_channel::Sender<Vec<u8>>,
) -> Exchange {
    let plain = !req.path.is_empty();
    let call = backend::Call {
        method: if plain {
            req.method.clone()
        } else {
            "POST".to_owned()
        },
        path: if plain {
            req.path.clone()
        } else {
            CHAT_PATH.to_owned()
        },
        id: req.id.to_string(),
        key: req.key.to_string(),
        body: req.body.clone(),
    };
    let answer = match (agent.backend.send)(call).await {
        Ok(answer) => answer,
        Err(failure) if failure.may_have_run => {
            return Exchange::failed(Code::BackendFailed, true, failure.message);
        }
        Err(failure) => return Exchange::failed(Code::BackendRefused, false, failure.message),
    };
    let status = answer.status;
    if status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY {
        return Exchange::failed(Code::BackendRefused, false, format!("status {status}"));
    }
    let mut exchange = relay(answer, tx, req.stream && !plain).await;
    exchange.status = status;
    if plain {
        exchange.tokens = Some(req.bound);
    }
    exchange
}

async fn relay(
    mut answer: backend::Answer,
    tx: &async_channel::Sender<Vec<u8>>,
    stream: bool,
) -> Exchange {
    let mut meter = usage::Meter::default();
    let mut length = 0;
    while let Some(part) = answer.body.next().await {
        let part = match part {
            Ok(part) => part,
            Err(err) => return Exchange::failed(Code::BackendFailed, true, err),
        };
        meter.read(&part);
        length += part.len() as u64;
        if tx.send(part).await.is_err() {
            return Exchange::failed(Code::CallerGone, true, "the caller is gone");
        }
    }
    if stream && !meter.is_finished() {
        return Exchange::failed(Code::BackendFailed, true, "the stream has no end");
    }
    let usage = meter.finish();
    Exchange {
        code: Code::Ok,
        ran: true,
        message: String::new(),
        status: 0,
        length,
        tokens: usage.map(|usage| usage.prompt_tokens + usage.completion_tokens),
    }
}
