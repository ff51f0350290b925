//! Helpers for the HTTP client and server.

use std::time::Duration;

use futures::{AsyncBufReadExt, StreamExt, io::BufReader, stream::BoxStream};
use serde::{Serialize, de::DeserializeOwned};
use trillium::Handler;
use trillium_client::Client;
use trillium_smol::{ClientConfig, Swansong};

use crate::error;

/// Limit on the body of a request that a server accepts.
pub const MAX_BODY_BYTES: u64 = 8 << 20;

/// Starts a server on a bound socket. The returned handle shuts it down and lets requests in
/// progress finish.
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

/// Makes a client whose requests time out after `timeout`.
///
/// ```
/// use std::time::Duration;
/// let client = fulmarproxy::transport::http::client(Duration::from_secs(1));
/// assert_eq!(client.timeout(), Some(Duration::from_secs(1)));
/// ```
pub fn client(timeout: Duration) -> Client {
    Client::new(ClientConfig::new().with_nodelay(true)).with_timeout(timeout)
}

/// Makes a client without a timeout, for streamed responses.
pub fn streaming_client() -> Client {
    Client::new(ClientConfig::new().with_nodelay(true))
}

fn http_error(what: &'static str, url: &str, message: impl ToString) -> error::Error {
    error::Error::Http {
        what,
        url: url.to_owned(),
        message: message.to_string(),
    }
}

/// Sends a request and parses the response as JSON; any status but a success is an error.
async fn read_json<T: DeserializeOwned>(
    mut conn: trillium_client::Conn,
    what: &'static str,
    url: &str,
) -> Result<T, error::Error> {
    (&mut conn)
        .await
        .map_err(|err| http_error(what, url, err))?;
    let status = conn.status();
    let text = conn.response_body().read_bytes().await;
    let text = text.map_err(|err| http_error(what, url, err))?;
    if !status.is_some_and(|status| status.is_success()) {
        let status = status.map_or_else(|| "no status".to_owned(), |status| status.to_string());
        return Err(http_error(what, url, status));
    }
    serde_json::from_slice(&text).map_err(|err| http_error(what, url, err))
}

/// Posts JSON and parses the response as JSON.
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
    let body = serde_json::to_vec(body).map_err(|err| http_error(what, url, err))?;
    let conn = client.post(url).with_body(body);
    read_json(
        conn.with_request_header("content-type", "application/json"),
        what,
        url,
    )
    .await
}

/// Sends a GET request and parses the response as JSON.
///
/// # Errors
///
/// [`error::Error::Http`] names `what` and the address.
pub async fn get<A: DeserializeOwned>(
    client: &Client,
    what: &'static str,
    url: &str,
) -> Result<A, error::Error> {
    read_json(client.get(url), what, url).await
}

/// Posts JSON and parses each line of the response, a JSON value of the form `{"result": ...}`,
/// until the response ends.
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
        let body = serde_json::to_vec(&body).map_err(|err| http_error("stream", &url, err))?;
        let mut conn = client.post(url.as_str()).with_body(body);
        (&mut conn)
            .await
            .map_err(|err| http_error("stream", &url, err))?;
        let body = conn.take_response_body();
        let body = body.ok_or_else(|| http_error("stream", &url, "the answer has no body"))?;
        let lines = BufReader::new(body).lines();
        Ok(lines.map(move |line| {
            let line = line.map_err(|err| http_error("stream", &url, err))?;
            let parsed: ResultLine<A> =
                serde_json::from_str(&line).map_err(|err| http_error("stream", &url, err))?;
            Ok(parsed.result)
        }))
    };
    futures::stream::once(opened)
        .flat_map(|opened| match opened {
            Ok(lines) => lines.boxed(),
            Err(err) => futures::stream::once(async { Err(err) }).boxed(),
        })
        .boxed()
}

/// One line of a streamed response.
#[derive(serde::Deserialize)]
struct ResultLine<A> {
    result: A,
}
