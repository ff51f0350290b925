//! Gateways as processes that are killed, told to stop, reloaded and frozen, in series that overlap.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader},
    net::TcpStream,
    sync::{Arc, Mutex},
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
