//! HTTP responses that the stand-ins share.

use futures::{TryStreamExt, stream};
use serde::{Serialize, de::DeserializeOwned};
use trillium::{Body, Conn, KnownHeaderName, Status};

/// Responds with JSON and status 200.
pub fn json(conn: Conn, answer: &impl Serialize) -> Conn {
    json_with_status(conn, Status::Ok, answer)
}

/// Responds with JSON and the given status.
pub fn json_with_status(mut conn: Conn, status: Status, answer: &impl Serialize) -> Conn {
    conn.insert_response_header(KnownHeaderName::ContentType, "application/json");
    let body = serde_json::to_vec(answer).unwrap_or_default();
    conn.with_status(status).with_body(body).halt()
}

/// Responds with status 400 and the error's text.
pub fn bad_request(conn: Conn, err: impl ToString) -> Conn {
    conn.with_status(Status::BadRequest)
        .with_body(err.to_string())
        .halt()
}

/// Parses the JSON body, calls `call` with it and responds with the result as JSON.
pub fn handle_json<Q: DeserializeOwned, A: Serialize>(
    conn: Conn,
    body: &[u8],
    call: impl FnOnce(Q) -> A,
) -> Conn {
    match serde_json::from_slice(body) {
        Ok(req) => json(conn, &call(req)),
        Err(err) => bad_request(conn, err),
    }
}

/// Aborts the connection instead of sending the response body.
pub fn aborted(conn: Conn) -> Conn {
    conn.ok(aborted_body())
}

/// A body that announces one byte and fails before sending it.
pub fn aborted_body() -> Body {
    let parts = stream::once(async {
        Err::<Vec<u8>, _>(std::io::Error::other("response aborted on purpose"))
    });
    Body::new_streaming(Box::pin(parts).into_async_read(), Some(1))
}
