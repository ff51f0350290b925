//! Bodies of HTTP messages: their framing, and reading them in pieces.

use crate::{
    coordination::{limits::body_pace, memory::growth},
    transport::h1::{conn, fault, head},
};

/// Limit on the size of a chunk's size line and of the trailers; both are a few bytes in practice.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// Chunks after which other tasks of the thread get a turn. One read brings thousands of chunks of one byte, and
/// a crowd that sends such would hold up every other task for the time that it takes to parse them all.
const CHUNKS_PER_TURN: usize = 512;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By a chunk of size zero.
    Chunked,
    /// By the close of the connection.
    Close,
}

impl Framing {
    /// Name in logs and metrics.
    ///
    /// ```
    /// use fulmarproxy::transport::h1::body;
    /// assert_eq!(body::Framing::Chunked.name(), "chunks");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunks",
            Self::Close => "close",
        }
    }
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// The size line of a chunk.
    Size,
    /// Data of a chunk, of which this many bytes are left.
    Data(u64),
    /// The line break after the data of a chunk.
    DataEnd,
    /// The trailers after the last chunk.
    Trailers,
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    /// Framing; `Length` is counted down to the bytes that are still to be read.
    framing: Framing,
    chunk_state: ChunkState,
    done: bool,
    /// Whether the connection is known to have failed, so that its close marks no end.
    has_failed: bool,
    /// Bytes of chunk framing and of content so far; counted only for chunked bodies.
    framing_bytes: u64,
    content_bytes: u64,
}

/// What is needed to continue after [`Body::copy_buffered`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Needed {
    /// Nothing: the body is complete.
    Nothing,
    /// More bytes of the connection.
    Bytes,
    /// More capacity of the buffer.
    Capacity,
    /// A turn of the other tasks of the thread.
    Turn,
}

/// Returns the value of Content-Length; an error when it is not a single plain number.
fn content_length(headers: &head::Headers) -> Result<Option<u64>, fault::Fault> {
    let mut values = headers.all("Content-Length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits);
    let number = text.and_then(|text| text.parse().ok());
    match (number, values.next()) {
        (Some(number), None) => Ok(Some(number)),
        _ => Err(fault::Fault::Malformed("content length")),
    }
}

/// Whether the body is chunked; an error for any other transfer coding, and for Transfer-Encoding
/// together with Content-Length.
fn is_chunked(headers: &head::Headers) -> Result<bool, fault::Fault> {
    let mut values = headers.all("Transfer-Encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    let known = value.trim_ascii().eq_ignore_ascii_case(b"chunked") && values.next().is_none();
    match known && headers.all("Content-Length").next().is_none() {
        true => Ok(true),
        false => Err(fault::Fault::Malformed("transfer encoding")),
    }
}

/// Returns the framing of a request's body.
///
/// # Errors
///
/// [`fault::Fault::Malformed`] when two HTTP implementations could disagree on where the body ends.
///
/// ```
/// use fulmarproxy::transport::h1::{body, head};
/// let mut headers = head::Headers::default();
/// headers.push("Content-Length", b"3");
/// assert_eq!(body::request_framing(&headers).unwrap(), body::Framing::Length(3));
/// headers.push("Transfer-Encoding", b"chunked");
/// assert!(body::request_framing(&headers).is_err());
/// ```
pub fn request_framing(headers: &head::Headers) -> Result<Framing, fault::Fault> {
    if is_chunked(headers)? {
        return Ok(Framing::Chunked);
    }
    Ok(Framing::Length(content_length(headers)?.unwrap_or(0)))
}

/// Returns the framing of the body of a response to a request with this method.
///
/// # Errors
///
/// [`fault::Fault::Malformed`] when two HTTP implementations could disagree on where the body ends.
pub fn response_framing(
    response: &head::ResponseHead,
    method: &str,
) -> Result<Framing, fault::Fault> {
    if method == "HEAD" || response.status == 204 || response.status == 304 {
        return Ok(Framing::Length(0));
    }
    if is_chunked(&response.headers)? {
        return Ok(Framing::Chunked);
    }
    Ok(match content_length(&response.headers)? {
        Some(len) => Framing::Length(len),
        None => Framing::Close,
    })
}

impl Body {
    /// Starts to read a body.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            chunk_state: ChunkState::Size,
            done: framing == Framing::Length(0),
            has_failed: false,
            framing_bytes: 0,
            content_bytes: 0,
        }
    }

    /// Records that the connection has failed for another call. A body that would end with it is cut off then.
    pub fn record_failure(&mut self) {
        self.has_failed = true;
    }

    /// Bytes of an announced length that have not been read; `None` without one.
    pub fn missing(&self) -> Option<u64> {
        match self.framing {
            Framing::Length(left) => Some(left),
            Framing::Chunked | Framing::Close => None,
        }
    }

    /// Returns the next bytes; `None` after the end of the body.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::ClosedMidMessage`] when the connection is closed before the body ends.
    pub async fn next(&mut self, conn: &mut conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
        loop {
            if self.done {
                return Ok(None);
            }
            if let Some(piece) = self.take_buffered(conn)? {
                return Ok(Some(piece));
            }
            if self.done {
                return Ok(None);
            }
            self.fill(conn).await?;
        }
    }

    /// Returns bytes that have been read from the socket already; `None` when there are none.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::Malformed`] when they do not parse.
    pub fn next_buffered(
        &mut self,
        conn: &mut conn::Conn,
    ) -> Result<Option<Vec<u8>>, fault::Fault> {
        match self.done {
            true => Ok(None),
            false => self.take_buffered(conn),
        }
    }

    /// Whether the end of the body has been read.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Reads the rest of the body, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::TooLarge`] when it exceeds `max_bytes`.
    pub async fn read_all(
        &mut self,
        conn: &mut conn::Conn,
        max_bytes: usize,
    ) -> Result<Vec<u8>, fault::Fault> {
        let fill = async |body: &mut Self, conn: &mut conn::Conn| body.fill(conn).await;
        self.read_all_by(conn, max_bytes, fill).await
    }

    /// As [`Self::read_all`]; `fill` reads more bytes of the connection, and ends the body by an error.
    ///
    /// # Errors
    ///
    /// As for [`Self::read_all`], and those of `fill`.
    pub async fn read_all_by(
        &mut self,
        conn: &mut conn::Conn,
        max_bytes: usize,
        mut fill: impl AsyncFnMut(&mut Self, &mut conn::Conn) -> Result<(), fault::Fault>,
    ) -> Result<Vec<u8>, fault::Fault> {
        let mut whole = Vec::new();
        let max = self.max_capacity(max_bytes)?;
        loop {
            match self.copy_buffered(conn, &mut whole, max_bytes)? {
                Needed::Nothing => return Ok(whole),
                Needed::Capacity => {
                    let capacity = growth::capacity(whole.capacity(), whole.len() + 1, max);
                    whole.reserve_exact(capacity - whole.len());
                }
                Needed::Bytes => fill(self, conn).await?,
                Needed::Turn => smol::future::yield_now().await,
            }
        }
    }

    /// Largest capacity that a buffer for the body needs: its announced length, or one byte more than
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::TooLarge`] when the announced length exceeds `max_bytes`.
    pub fn max_capacity(&self, max_bytes: usize) -> Result<usize, fault::Fault> {
        match self.missing().map(usize::try_from) {
            Some(Ok(len)) if len <= max_bytes => Ok(len),
            Some(_) => Err(fault::Fault::TooLarge("body")),
            None => Ok(max_bytes.saturating_add(1)),
        }
    }

    /// Moves bytes of the body from the connection's read buffer to the end of `whole`, without a growth of its
    /// capacity.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::TooLarge`] when `whole` exceeds `max_bytes`.
    pub fn copy_buffered(
        &mut self,
        conn: &mut conn::Conn,
        whole: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Needed, fault::Fault> {
        let mut pieces = 0;
        while !self.done {
            if pieces >= CHUNKS_PER_TURN {
                return Ok(Needed::Turn);
            }
            pieces += 1;
            let available = self.available(conn)?;
            if available == 0 {
                break;
            }
            let room = whole.capacity() - whole.len();
            if room == 0 {
                return Ok(Needed::Capacity);
            }
            let len = available.min(room);
            whole.extend_from_slice(&conn.unread()[..len]);
            self.consume(conn, len);
            if whole.len() > max_bytes {
                return Err(fault::Fault::TooLarge("body"));
            }
        }
        Ok(match self.done {
            true => Needed::Nothing,
            false => Needed::Bytes,
        })
    }

    /// Reads more bytes of the connection.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::ClosedMidMessage`] when the connection is closed before the body ends.
    pub async fn fill(&mut self, conn: &mut conn::Conn) -> Result<(), fault::Fault> {
        if conn.fill().await? {
            return Ok(());
        }
        match self.framing {
            Framing::Close if !self.has_failed && !conn.is_reset() => {
                self.done = true;
                Ok(())
            }
            _ => Err(fault::Fault::ClosedMidMessage),
        }
    }

    /// Takes bytes of the body from the connection's read buffer; `None` when it holds none.
    fn take_buffered(&mut self, conn: &mut conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
        let len = self.available(conn)?;
        if len == 0 {
            return Ok(None);
        }
        let piece = conn.unread()[..len].to_vec();
        self.consume(conn, len);
        Ok(Some(piece))
    }

    /// Number of bytes of the body at the start of the connection's read buffer, after the framing before them.
    /// 0 asks for more bytes, or marks the end of the body if `done` is set.
    fn available(&mut self, conn: &mut conn::Conn) -> Result<usize, fault::Fault> {
        let left = match self.framing {
            Framing::Close => u64::MAX,
            Framing::Length(left) => left,
            Framing::Chunked => self.read_framing(conn)?,
        };
        let left = usize::try_from(left).unwrap_or(usize::MAX);
        Ok(left.min(conn.unread().len()))
    }

    /// Records that `len` bytes of the body were taken from the connection's read buffer.
    fn consume(&mut self, conn: &mut conn::Conn, len: usize) {
        conn.consume(len);
        let len = len as u64;
        match (&mut self.framing, &mut self.chunk_state) {
            (Framing::Length(left), _) => {
                *left -= len;
                self.done = *left == 0;
            }
            (Framing::Chunked, ChunkState::Data(left)) => {
                *left -= len;
                self.content_bytes += len;
                if *left == 0 {
                    self.chunk_state = ChunkState::DataEnd;
                }
            }
            _ => (),
        }
    }

    /// Records that `len` bytes of framing were read.
    fn consume_framing(&mut self, conn: &mut conn::Conn, len: usize) -> Result<(), fault::Fault> {
        conn.consume(len);
        self.framing_bytes += len as u64;
        match body_pace::is_mostly_framing(self.framing_bytes, self.content_bytes) {
            true => Err(fault::Fault::TooLarge("chunk framing")),
            false => Ok(()),
        }
    }

    /// Parses size lines and trailers; returns the bytes that are left of the current chunk. 0 asks for more
    /// bytes, or marks the end of the body if `done` is set.
    fn read_framing(&mut self, conn: &mut conn::Conn) -> Result<u64, fault::Fault> {
        loop {
            match self.chunk_state {
                ChunkState::Size => {
                    let parsed = httparse::parse_chunk_size(conn.unread());
                    let parsed = parsed.map_err(|_| fault::Fault::Malformed("chunk size"))?;
                    let httparse::Status::Complete((used, size)) = parsed else {
                        return incomplete_line(conn);
                    };
                    self.consume_framing(conn, used)?;
                    self.chunk_state = match size {
                        0 => ChunkState::Trailers,
                        size => ChunkState::Data(size),
                    };
                }
                ChunkState::Data(left) => return Ok(left),
                ChunkState::DataEnd => match conn.unread() {
                    [b'\r', b'\n', ..] => {
                        self.consume_framing(conn, 2)?;
                        self.chunk_state = ChunkState::Size;
                    }
                    [] | [b'\r'] => return Ok(0),
                    _ => return Err(fault::Fault::Malformed("end of a chunk")),
                },
                ChunkState::Trailers => {
                    let mut headers = [httparse::EMPTY_HEADER; 16];
                    let parsed = httparse::parse_headers(conn.unread(), &mut headers);
                    let parsed = parsed.map_err(|_| fault::Fault::Malformed("trailers"))?;
                    let httparse::Status::Complete((used, _)) = parsed else {
                        return incomplete_line(conn);
                    };
                    conn.consume(used);
                    self.done = true;
                    return Ok(0);
                }
            }
        }
    }
}

/// The result for a size line or trailers that are incomplete: 0 asks for more bytes, unless the
/// limit is exceeded.
fn incomplete_line(conn: &conn::Conn) -> Result<u64, fault::Fault> {
    match conn.unread().len() > MAX_LINE_BYTES {
        true => Err(fault::Fault::TooLarge("chunk line")),
        false => Ok(0),
    }
}
