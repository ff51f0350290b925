//! Tokens that routers give each other: calls over the fleet's listeners.
//!
//! A call is a small HTTP request with a JSON body. `capnp-rpc` needs threads and a handshake of
//! its own for what is two calls without state, beside the HTTP that is here in any case.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;
use serde::{Deserialize, Serialize};

use crate::{
    coordination::share,
    gateway::core,
    state::name,
    transport::h1::{accept, body, conn, dial, fault, head},
};

/// Longest wait for another router; a round trip takes a few milliseconds, and the home may ask
/// the store meanwhile.
const LIMIT: Duration = Duration::from_millis(250);

/// Time after which an answer is no longer expected; the home's own calls of the store end sooner.
const LAST_LIMIT: Duration = Duration::from_secs(4);

/// Longest wait for a connection to another router.
const CONNECT_LIMIT: Duration = Duration::from_millis(100);

/// Time for which a router that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);

/// Time that an idle connection to another router is kept.
const IDLE: Duration = Duration::from_secs(10);

/// Most bytes of a message.
const MAX_BYTES: usize = 16 * 1024;

/// A call to another router.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Call {
    /// Give what is needed, and some of what is liked beyond it.
    Draw {
        /// Workspace.
        workspace: name::Name,
        /// Tokens that a request needs.
        needed: u64,
        /// Tokens liked beyond it.
        extra: u64,
        /// Request behind it, when it is told in the log.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<name::Name>,
    },
    /// Give all that is available, since the budget's home runs out.
    Recall {
        /// Workspace.
        workspace: name::Name,
    },
    /// Tell how the router does; the answer is a JSON object for operators.
    Status,
}

impl Call {
    fn workspace(&self) -> Option<&name::Name> {
        match self {
            Self::Draw { workspace, .. } | Self::Recall { workspace } => Some(workspace),
            Self::Status => None,
        }
    }
}

/// Answer of a call.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Given {
    /// Tokens given.
    pub tokens: u64,
    /// Whether the budget cannot cover what was needed.
    pub is_exhausted: bool,
}

/// Whether a router may be asked: it has answered lately, or not failed.
pub fn may_ask(gw: &core::Gateway, peer: SocketAddr) -> bool {
    let silent = gw.silent_peers.borrow();
    silent.get(&peer).is_none_or(|until| gw.now() >= *until)
}

/// Calls a router, which answers with tokens for this router's share; `None` when it does not
/// answer in time. The call goes on then, and so it does when the request behind it is cancelled:
/// the other router gives the tokens away before it answers, and they must not be lost.
pub async fn call(gw: &Rc<core::Gateway>, peer: SocketAddr, call: Call) -> Option<Given> {
    let (tx, rx) = async_channel::bounded(1);
    let calling = gw.clone();
    gw.spawn(async move {
        let given = call_to_its_end(&calling, peer, &call).await;
        // Nobody may wait any more; the tokens are in the share all the same.
        let _ = tx.try_send(given);
    });
    let answered = gw.timers.within(LIMIT, rx.recv()).await;
    let given = answered.and_then(Result::ok).flatten();
    if given.is_none() {
        let until = gw.now() + PASSED_OVER;
        gw.silent_peers.borrow_mut().insert(peer, until);
    }
    given
}

async fn call_to_its_end(gw: &Rc<core::Gateway>, peer: SocketAddr, call: &Call) -> Option<Given> {
    let answered = gw.timers.within(LAST_LIMIT, exchange(gw, peer, call)).await;
    let cause = match answered {
        Some(Ok(given)) => {
            gw.silent_peers.borrow_mut().remove(&peer);
            if let Some(workspace) = call.workspace() {
                receive(gw, workspace, given.tokens);
            }
            return Some(given);
        }
        Some(Err(err)) => err.to_string(),
        None => format!("no answer within {LAST_LIMIT:?}"),
    };
    counter!("fulmar_gateway_peer_failures_total").increment(1);
    tracing::info!(%peer, cause, "budget: a router did not answer");
    None
}

fn receive(gw: &core::Gateway, workspace: &name::Name, tokens: u64) {
    if tokens == 0 {
        return;
    }
    let mut shares = gw.shares.borrow_mut();
    let share = shares.entry(workspace.clone()).or_default();
    share.receive(tokens);
    let available = share.available();
    counter!("fulmar_gateway_tokens_drawn_total").increment(tokens);
    tracing::info!(%workspace, tokens, available, "budget: share grew from a router");
}

async fn exchange(
    gw: &core::Gateway,
    peer: SocketAddr,
    call: &Call,
) -> Result<Given, fault::Fault> {
    let kept = gw.pool.borrow_mut().take(peer, gw.now());
    let mut conn = match kept {
        Some(conn) => conn,
        None => dial::connect(peer, CONNECT_LIMIT, &gw.timers).await?,
    };
    let whole = post(&mut conn, peer, call).await?;
    let given = serde_json::from_slice(&whole);
    let given = given.map_err(|_| fault::Fault::Malformed("answer of a router"))?;
    gw.pool.borrow_mut().put(peer, conn, gw.now() + IDLE);
    Ok(given)
}

/// Sends a call to a router and reads its answer whole.
///
/// # Errors
///
/// [`fault::Fault`] of the connection or of an answer that is none.
pub async fn post(
    conn: &mut conn::Conn,
    peer: SocketAddr,
    call: &Call,
) -> Result<Vec<u8>, fault::Fault> {
    let body = serde_json::to_vec(call).map_err(std::io::Error::from)?;
    let mut bytes = format!(
        "POST /tokens HTTP/1.1\r\nHost: {peer}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&body);
    conn.write(&bytes).await?;
    let head = head::read_answer(conn).await?;
    let framing = body::answer_framing(&head, "POST")?;
    body::Body::new(framing).read_all(conn, MAX_BYTES).await
}

/// How this router does, for operators.
fn status(gw: &core::Gateway) -> serde_json::Value {
    let age = |heard: Duration| gw.now().saturating_sub(heard).as_millis() as u64;
    let held = |share: &share::Share| share.available();
    serde_json::json!({
        "configuration": gw.deployment().map(|deployment| deployment.version),
        "configuration_age_ms": age(gw.config_heard.get()),
        "servers": gw.known.borrow().servers.len(),
        "servers_age_ms": age(gw.servers_heard.get()),
        "in_flight": gw.in_flight.get(),
        "not_ready": gw.unready(),
        "tokens_held": gw.shares.borrow().values().map(held).sum::<u64>(),
    })
}

/// Serves the calls of other routers with `answer`; without one the connection ends.
pub async fn serve<F>(gw: Rc<core::Gateway>, listener: async_net::TcpListener, answer: F)
where
    F: AsyncFn(&Rc<core::Gateway>, Call) -> Option<Given> + Clone + 'static,
{
    loop {
        let stream = accept::next(&listener, "budget", &gw.timers).await;
        let serving = gw.clone();
        let answer = answer.clone();
        gw.spawn(async move {
            let mut conn = conn::Conn::new(stream);
            while let Ok(Some(call)) = next(&mut conn).await {
                let Some((body, tokens)) = reply(&serving, call, &answer).await else {
                    return;
                };
                let len = body.len();
                let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{body}");
                if conn.write(bytes.as_bytes()).await.is_err() {
                    // The tokens are out of the share all the same; it is safe to lose them.
                    tracing::info!(tokens, "budget: given tokens were not received");
                    return;
                }
            }
        });
    }
}

/// Body of the answer to a call, and the tokens that it gives.
async fn reply<F>(gw: &Rc<core::Gateway>, call: Call, answer: &F) -> Option<(String, u64)>
where
    F: AsyncFn(&Rc<core::Gateway>, Call) -> Option<Given>,
{
    if matches!(call, Call::Status) {
        return Some((status(gw).to_string(), 0));
    }
    let given = answer(gw, call).await?;
    let body = serde_json::to_string(&given).ok()?;
    Some((body, given.tokens))
}

async fn next(conn: &mut conn::Conn) -> Result<Option<Call>, fault::Fault> {
    let Some(head) = head::read_request(conn, MAX_BYTES).await? else {
        return Ok(None);
    };
    let framing = body::request_framing(&head.headers)?;
    let whole = body::Body::new(framing).read_all(conn, MAX_BYTES).await?;
    let call = serde_json::from_slice(&whole);
    let call = call.map_err(|_| fault::Fault::Malformed("call of a router"))?;
    Ok(Some(call))
}
