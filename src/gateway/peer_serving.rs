//! Serves the calls of other routers on the fleet listener.

use std::{rc::Rc, time::Duration};

use metrics::counter;

use crate::{
    coordination::{budgets::share, memory::plan},
    gateway::{
        core,
        overload::load_exchange,
        peer_messages::{Call, LoadCall, Message, Reply},
        peer_rpc, permit_issuing,
    },
    transport::h1::{accept, body, conn, fault, head},
};

/// Time for which a connection of another router may be idle; longer than the router keeps it.
const SERVED_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// State of this router for operators, the reply to [`Call::Status`].
fn status(gw: &core::Gateway) -> serde_json::Value {
    let age = |confirmed_at: Duration| gw.now().saturating_sub(confirmed_at).as_millis() as u64;
    let held = |share: &share::Share| share.available();
    serde_json::json!({
        "configuration": gw.deployment().map(|deployment| deployment.version),
        "configuration_age_ms": age(gw.config_confirmed_at.get()),
        "servers": gw.directory.borrow().servers.len(),
        "servers_age_ms": age(gw.servers_confirmed_at.get()),
        "in_flight": gw.in_flight.get(),
        "not_ready": gw.not_ready_reason(),
        "tokens_held": gw.shares.borrow().values().map(held).sum::<u64>(),
    })
}

/// Serves the calls of other routers. `handler` handles the token calls; when it returns `None`,
/// the connection is closed without a reply.
pub async fn serve<F>(gw: Rc<core::Gateway>, listener: async_net::TcpListener, handler: F)
where
    F: AsyncFn(&Rc<core::Gateway>, Call) -> Option<Reply> + Clone + 'static,
{
    let limits = gw.settings().limits;
    let slots = accept::Slots::new(plan::divide(limits.memory, limits.max_fds).peers);
    loop {
        let stream = accept::next(&listener, "budget", &gw.timers).await;
        let Some(slot) = slots.take() else {
            counter!("fulmar_gateway_connections_refused_total", "listener" => "fleet")
                .increment(1);
            tracing::debug!("budget: connection refused, too many are open");
            continue;
        };
        let serving = gw.clone();
        let handler = handler.clone();
        gw.spawn(async move {
            let _slot = slot;
            let mut conn = conn::Conn::new(stream);
            loop {
                let reading = read_message(&mut conn);
                let message = serving.timers.within(SERVED_IDLE_TIMEOUT, reading).await;
                let Some(Ok(Some(message))) = message else {
                    return;
                };
                let handled = match message {
                    Message::Call(call) => handle(&serving, call, &handler).await,
                    Message::Load(report) => {
                        let own = load_exchange::receive_report(&serving, report);
                        serde_json::to_string(&own).ok().map(|body| (body, 0))
                    }
                };
                let Some((body, tokens)) = handled else {
                    return;
                };
                let len = body.len();
                let bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{body}");
                if conn.write(bytes.as_bytes()).await.is_err() {
                    // The tokens stay deducted from this router's share. Losing them is safe, while
                    // taking them back could spend them twice if the reply did arrive.
                    tracing::info!(
                        tokens,
                        "budget: reply with tokens could not be sent, the tokens are lost"
                    );
                    return;
                }
            }
        });
    }
}

/// Handles a call; returns the body of the reply and the number of tokens in it.
async fn handle<F>(gw: &Rc<core::Gateway>, call: Call, handler: &F) -> Option<(String, u64)>
where
    F: AsyncFn(&Rc<core::Gateway>, Call) -> Option<Reply>,
{
    match &call {
        Call::Status => return Some((status(gw).to_string(), 0)),
        Call::Crashes(reports) => {
            // Only a gateway that has started asks for what others know.
            let known = match reports.is_empty() {
                true => gw.crash_notes.reports(gw.now()),
                false => Vec::new(),
            };
            gw.crash_notes.merge(reports, gw.now());
            let body = serde_json::to_string(&known).ok()?;
            return Some((body, 0));
        }
        Call::Limits(reports) => {
            let mut limits = gw.server_limits.borrow_mut();
            if limits.merge(reports, gw.now()) {
                gw.limits_changed.notify(usize::MAX);
            }
            let known = limits.newest(peer_rpc::MAX_LIMITS, gw.now());
            gw.permits_changed.notify(usize::MAX);
            let body = serde_json::to_string(&known).ok()?;
            return Some((body, 0));
        }
        Call::Origins { notes, wanted } => {
            let mut origins = gw.stream_notes.origins.borrow_mut();
            origins.merge(notes, gw.now());
            let known: Vec<_> = wanted.iter().filter_map(|it| origins.note(*it)).collect();
            let body = serde_json::to_string(&known).ok()?;
            return Some((body, 0));
        }
        Call::Confirm { seen } => {
            let reply = gw.watch_notes.reply(*seen, gw.watch_wait(), &gw.timers);
            let body = serde_json::to_string(&reply.await?).ok()?;
            return Some((body, 0));
        }
        Call::Permits { report, wanted } => {
            let reply = permit_issuing::issue(gw, *report, *wanted);
            let body = serde_json::to_string(&reply).ok()?;
            return Some((body, 0));
        }
        _ => (),
    }
    let reply = handler(gw, call).await?;
    let body = serde_json::to_string(&reply).ok()?;
    Some((body, reply.tokens))
}

async fn read_message(conn: &mut conn::Conn) -> Result<Option<Message>, fault::Fault> {
    let Some(head) = head::read_request(conn, peer_rpc::MAX_MESSAGE_BYTES).await? else {
        return Ok(None);
    };
    let framing = body::request_framing(&head.headers)?;
    let body = body::Body::new(framing)
        .read_all(conn, peer_rpc::MAX_MESSAGE_BYTES)
        .await?;
    if let Ok(call) = serde_json::from_slice(&body) {
        return Ok(Some(Message::Call(call)));
    }
    let call = serde_json::from_slice(&body);
    let LoadCall::Load(report) = call.map_err(|_| fault::Fault::Malformed("call of a router"))?;
    Ok(Some(Message::Load(report)))
}
