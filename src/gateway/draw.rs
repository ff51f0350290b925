//! Tokens that routers give each other: calls over the fleet's listeners.
//!
//! A call is a small HTTP request with a JSON body. `capnp-rpc` needs threads and a handshake of
//! its own for what is two calls without state, beside the HTTP that is here in any case.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;
use serde::{Deserialize, Serialize};

use crate::{
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
}

impl Call {
    fn workspace(&self) -> &name::Name {
        match self {
            Self::Draw { workspace, .. } | Self::Recall { workspace } => workspace,
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
            receive(gw, call.workspace(), given.tokens);
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
    let body = serde_json::to_vec(call).map_err(std::io::Error::from)?;
    let mut bytes = format!(
        "POST /tokens HTTP/1.1\r\nHost: {peer}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&body);
    conn.write(&bytes).await?;
    let head = head::read_answer(&mut conn).await?;
    let framing = body::of_answer(&head, "POST")?;
    let whole = body::Body::new(framing)
        .read_all(&mut conn, MAX_BYTES)
        .await?;
    let given = serde_json::from_slice(&whole);
    let given = given.map_err(|_| fault::Fault::Malformed("answer of a router"))?;
    gw.pool.borrow_mut().put(peer, conn, gw.now() + IDLE);
    Ok(given)
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
                let Some(given) = answer(&serving, call).await else {
                    return;
                };
                let body = serde_json::to_string(&given).unwrap_or_default();
                let len = body.len();
                let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{body}");
                if conn.write(bytes.as_bytes()).await.is_err() {
                    // The tokens are out of the share all the same; it is safe to lose them.
                    tracing::info!(
                        tokens = given.tokens,
                        "budget: given tokens were not received"
                    );
                    return;
                }
            }
        });
    }
}

async fn next(conn: &mut conn::Conn) -> Result<Option<Call>, fault::Fault> {
    let Some(head) = head::read_request(conn, MAX_BYTES).await? else {
        return Ok(None);
    };
    let framing = body::of_request(&head.headers)?;
    let whole = body::Body::new(framing).read_all(conn, MAX_BYTES).await?;
    let call = serde_json::from_slice(&whole);
    let call = call.map_err(|_| fault::Fault::Malformed("call of a router"))?;
    Ok(Some(call))
}
