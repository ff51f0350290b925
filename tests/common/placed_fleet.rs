//! Gateways and the platform's store as processes of their own.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use super::placed::Placed;

/// A child process that is killed when its value is dropped.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends a request on a new connection and returns the whole response, as far as it arrives.
pub fn call(address: &str, request: &str) -> String {
    let mut conn = TcpStream::connect(address).unwrap();
    conn.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    let mut reader = BufReader::new(conn);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap() == 0 {
            return text;
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
        text.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    if text.to_ascii_lowercase().contains("chunked") {
        // The last chunk ends the response; a broken one ends the connection.
        let mut line = String::new();
        while line != "0\r\n" {
            line.clear();
            if reader.read_line(&mut line).unwrap() == 0 {
                return text;
            }
            text.push_str(&line);
        }
        return text;
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    text.push_str(&String::from_utf8_lossy(&body));
    text
}

/// Writes a key of the stand-in store.
pub fn put(store: &str, key: &str, value: &str) {
    let len = value.len();
    let request =
        format!("POST /put?key={key} HTTP/1.1\r\nHost: s\r\nContent-Length: {len}\r\n\r\n{value}");
    assert!(call(store, &request).contains(" 200 "));
}

/// Starts the stand-in store as a process; returns it with its address.
pub fn start_store() -> (Process, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fulmar-standin"))
        .arg("platform-store")
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    out.read_line(&mut line).unwrap();
    let store = line.trim().trim_start_matches("Listening on ");
    (Process(child), store.trim_end_matches('.').to_owned())
}

/// Starts a gateway and waits until it is ready; returns it with its address for callers.
pub fn start_gateway(vm: &str, store: &str) -> (Placed, String) {
    start_gateway_limited(vm, store, "")
}

/// As [`start_gateway`], with the lines `limits` at the end of the settings.
pub fn start_gateway_limited(vm: &str, store: &str, limits: &str) -> (Placed, String) {
    let mut gateway = Placed::start_limited("gateway", vm, store, limits);
    gateway.pass_log_on(std::env::var("FULMAR_DRILL_LOG").is_ok());
    let probe = "GET /readiness HTTP/1.1\r\nHost: g\r\n\r\n";
    let ready = gateway.address("ready");
    while !call(&ready, probe).contains(" 200 ") {
        thread::sleep(Duration::from_millis(20));
    }
    let front = gateway.address("front");
    (gateway, front)
}
