//! HTTP calls from an agent to its backend server.

use std::{io, sync::Arc};

use futures::{AsyncReadExt, future::BoxFuture, stream, stream::BoxStream};

use crate::transport::http;

/// Bytes requested from the response per read.
const READ_BYTES: usize = 16 * 1024;

/// A call to the backend server.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Request id.
    pub request_id: String,
    /// Idempotency key; empty for none.
    pub idempotency_key: String,
    /// JSON body.
    pub body: Vec<u8>,
}

/// A response whose head has arrived.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body as it arrives; dropping it cancels the call.
    pub body: BoxStream<'static, io::Result<Vec<u8>>>,
}

/// Why no response head arrived.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Whether the call may have reached the backend server.
    pub may_have_run: bool,
    /// Cause.
    pub message: String,
}

/// Calls the backend server, with a function value that tests can replace.
#[derive(Clone)]
pub struct Backend {
    /// Sends a call and waits for the head of its response.
    pub send: Arc<dyn Fn(Call) -> BoxFuture<'static, Result<Response, Failure>> + Send + Sync>,
}

impl Backend {
    /// Makes a client of the backend server at an `http://` address.
    pub fn over_http(url: &str) -> Self {
        let client = http::streaming_client();
        let url: Arc<str> = url.trim_end_matches('/').into();
        Self {
            send: Arc::new(move |call| Box::pin(send(client.clone(), url.clone(), call))),
        }
    }
}

async fn send(
    client: trillium_client::Client,
    url: Arc<str>,
    call: Call,
) -> Result<Response, Failure> {
    let method = call.method.parse().unwrap_or(trillium::Method::Post);
    let conn = client.build_conn(method, format!("{url}{}", call.path).as_str());
    let conn = conn
        .with_request_header("content-type", "application/json")
        .with_request_header("x-request-id", call.request_id)
        .with_body(call.body);
    let mut conn = Exchange(Some(match call.idempotency_key.is_empty() {
        true => conn,
        false => conn.with_request_header("idempotency-key", call.idempotency_key),
    }));
    if let Err(err) = conn.get().await {
        return Err(Failure {
            may_have_run: !is_refused(&err),
            message: err.to_string(),
        });
    }
    let status = conn.get().status().map_or(0, |status| status as u16);
    if !(200..600).contains(&status) {
        return Err(Failure {
            may_have_run: true,
            message: format!("no answer has the status {status}"),
        });
    }
    Ok(Response {
        status,
        body: Box::pin(stream::unfold(Some(conn), next_part)),
    })
}

/// Whether the connection was refused, so that the backend server cannot have run the call.
fn is_refused(err: &trillium_client::Error) -> bool {
    match err {
        trillium_client::Error::Io(err) => err.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// A call in progress. Dropping it closes the connection, so that the backend server stops working
/// on the call.
///
/// When dropped, trillium's connection would instead read the response to its end, to reuse the
/// connection. [`trillium_http::Upgrade`] takes the socket out of it, which is closed then.
struct Exchange(Option<trillium_client::Conn>);

impl Exchange {
    fn get(&mut self) -> &mut trillium_client::Conn {
        self.0
            .as_mut()
            .expect("the connection is kept until the end")
    }

    /// Returns the connection to the client after a complete response, for reuse by other calls.
    fn release(mut self) {
        drop(self.0.take());
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(conn) = self.0.take()
            && conn.peer_addr().is_some()
        {
            drop(trillium_http::Upgrade::from(conn));
        }
    }
}

/// A part of the body, and the call unless it failed.
type Part = (io::Result<Vec<u8>>, Option<Exchange>);

/// Reads the next part of the body; `None` after its end.
async fn next_part(conn: Option<Exchange>) -> Option<Part> {
    let mut conn = conn?;
    let mut buf = vec![0; READ_BYTES];
    let read = conn.get().response_body().read(&mut buf).await;
    match read {
        Ok(0) => {
            conn.release();
            None
        }
        Ok(read) => {
            buf.truncate(read);
            Some((Ok(buf), Some(conn)))
        }
        Err(err) => Some((Err(err), None)),
    }
}
