//! The listener for callers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    code::Code,
    coordination::draining,
    error,
    gateway::{core, refusal::Refusal, request},
    transport::h1::{accept, body, conn, dial, fault, head},
};

/// Limits before there is a configuration: a head of 16 KB, 3 s to send it.
const FIRST_HEAD_BYTES: usize = 16 * 1024;
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
const FIRST_BODY_BYTES: usize = 4 << 20;
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// How often the drain looks for requests in flight.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Longest time that the rest of a refused message is read, so that the refusal arrives.
const LINGER: Duration = Duration::from_millis(300);

/// Binds the listener.
///
/// # Errors
///
/// The socket's error.
pub async fn bind(address: SocketAddr) -> Result<async_net::TcpListener, error::Error> {
    Ok(async_net::TcpListener::bind(address).await?)
}

/// Starts to accept callers.
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

/// Stops taking requests and waits for those in flight.
pub async fn drain(gw: &core::Gateway) {
    let draining = draining::Draining::new(gw.now(), gw.settings().grace);
    gw.draining.set(Some(draining));
    let in_flight = gw.in_flight.get();
    tracing::info!(in_flight, "front: draining");
    let wait = draining::ACCEPT_ALL_PERIOD.min(draining.exit_at.saturating_sub(gw.now()));
    gw.timers.sleep(wait).await;
    gw.leaving.notify(usize::MAX);
    while gw.in_flight.get() > 0 && gw.now() < draining.exit_at {
        gw.timers.sleep(DRAIN_LOOK).await;
    }
    let is_closed = true;
    gw.draining.set(Some(draining::Draining {
        is_closed,
        ..draining
    }));
    let in_flight = gw.in_flight.get();
    tracing::info!(in_flight, "front: drained");
}

/// Waits for the refusals of requests that came after the drain.
pub async fn finish(gw: &core::Gateway) {
    let end = gw.now() + LINGER;
    while gw.in_flight.get() > 0 && gw.now() < end {
        gw.timers.sleep(DRAIN_LOOK).await;
    }
}

/// Limits in force.
struct Limits {
    head_bytes: usize,
    body_bytes: usize,
    head_timeout: Duration,
    idle: Duration,
}

fn limits(gw: &core::Gateway) -> Limits {
    match gw.deployment() {
        Some(deployment) => Limits {
            head_bytes: deployment.limits.max_header_bytes,
            body_bytes: deployment.limits.max_body_bytes,
            head_timeout: deployment.limits.header_timeout,
            idle: deployment.limits.idle_timeout,
        },
        None => Limits {
            head_bytes: FIRST_HEAD_BYTES,
            body_bytes: FIRST_BODY_BYTES,
            head_timeout: FIRST_HEAD_TIMEOUT,
            idle: FIRST_IDLE,
        },
    }
}

async fn serve(gw: &Rc<core::Gateway>, stream: async_net::TcpStream) {
    if let Err(err) = dial::detect_dead_peer(&stream) {
        tracing::warn!(%err, "front: options of a caller's socket not set");
    }
    let mut conn = conn::Conn::new(stream);
    while wait_for_request(gw, &mut conn).await {
        let in_flight = InFlight::new(gw);
        let ended = one_request(gw, &mut conn).await;
        drop(in_flight);
        if ended == request::Ended::Broken {
            return;
        }
    }
}

/// Counts a request as in flight.
struct InFlight(Rc<core::Gateway>);

impl InFlight {
    fn new(gw: &Rc<core::Gateway>) -> Self {
        gw.in_flight.set(gw.in_flight.get() + 1);
        Self(gw.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Waits for the first byte of a request; false when the connection is over.
async fn wait_for_request(gw: &core::Gateway, conn: &mut conn::Conn) -> bool {
    if !conn.unread().is_empty() {
        return true;
    }
    let leaving = gw.leaving.listen();
    let filled = async { conn.fill().await.unwrap_or(false) };
    let left = async {
        leaving.await;
        false
    };
    let idle = limits(gw).idle;
    let waited = gw.timers.within(idle, smol::future::or(filled, left));
    waited.await.unwrap_or(false)
}

async fn one_request(gw: &Rc<core::Gateway>, conn: &mut conn::Conn) -> request::Ended {
    let limits = limits(gw);
    let read = read_message(conn, &limits);
    match gw.timers.within(limits.head_timeout, read).await {
        Some(Ok(Some((head, body)))) => request::serve(gw, conn, head, body).await,
        Some(Ok(None)) | Some(Err(fault::Fault::Io(_) | fault::Fault::ClosedMidMessage)) => {
            request::Ended::Broken
        }
        Some(Err(err)) => refuse(gw, conn, &err).await,
        None => {
            let refusal = Refusal::new(Code::BadRequest, "the request was not sent in time");
            last_words(gw, conn, &refusal.with_status(408)).await
        }
    }
}

async fn read_message(
    conn: &mut conn::Conn,
    limits: &Limits,
) -> Result<Option<(head::RequestHead, Vec<u8>)>, fault::Fault> {
    let Some(head) = head::read_request(conn, limits.head_bytes).await? else {
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
    let body = body.read_all(conn, limits.body_bytes).await?;
    Ok(Some((head, body)))
}

async fn refuse(gw: &core::Gateway, conn: &mut conn::Conn, err: &fault::Fault) -> request::Ended {
    let message = err.to_string();
    let refusal = match err {
        fault::Fault::TooLarge("request head") => {
            Refusal::new(Code::TooLarge, message).with_status(431)
        }
        fault::Fault::TooLarge(_) => Refusal::new(Code::TooLarge, message),
        _ => Refusal::new(Code::BadRequest, message),
    };
    last_words(gw, conn, &refusal).await
}

/// Sends a refusal and reads on for a moment: closing with unread bytes would reset it away.
async fn last_words(
    gw: &core::Gateway,
    conn: &mut conn::Conn,
    refusal: &Refusal,
) -> request::Ended {
    metrics::counter!("fulmar_gateway_requests_total", "outcome" => refusal.code.to_string())
        .increment(1);
    if gw.telling.borrow_mut().take(gw.now()) {
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
    gw.timers.within(LINGER, linger).await;
    request::Ended::Broken
}
