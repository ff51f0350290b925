//! A connection with the bytes that were read and not yet used.

use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::transport::h1::fault;

/// Bytes asked of the socket at once; a stream's events and most heads fit.
const READ_BYTES: usize = 16 * 1024;

/// A connection and its unread bytes.
pub struct Conn {
    stream: async_net::TcpStream,
    buf: Vec<u8>,
    start: usize,
}

impl Conn {
    /// Takes a connected socket.
    pub fn new(stream: async_net::TcpStream) -> Self {
        let buf = Vec::new();
        Self {
            stream,
            buf,
            start: 0,
        }
    }

    /// Bytes that were read and not yet used.
    pub fn unread(&self) -> &[u8] {
        &self.buf[self.start..]
    }

    /// Marks bytes as used.
    pub fn consume(&mut self, len: usize) {
        self.start += len;
        if self.start >= self.buf.len() {
            self.buf.clear();
            self.start = 0;
        }
    }

    /// Reads more bytes; false when the peer has closed its side.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Io`] when the socket fails.
    pub async fn fill(&mut self) -> Result<bool, fault::Fault> {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.start = 0;
        }
        let len = self.buf.len();
        self.buf.resize(len + READ_BYTES, 0);
        let read = self.stream.read(&mut self.buf[len..]).await;
        let count = *read.as_ref().unwrap_or(&0);
        self.buf.truncate(len + count);
        if self.buf.is_empty() {
            self.buf.shrink_to(0);
        }
        Ok(read? > 0)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Io`] when the socket fails.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), fault::Fault> {
        Ok(self.stream.write_all(bytes).await?)
    }

    /// Another handle of the same socket.
    pub fn socket(&self) -> async_net::TcpStream {
        self.stream.clone()
    }

    /// Whether an idle connection still is: no surplus bytes, not closed.
    pub fn is_reusable(&self) -> bool {
        if !self.unread().is_empty() {
            return false;
        }
        let mut byte = [0];
        self.stream.peek(&mut byte).now_or_never().is_none()
    }
}

/// Waits until the peer has closed its side or reset the connection.
pub async fn wait_for_close(socket: async_net::TcpStream) {
    let mut byte = [0];
    match socket.peek(&mut byte).await {
        Ok(0) | Err(_) => (),
        // Bytes of a next request hide a later close.
        Ok(_) => std::future::pending().await,
    }
}
