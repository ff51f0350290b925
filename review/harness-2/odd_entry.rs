//! A worker leaves. The entry that says so has a field of another type. Requests must not reach the worker later
//! than `drain_ms` after the store has accepted the entry.

use std::{
    net::{Ipv4Addr, TcpListener},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    fleet::{self, Ports, Process},
    http,
    record::Record,
    store::Store,
    worker::{Pace, Runs, Worker},
};

/// Time of the traffic before the worker leaves, and for which it goes on serving.
const BEFORE: Duration = Duration::from_secs(4);
const SERVES_ON: Duration = Duration::from_secs(8);
const CLIENTS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(250);

fn configuration() -> &'static str {
    "{\"version\":3,\"routes\":[{\"name\":\"book\",\"host\":\"desk.example\",\"path_prefix\":\"/book/\",\
     \"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,\
     \"service\":\"portal\",\"max_attempts\":1,\"public\":true}],\
     \"services\":[{\"name\":\"portal\",\"health_check\":\"/health\",\"max_connections\":110}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[]}"
}

pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let ports = Ports::find();
    let bind = TcpListener::bind((Ipv4Addr::new(127, 0, 3, 1), 0)).unwrap();
    let store = Store::start(vec![bind]);
    store.put("op/config", configuration().as_bytes());
    let runs = Runs::default();
    let pace = Pace {
        first: Duration::from_millis(30),
        gap: Duration::ZERO,
        stride: 0,
        slots: 6,
    };
    let start = |number: u8| {
        let address = (fleet::side_ip(number), ports.app());
        let id = format!("i-{number}");
        Worker::start(&id, "portal", address, pace, &store, &runs, record)
    };
    let workers: Vec<_> = (1..=3).map(start).collect();
    let mut gateways: Vec<Process> = (1..=2)
        .map(|number| Process::gateway(folder, number, ports, store.addresses[0]))
        .collect();
    gateways.iter_mut().for_each(Process::start);
    if !gateways.iter().all(Process::wait_ready) {
        return Outcome::Unable("a gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (is_over, number) = (is_over.clone(), number.clone());
            let record = record.clone();
            let fronts: Vec<_> = gateways.iter().map(|it| it.front).collect();
            thread::spawn(move || {
                thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
                while !is_over.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let front = fronts[number as usize % fronts.len()];
                    let id = format!("r{number:05}");
                    let request = format!(
                        "POST /book/{id} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
                         X-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{{}}"
                    );
                    let sent = record.now();
                    let deadline = Duration::from_millis(1500);
                    let answer = http::send(front, request.as_bytes(), deadline, deadline);
                    let sent = sent.as_secs_f64();
                    record.note(&format!(
                        "{id} sent at {sent:.3} s: {} {}",
                        answer.status, answer.cut
                    ));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let runs_of = |worker: &Worker| {
        let runs = runs.lock().unwrap();
        runs.iter().filter(|it| it.worker == worker.id).count()
    };
    let busiest = workers.iter().max_by_key(|it| runs_of(it));
    let leaving = busiest.expect("there are workers");
    leaving.stop_beats();
    let mut entry = leaving.entry("draining");
    if has_trouble {
        entry = entry.replace("\"zone\":\"a\"", "\"zone\":7");
    }
    store.put(&leaving.key(), entry.as_bytes());
    let left = record.now();
    record.result(&format!(
        "the store has accepted {}: {entry}",
        leaving.key()
    ));
    thread::sleep(SERVES_ON);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if gateways.iter_mut().any(Process::has_ended) {
        return Outcome::Unable("a gateway ended by itself".to_owned());
    }
    let runs = runs.lock().unwrap().clone();
    let before = runs
        .iter()
        .filter(|it| it.worker == leaving.id && it.at < left);
    let bound = left + Duration::from_millis(fleet::DRAIN_MS);
    let late = runs
        .iter()
        .filter(|it| it.worker == leaving.id && it.at > bound);
    let (before, late): (Vec<_>, Vec<_>) = (before.collect(), late.collect());
    record.result(&format!(
        "requests that reached {}: {} before the entry, {} later than {} ms after it",
        leaving.id,
        before.len(),
        late.len(),
        fleet::DRAIN_MS
    ));
    if let Some(last) = late.last() {
        let after = (last.at - left).as_millis();
        record.result(&format!("the last one: {} at {after} ms", last.id));
    }
    match (before.len(), late.len()) {
        (0, _) => Outcome::Unable("the worker got no requests before".to_owned()),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
