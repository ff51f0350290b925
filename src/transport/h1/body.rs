//! Bodies: how their end is marked, and reading them piece by piece.

use crate::transport::h1::{conn, fault, head};

/// Most bytes of a chunk's size line or of trailers; both are a few bytes in practice.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// By an empty chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

/// A body that is being read.
#[derive(Debug)]
pub struct Body {
    framing: Framing,
    chunk: Chunk,
    done: bool,
}

fn length(headers: &head::Headers) -> Result<Option<u64>, fault::Fault> {
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

/// Whether the body is chunked; an error for any other coding or one beside a length.
fn chunked(headers: &head::Headers) -> Result<bool, fault::Fault> {
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

/// Framing of a request's body.
///
/// # Errors
///
/// [`fault::Fault::Malformed`] when two readers could disagree on the end.
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
    if chunked(headers)? {
        return Ok(Framing::Chunked);
    }
    Ok(Framing::Length(length(headers)?.unwrap_or(0)))
}

/// Framing of an answer's body.
///
/// # Errors
///
/// [`fault::Fault::Malformed`] when two readers could disagree on the end.
pub fn answer_framing(answer: &head::AnswerHead, method: &str) -> Result<Framing, fault::Fault> {
    if method == "HEAD" || answer.status == 204 || answer.status == 304 {
        return Ok(Framing::Length(0));
    }
    if chunked(&answer.headers)? {
        return Ok(Framing::Chunked);
    }
    Ok(match length(&answer.headers)? {
        Some(len) => Framing::Length(len),
        None => Framing::Close,
    })
}

impl Body {
    /// Begins a body.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            chunk: Chunk::Size,
            done: framing == Framing::Length(0),
        }
    }

    /// Next bytes; `None` once the body is whole.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::ClosedMidMessage`] when the connection ends before the body does.
    pub async fn next(&mut self, conn: &mut conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
        loop {
            if self.done {
                return Ok(None);
            }
            if let Some(piece) = self.take(conn)? {
                return Ok(Some(piece));
            }
            if self.done {
                return Ok(None);
            }
            if !conn.fill().await? {
                return match self.framing {
                    Framing::Close => {
                        self.done = true;
                        Ok(None)
                    }
                    _ => Err(fault::Fault::ClosedMidMessage),
                };
            }
        }
    }

    /// Reads all that is left, up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`fault::Fault::TooLarge`] beyond `max_bytes`.
    pub async fn read_all(
        &mut self,
        conn: &mut conn::Conn,
        max_bytes: usize,
    ) -> Result<Vec<u8>, fault::Fault> {
        if matches!(self.framing, Framing::Length(len) if len > max_bytes as u64) {
            return Err(fault::Fault::TooLarge("body"));
        }
        let mut whole = Vec::new();
        while let Some(piece) = self.next(conn).await? {
            whole.extend_from_slice(&piece);
            if whole.len() > max_bytes {
                return Err(fault::Fault::TooLarge("body"));
            }
        }
        Ok(whole)
    }

    /// Bytes of the body among those that the connection has read already.
    fn take(&mut self, conn: &mut conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
        match self.framing {
            Framing::Close => Ok(take_up_to(conn, u64::MAX)),
            Framing::Length(left) => {
                let piece = take_up_to(conn, left);
                let left = left - piece.as_ref().map_or(0, |piece| piece.len() as u64);
                self.framing = Framing::Length(left);
                self.done = left == 0;
                Ok(piece)
            }
            Framing::Chunked => self.take_chunk(conn),
        }
    }

    fn take_chunk(&mut self, conn: &mut conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
        loop {
            match self.chunk {
                Chunk::Size => {
                    let parsed = httparse::parse_chunk_size(conn.unread());
                    let parsed = parsed.map_err(|_| fault::Fault::Malformed("chunk size"))?;
                    let httparse::Status::Complete((used, size)) = parsed else {
                        return waiting_for_line(conn);
                    };
                    conn.consume(used);
                    self.chunk = match size {
                        0 => Chunk::Trailers,
                        size => Chunk::Data(size),
                    };
                }
                Chunk::Data(left) => {
                    let Some(piece) = take_up_to(conn, left) else {
                        return Ok(None);
                    };
                    self.chunk = match left - piece.len() as u64 {
                        0 => Chunk::DataEnd,
                        left => Chunk::Data(left),
                    };
                    return Ok(Some(piece));
                }
                Chunk::DataEnd => match conn.unread() {
                    [b'\r', b'\n', ..] => {
                        conn.consume(2);
                        self.chunk = Chunk::Size;
                    }
                    [] | [b'\r'] => return Ok(None),
                    _ => return Err(fault::Fault::Malformed("end of a chunk")),
                },
                Chunk::Trailers => {
                    let mut headers = [httparse::EMPTY_HEADER; 16];
                    let parsed = httparse::parse_headers(conn.unread(), &mut headers);
                    let parsed = parsed.map_err(|_| fault::Fault::Malformed("trailers"))?;
                    let httparse::Status::Complete((used, _)) = parsed else {
                        return waiting_for_line(conn);
                    };
                    conn.consume(used);
                    self.done = true;
                    return Ok(None);
                }
            }
        }
    }
}

fn waiting_for_line(conn: &conn::Conn) -> Result<Option<Vec<u8>>, fault::Fault> {
    match conn.unread().len() > MAX_LINE_BYTES {
        true => Err(fault::Fault::TooLarge("chunk line")),
        false => Ok(None),
    }
}

fn take_up_to(conn: &mut conn::Conn, most: u64) -> Option<Vec<u8>> {
    let len = usize::try_from(most).unwrap_or(usize::MAX);
    let len = len.min(conn.unread().len());
    if len == 0 {
        return None;
    }
    let piece = conn.unread()[..len].to_vec();
    conn.consume(len);
    Some(piece)
}
