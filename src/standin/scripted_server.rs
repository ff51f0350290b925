//! Stand-in for a backend server behind a gateway. A test scripts each response as a sequence of
//! raw bytes, pauses and a close.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::transport::{
    h1::{body, conn, fault, head},
    timers,
};

/// Maximum size of a request's head and of its body, in bytes.
const MAX_REQUEST_BYTES: usize = 8 << 20;

/// One step of a scripted response.
#[derive(Clone, Debug)]
pub enum Step {
    /// Waits.
    Wait(Duration),
    /// Sends raw bytes.
    Send(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of the connection that brought it.
    pub connection: u32,
    /// Request line and headers.
    pub head: head::RequestHead,
    /// Body.
    pub body: Vec<u8>,
}

/// Returns the steps of the response to a request.
pub type Script = Rc<dyn Fn(&ReceivedRequest) -> Vec<Step>>;

/// A backend server whose responses follow a script.
pub struct ScriptedServer {
    script: Script,
    /// Received requests, in order of arrival.
    pub received: RefCell<Vec<ReceivedRequest>>,
    /// Number of connections that the client closed before the response was complete.
    pub disconnects: Cell<u32>,
    /// Number of connections accepted.
    connections: Cell<u32>,
}

impl ScriptedServer {
    /// Creates a server that responds as `script` says.
    pub fn new(script: Script) -> Rc<Self> {
        Rc::new(Self {
            script,
            received: RefCell::default(),
            disconnects: Cell::new(0),
            connections: Cell::new(0),
        })
    }

    /// Accepts connections until the task is dropped.
    pub async fn serve(
        self: Rc<Self>,
        listener: async_net::TcpListener,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let number = self.connections.get() + 1;
            self.connections.set(number);
            let serving = async move {
                let mut conn = conn::Conn::new(stream);
                while let Ok(true) = server.serve_request(&mut conn, number).await {}
            };
            executor.spawn(serving).detach();
        }
    }

    /// Serves one request; returns whether the connection stays open.
    async fn serve_request(
        &self,
        conn: &mut conn::Conn,
        connection: u32,
    ) -> Result<bool, fault::Fault> {
        let Some(head) = head::read_request(conn, MAX_REQUEST_BYTES).await? else {
            return Ok(false);
        };
        let framing = body::request_framing(&head.headers)?;
        let body = body::Body::new(framing)
            .read_all(conn, MAX_REQUEST_BYTES)
            .await?;
        let request = ReceivedRequest {
            connection,
            head,
            body,
        };
        let steps = (self.script)(&request);
        self.received.borrow_mut().push(request);
        let closed = conn::wait_for_close(conn.socket());
        let sending = async {
            let keep_open = send_steps(conn, steps).await;
            Some(keep_open)
        };
        let disconnected = async {
            closed.await;
            None
        };
        match smol::future::or(sending, disconnected).await {
            Some(keep_open) => keep_open,
            None => {
                self.disconnects.set(self.disconnects.get() + 1);
                Ok(false)
            }
        }
    }
}

/// Executes the steps of a response; returns whether the connection stays open.
async fn send_steps(conn: &mut conn::Conn, steps: Vec<Step>) -> Result<bool, fault::Fault> {
    let timers = timers::Timers::default();
    for step in steps {
        match step {
            Step::Wait(time) => timers.sleep(time).await,
            Step::Send(bytes) => conn.write(&bytes).await?,
            Step::Close => return Ok(false),
        }
    }
    Ok(true)
}

/// A response with `Content-Length` and the signature header, which marks it as the server's own.
pub fn signed_response(request: &ReceivedRequest, status: u16, body: &str) -> Vec<Step> {
    let len = body.len();
    let bytes = format!(
        "{}Content-Length: {len}\r\n\r\n{body}",
        signed_head(request, status)
    );
    vec![Step::Send(bytes.into_bytes())]
}

/// A signed event stream with one event per id, a pause after each, and a proper end.
pub fn signed_event_stream(
    request: &ReceivedRequest,
    ids: std::ops::Range<u32>,
    pause: Duration,
) -> Vec<Step> {
    let head = signed_head(request, 200);
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut steps = vec![Step::Send(head.into_bytes())];
    for id in ids {
        let event = format!("id: {id}\ndata: word\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        steps.push(Step::Send(chunk.into_bytes()));
        steps.push(Step::Wait(pause));
    }
    steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
    steps
}

/// A response that states, with `X-Not-Executed`, that the request was not run.
pub fn not_run_response() -> Vec<Step> {
    let bytes = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    vec![Step::Send(bytes.to_vec())]
}

/// Status line and the headers that sign a response.
pub fn signed_head(request: &ReceivedRequest, status: u16) -> String {
    let id = request
        .head
        .headers
        .text("X-Request-Id")
        .unwrap_or_default();
    format!("HTTP/1.1 {status} X\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\n")
}

/// Adds header lines, each ending with CRLF, to a scripted response whose first step sends the head.
///
/// ```
/// use fulmarproxy::standin::scripted_server;
/// let steps = scripted_server::not_run_response();
/// let steps = scripted_server::with_headers(steps, "Server-Leaving: 1\r\n");
/// let scripted_server::Step::Send(bytes) = &steps[0] else { panic!() };
/// assert!(bytes.windows(17).any(|found| found == b"Server-Leaving: 1"));
/// ```
pub fn with_headers(mut steps: Vec<Step>, lines: &str) -> Vec<Step> {
    if let Some(Step::Send(bytes)) = steps.first_mut()
        && let Some(end) = bytes.windows(2).position(|found| found == b"\r\n")
    {
        bytes.splice(end + 2..end + 2, lines.bytes());
    }
    steps
}
