//! Carries out orders, such as to load a model, on this agent's engine.

use std::{collections::BTreeSet, sync::Mutex, time::Duration};

use futures::StreamExt;
use metrics::counter;
use serde::Deserialize;

use crate::{
    agent::Agent, code::Code, coordination::orders, protocol::messages, state::name,
    transport::backend,
};

const ORDERS_PATH: &str = "/orders";
/// Time limit of an order, including the wait for an earlier one.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);
const STATUS_CONFLICT: u16 = 409;

/// Orders that the agent has accepted, and their effect.
#[derive(Debug, Default)]
pub struct Orders {
    /// Newest fencing number accepted for each pool.
    newest: Mutex<orders::NewestFencing>,
    /// Models loaded by orders and not unloaded since.
    models: Mutex<BTreeSet<name::Name>>,
    /// Held while an order is carried out.
    execution: smol::lock::Mutex<()>,
}

impl Orders {
    /// Models that were loaded by an order and not unloaded since.
    pub fn models(&self) -> Vec<name::Name> {
        self.models.lock().unwrap().iter().cloned().collect()
    }

    /// Accepts an order unless a newer fencing number is known for its pool; returns that number
    /// then.
    fn admit(&self, order: &messages::Order) -> Result<(), u64> {
        let mut newest = self.newest.lock().unwrap();
        newest.accept(&order.pool, order.fencing)
    }
}

/// Body of an engine's answer to an order with an old fencing number.
#[derive(Deserialize)]
struct Refusal {
    newest: u64,
}

fn order_result(code: Code, newest: u64, message: impl Into<String>) -> messages::OrderResult {
    let message = message.into();
    messages::OrderResult {
        code,
        newest,
        message,
    }
}

/// Sends an order to the engine unless the agent has seen a newer fencing number for its pool.
/// Orders are carried out one at a time.
pub async fn carry_out(agent: &Agent, order: messages::Order) -> messages::OrderResult {
    let execution = async {
        let _execution = agent.orders.execution.lock().await;
        let admitted = agent.orders.admit(&order);
        match admitted {
            Ok(()) => send_to_engine(agent, &order).await,
            Err(newest) => {
                order_result(Code::Fenced, newest, "a newer coordinator has given orders")
            }
        }
    };
    let completed = agent.runtime.timers.within(ORDER_TIMEOUT, execution).await;
    let timed_out = || {
        order_result(
            Code::BackendFailed,
            order.fencing,
            "the engine does not answer",
        )
    };
    let result = completed.unwrap_or_else(timed_out);
    counter!("fulmar_orders", "code" => result.code.to_string()).increment(1);
    result
}

/// Sends an order to the engine and records its effect on the loaded models.
async fn send_to_engine(agent: &Agent, order: &messages::Order) -> messages::OrderResult {
    let body = serde_json::json!({
        "action": order.action,
        "subject": order.subject,
        "version": order.version,
        "fencing": order.fencing,
    });
    let call = backend::Call {
        method: "POST".to_owned(),
        path: ORDERS_PATH.to_owned(),
        request_id: format!("order-{}-{}", order.pool, order.fencing),
        idempotency_key: String::new(),
        body: body.to_string().into_bytes(),
    };
    let response = match (agent.backend.send)(call).await {
        Ok(response) => response,
        Err(failure) => return order_result(Code::BackendFailed, order.fencing, failure.message),
    };
    let status = response.status;
    let body = read_body(response).await;
    match status {
        200..300 => {
            record_models(agent, order);
            order_result(Code::Ok, order.fencing, "")
        }
        STATUS_CONFLICT => {
            let refusal = serde_json::from_slice::<Refusal>(&body);
            let newest = refusal.map_or(order.fencing, |refusal| refusal.newest);
            order_result(
                Code::Fenced,
                newest,
                "the engine has seen a newer fencing number",
            )
        }
        _ => order_result(
            Code::BackendRefused,
            order.fencing,
            format!("status {status}"),
        ),
    }
}

/// Reads a body as far as it arrives without an error.
async fn read_body(mut response: backend::Response) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(Ok(part)) = response.body.next().await {
        body.extend(part);
    }
    body
}

/// Updates the set of loaded models after an order was carried out.
fn record_models(agent: &Agent, order: &messages::Order) {
    let mut models = agent.orders.models.lock().unwrap();
    match order.action.as_str() {
        orders::LOAD => {
            models.insert(order.subject.as_str().into());
        }
        orders::UNLOAD => {
            models.remove(order.subject.as_str());
        }
        _ => {}
    }
}
