//! HTTP/1.1 messages over a TCP connection, as the stand-ins need them.

use std::{
    io::{Read, Result, Write},
    net::TcpStream,
};

/// A connection and the bytes that were read from it but not yet used.
pub struct Conn {
    /// The socket.
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// The head of a message: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request or status line.
    pub line: String,
    /// Names and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header; empty when there is none.
    pub fn get(&self, name: &str) -> &str {
        let mut found = self.headers.iter();
        let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The status of a response; 0 when there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// How a response ended, as its reader saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its own framing says that it is complete.
    Complete,
    /// The connection ended or was silent before that.
    Broken,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<usize> {
        let mut piece = [0; 16384];
        let len = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..len]);
        Ok(len)
    }

    /// Reads the head of a message; `None` when the peer closed the connection first.
    pub fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&bytes);
                let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                let headers = headers.collect();
                return Ok(Some(Head { line, headers }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads up to `len` bytes; fewer when the connection ends.
    pub fn bytes(&mut self, len: usize) -> (Vec<u8>, End) {
        while self.buf.len() < len {
            if !matches!(self.fill(), Ok(1..)) {
                return (std::mem::take(&mut self.buf), End::Broken);
            }
        }
        (self.buf.drain(..len).collect(), End::Complete)
    }

    fn text_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let bytes: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !matches!(self.fill(), Ok(1..)) {
                return None;
            }
        }
    }

    /// Reads the body of a message, as its head frames it. `on_piece` is called with each piece.
    pub fn body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8])) -> (Vec<u8>, End) {
        if !head.get("Transfer-Encoding").eq_ignore_ascii_case("chunked") {
            let len = head.get("Content-Length").parse().unwrap_or(0);
            let (bytes, end) = self.bytes(len);
            on_piece(&bytes);
            return (bytes, end);
        }
        let mut whole = Vec::new();
        loop {
            let size = self.text_line();
            let size = size.and_then(|it| usize::from_str_radix(it.trim(), 16).ok());
            let Some(size) = size else {
                return (whole, End::Broken);
            };
            let (piece, end) = self.bytes(size + 2);
            if end == End::Broken {
                whole.extend_from_slice(&piece);
                return (whole, End::Broken);
            }
            if size == 0 {
                return (whole, End::Complete);
            }
            on_piece(&piece[..size]);
            whole.extend_from_slice(&piece[..size]);
        }
    }
}
