//! The admin listener: health, readiness and metrics.

use std::sync::Arc;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use trillium::{Conn, KnownHeaderName, Status};

use crate::{error, transport::http};

/// Tells why a process is not ready; `None` when it is.
pub type ReadinessCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Serves one more page of the admin listener; `None` when the path is not known.
pub type PageHandler = Arc<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// Installs the process-wide recorder of metrics.
///
/// # Errors
///
/// [`error::Error::Argument`] when a recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, error::Error> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| error::Error::Argument {
            message: err.to_string(),
        })
}

fn serve(
    conn: Conn,
    recorder: &PrometheusHandle,
    ready: &ReadinessCheck,
    page: &PageHandler,
) -> Conn {
    match conn.path() {
        "/healthz" => conn.ok("ok\n"),
        "/readyz" => match ready() {
            None => conn.ok("ready\n"),
            Some(reason) => conn
                .with_status(Status::ServiceUnavailable)
                .with_body(format!("not ready: {reason}\n")),
        },
        "/metrics" => conn
            .with_response_header(KnownHeaderName::ContentType, "text/plain; version=0.0.4")
            .ok(recorder.render()),
        path => match page(path) {
            Some(body) => conn
                .with_response_header(KnownHeaderName::ContentType, "application/json")
                .ok(body),
            None => conn.with_status(Status::NotFound),
        },
    }
}

/// Starts the admin listener on a bound socket.
pub fn start(
    listener: std::net::TcpListener,
    recorder: PrometheusHandle,
    ready: ReadinessCheck,
    page: PageHandler,
) -> Result<trillium_smol::Swansong, error::Error> {
    let handler = move |conn: Conn| {
        let conn = serve(conn, &recorder, &ready, &page);
        async move { conn }
    };
    http::serve(listener, handler)
}
