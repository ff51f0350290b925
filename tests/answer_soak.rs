//! Servers that turn requests away and answer twice, late, early, under another request's id or under
//! none, go on with another answer in the middle of one, or bring something else than a stream's rest, while gateways are killed, terminated, reloaded and frozen, in series that overlap.
//!
//! `ANSWER_SOAK=10..60 cargo test --test answer_soak` plays other seeds.

// Each test file uses a different part of these modules.
mod common;
mod gateway_world;

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use common::{
    disturbed_fleet::{
        Disturbed, Fleet, Fronts, read_head, server_id, turn_away_misdirected, with_own_key,
    },
    placed_fleet::{put, start_store},
};
use gateway_world::{KEY, configuration, request_text};
use serde_json::json;

/// Time for which callers send and gateways are disturbed.
const PLAY_TIME: Duration = Duration::from_secs(8);

/// Time after the play in which requests that were refused may still begin to run.
const AFTER_TIME: Duration = Duration::from_secs(1);

const EVENTS: usize = 6;

/// Longest time that a server takes for a request or an event, in milliseconds.
const MAX_WORK_MS: u64 = 6;

/// Size of long bodies, in bytes; servers may reject them before they are in.
const LONG_BODY: usize = 48 * 1024;

/// What servers and callers have seen, by request.
#[derive(Clone, Default)]
struct Record {
    runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Requests that may run once only and were answered with a status that promises 'not run'.
    refused: Arc<Mutex<Vec<(String, u16)>>>,
    /// Answers that callers must not get.
    wrong: Arc<Mutex<Vec<String>>>,
    /// Requests that may run once only.
    once: Arc<Mutex<Vec<String>>>,
    served: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

/// Chances of what a server does, in percent.
#[derive(Clone, Copy)]
struct Manners {
    rejects: u8,
    doubles: u8,
    fails: u8,
}

/// A connection to a server.
struct Served {
    server: String,
    reader: BufReader<TcpStream>,
    /// Bytes to be sent before the next answer.
    late: Vec<u8>,
    rng: fastrand::Rng,
    manners: Manners,
}

impl Served {
    fn happens(&mut self, percent: u8) -> bool {
        self.rng.u8(..100) < percent
    }

    fn work(&mut self) {
        thread::sleep(Duration::from_millis(self.rng.u64(..MAX_WORK_MS)));
    }

    fn send(&mut self, bytes: &[u8]) -> Option<()> {
        self.reader.get_mut().write_all(bytes).ok()
    }

    /// Sends an answer, and perhaps a second copy of it at once or before the next answer, under its own
    /// id, that of another request, or none.
    fn answer(&mut self, id: &str, answer: &str) -> Option<()> {
        self.send(answer.as_bytes())?;
        if !self.happens(self.manners.doubles) {
            return Some(());
        }
        let named = format!("X-Request-Id: {id}\r\n");
        let copy = match self.rng.u8(..4) {
            0 => answer.replace(&named, "X-Request-Id: s0\r\n"),
            1 => answer.replace(&named, ""),
            _ => answer.to_owned(),
        };
        match self.rng.bool() {
            true => self.send(copy.as_bytes()),
            false => {
                self.late.extend_from_slice(copy.as_bytes());
                Some(())
            }
        }
    }

    /// Serves one request; `None` when the connection is to end.
    fn serve(&mut self, record: &Record) -> Option<()> {
        let headers = read_head(&mut self.reader)?;
        if turn_away_misdirected(&mut self.reader, &headers, &self.server)? {
            return Some(());
        }
        let header = |name: &str| headers.get(name).cloned().unwrap_or_default();
        let id = header("x-request-id");
        let line = header("");
        let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
        let late = std::mem::take(&mut self.late);
        self.send(&late)?;
        let named = match id.is_empty() {
            true => String::new(),
            false => format!("X-Request-Id: {id}\r\n"),
        };
        let rejection = format!(
            "HTTP/1.1 503 Busy\r\n{named}X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
        );
        let is_rejected = id.is_empty() || self.happens(self.manners.rejects);
        if is_rejected && self.happens(50) {
            self.answer(&id, &rejection)?;
            return self.reader.read_exact(&mut body).ok();
        }
        self.reader.read_exact(&mut body).ok()?;
        if is_rejected {
            self.work();
            return self.answer(&id, &rejection);
        }
        *record.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.work();
        let head = format!("{named}X-Response-Signature: s\r\n");
        if self.happens(self.manners.fails) {
            let is_stream = line.contains(" /draft/") || line.contains(" /ask/");
            let whole = match is_stream {
                true => (0..EVENTS).map(|event| event_text(event, &id)).collect(),
                false => id.clone(),
            };
            return match self.rng.u8(..8) {
                0 => None,
                4 => {
                    // The head is cut, and that of another answer follows.
                    let text = format!("HTTP/1.1 200 OK\r\n{head}");
                    let cut = self.rng.usize(1..text.len());
                    self.send(format!("{}{rejection}", &text[..cut]).as_bytes())?;
                    None
                }
                5 => {
                    let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n{whole}{rejection}");
                    self.send(text.as_bytes())?;
                    None
                }
                6 if is_stream => {
                    let text = "internal error\n\n";
                    let lines = format!("{head}Content-Length: {}\r\n", text.len());
                    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n{text}");
                    self.answer(&id, &text)
                }
                7 if is_stream => {
                    // All events, whatever the caller has received.
                    let lines = format!("{head}Content-Length: {}\r\n", whole.len());
                    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n{whole}");
                    self.answer(&id, &text)
                }
                1 => {
                    self.send(b"HTTP/1.1 200 OK\r\nContent-Le")?;
                    None
                }
                2 => {
                    let text = format!("HTTP/1.1 503 No\r\n{head}Content-Length: 2\r\n\r\nno");
                    self.answer(&id, &text)
                }
                _ => {
                    let text = format!("HTTP/1.1 500 No\r\n{head}Content-Length: 2\r\n\r\nno");
                    self.answer(&id, &text)
                }
            };
        }
        if line.contains(" /book/") || line.contains(" /look/") {
            let len = id.len();
            let text = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {len}\r\n\r\n{id}");
            return self.answer(&id, &text);
        }
        let first = header("last-event-id")
            .parse()
            .map_or(0, |last: usize| last + 1);
        // A resumed stream belongs to the same caller, whose name all its events bear.
        let mut text = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
        for event in first..EVENTS {
            let event = event_text(event, &id);
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        text.push_str("0\r\n\r\n");
        if self.happens(self.manners.fails) {
            let cut = self.rng.usize(..text.len());
            self.send(&text.as_bytes()[..cut])?;
            return None;
        }
        self.answer(&id, &text)
    }
}

fn event_text(event: usize, id: &str) -> String {
    format!("id: {event}\ndata: {id}\n\n")
}

/// Starts a server in threads of its own.
fn start_server(store: &str, service: &str, record: &Record, rng: &mut fastrand::Rng) {
    let id = server_id();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let entry = json!({"service": service, "address": address, "zone": "a", "slots": 64,
                       "state": "ready", "version": "v1", "sequence": 1});
    put(store, &format!("servers/{id}"), &entry.to_string());
    let manners = Manners {
        rejects: *rng.choice(&[5, 30, 60]).unwrap(),
        doubles: *rng.choice(&[0, 10, 40]).unwrap(),
        fails: *rng.choice(&[0, 2, 5]).unwrap(),
    };
    let (record, mut rng) = (record.clone(), rng.fork());
    thread::spawn(move || {
        for conn in listener.incoming().map_while(Result::ok) {
            let (record, rng, server) = (record.clone(), rng.fork(), id.clone());
            thread::spawn(move || {
                let late = Vec::new();
                let reader = BufReader::new(conn);
                let mut served = Served {
                    server,
                    reader,
                    late,
                    rng,
                    manners,
                };
                while served.serve(&record).is_some() {}
            });
        }
    });
}

/// An answer as a caller received it: its status, its body, and whether its connection stays open.
struct Answer {
    status: u16,
    body: String,
    keeps_open: bool,
}

/// Reads an answer; `None` when it breaks off.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let headers = read_head(reader)?;
    let status = headers.get("")?.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    if headers.contains_key("transfer-encoding") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
            let len = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut piece = vec![0; len + 2];
            reader.read_exact(&mut piece).ok()?;
            body.extend_from_slice(&piece[..len]);
            if len == 0 {
                break;
            }
        }
    } else {
        body = vec![0; headers.get("content-length")?.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    Some(Answer {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        keeps_open: !headers.contains_key("connection"),
    })
}

fn is_once(path: &str) -> bool {
    matches!(path, "/book/1" | "/draft/1")
}

/// Checks an answer to a request on this path.
fn check(record: &Record, path: &str, id: &str, answer: &Answer) {
    if is_once(path) && matches!(answer.status, 408 | 421 | 429 | 503) {
        let refused = (id.to_owned(), answer.status);
        record.refused.lock().unwrap().push(refused);
    }
    if answer.status != 200 {
        return;
    }
    record.served.fetch_add(1, Ordering::SeqCst);
    let is_call = path == "/book/1" || path == "/look/1";
    let expected = match is_call {
        true => id.to_owned(),
        false => (0..EVENTS).map(|event| event_text(event, id)).collect(),
    };
    if answer.body != expected {
        let wrong = format!("MIXED or ORDER: {path} {id}: {:?}", answer.body);
        record.wrong.lock().unwrap().push(wrong);
    }
}

/// Sends one request after another, on kept connections.
fn call(record: &Record, fronts: &Fronts, is_over: &AtomicBool, mut rng: fastrand::Rng) {
    while !is_over.load(Ordering::SeqCst) {
        let front = rng.choice(fronts.lock().unwrap().iter()).cloned();
        let Some(conn) = front.and_then(|(_, front)| TcpStream::connect(front).ok()) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        conn.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        let mut reader = BufReader::new(conn);
        while !is_over.load(Ordering::SeqCst) {
            let number = record.requests.fetch_add(1, Ordering::SeqCst) + 1;
            let path = *rng
                .choice(&[
                    "/book/1", "/draft/1", "/book/1", "/draft/1", "/look/1", "/ask/1",
                ])
                .unwrap();
            let id = format!("s{number}");
            if is_once(path) {
                record.once.lock().unwrap().push(id.clone());
            }
            let line = match rng.u8(..40) {
                0 => String::new(),
                _ => format!("X-Request-Id: {id}\r\n"),
            };
            let body = match rng.u8(..8) {
                0 => "m".repeat(LONG_BODY),
                _ => "a commission".to_owned(),
            };
            let text = request_text("POST", path, "", &body);
            let text = text.replace("X-Request-Id: r1\r\n", &line);
            let text = with_own_key(&text, KEY);
            let written = reader.get_mut().write_all(text.as_bytes());
            let Some(answer) = written.ok().and_then(|()| read_answer(&mut reader)) else {
                break;
            };
            check(record, path, &id, &answer);
            if !answer.keeps_open {
                break;
            }
            thread::sleep(Duration::from_millis(rng.u64(..8)));
        }
    }
}

fn play(seed: u64) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let record = Record::default();
    let (_process, store) = start_store();
    let config = configuration(1, 100_000_000, 3000).to_string();
    put(&store, "op/config", &with_own_key(&config, KEY));
    for service in ["plain", "model"] {
        for _ in 0..rng.usize(1..5) {
            start_server(&store, service, &record, &mut rng);
        }
    }
    let (fronts, disturbed) = (Fronts::default(), Disturbed::default());
    let mut fleet = Fleet::new(store, fronts.clone());
    for _ in 0..rng.usize(2..5) {
        fleet.add(&disturbed);
    }
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..rng.usize(8..40) {
            let (record, fronts, is_over, rng) = (&record, &fronts, &is_over, rng.fork());
            scope.spawn(move || call(record, fronts, is_over, rng));
        }
        let begin = Instant::now();
        while begin.elapsed() < PLAY_TIME {
            thread::sleep(Duration::from_millis(rng.u64(200..2000)));
            if rng.bool() {
                fleet.disturb(&mut rng, &disturbed);
            }
        }
        is_over.store(true, Ordering::SeqCst);
    });
    thread::sleep(AFTER_TIME);
    let runs = record.runs.lock().unwrap();
    let refused = record.refused.lock().unwrap();
    let ran = refused.iter().filter(|(id, _)| runs.contains_key(id));
    let untrue: Vec<_> = ran
        .map(|(id, status)| format!("REFUSED: {id} answered {status}"))
        .collect();
    let once = record.once.lock().unwrap();
    let twice = once
        .iter()
        .filter(|id| runs.get(*id).is_some_and(|runs| *runs > 1));
    let twice: Vec<_> = twice.map(|id| format!("TWICE: {id}")).collect();
    let wrong = record.wrong.lock().unwrap();
    let summary = format!(
        "seed {seed}: {} requests, {} served, {} refused of those that run once; {} REFUSED, {} TWICE, \
         {} MIXED or ORDER: {:?}",
        record.requests.load(Ordering::SeqCst),
        record.served.load(Ordering::SeqCst),
        refused.len(),
        untrue.len(),
        twice.len(),
        wrong.len(),
        untrue
            .iter()
            .chain(&twice)
            .chain(wrong.iter())
            .take(5)
            .collect::<Vec<_>>()
    );
    let holds = untrue.is_empty() && twice.is_empty() && wrong.is_empty();
    println!("{summary}");
    match holds && record.served.load(Ordering::SeqCst) > 0 {
        true => Ok(()),
        false => Err(summary),
    }
}

/// Guards against REFUSED, TWICE, MIXED and ORDER when answers come twice, late or without an id.
#[test]
fn requests_run_once_and_never_after_a_refusal_when_answers_are_disordered() {
    common::seeds::play("ANSWER_SOAK", "0..3", play);
}
