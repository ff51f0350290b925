//! A backend server that answers each request as soon as its head has arrived, and reads no body.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// How the server ends a connection after its answer.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// By a reset.
    Reset(Duration),
    /// By a close.
    Close(Duration),
}

/// Starts a server that sends `answer` and ends the connection after the delay.
pub fn start(answer: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve(conn, &answer, end));
        }
    });
    address
}

fn serve(mut conn: TcpStream, answer: &str, end: End) {
    let mut received = Vec::new();
    while !received.windows(4).any(|found| found == b"\r\n\r\n") {
        let mut bytes = [0; 512];
        match conn.read(&mut bytes) {
            Ok(len) if len > 0 => received.extend_from_slice(&bytes[..len]),
            _ => return,
        }
    }
    let _ = conn.write_all(answer.as_bytes());
    match end {
        End::Close(delay) => thread::sleep(delay),
        End::Reset(delay) => {
            thread::sleep(delay);
            let socket = socket2::Socket::from(conn);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}
