//! Calls between routers over their fleet listeners, mainly to transfer tokens of budgets.
//!
//! A call is a small HTTP request with a JSON body. The calls are few and stateless, and the
//! gateway has an HTTP implementation anyway; `capnp-rpc` would add threads and a handshake of its
//! own.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::counter;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    coordination::{
        overload::{lateness, peer_load},
        rendezvous, server_limits, stream_origins, suspect,
    },
    gateway::{
        core, dialling,
        peer_messages::{Call, LoadCall, Reply},
        permit_issuing,
    },
    state::name,
    transport::h1::{body, conn, fault, head},
};

/// Time that the caller of [`call`] waits for a reply. A round trip takes a few milliseconds, and
/// the home may call the store before it replies.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an exchange of loads without a reply counts as slow, and time limit for it. A late reply
/// shows that the peer is alive, and how long the own link delays calls.
const LOAD_PATIENCE: Duration = Duration::from_millis(250);
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a call is aborted for good. Tokens in a later reply are lost, but none is
/// expected, since the home's own store calls end sooner.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a router that did not answer is not called again.
const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time for which an idle connection to another router is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a message's head and of its body, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Maximum number of limits in one message, which must not exceed that size.
pub const MAX_LIMITS: usize = 100;

/// Whether a router may be called: it has not failed to answer lately, or has answered since.
pub fn is_responsive(gw: &core::Gateway, peer: SocketAddr) -> bool {
    let unresponsive = gw.unresponsive_peers.borrow();
    unresponsive
        .get(&peer)
        .is_none_or(|until| gw.now() >= *until)
}

/// Whether this router is the first responsive one in the ranking for a key, and so does what one router
/// does for all.
pub fn ranks_first(gw: &core::Gateway, key: u64) -> bool {
    let own = rendezvous::weight(&gw.holder(), key);
    let peers = gw.peers.borrow();
    let mut others = peers
        .iter()
        .filter(|(_, address)| is_responsive(gw, **address));
    others.all(|(peer, _)| rendezvous::weight(peer, key) < own)
}

/// Calls a router and adds the tokens in its reply to this router's share. Returns `None` when no
/// reply came in time.
///
/// The call then continues in the background, and so it does when the waiting request is
/// cancelled: the other router deducts the tokens before it replies, so a late reply must still be
/// received, or they would be lost.
pub async fn call(gw: &Rc<core::Gateway>, peer: SocketAddr, call: Call) -> Option<Reply> {
    let (tx, rx) = async_channel::bounded(1);
    let calling = gw.clone();
    gw.spawn(async move {
        let reply = call_until_done(&calling, peer, &call).await;
        // The receiver may be gone; the tokens have been added to the share all the same.
        let _ = tx.try_send(reply);
    });
    let mut timed_out = None;
    for _ in 0..dialling::MAX_WAITS {
        let limit = lateness::Limit {
            began: gw.now(),
            limit: CALL_TIMEOUT,
        };
        if let Some(answered) = gw.timers.within(CALL_TIMEOUT, rx.recv()).await {
            let answer = answered.unwrap_or(Err(CallError::Silent));
            if answer != Err(CallError::Silent) {
                return answer.ok();
            }
            timed_out = None;
            break;
        }
        timed_out = Some(limit.began);
        if !limit.was_late(gw.now()) {
            break;
        }
        counter!("fulmar_gateway_late_timers_total").increment(1);
    }
    record_failure(gw, peer, timed_out);
    None
}

/// Records that a router did not answer a call, which is then not called for a while. A call that was made
/// at `timed_out` and timed out while this router's own loop was late does not count, and none does while its
/// link is slow.
fn record_failure(gw: &core::Gateway, peer: SocketAddr, timed_out: Option<Duration>) {
    if gw.round_trips.is_slow() {
        counter!("fulmar_gateway_late_timeouts_total", "call" => "peer").increment(1);
        return;
    }
    let now = gw.now();
    let counts = |start| gw.overload.is_peer_timeout(peer, start, now, CALL_TIMEOUT);
    if timed_out.is_none_or(counts) {
        let until = now + UNRESPONSIVE_RETRY_DELAY;
        gw.unresponsive_peers.borrow_mut().insert(peer, until);
    }
}

/// Why a call brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallError {
    /// The other router did not answer.
    Silent,
    /// This process stood still while the call was under way, so that it says nothing about the
    /// other router.
    Late,
}

async fn call_until_done(
    gw: &Rc<core::Gateway>,
    peer: SocketAddr,
    call: &Call,
) -> Result<Reply, CallError> {
    let answered = gw
        .timers
        .within(
            TRANSFER_TIMEOUT,
            send_call::<Reply>(gw, peer, call, dialling::CONNECT_TIMEOUT),
        )
        .await;
    let was_late = matches!(&answered, Some(Err(fault::Fault::Io(err)))
        if dialling::was_late(err));
    let cause = match answered {
        Some(Ok(reply)) => {
            gw.unresponsive_peers.borrow_mut().remove(&peer);
            gw.overload.record_peer_answer(peer);
            if let Some(workspace) = call.workspace() {
                add_to_share(gw, workspace, reply.tokens);
            }
            return Ok(reply);
        }
        Some(Err(err)) => err.to_string(),
        None => format!("no reply within {TRANSFER_TIMEOUT:?}"),
    };
    if was_late {
        tracing::info!(%peer, cause, "budget: a call was not made");
        return Err(CallError::Late);
    }
    counter!("fulmar_gateway_peer_failures_total").increment(1);
    tracing::info!(%peer, cause, "budget: a router did not answer");
    Err(CallError::Silent)
}

fn add_to_share(gw: &core::Gateway, workspace: &name::Name, tokens: u64) {
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

/// Sends counts of crashes to a router and returns those that it knows.
///
/// # Errors
///
/// The cause when no valid reply came in time.
pub async fn exchange_crashes(
    gw: &core::Gateway,
    peer: SocketAddr,
    reports: Vec<suspect::Report>,
) -> Result<Vec<suspect::Report>, String> {
    send_in_time(gw, peer, &Call::Crashes(reports)).await
}

/// Tells a router of limits and returns those that it knows.
///
/// # Errors
///
/// The cause when no valid reply came in time.
pub async fn tell_limits(
    gw: &core::Gateway,
    peer: SocketAddr,
    reports: Vec<server_limits::Report>,
) -> Result<Vec<server_limits::Report>, String> {
    send_in_time(gw, peer, &Call::Limits(reports)).await
}

/// Asks a router for permits. One that does not answer is not called for a while.
///
/// # Errors
///
/// The cause when no valid reply came in time.
pub async fn ask_permits(
    gw: &core::Gateway,
    peer: SocketAddr,
    report: server_limits::Report,
    wanted: u32,
) -> Result<permit_issuing::Reply, String> {
    let start = gw.now();
    let reply = send_in_time(gw, peer, &Call::Permits { report, wanted }).await;
    if reply.is_err() {
        let timed_out = gw.now() >= start + CALL_TIMEOUT;
        record_failure(gw, peer, timed_out.then_some(start));
    }
    reply
}

/// Sends copies of notes of where streams began, and returns what the router knows of the wanted ones.
///
/// # Errors
///
/// The cause when no valid reply came in time.
pub async fn exchange_origins(
    gw: &core::Gateway,
    peer: SocketAddr,
    notes: Vec<stream_origins::Note>,
    wanted: Vec<u64>,
) -> Result<Vec<stream_origins::Note>, String> {
    send_in_time(gw, peer, &Call::Origins { notes, wanted }).await
}

/// Reports how busy this router is, and returns the report of another one.
///
/// # Errors
///
/// The cause when no valid reply came in time.
pub async fn exchange_loads(
    gw: &core::Gateway,
    peer: SocketAddr,
    report: peer_load::Report,
) -> Result<peer_load::Report, String> {
    let started = gw.now();
    let call = LoadCall::Load(report);
    let mut exchange = std::pin::pin!(send_call(gw, peer, &call, LOAD_TIMEOUT));
    let mut reply = gw.timers.within(LOAD_PATIENCE, &mut exchange).await;
    if reply.is_none() {
        gw.overload.suspect_own_delay();
        gw.round_trips.record_probe(peer, started);
        let rest = LOAD_TIMEOUT - LOAD_PATIENCE;
        reply = gw.timers.within(rest, &mut exchange).await;
    }
    gw.round_trips.record_probe(peer, started);
    match reply {
        Some(reply) => reply.map_err(|err| err.to_string()),
        None => Err(format!("no reply within {LOAD_TIMEOUT:?}")),
    }
}

async fn send_in_time<T: DeserializeOwned>(
    gw: &core::Gateway,
    peer: SocketAddr,
    call: &impl Serialize,
) -> Result<T, String> {
    let patience = gw.round_trips.patience();
    let sending = send_call(gw, peer, call, dialling::CONNECT_TIMEOUT + patience);
    let answered = gw.timers.within(CALL_TIMEOUT + patience, sending).await;
    match answered {
        Some(reply) => reply.map_err(|err| err.to_string()),
        None => Err(format!("no reply within {CALL_TIMEOUT:?}")),
    }
}

async fn send_call<T: DeserializeOwned>(
    gw: &core::Gateway,
    peer: SocketAddr,
    call: &impl Serialize,
    connect_limit: Duration,
) -> Result<T, fault::Fault> {
    let pooled = gw.peer_pool.borrow_mut().take(peer, gw.now(), |_| true);
    let mut conn = match pooled {
        Some(conn) => conn,
        None => dialling::connect(gw, peer, connect_limit).await?,
    };
    let body = post(&mut conn, peer, call).await?;
    let reply = serde_json::from_slice(&body);
    let reply = reply.map_err(|_| fault::Fault::Malformed("reply of a router"))?;
    let until = gw.now() + IDLE_TIMEOUT;
    gw.peer_pool.borrow_mut().put(peer, conn, until);
    Ok(reply)
}

/// Sends a call to a router and returns the body of its reply.
///
/// # Errors
///
/// [`fault::Fault`] when the connection fails or the reply is no valid HTTP message.
pub async fn post(
    conn: &mut conn::Conn,
    peer: SocketAddr,
    call: &impl Serialize,
) -> Result<Vec<u8>, fault::Fault> {
    let body = serde_json::to_vec(call).map_err(std::io::Error::from)?;
    let mut bytes = format!(
        "POST /tokens HTTP/1.1\r\nHost: {peer}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&body);
    conn.write(&bytes).await?;
    let head = head::read_response(conn).await?;
    let framing = body::response_framing(&head, "POST")?;
    body::Body::new(framing)
        .read_all(conn, MAX_MESSAGE_BYTES)
        .await
}
