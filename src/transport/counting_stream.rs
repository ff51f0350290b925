//! A stream that counts the bytes that pass through it.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use futures::{AsyncRead, AsyncWrite};
use metrics::{Counter, counter};

/// Counts the bytes of a connection to another member.
pub struct CountingStream<S> {
    stream: S,
    received: Counter,
    sent: Counter,
}

impl<S> CountingStream<S> {
    /// Counts the bytes of `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            received: counter!("fulmar_link_bytes", "direction" => "received"),
            sent: counter!("fulmar_link_bytes", "direction" => "sent"),
        }
    }
}

fn count(counter: &Counter, moved: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &moved {
        counter.increment(*bytes as u64);
    }
    moved
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let moved = Pin::new(&mut self.stream).poll_read(cx, buf);
        count(&self.received, moved)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let moved = Pin::new(&mut self.stream).poll_write(cx, buf);
        count(&self.sent, moved)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
