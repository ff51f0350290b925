//! The listener for callers: reads requests, refuses malformed ones and drains at shutdown.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::FutureExt;
use metrics::counter;

use crate::{
    code::Code,
    coordination::{draining, limits::callers::State, memory::plan},
    error,
    gateway::{
        admission::UNAVAILABLE_RETRY_AFTER,
        caller_slots, core,
        refusal::Refusal,
        request,
        request_reading::{self, Limits, ReceivedRequest},
    },
    transport::h1::{accept, conn, dial, fault},
};

/// Limits that apply until a configuration has been read: a head of 16 KiB, a body of 4 MiB, 3 s to
/// send a request and 15 s for an idle connection.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which the number of requests in flight is checked during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the rest of a refused message is read at most, so that the refusal arrives.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of it that are read at most. What a client sends after a refusal costs processor time.
const LINGER_BYTES: usize = 256 * 1024;

/// Binds the listener.
///
/// # Errors
///
/// The error of binding the socket.
pub async fn bind(address: SocketAddr) -> Result<async_net::TcpListener, error::Error> {
    Ok(accept::bind(address, plan::SOCKET_BYTES)?)
}

/// Refuses a connection for which there is no room; the refusal is lost if it cannot be sent at once.
fn refuse_connection(stream: async_net::TcpStream) {
    let refusal = Refusal::new(Code::Overloaded, "too many connections are open");
    let bytes = refusal.retry_after(UNAVAILABLE_RETRY_AFTER).bytes("", true);
    let mut conn = conn::Conn::new(stream);
    if let Some(Err(err)) = conn.write(&bytes).now_or_never() {
        tracing::debug!(%err, "front: a refusal could not be sent");
    }
}

/// Starts to accept connections of callers.
pub fn start(gw: &Rc<core::Gateway>, listener: async_net::TcpListener) {
    let accepting = gw.clone();
    gw.spawn(async move {
        loop {
            let stream = accept::next(&listener, "front", &accepting.timers).await;
            match accepting.callers.enter() {
                Some(slot) => {
                    let serving = accepting.clone();
                    accepting.spawn(async move { serve(&serving, stream, &slot).await });
                }
                None => refuse_connection(stream),
            }
            // Connections that were closed for this one must end before the next ones are accepted.
            smol::future::yield_now().await;
        }
    });
}

/// Drains the listener at shutdown.
///
/// After the period in which every request is still accepted, idle connections are closed. Then
/// this waits for the requests in flight, at most until the exit time of the shutdown, from which
/// on every request is refused.
pub async fn drain(gw: &core::Gateway) {
    let draining = draining::Draining::new(gw.now(), gw.settings().grace);
    gw.draining.set(Some(draining));
    let in_flight = gw.in_flight.get();
    tracing::info!(in_flight, "front: draining");
    let wait = draining::ACCEPT_ALL_TIME.min(draining.exit_at.saturating_sub(gw.now()));
    gw.timers.sleep(wait).await;
    gw.shutdown_event.notify(usize::MAX);
    while gw.in_flight.get() > 0 && gw.now() < draining.exit_at {
        gw.timers.sleep(DRAIN_POLL_INTERVAL).await;
    }
    let is_closed = true;
    gw.draining.set(Some(draining::Draining {
        is_closed,
        ..draining
    }));
    gw.exit_event.notify(usize::MAX);
    let in_flight = gw.in_flight.get();
    tracing::info!(in_flight, "front: drained");
}

/// Waits until the requests that were still in flight, or arrived since, have been answered.
pub async fn finish_late_requests(gw: &core::Gateway) {
    let end = gw.now() + LINGER_TIMEOUT;
    while gw.in_flight.get() > 0 && gw.now() < end {
        gw.timers.sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn limits(gw: &core::Gateway) -> Limits {
    match gw.deployment() {
        Some(deployment) => Limits {
            max_header_bytes: deployment.limits.max_header_bytes,
            max_body_bytes: deployment.limits.max_body_bytes,
            header_timeout: deployment.limits.header_timeout,
            idle_timeout: deployment.limits.idle_timeout,
        },
        None => Limits {
            max_header_bytes: DEFAULT_MAX_HEAD_BYTES,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            header_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        },
    }
}

/// What a caller's connection brought next.
enum Received {
    Request(ReceivedRequest),
    Refused(Refusal),
    /// Nothing; the connection must be closed.
    Nothing,
}

async fn serve(
    gw: &Rc<core::Gateway>,
    stream: async_net::TcpStream,
    slot: &caller_slots::CallerSlot,
) {
    if let Err(err) = dial::detect_dead_peer(&stream) {
        tracing::warn!(%err, "front: failed to set the options of a caller's socket");
    }
    let mut conn = conn::Conn::new(stream);
    loop {
        let receiving = receive(gw, slot, &mut conn);
        let closed = async {
            slot.closed().await;
            (Received::Nothing, None)
        };
        let (received, in_flight) = smol::future::or(receiving, closed).await;
        // The futures of requests are large. In boxes they take no memory of connections without a request.
        let next_step = match received {
            Received::Request(req) => Box::pin(respond(gw, &mut conn, req)).await,
            Received::Refused(refusal) => Box::pin(refuse_and_close(gw, &mut conn, &refusal)).await,
            Received::Nothing => return,
        };
        drop(in_flight);
        if next_step == request::NextStep::Close {
            return;
        }
        slot.set_state(State::Idle);
    }
}

async fn respond(
    gw: &Rc<core::Gateway>,
    conn: &mut conn::Conn,
    req: ReceivedRequest,
) -> request::NextStep {
    let _holding = req.holding;
    request::serve(gw, conn, req.head, req.body).await
}

/// Counts a request as in flight for as long as it lives.
struct InFlightGuard(Rc<core::Gateway>);

impl InFlightGuard {
    fn new(gw: &Rc<core::Gateway>) -> Self {
        gw.in_flight.set(gw.in_flight.get() + 1);
        Self(gw.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Waits for a request and reads it. The request counts as in flight from its first byte on.
async fn receive(
    gw: &Rc<core::Gateway>,
    slot: &caller_slots::CallerSlot,
    conn: &mut conn::Conn,
) -> (Received, Option<InFlightGuard>) {
    if !wait_for_request(gw, conn).await {
        return (Received::Nothing, None);
    }
    let in_flight = Some(InFlightGuard::new(gw));
    let limits = limits(gw);
    let reading = Box::pin(request_reading::read(gw, slot, conn, &limits));
    let received = match gw.timers.within(limits.header_timeout, reading).await {
        Some(Ok(Some(req))) => Received::Request(req),
        Some(Ok(None)) | Some(Err(fault::Fault::Io(_) | fault::Fault::ClosedMidMessage)) => {
            Received::Nothing
        }
        Some(Err(err)) => Received::Refused(refusal_for(&err)),
        None => {
            let refusal = Refusal::new(Code::BadRequest, "the request was not sent in time");
            Received::Refused(refusal.with_status(408))
        }
    };
    (received, in_flight)
}

/// Waits for the first byte of a request; false when the connection must be closed.
async fn wait_for_request(gw: &core::Gateway, conn: &mut conn::Conn) -> bool {
    if !conn.unread().is_empty() {
        return true;
    }
    let shutdown = gw.shutdown_event.listen();
    let shut_down = async {
        shutdown.await;
        false
    };
    let idle = limits(gw).idle_timeout;
    let readable = conn.wait_readable();
    let waited = gw
        .timers
        .within(idle, smol::future::or(readable, shut_down));
    waited.await.unwrap_or(false)
}

fn refusal_for(err: &fault::Fault) -> Refusal {
    let message = err.to_string();
    match err {
        fault::Fault::TooLarge("request head") => {
            Refusal::new(Code::TooLarge, message).with_status(431)
        }
        fault::Fault::TooLarge(_) => Refusal::new(Code::TooLarge, message),
        fault::Fault::NoMemory(_) => {
            Refusal::new(Code::Overloaded, message).retry_after(UNAVAILABLE_RETRY_AFTER)
        }
        fault::Fault::TooSlow(_) => Refusal::new(Code::BadRequest, message).with_status(408),
        _ => Refusal::new(Code::BadRequest, message),
    }
}

/// Sends a refusal and closes the connection.
///
/// The rest of the caller's message is read for a moment first, up to a bound: closing a socket with unread bytes
/// resets the connection, and the caller could lose the refusal.
async fn refuse_and_close(
    gw: &core::Gateway,
    conn: &mut conn::Conn,
    refusal: &Refusal,
) -> request::NextStep {
    counter!("fulmar_gateway_requests_total", "outcome" => refusal.code.to_string()).increment(1);
    let status = refusal.status.to_string();
    counter!("fulmar_gateway_requests_not_read_total", "status" => status).increment(1);
    if gw.failure_log_quota.borrow_mut().take(gw.now()) {
        let (status, message) = (refusal.status, &refusal.message);
        tracing::info!(status, message, "front: refused");
    }
    let linger = async {
        if conn.write(&refusal.bytes("", true)).await.is_err() {
            return;
        }
        let _ = conn.socket().shutdown(std::net::Shutdown::Write);
        let mut read = conn.unread().len();
        conn.consume(read);
        while read < LINGER_BYTES && matches!(conn.fill().await, Ok(true)) {
            read += conn.unread().len();
            conn.consume(conn.unread().len());
        }
    };
    gw.timers.within(LINGER_TIMEOUT, linger).await;
    request::NextStep::Close
}
