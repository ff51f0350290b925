//! The listener for callers: reads requests, refuses malformed ones and drains at shutdown.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    code::Code,
    coordination::draining,
    error,
    gateway::{core, refusal::Refusal, request},
    transport::h1::{accept, body, conn, dial, fault, head},
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

/// Binds the listener.
///
/// # Errors
///
/// The error of binding the socket.
pub async fn bind(address: SocketAddr) -> Result<async_net::TcpListener, error::Error> {
    Ok(async_net::TcpListener::bind(address).await?)
}

/// Starts to accept connections of callers.
pub fn start(gw: &Rc<core::Gateway>, listener: async_net::TcpListener) {
    let accepting = gw.clone();
    gw.spawn(async move {
        loop {
            let stream = accept::next(&listener, "front", &accepting.timers).await;
            let serving = accepting.clone();
            accepting.spawn(async move { serve(&serving, stream).await });
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
    let in_flight = gw.in_flight.get();
    tracing::info!(in_flight, "front: drained");
}

/// Waits until requests that arrived after draining have been refused.
pub async fn finish_late_requests(gw: &core::Gateway) {
    let end = gw.now() + LINGER_TIMEOUT;
    while gw.in_flight.get() > 0 && gw.now() < end {
        gw.timers.sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Limits on a caller's requests and connection.
struct Limits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout: Duration,
    idle_timeout: Duration,
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

async fn serve(gw: &Rc<core::Gateway>, stream: async_net::TcpStream) {
    if let Err(err) = dial::detect_dead_peer(&stream) {
        tracing::warn!(%err, "front: failed to set the options of a caller's socket");
    }
    let mut conn = conn::Conn::new(stream);
    while wait_for_request(gw, &mut conn).await {
        let in_flight = InFlightGuard::new(gw);
        let next_step = handle_request(gw, &mut conn).await;
        drop(in_flight);
        if next_step == request::NextStep::Close {
            return;
        }
    }
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

/// Waits for the first byte of a request; false when the connection must be closed.
async fn wait_for_request(gw: &core::Gateway, conn: &mut conn::Conn) -> bool {
    if !conn.unread().is_empty() {
        return true;
    }
    let shutdown = gw.shutdown_event.listen();
    let received = async { conn.fill().await.unwrap_or(false) };
    let shut_down = async {
        shutdown.await;
        false
    };
    let idle = limits(gw).idle_timeout;
    let waited = gw
        .timers
        .within(idle, smol::future::or(received, shut_down));
    waited.await.unwrap_or(false)
}

async fn handle_request(gw: &Rc<core::Gateway>, conn: &mut conn::Conn) -> request::NextStep {
    let limits = limits(gw);
    let read = read_message(conn, &limits);
    match gw.timers.within(limits.header_timeout, read).await {
        Some(Ok(Some((head, body)))) => request::serve(gw, conn, head, body).await,
        Some(Ok(None)) | Some(Err(fault::Fault::Io(_) | fault::Fault::ClosedMidMessage)) => {
            request::NextStep::Close
        }
        Some(Err(err)) => refuse_malformed(gw, conn, &err).await,
        None => {
            let refusal = Refusal::new(Code::BadRequest, "the request was not sent in time");
            refuse_and_close(gw, conn, &refusal.with_status(408)).await
        }
    }
}

async fn read_message(
    conn: &mut conn::Conn,
    limits: &Limits,
) -> Result<Option<(head::RequestHead, Vec<u8>)>, fault::Fault> {
    let Some(head) = head::read_request(conn, limits.max_header_bytes).await? else {
        return Ok(None);
    };
    let framing = body::request_framing(&head.headers)?;
    if head.headers.all("Host").count() > 1 {
        return Err(fault::Fault::Malformed("host"));
    }
    if head.headers.has_token("Expect", "100-continue") {
        conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut body = body::Body::new(framing);
    let body = body.read_all(conn, limits.max_body_bytes).await?;
    Ok(Some((head, body)))
}

async fn refuse_malformed(
    gw: &core::Gateway,
    conn: &mut conn::Conn,
    err: &fault::Fault,
) -> request::NextStep {
    let message = err.to_string();
    let refusal = match err {
        fault::Fault::TooLarge("request head") => {
            Refusal::new(Code::TooLarge, message).with_status(431)
        }
        fault::Fault::TooLarge(_) => Refusal::new(Code::TooLarge, message),
        _ => Refusal::new(Code::BadRequest, message),
    };
    refuse_and_close(gw, conn, &refusal).await
}

/// Sends a refusal and closes the connection.
///
/// The rest of the caller's message is read for a moment first: closing a socket with unread bytes
/// resets the connection, and the caller could lose the refusal.
async fn refuse_and_close(
    gw: &core::Gateway,
    conn: &mut conn::Conn,
    refusal: &Refusal,
) -> request::NextStep {
    metrics::counter!("fulmar_gateway_requests_total", "outcome" => refusal.code.to_string())
        .increment(1);
    if gw.failure_log_quota.borrow_mut().take(gw.now()) {
        let (status, message) = (refusal.status, &refusal.message);
        tracing::info!(status, message, "front: refused");
    }
    let linger = async {
        if conn.write(&refusal.bytes("", true)).await.is_err() {
            return;
        }
        let _ = conn.socket().shutdown(std::net::Shutdown::Write);
        while let Ok(true) = conn.fill().await {
            conn.consume(conn.unread().len());
        }
    };
    gw.timers.within(LINGER_TIMEOUT, linger).await;
    request::NextStep::Close
}
