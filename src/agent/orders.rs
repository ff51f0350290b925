//! Carries out orders at the engine beside this agent.

use std::{collections::BTreeSet, sync::Mutex, time::Duration};

use futures::StreamExt;
use metrics::counter;
use serde::Deserialize;

use crate::{
    agent::Agent, code::Code, coordination::orders, protocol::messages, state::name,
    transport::backend,
};

const ORDERS_PATH: &str = "/orders";
const ORDER_LIMIT: Duration = Duration::from_secs(120);
const STATUS_CONFLICT: u16 = 409;

/// What an agent remembers of orders.
#[derive(Debug, Default)]
pub struct Orders {
    newest: Mutex<orders::NewestFencing>,
    models: Mutex<BTreeSet<name::Name>>,
    one: smol::lock::Mutex<()>,
}

impl Orders {
    /// Models that were loaded by order.
    pub fn models(&self) -> Vec<name::Name> {
        self.models.lock().unwrap().iter().cloned().collect()
    }

    fn admit(&self, order: &messages::Order) -> Result<(), u64> {
        let mut newest = self.newest.lock().unwrap();
        newest.accept(&order.pool, order.fencing)
    }
}

#[derive(Deserialize)]
struct Refusal {
    newest: u64,
}

fn result(code: Code, newest: u64, message: impl Into<String>) -> messages::OrderResult {
    let message = message.into();
    messages::OrderResult {
        code,
        newest,
        message,
    }
}

/// Passes an order on unless its fencing number is old; one order is carried out at a time.
pub async fn take(agent: &Agent, order: messages::Order) -> messages::OrderResult {
    let carried = async {
        let _one = agent.orders.one.lock().await;
        let taken = agent.orders.admit(&order);
        match taken {
            Ok(()) => pass_on(agent, &order).await,
            Err(newest) => result(Code::Fenced, newest, "a newer coordinator has given orders"),
        }
    };
    let carried = agent.runtime.timers.within(ORDER_LIMIT, carried).await;
    let late = || {
        result(
            Code::BackendFailed,
            order.fencing,
            "the engine does not answer",
        )
    };
    let ended = carried.unwrap_or_else(late);
    counter!("fulmar_orders", "code" => ended.code.to_string()).increment(1);
    ended
}

async fn pass_on(agent: &Agent, order: &messages::Order) -> messages::OrderResult {
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
    let answer = match (agent.backend.send)(call).await {
        Ok(answer) => answer,
        Err(failure) => return result(Code::BackendFailed, order.fencing, failure.message),
    };
    let status = answer.status;
    let body = read(answer).await;
    match status {
        200..300 => {
            note(agent, order);
            result(Code::Ok, order.fencing, "")
        }
        STATUS_CONFLICT => {
            let refusal = serde_json::from_slice::<Refusal>(&body);
            let newest = refusal.map_or(order.fencing, |refusal| refusal.newest);
            result(
                Code::Fenced,
                newest,
                "the engine has seen a newer fencing number",
            )
        }
        _ => result(
            Code::BackendRefused,
            order.fencing,
            format!("status {status}"),
        ),
    }
}

async fn read(mut answer: backend::Answer) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(Ok(part)) = answer.body.next().await {
        body.extend(part);
    }
    body
}

fn note(agent: &Agent, order: &messages::Order) {
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
