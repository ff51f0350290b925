//! One attempt at the backend server.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use futures::StreamExt;

use crate::{
    agent::{Agent, admission, answers, crashes, fences, usage},
    code::Code,
    coordination::answers::BeginOutcome,
    protocol::run,
    transport::backend,
};

const CHAT_PATH: &str = "/v1/chat/completions";
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_CLIENT_ERROR: u16 = 400;
const STATUS_SERVER_ERROR: u16 = 500;

/// Longest part of an error answer that is passed on, in bytes.
const ERROR_BYTES: usize = 1024;

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

/// Runs a request as a task of its own, or joins the one that its key stands for.
pub async fn run(
    agent: &Arc<Agent>,
    req: run::RunRequest,
    tx: &async_channel::Sender<Vec<u8>>,
) -> run::RunOutcome {
    if let Err(refused) = admission::identify(agent, &req) {
        return refused;
    }
    if !agent.answers.knows(&req)
        && let Err(refused) = admission::check(agent, &req)
    {
        return refused;
    }
    match agent.answers.begin(&req, agent.runtime.timers.now()) {
        Ok(cancelled) => {
            let id = req.id.clone();
            let task = carry_out(agent.clone(), req, cancelled);
            agent.runtime.spawn(task);
            answers::follow(agent, &id, 0, tx).await
        }
        Err(BeginOutcome::Join(id)) if id == req.id => answers::follow(agent, &id, 0, tx).await,
        Err(BeginOutcome::Join(id)) => joined(answers::follow(agent, &id, 0, tx).await),
        Err(BeginOutcome::KeyReused) => {
            run::RunOutcome::not_run(Code::KeyReused, "the key came with another body")
        }
        Err(_) => run::RunOutcome::not_run(Code::Overloaded, "the memory for answers is full"),
    }
}

/// An answer that another request pays for.
fn joined(mut outcome: run::RunOutcome) -> run::RunOutcome {
    outcome.receipt = None;
    outcome.ran = false;
    outcome
}

/// Runs a request to its end, whether or not somebody reads the answer.
async fn carry_out(
    agent: Arc<Agent>,
    req: run::RunRequest,
    cancelled: async_channel::Receiver<()>,
) {
    let outcome = match fences::open(&agent, &req) {
        Ok(open) => {
            let outcome = run_admitted(&agent, &req, &cancelled).await;
            open.end();
            outcome
        }
        Err(refused) => refused,
    };
    let now = agent.runtime.timers.now();
    agent.answers.finish(&req.id, outcome, now);
}

async fn run_admitted(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> run::RunOutcome {
    match admit(agent, req, cancelled).await {
        Ok(_running) => charge(agent, req, cancelled).await,
        Err(refused) => refused,
    }
}

async fn admit(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> Result<admission::Running, run::RunOutcome> {
    let refuse = |code, message: &str| Some(Err(run::RunOutcome::not_run(code, message)));
    let entered = async { Some(admission::enter(agent, req).await) };
    let gone = async {
        let _ = cancelled.recv().await;
        refuse(Code::CallerGone, "the caller is gone")
    };
    let timers = &agent.runtime.timers;
    let admitted = timers.within(req.deadline, smol::future::or(entered, gone));
    let late = || refuse(Code::Overloaded, "the deadline passed in the queue");
    admitted
        .await
        .flatten()
        .or_else(late)
        .expect("one of them is set")
}

/// Exchanges with the backend server and numbers the charge.
async fn charge(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> run::RunOutcome {
    let timers = &agent.runtime.timers;
    let gone = async {
        let _ = cancelled.recv().await;
        Exchange::failed(Code::CallerGone, true, "the caller is gone")
    };
    let work = smol::future::or(exchange(agent, req), gone);
    let exchange = timers.within(req.deadline, work).await;
    let exchange = exchange
        .unwrap_or_else(|| Exchange::failed(Code::DeadlinePassed, true, "the deadline passed"));
    let receipt = exchange.ran.then(|| {
        let tokens = exchange.tokens.unwrap_or(req.bound).min(req.bound);
        let (id, budget) = (req.id.clone(), req.budget.clone());
        let mut receipts = agent.receipts.lock().unwrap();
        receipts.charge(req.holder, id, budget, tokens)
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

fn call_of(req: &run::RunRequest) -> backend::Call {
    let plain = !req.path.is_empty();
    backend::Call {
        method: if plain { &req.method } else { "POST" }.to_owned(),
        path: if plain { &req.path } else { CHAT_PATH }.to_owned(),
        request_id: req.id.to_string(),
        idempotency_key: req.key.to_string(),
        body: req.body.clone(),
    }
}

async fn exchange(agent: &Arc<Agent>, req: &run::RunRequest) -> Exchange {
    let plain = !req.path.is_empty();
    let answer = match (agent.backend.send)(call_of(req)).await {
        Ok(answer) => answer,
        Err(failure) if failure.may_have_run => {
            let code = lost_code(agent, req).await;
            return Exchange::failed(code, true, failure.message);
        }
        Err(failure) => {
            crashes::watch(agent);
            return Exchange::failed(Code::BackendRefused, false, failure.message);
        }
    };
    let status = answer.status;
    if !plain && status >= STATUS_CLIENT_ERROR {
        return refused(answer).await;
    }
    let mut exchange = relay(agent, req, answer).await;
    exchange.status = status;
    if plain {
        exchange.tokens = Some(req.bound);
    }
    exchange
}

/// Code of a stream that was lost; a crash is recorded under the request.
async fn lost_code(agent: &Arc<Agent>, req: &run::RunRequest) -> Code {
    let engine = req.path.is_empty();
    match engine && crashes::is_crash(agent, req.fingerprint).await {
        true => Code::BackendCrashed,
        false => Code::BackendFailed,
    }
}

/// Reads why an engine answered with an error status.
async fn refused(mut answer: backend::Answer) -> Exchange {
    let mut text = Vec::new();
    while let Some(Ok(part)) = answer.body.next().await {
        text.extend_from_slice(&part);
        if text.len() >= ERROR_BYTES {
            text.truncate(ERROR_BYTES);
            break;
        }
    }
    let status = answer.status;
    let message = format!("status {status}: {}", String::from_utf8_lossy(&text));
    match status {
        STATUS_UNAVAILABLE | STATUS_TOO_MANY => {
            Exchange::failed(Code::BackendRefused, false, message)
        }
        STATUS_SERVER_ERROR.. => Exchange::failed(Code::BackendFailed, true, message),
        _ => Exchange::failed(Code::BadRequest, false, message),
    }
}

async fn relay(agent: &Arc<Agent>, req: &run::RunRequest, mut answer: backend::Answer) -> Exchange {
    let mut meter = usage::Meter::default();
    let mut length = 0;
    let mut failure = None;
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(part) => {
                meter.read(&part);
                length += part.len() as u64;
                agent.answers.append(&req.id, &part).await;
            }
            Err(err) => failure = Some(err.to_string()),
        }
    }
    let plain = !req.path.is_empty();
    if req.stream && !plain && failure.is_none() && !meter.is_finished() {
        failure = Some("the stream has no end".to_owned());
    }
    let usage = meter.finish();
    let tokens = usage.map(|usage| usage.prompt_tokens.saturating_add(usage.completion_tokens));
    let code = match failure {
        Some(_) => lost_code(agent, req).await,
        None => Code::Ok,
    };
    Exchange {
        code,
        ran: true,
        message: failure.unwrap_or_default(),
        status: 0,
        length,
        tokens,
    }
}
