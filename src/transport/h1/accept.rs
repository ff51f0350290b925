//! Accepts TCP connections and retries after a failure.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use crate::transport::timers;

/// Delay after a failed accept; without it, a process that is out of file descriptors would retry
/// in a busy loop.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connections that wait to be accepted; the kernel refuses further ones.
const BACKLOG: i32 = 1024;

/// Binds a listener for connections of which each holds at most `buffer` bytes, as the kernel counts them, in
/// each of its kernel buffers. Without a bound the kernel lets them grow to several megabytes.
///
/// # Errors
///
/// The error of the socket.
///
/// ```
/// use fulmarproxy::transport::h1::accept;
/// let listener = accept::bind("127.0.0.1:0".parse().unwrap(), 32 * 1024).unwrap();
/// assert_ne!(listener.local_addr().unwrap().port(), 0);
/// ```
pub fn bind(address: SocketAddr, buffer: usize) -> std::io::Result<async_net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    // Connections inherit the sizes, and announce them to the peer when they are opened.
    socket.set_recv_buffer_size(buffer)?;
    socket.set_send_buffer_size(buffer)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener =
        smol::Async::<std::net::TcpListener>::try_from(std::net::TcpListener::from(socket))?;
    Ok(listener.into())
}

/// Bounds the number of connections of a listener.
#[derive(Clone, Debug)]
pub struct Slots {
    open: Rc<Cell<usize>>,
    max: usize,
}

/// A slot that is in use until it is dropped.
#[derive(Debug)]
pub struct Slot(Rc<Cell<usize>>);

impl Slots {
    /// Creates `max` free slots.
    pub fn new(max: usize) -> Self {
        let open = Rc::new(Cell::new(0));
        Self { open, max }
    }

    /// Takes a slot; `None` when all are in use.
    ///
    /// ```
    /// let slots = fulmarproxy::transport::h1::accept::Slots::new(1);
    /// let slot = slots.take();
    /// assert!(slot.is_some() && slots.take().is_none());
    /// drop(slot);
    /// assert!(slots.take().is_some());
    /// ```
    pub fn take(&self) -> Option<Slot> {
        if self.open.get() >= self.max {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the next connection of a listener. A failed accept is logged with the name of the
/// `part` that listens, and retried after a delay.
///
/// ```
/// use fulmarproxy::transport::{h1::accept, timers};
/// smol::block_on(async {
///     let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
///     let address = listener.local_addr().unwrap();
///     let _caller = async_net::TcpStream::connect(address).await.unwrap();
///     accept::next(&listener, "front", &timers::Timers::default()).await;
/// });
/// ```
pub async fn next(
    listener: &async_net::TcpListener,
    part: &str,
    timers: &timers::Timers,
) -> async_net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(err) => {
                tracing::warn!(part, %err, "accept: cannot accept a connection; retrying");
                timers.sleep(RETRY_DELAY).await;
            }
        }
    }
}
