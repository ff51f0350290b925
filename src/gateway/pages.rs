//! HTTP endpoints for the platform's readiness probe, for metrics and for explanations.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    error,
    gateway::{admission, core, explaining, overload, refusal, watch_notes::Part},
    platform::{described_request, readiness},
    transport::h1::{accept, body, conn, fault, head},
};

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of connections of one listener, and time for which one may be idle or take a response.
const MAX_CONNECTIONS: usize = 24;
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Path of the metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Path of the page that explains where a request would go. Only the admin listener serves it.
pub const EXPLAIN_PATH: &str = "/explain";

/// Header of a call of that page that names the workspace, instead of a key in the described request.
pub const EXPLAIN_WORKSPACE: &str = "Explain-Workspace";

/// Pages that a listener serves.
#[derive(Clone)]
struct Pages {
    recorder: Rc<PrometheusHandle>,
    /// Whether it explains requests.
    explains: bool,
}

/// Starts the readiness listener and the admin listener; both serve readiness and metrics. Returns the
/// addresses they listen on, in this order.
///
/// # Errors
///
/// The error of binding a socket.
pub async fn start(
    gw: &Rc<core::Gateway>,
    recorder: PrometheusHandle,
) -> Result<(SocketAddr, SocketAddr), error::Error> {
    let settings = gw.settings();
    let recorder = Rc::new(recorder);
    let pages = |explains| Pages {
        recorder: recorder.clone(),
        explains,
    };
    let ready = listen(gw, settings.ready_listen, pages(false)).await?;
    let admin = listen(gw, settings.admin_listen, pages(true)).await?;
    Ok((ready, admin))
}

async fn listen(
    gw: &Rc<core::Gateway>,
    address: SocketAddr,
    pages: Pages,
) -> Result<SocketAddr, error::Error> {
    let listener = async_net::TcpListener::bind(address).await?;
    let bound = listener.local_addr()?;
    let accepting = gw.clone();
    let slots = accept::Slots::new(MAX_CONNECTIONS);
    gw.spawn(async move {
        loop {
            let stream = accept::next(&listener, "pages", &accepting.timers).await;
            let Some(slot) = slots.take() else {
                counter!("fulmar_gateway_connections_refused_total", "listener" => "pages")
                    .increment(1);
                tracing::debug!("pages: connection refused, too many are open");
                continue;
            };
            let serving = accepting.clone();
            let pages = pages.clone();
            accepting.spawn(async move {
                serve(&serving, stream, &pages).await;
                drop(slot);
            });
        }
    });
    Ok(bound)
}

async fn serve(gw: &core::Gateway, stream: async_net::TcpStream, pages: &Pages) {
    let mut conn = conn::Conn::new(stream);
    loop {
        let reading = head::read_request(&mut conn, MAX_HEAD_BYTES);
        let Some(Ok(Some(req))) = gw.timers.within(IDLE_TIMEOUT, reading).await else {
            return;
        };
        let explains = pages.explains && req.target == EXPLAIN_PATH;
        let bytes = match explains {
            true => {
                let explaining = explain(gw, &mut conn, &req);
                let Some(bytes) = gw.timers.within(IDLE_TIMEOUT, explaining).await else {
                    return;
                };
                bytes
            }
            false => respond(gw, &req, &pages.recorder),
        };
        let written = gw.timers.within(IDLE_TIMEOUT, conn.write(&bytes)).await;
        // What follows a described request that was not read to its end is not a request.
        if !matches!(written, Some(Ok(()))) || explains {
            return;
        }
    }
}

/// Updates the gauges that are computed on request: the ages grow without any event.
fn update_gauges(gw: &core::Gateway) {
    let age = |confirmed_at: Duration| gw.now().saturating_sub(confirmed_at).as_secs_f64();
    gauge!("fulmar_gateway_config_age_seconds").set(age(gw.config_confirmed_at.get()));
    gauge!("fulmar_gateway_servers_age_seconds").set(age(gw.servers_confirmed_at.get()));
    for (part, gauge) in [
        (
            Part::Configuration,
            gauge!("fulmar_gateway_config_behind_seconds"),
        ),
        (
            Part::Servers,
            gauge!("fulmar_gateway_servers_behind_seconds"),
        ),
    ] {
        let since = gw.watch_notes.prefix(part).borrow().behind_since();
        gauge.set(since.map_or(0.0, age));
    }
    gw.memory.update_gauges();
    gw.callers.update_gauges();
    gw.plain_queues.update_gauges();
    gauge!("fulmar_gateway_in_flight").set(gw.in_flight.get() as f64);
    overload::update_gauges(gw);
}

fn respond(gw: &core::Gateway, req: &head::RequestHead, recorder: &PrometheusHandle) -> Vec<u8> {
    let mut headers = head::Headers::default();
    headers.push("Content-Type", b"text/plain");
    let (status, body) = match req.target.as_str() {
        readiness::PATH => match gw.not_ready_reason() {
            None => (200, "ready\n".to_owned()),
            Some(reason) => (503, format!("not ready: {reason}\n")),
        },
        METRICS_PATH => {
            update_gauges(gw);
            (200, recorder.render())
        }
        _ => (404, "no such page\n".to_owned()),
    };
    refusal::encode_response(status, &headers, Some(body.as_bytes()), false)
}

/// Reads a described request and explains where it would go.
async fn explain(gw: &core::Gateway, conn: &mut conn::Conn, call: &head::RequestHead) -> Vec<u8> {
    let (status, content_type, body) = match try_explain(gw, conn, call).await {
        Ok(explained) => (200, &b"application/json"[..], explained),
        Err((status, message)) => (status, &b"text/plain"[..], format!("{message}\n")),
    };
    let mut headers = head::Headers::default();
    headers.push("Content-Type", content_type);
    refusal::encode_response(status, &headers, Some(body.as_bytes()), true)
}

/// As [`explain`]; returns the explanation as JSON.
///
/// # Errors
///
/// An HTTP status and a message, which contains no value of the described request.
async fn try_explain(
    gw: &core::Gateway,
    conn: &mut conn::Conn,
    call: &head::RequestHead,
) -> Result<String, (u16, String)> {
    if call.method != "POST" {
        return Err((405, "method: expected POST".to_owned()));
    }
    let framing = body::request_framing(&call.headers).map_err(|err| (400, err.to_string()))?;
    let mut reader = body::Body::new(framing);
    let described = reader.read_all(conn, MAX_HEAD_BYTES).await;
    let described = described.map_err(|err| match err {
        fault::Fault::TooLarge(_) => {
            let message = format!("the described request has more than {MAX_HEAD_BYTES} bytes");
            (413, message)
        }
        err => (400, err.to_string()),
    })?;
    let head = described_request::decode(&described).map_err(|err| (400, err.to_string()))?;
    let identity = match call.headers.text(EXPLAIN_WORKSPACE) {
        Some(workspace) => admission::Identity::Workspace(workspace),
        None => admission::Identity::Key,
    };
    let explained = explaining::explain(gw, head, identity);
    let explained = explained.map_err(|reason| (503, format!("not ready: {reason}")))?;
    serde_json::to_string(&explained).map_err(|err| (500, err.to_string()))
}
