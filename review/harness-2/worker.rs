//! Stand-ins of workers, as PROTOCOL.md describes them.

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Conn, Message},
    record::Record,
    store::Store,
};

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub worker: String,
    /// Time since the record began at which the request reached the worker.
    pub at: Duration,
    /// Events written to the connection.
    pub events: u64,
    pub has_ended: bool,
}

/// Runs of all workers, in the order of their beginnings.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How a worker answers.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Time until the first event, or until the answer of a plain service.
    pub first: Duration,
    pub gap: Duration,
    /// Tokens that an event of a stream holds; 0 for a plain service.
    pub stride: u64,
    pub slots: u64,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pace: Pace,
    store: Arc<Store>,
    runs: Runs,
    record: Arc<Record>,
    active: AtomicU64,
    sequence: AtomicU64,
    beats: AtomicBool,
    born: u64,
}

impl Worker {
    /// Starts a worker, which registers itself and writes its entry every 1.2 s.
    pub fn start(
        id: &str,
        service: &str,
        (ip, port): (IpAddr, u16),
        pace: Pace,
        store: &Arc<Store>,
        runs: &Runs,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, port)).expect("the worker's address is free");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            pace,
            store: store.clone(),
            runs: runs.clone(),
            record: record.clone(),
            active: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            born: 1_700_000_000_000 + u64::from(std::process::id()),
        });
        let serving = worker.clone();
        http::serve(listener, move |conn, req| serving.handle(conn, &req));
        worker.write_entry("ready");
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1200));
                if beating.beats.load(Ordering::SeqCst) {
                    beating.write_entry("ready");
                }
            }
        });
        worker
    }

    /// The worker's key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn write_entry(&self, state: &str) {
        self.store.put(&self.key(), self.entry(state).as_bytes());
    }

    /// The worker's entry in this state.
    pub fn entry(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.pace.slots, self.born
        )
    }

    /// Has the worker write its entry no more.
    pub fn stop_beats(&self) {
        self.beats.store(false, Ordering::SeqCst);
    }

    fn handle(&self, conn: &mut Conn, req: &Message) -> bool {
        let id = req.header("X-Request-Id").to_owned();
        let echo = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
        match req.word(1) {
            "/health" => return conn.write(&http::response("200 OK", &echo, "")).is_ok(),
            "/report" => {
                let active = self.active.load(Ordering::SeqCst);
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{active},\"kv_used\":0,\
                     \"kv_total\":400000,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                let headers = "Content-Type: application/json\r\n";
                return conn
                    .write(&http::response("200 OK", headers, &body))
                    .is_ok();
            }
            _ => (),
        }
        if req.header("X-Expect-Instance") != self.id {
            let refusal = http::response("421 Misdirected Request", &echo, "");
            return conn.write(&refusal).is_ok();
        }
        let at = self.record.now();
        if self.active.fetch_add(1, Ordering::SeqCst) >= self.pace.slots {
            self.active.fetch_sub(1, Ordering::SeqCst);
            let headers = format!("{echo}X-Not-Executed: 1\r\n");
            let refusal = http::response("503 Service Unavailable", &headers, "");
            return conn.write(&refusal).is_ok();
        }
        let stays = self.run(conn, req, &id, &echo, at);
        self.active.fetch_sub(1, Ordering::SeqCst);
        stays
    }

    fn run(&self, conn: &mut Conn, req: &Message, id: &str, echo: &str, at: Duration) -> bool {
        let usage = req.header("X-Token-Usage").split_once(',');
        let output: u64 = usage.map_or(0, |(_, output)| output.parse().unwrap_or(0));
        thread::sleep(self.pace.first);
        if conn.is_closed() {
            // It runs from its first token on.
            self.record.note(&format!("{} drops {id} unrun", self.id));
            return false;
        }
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.to_owned(),
                worker: self.id.clone(),
                at,
                events: 0,
                has_ended: false,
            });
            runs.len() - 1
        };
        self.record.note(&format!("{} runs {id}", self.id));
        let signature = format!("X-Response-Signature: {}.{number}\r\n", self.id);
        let is_open = match self.pace.stride {
            0 => {
                let headers = format!("{echo}{signature}");
                let body = format!("done {id}");
                conn.write(&http::response("200 OK", &headers, &body))
                    .is_ok()
            }
            stride => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{echo}{signature}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                let events = output.div_ceil(stride).max(1);
                let mut is_open = conn.write(head.as_bytes()).is_ok();
                for event in 0..events {
                    if event > 0 {
                        thread::sleep(self.pace.gap);
                    }
                    let text = format!("id: {event}\ndata: part {event} of {id}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    is_open = is_open && !conn.is_closed() && conn.write(chunk.as_bytes()).is_ok();
                    if !is_open {
                        break;
                    }
                    self.runs.lock().unwrap()[number].events += 1;
                }
                is_open && conn.write(b"0\r\n\r\n").is_ok()
            }
        };
        self.runs.lock().unwrap()[number].has_ended = true;
        is_open
    }
}
