//! HTTP endpoint with the metrics of a carrier.

use std::{net::SocketAddr, time::Duration};

use metrics_exporter_prometheus::PrometheusHandle;

use crate::transport::{
    h1::{accept, conn, fault, head},
    timers,
};

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Time limit for one connection. They are served one at a time, so that they take no descriptors from
/// the calls that the carrier forwards.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Delay before the socket is opened again.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Serves `GET /metrics` at `listen` and never returns.
pub async fn serve(listen: SocketAddr, recorder: PrometheusHandle, timers: timers::Timers) {
    let listener = loop {
        match async_net::TcpListener::bind(listen).await {
            Ok(listener) => break listener,
            Err(err) => {
                tracing::warn!(%err, %listen, "pages: cannot open the socket; retrying");
                timers.sleep(RETRY_DELAY).await;
            }
        }
    };
    if let Ok(admin) = listener.local_addr() {
        tracing::info!(%admin, "pages: serving metrics");
    }
    loop {
        let stream = accept::next(&listener, "pages", &timers).await;
        let served = timers.within(TIME_LIMIT, respond(stream, &recorder)).await;
        match served {
            Some(Ok(())) => (),
            Some(Err(err)) => tracing::debug!(%err, "pages: connection failed"),
            None => tracing::debug!("pages: connection was too slow"),
        }
    }
}

/// Answers one request.
async fn respond(
    stream: async_net::TcpStream,
    recorder: &PrometheusHandle,
) -> Result<(), fault::Fault> {
    let mut conn = conn::Conn::new(stream);
    let Some(req) = head::read_request(&mut conn, MAX_HEAD_BYTES).await? else {
        return Ok(());
    };
    let (status, body) = match req.target.as_str() {
        "/metrics" => ("200 OK", recorder.render()),
        _ => ("404 Not Found", "no such page\n".to_owned()),
    };
    let len = body.len();
    let response = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {len}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    conn.write(response.as_bytes()).await
}
