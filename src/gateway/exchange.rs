//! One attempt: a request is sent to one backend server, up to the head of its answer.

use std::{rc::Rc, sync::Arc, time::Duration};

use futures::future;
use metrics::counter;

use crate::{
    gateway::core,
    platform::headers,
    state::{deployment, name, server},
    transport::h1::{body, conn, dial, fault, head},
};

/// Longest wait for a connection; a round trip takes a few milliseconds, and a lost opening
/// packet is sent again only after seconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);

/// Time that an idle connection is kept when the server names none.
const IDLE: Duration = Duration::from_secs(4);

/// Part of the server's own idle limit that is used, so that its close does not cross a request.
const IDLE_PART: f64 = 0.7;

/// What every attempt of a request needs.
pub struct Outgoing {
    /// Id of the caller's attempt.
    pub id: String,
    /// Head as the caller sent it.
    pub head: head::RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// Workspace that pays.
    pub workspace: Option<Arc<deployment::Workspace>>,
    /// Rank at an engine; `None` for plain services.
    pub priority: Option<u8>,
}

/// A server's answer whose head was read.
pub struct Answer {
    /// Server that answers.
    pub server: Arc<server::Server>,
    /// Head.
    pub head: head::AnswerHead,
    /// Body, yet to be read.
    pub body: body::Body,
    /// Connection that the body comes from.
    pub conn: conn::Conn,
    /// Whether the connection may be used again after the body.
    reusable: bool,
    /// Counts the request as running at the server until the answer is dropped.
    _running: Running,
}

/// How an attempt ended before an answer could be passed on.
pub enum Failure {
    /// The request did not run: it was not sent, or the server says so.
    NotRun(String),
    /// It may have run.
    MayHaveRun(String),
}

/// Counts a request as running at a server.
struct Running {
    gw: Rc<core::Gateway>,
    id: name::Name,
}

impl Running {
    fn new(gw: &Rc<core::Gateway>, id: &name::Name) -> Self {
        gw.placing.borrow_mut().begin(id);
        Self {
            gw: gw.clone(),
            id: id.clone(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.gw.placing.borrow_mut().end(&self.id);
    }
}

/// Sends a request to a server and reads the head of its answer.
///
/// # Errors
///
/// [`Failure`] tells whether the request may have run.
pub async fn attempt(
    gw: &Rc<core::Gateway>,
    req: &Outgoing,
    server: &Arc<server::Server>,
    left: Duration,
    last_event: Option<&str>,
) -> Result<Answer, Failure> {
    let running = Running::new(gw, &server.id);
    let (mut conn, fresh) = connection(gw, server).await?;
    let passed = headers::Passed {
        server: &server.id,
        workspace: req.workspace.as_ref().map(|workspace| &*workspace.name),
        left,
        priority: req.priority,
        last_event,
    };
    let bytes = request_bytes(req, &headers::to_server(&req.head.headers, &passed));
    let (sent_whole, answered) = send_and_read(&mut conn, &bytes, &req.id).await;
    let head = answered.map_err(|err| {
        counter!("fulmar_gateway_attempt_failures_total", "reason" => reason(&err)).increment(1);
        Failure::MayHaveRun(format!("{err} on a {} connection", age(fresh)))
    })?;
    let framing = body::answer_framing(&head, &req.head.method)
        .map_err(|err| Failure::MayHaveRun(err.to_string()))?;
    let reusable = sent_whole && head.keeps_alive() && framing != body::Framing::Close;
    Ok(Answer {
        server: server.clone(),
        head,
        body: body::Body::new(framing),
        conn,
        reusable,
        _running: running,
    })
}

fn reason(err: &fault::Fault) -> &'static str {
    match err {
        fault::Fault::Io(_) => "socket",
        fault::Fault::ClosedMidMessage => "closed",
        fault::Fault::Malformed(_) => "malformed",
        fault::Fault::TooLarge(_) => "too_large",
    }
}

fn age(fresh: bool) -> &'static str {
    match fresh {
        true => "new",
        false => "kept",
    }
}

async fn connection(
    gw: &core::Gateway,
    server: &server::Server,
) -> Result<(conn::Conn, bool), Failure> {
    let now = gw.now();
    if let Some(conn) = gw.pool.borrow_mut().take(server.address, now) {
        return Ok((conn, false));
    }
    counter!("fulmar_gateway_connections_total").increment(1);
    match dial::connect(server.address, CONNECT_LIMIT, &gw.timers).await {
        Ok(conn) => Ok((conn, true)),
        Err(err) => {
            counter!("fulmar_gateway_attempt_failures_total", "reason" => "no_connection")
                .increment(1);
            Err(Failure::NotRun(format!("no connection: {err}")))
        }
    }
}

fn request_bytes(req: &Outgoing, headers: &head::Headers) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024 + req.body.len());
    bytes.extend_from_slice(req.head.method.as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(req.head.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    write_headers(&mut bytes, headers);
    if !req.body.is_empty() || !matches!(req.head.method.as_str(), "GET" | "HEAD" | "DELETE") {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", req.body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&req.body);
    bytes
}

/// Writes headers, a line each.
pub fn write_headers(bytes: &mut Vec<u8>, headers: &head::Headers) {
    for header in &headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
}

/// Sends while it reads, since a server may answer before it has read a long body. Returns
/// whether all was sent, and the head of the answer.
async fn send_and_read(
    conn: &mut conn::Conn,
    bytes: &[u8],
    id: &str,
) -> (bool, Result<head::AnswerHead, fault::Fault>) {
    let mut writer = conn::Conn::new(conn.socket());
    let sending = std::pin::pin!(writer.write(bytes));
    let reading = std::pin::pin!(own_answer(conn, id));
    match future::select(sending, reading).await {
        future::Either::Left((Ok(()), reading)) => (true, reading.await),
        // The server may have answered before it closed.
        future::Either::Left((Err(_), reading)) => (false, reading.await),
        future::Either::Right((answer, _)) => (false, answer),
    }
}

/// Reads heads until one belongs to this request; other answers are late ones to older requests.
async fn own_answer(conn: &mut conn::Conn, id: &str) -> Result<head::AnswerHead, fault::Fault> {
    loop {
        let head = head::read_answer(conn).await?;
        match head.headers.text(headers::REQUEST_ID) {
            Some(found) if found != id => {
                counter!("fulmar_gateway_foreign_answers_total").increment(1);
                tracing::warn!(
                    id,
                    found,
                    "exchange: an answer of another request was dropped"
                );
                let framing = body::answer_framing(&head, "GET")?;
                let mut rest = body::Body::new(framing);
                while rest.next(conn).await?.is_some() {}
            }
            _ => return Ok(head),
        }
    }
}

impl Answer {
    /// Next bytes of the body; `None` once it is whole.
    ///
    /// # Errors
    ///
    /// [`fault::Fault`] when it ends early.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, fault::Fault> {
        self.body.next(&mut self.conn).await
    }

    /// Keeps the connection for another request; call it once the body is whole.
    pub fn finish(self, gw: &core::Gateway) {
        if !self.reusable || !self.conn.unread().is_empty() {
            return;
        }
        let idle = headers::keep_alive(&self.head).unwrap_or(IDLE);
        let until = gw.now() + idle.mul_f64(IDLE_PART);
        gw.pool
            .borrow_mut()
            .put(self.server.address, self.conn, until);
    }
}
