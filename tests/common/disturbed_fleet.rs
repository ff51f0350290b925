//! Gateways as processes that are killed, told to stop, reloaded and frozen, in series that overlap.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{placed::Placed, placed_fleet::start_gateway};

/// Time after a disruption of a gateway from which the platform counts what it does.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// When each gateway was disturbed: from, until.
#[derive(Clone, Default)]
pub struct Disturbed(Arc<Mutex<Vec<(String, Instant, Instant)>>>);

impl Disturbed {
    pub fn add(&self, gateway: &str, from: Instant) {
        let entry = (gateway.to_owned(), from, Instant::now());
        self.0.lock().unwrap().push(entry);
    }

    pub fn excuses(&self, gateway: &str, at: Instant) -> bool {
        let entries = self.0.lock().unwrap();
        let mut own = entries.iter().filter(|(name, ..)| name == gateway);
        own.any(|(_, from, until)| at >= *from && at < *until + SETTLE_TIME)
    }
}

/// Reads the head of a message; the names of headers in lower case. `None` when the connection ends.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            return Some(headers);
        }
        match line.split_once(": ") {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.to_owned());
            }
            None => {
                headers.insert(String::new(), line.to_owned());
            }
        }
    }
}

/// An id for a backend server that no other one has, also none of a test that runs beside this one.
pub fn server_id() -> String {
    static STARTED: AtomicUsize = AtomicUsize::new(0);
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    format!("i-{}-{number}", std::process::id())
}

/// Replaces an API key in a text by one that no other process uses: a gateway of a test that runs beside
/// this one may get the port of one that has ended.
pub fn with_own_key(text: &str, key: &str) -> String {
    text.replace(key, &format!("{key}-{}", std::process::id()))
}

/// Turns a request away that is meant for another server than `server`, whose port this one has got since.
/// Returns whether it was; `None` when the connection ends.
pub fn turn_away_misdirected(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
    server: &str,
) -> Option<bool> {
    if headers
        .get("x-expect-instance")
        .is_some_and(|it| it == server)
    {
        return Some(false);
    }
    let length = headers.get("content-length");
    let length = length.map_or(0, |it| it.parse().unwrap_or(0));
    reader.read_exact(&mut vec![0; length]).ok()?;
    let id = headers.get("x-request-id").cloned().unwrap_or_default();
    let answer = format!(
        "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    reader.get_mut().write_all(answer.as_bytes()).ok()?;
    Some(true)
}

/// Names and addresses of the gateways that callers may connect to.
pub type Fronts = Arc<Mutex<Vec<(String, String)>>>;

/// The gateways of a play, some of which end and are replaced.
pub struct Fleet {
    gateways: Vec<(String, Placed)>,
    fronts: Fronts,
    store: String,
    started: usize,
}

impl Fleet {
    pub fn new(store: String, fronts: Fronts) -> Self {
        Self {
            gateways: Vec::new(),
            fronts,
            store,
            started: 0,
        }
    }

    pub fn add(&mut self, disturbed: &Disturbed) {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let from = Instant::now();
        let (gateway, front) = start_gateway(&name, &self.store);
        disturbed.add(&name, from);
        self.fronts.lock().unwrap().push((name.clone(), front));
        self.gateways.push((name, gateway));
    }

    /// Disturbs a gateway, or two at once.
    pub fn disturb(&mut self, rng: &mut fastrand::Rng, disturbed: &Disturbed) {
        let count = rng.usize(1..3).min(self.gateways.len() - 1);
        let kind = rng.u8(..4);
        let from = Instant::now();
        for _ in 0..count {
            let number = rng.usize(..self.gateways.len());
            let (name, gateway) = &self.gateways[number];
            let name = name.clone();
            match kind {
                0 | 1 => {
                    self.fronts.lock().unwrap().retain(|(it, _)| *it != name);
                    let (_, gateway) = self.gateways.remove(number);
                    if kind == 1 {
                        gateway.signal("-TERM");
                        let end = move || thread::sleep(SETTLE_TIME);
                        thread::spawn(move || {
                            end();
                            drop(gateway);
                        });
                    }
                    disturbed.add(&name, from);
                    self.add(disturbed);
                }
                2 => gateway.signal("-HUP"),
                _ => {
                    gateway.signal("-STOP");
                    thread::sleep(Duration::from_millis(rng.u64(100..1500)));
                    gateway.signal("-CONT");
                    disturbed.add(&name, from);
                }
            }
        }
    }
}
