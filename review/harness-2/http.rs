//! HTTP/1.1 over blocking sockets: what stand-ins and clients need of it.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A connection with the bytes that were read from it but not used yet.
pub struct Conn {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

/// Head and body of a message. `line` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was seen.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The words of the first line.
    pub fn word(&self, number: usize) -> &str {
        self.line.split(' ').nth(number).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            unread: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 * 1024];
        let len = self.stream.read(&mut buf)?;
        self.unread.extend_from_slice(&buf[..len]);
        Ok(len)
    }

    /// Reads a head; `None` when the peer closed before it was complete.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let len = loop {
            if let Some(at) = self.unread.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.unread.drain(..len).collect();
        let text = String::from_utf8_lossy(&head);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_owned(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            line,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    /// Reads the body of a message of which the head was read. `piece` is called with each part.
    pub fn read_body(
        &mut self,
        message: &mut Message,
        is_response: bool,
        mut piece: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let chunked = message
            .header("Transfer-Encoding")
            .eq_ignore_ascii_case("chunked");
        let length = message.header("Content-Length").parse::<usize>().ok();
        if chunked {
            loop {
                let end = loop {
                    if let Some(at) = self.unread.windows(2).position(|it| it == b"\r\n") {
                        break at;
                    }
                    if self.fill()? == 0 {
                        return Ok(());
                    }
                };
                let size = String::from_utf8_lossy(&self.unread[..end])
                    .trim()
                    .to_owned();
                let size = usize::from_str_radix(&size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                while self.unread.len() < end + 2 + size + 2 {
                    if self.fill()? == 0 {
                        return Ok(());
                    }
                }
                let chunk: Vec<u8> = self.unread.drain(..end + 2 + size + 2).collect();
                let data = &chunk[end + 2..end + 2 + size];
                if size == 0 {
                    message.is_whole = true;
                    return Ok(());
                }
                message.body.extend_from_slice(data);
                piece(data);
            }
        }
        if let Some(length) = length {
            while self.unread.len() < length {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            message.body = self.unread.drain(..length).collect();
            piece(&message.body);
            message.is_whole = true;
            return Ok(());
        }
        if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.unread);
            piece(&message.body);
        }
        message.is_whole = true;
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {len}\r\n\r\n{body}").into_bytes()
}

/// A listener and its connections.
pub struct Server {
    listener: TcpListener,
    conns: Mutex<HashMap<u64, TcpStream>>,
}

extern "C" {
    fn shutdown(fd: i32, how: i32) -> i32;
}

impl Server {
    /// Closes the listener and all connections, as the kernel does when the process is killed.
    pub fn close(&self) {
        const BOTH: i32 = 2;
        unsafe { shutdown(self.listener.as_raw_fd(), BOTH) };
        for conn in self.conns.lock().unwrap().values() {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

/// Serves each connection of a listener in a thread of its own. `handle` answers one request and returns
/// whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&mut Conn, Message) -> bool + Send + Sync + 'static,
) -> Arc<Server> {
    let server = Arc::new(Server {
        listener,
        conns: Mutex::default(),
    });
    let handle = Arc::new(handle);
    let accepting = server.clone();
    thread::spawn(move || {
        for (number, stream) in (0..).zip(accepting.listener.incoming()) {
            let Ok(stream) = stream else { return };
            if let Ok(other) = stream.try_clone() {
                accepting.conns.lock().unwrap().insert(number, other);
            }
            let (server, handle) = (accepting.clone(), handle.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(mut req)) = conn.read_head() {
                    let read = conn.read_body(&mut req, false, |_| ());
                    if read.is_err() || !req.is_whole || !handle(&mut conn, req) {
                        break;
                    }
                }
                let _ = conn.stream.shutdown(Shutdown::Both);
                server.conns.lock().unwrap().remove(&number);
            });
        }
    });
    server
}

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 when there was none.
    pub status: u16,
    pub message: Message,
    /// Why there is no complete answer; empty when it is complete.
    pub cut: String,
    pub took: Duration,
}

/// Sends a request on a new connection and reads the answer. The client closes the connection when nothing
/// has arrived for `patience`, or when `deadline` has passed.
pub fn send(address: SocketAddr, request: &[u8], patience: Duration, deadline: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer {
        status: 0,
        message: Message::default(),
        cut: String::new(),
        took: Duration::ZERO,
    };
    let outcome = (|| -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        let mut conn = Conn::new(stream);
        let left = deadline.saturating_sub(began.elapsed()).min(patience);
        conn.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        conn.write(request)?;
        let Some(mut message) = conn.read_head()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        answer.status = message.status();
        let read = conn.read_body(&mut message, true, |_| ());
        let is_whole = message.is_whole;
        answer.message = message;
        read?;
        match is_whole {
            true => Ok(()),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    })();
    if let Err(err) = outcome {
        answer.cut = err.kind().to_string();
    }
    answer.took = began.elapsed();
    answer
}
