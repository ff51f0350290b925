//! The admin listener, which serves health, readiness, metrics and further pages over HTTP.

use std::{sync::Arc, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use trillium::{Conn, KnownHeaderName, Status};

use crate::{
    error,
    transport::{http, timers},
};

/// Returns why the process is not ready; `None` when it is ready.
pub type ReadinessCheck = Arc<dyn Fn() -> Option<String> + Send + Sync>;

/// Returns the JSON of a further page by its path; `None` when the path is unknown.
pub type PageHandler = Arc<dyn Fn(&str) -> Option<String> + Send + Sync>;

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// [`error::Error::Argument`] when a recorder is already installed.
pub fn install_recorder() -> Result<PrometheusHandle, error::Error> {
    PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| error::Error::Argument {
            message: err.to_string(),
        })
}

/// Interval at which samples are merged, as the recorder's documentation proposes.
pub const MERGE_INTERVAL: Duration = Duration::from_secs(5);

/// Merges the samples of histograms at regular times, and never returns. Without it each sample is kept
/// until the metrics are read.
pub async fn merge_samples(recorder: PrometheusHandle, timers: timers::Timers) {
    loop {
        timers.sleep(MERGE_INTERVAL).await;
        recorder.run_upkeep();
    }
}

fn serve(
    conn: Conn,
    recorder: &PrometheusHandle,
    readiness: &ReadinessCheck,
    pages: &PageHandler,
) -> Conn {
    match conn.path() {
        "/healthz" => conn.ok("ok\n"),
        "/readyz" => match readiness() {
            None => conn.ok("ready\n"),
            Some(reason) => conn
                .with_status(Status::ServiceUnavailable)
                .with_body(format!("not ready: {reason}\n")),
        },
        "/metrics" => conn
            .with_response_header(KnownHeaderName::ContentType, "text/plain; version=0.0.4")
            .ok(recorder.render()),
        path => match pages(path) {
            Some(body) => conn
                .with_response_header(KnownHeaderName::ContentType, "application/json")
                .ok(body),
            None => conn.with_status(Status::NotFound),
        },
    }
}

/// Starts the admin listener on a bound socket.
///
/// # Errors
///
/// [`error::Error::Io`] when the socket cannot be used.
pub fn start(
    listener: std::net::TcpListener,
    recorder: PrometheusHandle,
    readiness: ReadinessCheck,
    pages: PageHandler,
) -> Result<trillium_smol::Swansong, error::Error> {
    smol::spawn(merge_samples(recorder.clone(), timers::Timers::default())).detach();
    let handler = move |conn: Conn| {
        let conn = serve(conn, &recorder, &readiness, &pages);
        async move { conn }
    };
    http::serve(listener, handler)
}
