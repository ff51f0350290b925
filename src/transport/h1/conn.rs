//! A TCP connection with a read buffer.

use std::{net, sync::Arc, time::Duration};

use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::transport::{h1::fault, traffic};

/// Bytes requested from the socket per read; enough for an event of a stream and for most heads.
const READ_BYTES: usize = 16 * 1024;

/// Reads after which other tasks of the thread get a turn. A peer that sends faster than its bytes
/// are handled would otherwise never let them, nor any time limit, run.
const READS_PER_TURN: u32 = 8;

/// A TCP connection, and the bytes that were read from it but not yet consumed.
pub struct Conn {
    stream: async_net::TcpStream,
    buf: Vec<u8>,
    /// Offset in `buf` of the first byte that is not yet consumed.
    start: usize,
    reads: u32,
    /// Whether the last read emptied the socket, so that another one would find nothing.
    is_drained: bool,
}

impl Conn {
    /// Wraps a connected socket.
    pub fn new(stream: async_net::TcpStream) -> Self {
        let buf = Vec::new();
        Self {
            stream,
            buf,
            start: 0,
            reads: 0,
            is_drained: false,
        }
    }

    /// Has the next read try the socket at once, since bytes have probably arrived since the last one.
    pub fn expect_bytes(&mut self) {
        self.is_drained = false;
    }

    /// Returns the bytes that were read but not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Marks the first `len` unread bytes as consumed.
    pub fn consume(&mut self, len: usize) {
        self.start += len;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
        }
    }

    /// Reads more bytes into the buffer; returns false when the peer has closed its side.
    ///
    /// After a read that emptied the socket it first waits until there is something to read, which saves the
    /// read that would find nothing.
    ///
    /// Not cancel-safe: a future dropped while it waits leaves zero bytes in the buffer.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Io`] when the socket fails.
    pub async fn fill(&mut self) -> Result<bool, fault::Fault> {
        self.reads = self.reads.wrapping_add(1);
        if self.reads.is_multiple_of(READS_PER_TURN) {
            smol::future::yield_now().await;
        }
        if self.is_drained {
            let socket: Arc<smol::Async<net::TcpStream>> = self.stream.clone().into();
            socket.readable().await?;
        }
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        traffic::record_received(count);
        self.buf.truncate(len + count);
        self.is_drained = count < READ_BYTES;
        if self.buf.is_empty() {
            self.buf.shrink_to(0);
        }
        Ok(read? > 0)
    }

    /// Releases the read buffer if it holds no unread bytes. The next read allocates it again.
    pub fn release_buffer(&mut self) {
        if self.unread().is_empty() {
            self.buf = Vec::new();
            self.start = 0;
        }
    }

    /// Waits until the peer has sent bytes or closed its side, without a read buffer. Returns false when the
    /// socket has failed.
    ///
    /// An idle connection thus holds no buffer, also not the one of its last request.
    pub async fn wait_readable(&mut self) -> bool {
        if !self.unread().is_empty() {
            return true;
        }
        self.release_buffer();
        self.stream.peek(&mut [0]).await.is_ok()
    }

    /// Writes all bytes and calls `progress` after each part that the kernel has taken.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Io`] when the socket fails.
    pub async fn write_in_parts(
        &mut self,
        mut bytes: &[u8],
        progress: impl Fn(),
    ) -> Result<(), fault::Fault> {
        while !bytes.is_empty() {
            match self.stream.write(bytes).await? {
                0 => return Err(std::io::Error::from(std::io::ErrorKind::WriteZero).into()),
                len => {
                    traffic::record_sent(len);
                    bytes = &bytes[len..];
                }
            }
            progress();
        }
        Ok(())
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Io`] when the socket fails.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), fault::Fault> {
        self.write_in_parts(bytes, || ()).await
    }

    /// Returns another handle to the same socket.
    pub fn socket(&self) -> async_net::TcpStream {
        self.stream.clone()
    }

    /// Has the connection reset when its last handle is dropped. Bytes that the peer has not acknowledged
    /// by then are discarded.
    ///
    /// # Errors
    ///
    /// The error of the socket option.
    pub fn reset_on_close(&self) -> std::io::Result<()> {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
    }

    /// Whether the peer is known to have closed its side or reset the connection. Bytes that it
    /// sent before hide the close.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte).now_or_never();
        matches!(peeked, Some(Ok(0) | Err(_)))
    }

    /// Whether the peer has reset the connection. The kernel reports a reset to one call only, after which a read
    /// on any handle to the socket finds the end that a proper close has; but the socket has no peer any more.
    pub fn is_reset(&self) -> bool {
        let socket = socket2::SockRef::from(&self.stream);
        !matches!(socket.take_error(), Ok(None)) || socket.peer_addr().is_err()
    }

    /// Whether an idle connection can be used for another request: the peer has neither sent
    /// surplus bytes nor closed it.
    pub fn is_reusable(&self) -> bool {
        if !self.unread().is_empty() {
            return false;
        }
        let mut byte = [0];
        self.stream.peek(&mut byte).now_or_never().is_none()
    }
}

/// Waits until the peer has closed its side or reset the connection.
///
/// Never returns if the peer sends bytes first.
pub async fn wait_for_close(socket: async_net::TcpStream) {
    let mut byte = [0];
    match socket.peek(&mut byte).await {
        Ok(0) | Err(_) => (),
        // Bytes of a pipelined request stay unread, so `peek` cannot see a close after them.
        Ok(_) => std::future::pending().await,
    }
}
