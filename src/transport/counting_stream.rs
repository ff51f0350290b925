//! A stream wrapper that counts the bytes sent and received.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures::{AsyncRead, AsyncWrite};
use metrics::{Counter, counter};

/// Wraps a connection to another member and counts its bytes in `fulmar_link_bytes`.
pub struct CountingStream<S> {
    stream: S,
    received: Counter,
    sent: Counter,
}

impl<S> CountingStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            received: counter!("fulmar_link_bytes", "direction" => "received"),
            sent: counter!("fulmar_link_bytes", "direction" => "sent"),
        }
    }
}

/// Adds the bytes of a finished read or write to a counter.
fn count(counter: &Counter, transferred: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &transferred {
        counter.increment(*bytes as u64);
    }
    transferred
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let transferred = Pin::new(&mut self.stream).poll_read(cx, buf);
        count(&self.received, transferred)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let transferred = Pin::new(&mut self.stream).poll_write(cx, buf);
        count(&self.sent, transferred)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
