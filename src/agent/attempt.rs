//! Runs one attempt on the backend server and issues its receipt.

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

/// Limit on the bytes of the backend server's error response that are passed on.
const MAX_ERROR_BYTES: usize = 1024;

/// Result of one call to the backend server.
struct CallResult {
    code: Code,
    ran: bool,
    message: String,
    status: u16,
    length: u64,
    /// Tokens used, if known; otherwise the full reservation is charged.
    tokens: Option<u64>,
}

impl CallResult {
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

/// Runs a request in a task of its own, or joins the request that already runs under its id or
/// idempotency key, or whose answer is kept there.
pub async fn run(
    agent: &Arc<Agent>,
    req: run::RunRequest,
    tx: &async_channel::Sender<Vec<u8>>,
) -> run::RunOutcome {
    if let Err(refused) = admission::check_incarnation(agent, &req) {
        return refused;
    }
    if !agent.answers.contains_key_of(&req)
        && let Err(refused) = admission::check_accepts_work(agent, &req)
    {
        return refused;
    }
    match agent.answers.begin(&req, agent.runtime.timers.now()) {
        Ok(cancelled) => {
            let id = req.id.clone();
            let task = run_to_end(agent.clone(), req, cancelled);
            agent.runtime.spawn(task);
            answers::stream_from(agent, &id, 0, tx).await
        }
        Err(BeginOutcome::Join(id)) if id == req.id => {
            answers::stream_from(agent, &id, 0, tx).await
        }
        Err(BeginOutcome::Join(id)) => {
            without_charge(answers::stream_from(agent, &id, 0, tx).await)
        }
        Err(BeginOutcome::KeyReused) => {
            run::RunOutcome::not_run(Code::KeyReused, "the key came with another body")
        }
        Err(_) => run::RunOutcome::not_run(Code::Overloaded, "the memory for answers is full"),
    }
}

/// Outcome for a request that joined another one, which is charged for the answer.
fn without_charge(mut outcome: run::RunOutcome) -> run::RunOutcome {
    outcome.receipt = None;
    outcome.ran = false;
    outcome
}

/// Runs a request to its end, whether or not anybody reads its answer, and stores the outcome.
async fn run_to_end(
    agent: Arc<Agent>,
    req: run::RunRequest,
    cancelled: async_channel::Receiver<()>,
) {
    let outcome = match fences::begin_attempt(&agent, &req) {
        Ok(guard) => {
            let outcome = run_admitted(&agent, &req, &cancelled).await;
            guard.end();
            outcome
        }
        Err(refused) => refused,
    };
    let now = agent.runtime.timers.now();
    agent.answers.finish(&req.id, outcome, now);
}

/// Waits for a slot, then calls the backend server.
async fn run_admitted(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> run::RunOutcome {
    match wait_for_slot(agent, req, cancelled).await {
        Ok(_slot) => call_and_charge(agent, req, cancelled).await,
        Err(refused) => refused,
    }
}

/// Waits for a slot until the request is cancelled or its deadline has passed.
async fn wait_for_slot(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> Result<admission::SlotGuard, run::RunOutcome> {
    let refuse = |code, message: &str| Some(Err(run::RunOutcome::not_run(code, message)));
    let entered = async { Some(admission::acquire_slot(agent, req).await) };
    let cancellation = async {
        let _ = cancelled.recv().await;
        refuse(Code::CallerGone, "the caller is gone")
    };
    let timers = &agent.runtime.timers;
    let admitted = timers.within(req.deadline, smol::future::or(entered, cancellation));
    let timed_out = || refuse(Code::Overloaded, "the deadline passed in the queue");
    admitted
        .await
        .flatten()
        .or_else(timed_out)
        .expect("a refusal replaces a missing result")
}

/// Calls the backend server, and issues a numbered receipt if the call may have run.
///
/// When the number of tokens used is unknown, the receipt charges the full reservation.
async fn call_and_charge(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    cancelled: &async_channel::Receiver<()>,
) -> run::RunOutcome {
    let timers = &agent.runtime.timers;
    let cancellation = async {
        let _ = cancelled.recv().await;
        CallResult::failed(Code::CallerGone, true, "the caller is gone")
    };
    let work = smol::future::or(call_backend(agent, req), cancellation);
    let called = timers.within(req.deadline, work).await;
    let result = called
        .unwrap_or_else(|| CallResult::failed(Code::DeadlinePassed, true, "the deadline passed"));
    let receipt = result.ran.then(|| {
        let tokens = result.tokens.unwrap_or(req.bound).min(req.bound);
        let (id, budget) = (req.id.clone(), req.budget.clone());
        let mut receipts = agent.receipts.lock().unwrap();
        receipts.charge(req.holder, id, budget, tokens)
    });
    run::RunOutcome {
        code: result.code,
        ran: result.ran,
        receipt,
        message: result.message,
        config: agent.config_version.load(Ordering::Relaxed),
        retry_after: Duration::ZERO,
        status: result.status,
        length: result.length,
    }
}

/// The HTTP call for a request: a chat completion unless the request names a path of its own.
fn call_for(req: &run::RunRequest) -> backend::Call {
    let plain = !req.path.is_empty();
    backend::Call {
        method: if plain { &req.method } else { "POST" }.to_owned(),
        path: if plain { &req.path } else { CHAT_PATH }.to_owned(),
        request_id: req.id.to_string(),
        idempotency_key: req.key.to_string(),
        body: req.body.clone(),
    }
}

/// Calls the backend server and stores the body of its response as the answer, as it arrives.
async fn call_backend(agent: &Arc<Agent>, req: &run::RunRequest) -> CallResult {
    let plain = !req.path.is_empty();
    let response = match (agent.backend.send)(call_for(req)).await {
        Ok(response) => response,
        Err(failure) if failure.may_have_run => {
            let code = failure_code(agent, req).await;
            return CallResult::failed(code, true, failure.message);
        }
        Err(failure) => {
            crashes::mark_down(agent);
            return CallResult::failed(Code::BackendRefused, false, failure.message);
        }
    };
    let status = response.status;
    if !plain && status >= STATUS_CLIENT_ERROR {
        return read_error_response(response).await;
    }
    let mut result = relay(agent, req, response).await;
    result.status = status;
    if plain {
        result.tokens = Some(req.bound);
    }
    result
}

/// Result code of a response that broke off. If the engine crashed, the crash is recorded under the
/// request's fingerprint.
async fn failure_code(agent: &Arc<Agent>, req: &run::RunRequest) -> Code {
    let engine = req.path.is_empty();
    match engine && crashes::is_crash(agent, req.fingerprint).await {
        true => Code::BackendCrashed,
        false => Code::BackendFailed,
    }
}

/// Reads the error response of an engine and maps its status to a result code.
async fn read_error_response(mut response: backend::Response) -> CallResult {
    let mut text = Vec::new();
    while let Some(Ok(part)) = response.body.next().await {
        text.extend_from_slice(&part);
        if text.len() >= MAX_ERROR_BYTES {
            text.truncate(MAX_ERROR_BYTES);
            break;
        }
    }
    let status = response.status;
    let message = format!("status {status}: {}", String::from_utf8_lossy(&text));
    match status {
        STATUS_UNAVAILABLE | STATUS_TOO_MANY => {
            CallResult::failed(Code::BackendRefused, false, message)
        }
        STATUS_SERVER_ERROR.. => CallResult::failed(Code::BackendFailed, true, message),
        _ => CallResult::failed(Code::BadRequest, false, message),
    }
}

/// Stores the body of a response as the answer, as it arrives, and reads the token usage from it. An
/// answer of an engine without its end is a failure.
async fn relay(
    agent: &Arc<Agent>,
    req: &run::RunRequest,
    mut response: backend::Response,
) -> CallResult {
    let mut usage_parser = usage::UsageParser::default();
    let mut length = 0;
    let mut failure = None;
    while let Some(part) = response.body.next().await {
        match part {
            Ok(part) => {
                usage_parser.read(&part);
                length += part.len() as u64;
                agent.answers.append(&req.id, &part).await;
            }
            Err(err) => failure = Some(err.to_string()),
        }
    }
    let plain = !req.path.is_empty();
    if !plain && failure.is_none() && !usage_parser.is_complete(req.stream) {
        failure = Some("the answer has no end".to_owned());
    }
    let usage = usage_parser.finish();
    let tokens = usage.map(|usage| usage.prompt_tokens.saturating_add(usage.completion_tokens));
    let code = match failure {
        Some(_) => failure_code(agent, req).await,
        None => Code::Ok,
    };
    CallResult {
        code,
        ran: true,
        message: failure.unwrap_or_default(),
        status: 0,
        length,
        tokens,
    }
}
