//! Connections of callers: the table that bounds their number, and the stream of each.

use std::{
    collections::HashMap,
    io,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, future::FutureExt};
use metrics::{counter, gauge};

use crate::{
    coordination::{
        limits::callers::{Admission, Callers, State},
        log_sampling,
    },
    router::memory::Signal,
    transport::timers,
};

/// Time within which a caller must take further bytes of its answer.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which the rest of a refused message is read at most, and bytes of it: closing a socket with unread
/// bytes resets the connection, and the caller could lose the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);
const LINGER_BYTES: usize = 256 * 1024;

struct Table {
    callers: Callers,
    /// Set when a connection is to be closed, by its id.
    closes: HashMap<u64, Arc<Signal>>,
    log_quota: log_sampling::FailureQuota,
}

/// Open connections of callers.
pub struct CallerConns {
    table: Mutex<Table>,
    timers: timers::Timers,
}

/// Entry of one connection, until its value is dropped.
pub struct Slot {
    conns: Arc<CallerConns>,
    id: u64,
    /// Set when the connection is to be closed.
    pub close: Arc<Signal>,
    /// Set when the rest of the message must be read before the connection is closed.
    pub linger: Signal,
    is_idle: AtomicBool,
}

impl CallerConns {
    /// Creates a table for `max` connections.
    pub fn new(max: usize, timers: timers::Timers) -> Arc<Self> {
        Arc::new(Self {
            table: Mutex::new(Table {
                callers: Callers::new(max),
                closes: HashMap::new(),
                log_quota: log_sampling::FailureQuota::default(),
            }),
            timers,
        })
    }

    /// Enters a new connection; `None` when it must be refused. Another connection may be closed in its place.
    pub fn enter(self: &Arc<Self>) -> Option<Arc<Slot>> {
        let now = self.timers.now();
        let mut table = self.table.lock().unwrap();
        let (id, closed) = match table.callers.admit(now) {
            Admission::Accepted(id) => (Some(id), None),
            Admission::InPlaceOf(id, chosen, state) => {
                if let Some(close) = table.closes.remove(&chosen) {
                    close.set();
                }
                (Some(id), Some(state.name()))
            }
            Admission::Refused => (None, Some("new")),
        };
        if let Some(state) = closed {
            counter!("fulmar_callers_closed", "state" => state).increment(1);
            if table.log_quota.take(now) {
                let open = table.callers.count();
                tracing::info!(state, open, "router: too many connections, closed one");
            }
        }
        let id = id?;
        let close = Arc::new(Signal::default());
        table.closes.insert(id, close.clone());
        Some(Arc::new(Slot {
            conns: self.clone(),
            id,
            close,
            linger: Signal::default(),
            is_idle: AtomicBool::new(true),
        }))
    }

    /// Updates the gauge of the table.
    pub fn update_gauges(&self) {
        gauge!("fulmar_callers").set(self.table.lock().unwrap().callers.count() as f64);
    }
}

impl Slot {
    /// Records the state of the connection.
    pub fn set_state(&self, state: State) {
        self.is_idle.store(state == State::Idle, Ordering::SeqCst);
        let now = self.conns.timers.now();
        let mut table = self.conns.table.lock().unwrap();
        table.callers.set_state(self.id, state, now);
    }
}

impl Slot {
    /// Whether the first byte of a request is awaited.
    fn is_idle(&self) -> bool {
        self.is_idle.load(Ordering::SeqCst)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut table = self.conns.table.lock().unwrap();
        table.callers.close(self.id);
        table.closes.remove(&self.id);
    }
}

/// Stream of a connection. It fails when the connection is to be closed, or when the caller stops to take its answer.
pub struct CallerStream {
    stream: async_net::TcpStream,
    slot: Arc<Slot>,
    closed: event_listener::EventListener,
    stalled: Option<smol::Timer>,
}

impl CallerStream {
    /// Wraps a connection that was accepted.
    pub fn new(stream: async_net::TcpStream, slot: Arc<Slot>) -> Self {
        Self {
            stream,
            closed: slot.close.listen(),
            slot,
            stalled: None,
        }
    }

    /// Fails when the connection is to be closed; otherwise the task is woken at that time.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        if self.slot.close.is_set() || self.closed.poll_unpin(cx).is_ready() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_closed(cx)?;
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(len)) if len > 0) && self.slot.is_idle() {
            self.slot.set_state(State::Head);
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_closed(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let stalled = self
            .stalled
            .get_or_insert_with(|| smol::Timer::after(STALL_TIMEOUT));
        if stalled.poll_unpin(cx).is_ready() {
            counter!("fulmar_callers_closed", "state" => "stalled").increment(1);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl trillium::Transport for CallerStream {}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.slot.linger.is_set() || self.slot.close.is_set() {
            return;
        }
        let (stream, slot) = (self.stream.clone(), self.slot.clone());
        smol::spawn(async move {
            let timers = slot.conns.timers.clone();
            let discarding = discard(stream, &slot.close);
            timers.within(LINGER_TIMEOUT, discarding).await;
        })
        .detach();
    }
}

/// Reads and drops bytes until the caller closes its connection, up to a bound, or until it must be closed.
async fn discard(mut stream: async_net::TcpStream, close: &Signal) {
    if let Err(err) = stream.shutdown(std::net::Shutdown::Write) {
        tracing::debug!(%err, "router: a refused connection was closed before");
        return;
    }
    let reading = async {
        let mut buf = vec![0; 8 * 1024];
        let mut total = 0;
        while total < LINGER_BYTES {
            match stream.read(&mut buf).await {
                Ok(read) if read > 0 => total += read,
                _ => return,
            }
        }
    };
    smol::future::or(reading, close.wait()).await;
}
