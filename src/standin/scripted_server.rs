//! A stand-in for a backend server of the platform that places gateways: it answers what a test
//! tells it to, byte by byte.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use crate::transport::{
    h1::{body, conn, fault, head},
    timers,
};

/// Most bytes of a request.
const MAX_REQUEST_BYTES: usize = 8 << 20;

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// Waits.
    Wait(Duration),
    /// Sends bytes.
    Send(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Head.
    pub head: head::RequestHead,
    /// Body.
    pub body: Vec<u8>,
}

/// Makes the answer of a request.
pub type Script = Rc<dyn Fn(&ReceivedRequest) -> Vec<Step>>;

/// A backend server.
pub struct ScriptedServer {
    script: Script,
    /// Requests that arrived, in their order.
    pub received: RefCell<Vec<ReceivedRequest>>,
    /// Connections that callers closed while their request was answered.
    pub disconnects: Cell<u32>,
}

impl ScriptedServer {
    /// Makes a server that answers as `answer` tells.
    pub fn new(script: Script) -> Rc<Self> {
        Rc::new(Self {
            script,
            received: RefCell::default(),
            disconnects: Cell::new(0),
        })
    }

    /// Serves until the task is dropped.
    pub async fn serve(
        self: Rc<Self>,
        listener: async_net::TcpListener,
        executor: Rc<smol::LocalExecutor<'static>>,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            let serving = async move {
                let mut conn = conn::Conn::new(stream);
                while let Ok(true) = server.serve_request(&mut conn).await {}
            };
            executor.spawn(serving).detach();
        }
    }

    async fn serve_request(&self, conn: &mut conn::Conn) -> Result<bool, fault::Fault> {
        let Some(head) = head::read_request(conn, MAX_REQUEST_BYTES).await? else {
            return Ok(false);
        };
        let framing = body::of_request(&head.headers)?;
        let body = body::Body::new(framing)
            .read_all(conn, MAX_REQUEST_BYTES)
            .await?;
        let request = ReceivedRequest { head, body };
        let steps = (self.script)(&request);
        self.received.borrow_mut().push(request);
        let closed = conn::closed(conn.socket());
        let sending = async {
            let kept = send_steps(conn, steps).await;
            Some(kept)
        };
        let gone = async {
            closed.await;
            None
        };
        match smol::future::or(sending, gone).await {
            Some(kept) => kept,
            None => {
                self.disconnects.set(self.disconnects.get() + 1);
                Ok(false)
            }
        }
    }
}

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

/// A signed answer with a length.
pub fn signed_response(request: &ReceivedRequest, status: u16, body: &str) -> Vec<Step> {
    let len = body.len();
    let bytes = format!(
        "{}Content-Length: {len}\r\n\r\n{body}",
        signed_head(request, status)
    );
    vec![Step::Send(bytes.into_bytes())]
}

/// A signed stream of events with these ids, `pause` apart, with its end.
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

/// Says that a request was not run.
pub fn not_run_response() -> Vec<Step> {
    let bytes = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    vec![Step::Send(bytes.to_vec())]
}

fn signed_head(request: &ReceivedRequest, status: u16) -> String {
    let id = request
        .head
        .headers
        .text("X-Request-Id")
        .unwrap_or_default();
    format!("HTTP/1.1 {status} X\r\nX-Request-Id: {id}\r\nX-Response-Signature: s\r\n")
}
