//! Small helpers around the HTTP client and server.

use std::time::Duration;

use futures::{AsyncBufReadExt, StreamExt, io::BufReader, stream::BoxStream};
use serde::{Serialize, de::DeserializeOwned};
use trillium::Handler;
use trillium_client::Client;
use trillium_smol::{ClientConfig, Swansong};

use crate::error;

/// Largest body that a server accepts, in bytes.
pub const MAX_BODY_BYTES: u64 = 8 << 20;

/// Starts a server on a bound socket; shutting it down lets requests in flight finish.
///
/// # Errors
///
/// [`error::Error::Io`] when the socket cannot be used.
pub fn serve(
    listener: std::net::TcpListener,
    handler: impl Handler,
) -> Result<Swansong, error::Error> {
    listener.set_nonblocking(true)?;
    let listener = async_net::TcpListener::try_from(listener)?;
    let config = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_http_config(
            trillium_http::HttpConfig::default().with_received_body_max_len(MAX_BODY_BYTES),
        )
        .with_prebound_server(listener);
    Ok(config.spawn(handler).swansong())
}

/// Makes a client whose requests end after `limit`.
///
/// ```
/// use std::time::Duration;
/// let client = fulmarproxy::transport::http::client(Duration::from_secs(1));
/// assert_eq!(client.timeout(), Some(Duration::from_secs(1)));
/// ```
pub fn client(limit: Duration) -> Client {
    Client::new(ClientConfig::new().with_nodelay(true)).with_timeout(limit)
}

/// Makes a client without a time limit, for answers that stream.
pub fn streaming_client() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

fn failed(what: &'static str, url: &str, message: impl ToString) -> error::Error {
    error::Error::Http {
        what,
        url: url.to_owned(),
        message: message.to_string(),
    }
}

async fn answer<T: DeserializeOwned>(
    mut conn: trillium_client::Conn,
    what: &'static str,
    url: &str,
) -> Result<T, error::Error> {
    (&mut conn).await.map_err(|err| failed(what, url, err))?;
    let status = conn.status();
    let text = conn.response_body().read_bytes().await;
    let text = text.map_err(|err| failed(what, url, err))?;
    if !status.is_some_and(|status| status.is_success()) {
        let status = status.map_or_else(|| "no status".to_owned(), |status| status.to_string());
        return Err(failed(what, url, status));
    }
    serde_json::from_slice(&text).map_err(|err| failed(what, url, err))
}

/// Posts JSON and reads JSON.
///
/// # Errors
///
/// [`error::Error::Http`] names `what` and the address.
pub async fn post<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    what: &'static str,
    url: &str,
    body: &Q,
) -> Result<A, error::Error> {
    let body = serde_json::to_vec(body).map_err(|err| failed(what, url, err))?;
    let conn = client.post(url).with_body(body);
    answer(
        conn.with_request_header("content-type", "application/json"),
        what,
        url,
    )
    .await
}

/// Gets JSON.
///
/// # Errors
///
/// [`error::Error::Http`] names `what` and the address.
pub async fn get<A: DeserializeOwned>(
    client: &Client,
    what: &'static str,
    url: &str,
) -> Result<A, error::Error> {
    answer(client.get(url), what, url).await
}

/// Posts JSON and reads one JSON value of the form `{"result": ...}` a line until the answer ends.
pub fn post_for_stream<Q, A>(
    client: Client,
    url: String,
    body: Q,
) -> BoxStream<'static, Result<A, error::Error>>
where
    Q: Serialize + Send + 'static,
    A: DeserializeOwned + Send + 'static,
{
    let opened = async move {
        let body = serde_json::to_vec(&body).map_err(|err| failed("stream", &url, err))?;
        let mut conn = client.post(url.as_str()).with_body(body);
        (&mut conn)
            .await
            .map_err(|err| failed("stream", &url, err))?;
        let body = conn.take_response_body();
        let body = body.ok_or_else(|| failed("stream", &url, "the answer has no body"))?;
        let lines = BufReader::new(body).lines();
        Ok(lines.map(move |line| {
            let line = line.map_err(|err| failed("stream", &url, err))?;
            let read: Line<A> =
                serde_json::from_str(&line).map_err(|err| failed("stream", &url, err))?;
            Ok(read.result)
        }))
    };
    futures::stream::once(opened)
        .flat_map(|opened| match opened {
            Ok(lines) => lines.boxed(),
            Err(err) => futures::stream::once(async { Err(err) }).boxed(),
        })
        .boxed()
}

#[derive(serde::Deserialize)]
struct Line<A> {
    result: A,
}
