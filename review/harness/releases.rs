//! Releases that replace the workers of a service one after the other, while many clients ask.

use std::{
    collections::VecDeque,
    fs,
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, client,
    http::{Conn, End, Head},
    worker::{self, Worker},
};

const WORKERS: usize = 5;

/// Clients that ask all the time; at most 64 requests for each worker, which has 64 slots.
const CLIENTS: usize = 320;

/// Time that a request takes at a worker.
const EVENTS: u32 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(60);

/// Time from one replaced worker to the next, and from a worker's notice to its end.
const GAP: Duration = Duration::from_secs(1);
const DRAIN: Duration = Duration::from_millis(2500);

const PLAY_TIME: Duration = Duration::from_secs(95);
const DEADLINE_MS: u64 = 4000;
const PATIENCE: Duration = Duration::from_millis(3200);

/// Clients that try a new connection each second, and the rounds without any answer that break the
/// rule: `stable_window_ms` is 3 s.
const TRYING: u32 = 8;
const MAX_SILENT: u32 = 3;

fn handler() -> Arc<worker::Handler> {
    Arc::new(|conn: &mut Conn, head: &Head| {
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                       Keep-Alive: timeout=4\r\n";
        if conn.send(worker::answer_head(head, framing).as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.send(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        // An idle connection is closed after 4 s, as the header says.
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(4)));
        conn.send(b"0\r\n\r\n").is_ok()
    })
}

fn brief(id: &str, prefix: u32) -> String {
    let extra = format!(
        "X-Model: m\r\nX-Token-Usage: 1460,18\r\nX-Prompt-Prefix: {prefix:x}:1200,{:x}:260\r\n",
        prefix + 100_000
    );
    client::request("POST", "/brief/1", id, DEADLINE_MS, &extra, "{}")
}

/// Replaces the oldest worker every [`GAP`]: the new one starts first, the old one drains.
fn replace_workers(setup: &Setup, mut workers: VecDeque<Worker>, is_over: &AtomicBool, replaced: &AtomicU32) {
    let mut leaving: VecDeque<(Instant, Worker)> = VecDeque::new();
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(GAP);
        while leaving.front().is_some_and(|(at, _)| at.elapsed() >= DRAIN) {
            if let Some((_, worker)) = leaving.pop_front() {
                worker.stop();
            }
        }
        if !setup.has_trouble {
            continue;
        }
        let number = replaced.fetch_add(1, Ordering::SeqCst) as usize + WORKERS;
        workers.push_back(Worker::start(
            &setup.store,
            &format!("i-{number}"),
            "model",
            handler(),
        ));
        if let Some(old) = workers.pop_front() {
            old.drain();
            setup
                .record
                .line(&format!("release: i-{number} replaces {}", old.id));
            leaving.push_back((Instant::now(), old));
        }
    }
}

/// Descriptors that a process has open.
fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    let workers: VecDeque<Worker> = (0..WORKERS)
        .map(|number| Worker::start(&setup.store, &format!("i-{number}"), "model", handler()))
        .collect();
    let gateway = setup.start_gateway("front-1")?;
    thread::sleep(Duration::from_secs(2));
    let (is_over, replaced) = (Arc::new(AtomicBool::new(false)), AtomicU32::new(0));
    let (answered, failed) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    for number in 0..CLIENTS {
        let (is_over, front) = (is_over.clone(), gateway.front);
        let (answered, failed) = (answered.clone(), failed.clone());
        thread::spawn(move || {
            let mut conn = None;
            let mut count = 0;
            while !is_over.load(Ordering::SeqCst) {
                let Some(open) = conn.as_mut() else {
                    thread::sleep(Duration::from_millis(number as u64 % 100 + 1));
                    conn = client::connect(front);
                    continue;
                };
                count += 1;
                let text = brief(
                    &format!("brief-{number}-{count}"),
                    (number as u32 * 7 + count) % 500 + 1,
                );
                let answer = client::exchange(open, &text, PATIENCE);
                let is_good = answer.status == 200 && answer.end == End::Complete;
                let counted = if is_good { &answered } else { &failed };
                counted.fetch_add(1, Ordering::SeqCst);
                if answer.end == End::Broken || answer.head.get("Connection") == "close" {
                    conn = None;
                }
                if !is_good {
                    thread::sleep(Duration::from_millis(300));
                }
            }
        });
    }
    // The platform asks for readiness once a second, on a kept connection.
    let mut readiness = Conn::new(TcpStream::connect(gateway.ready).ok()?);
    let _ = readiness.stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut is_ready = || {
        let asked = readiness.send(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        let head = asked.and_then(|()| readiness.head()).ok().flatten();
        let Some(head) = head else { return false };
        let _ = readiness.body(&head, |_| ());
        head.status() == 200
    };
    let started = Instant::now();
    let (mut silent, mut longest) = (0, 0);
    thread::scope(|scope| {
        let (is_over, replaced) = (&is_over, &replaced);
        scope.spawn(move || replace_workers(setup, workers, is_over, replaced));
        let mut second = 0;
        while started.elapsed() < PLAY_TIME && longest < 2 * MAX_SILENT {
            second += 1;
            let front = gateway.front;
            let tries: Vec<_> = (0..TRYING)
                .map(|number| {
                    scope.spawn(move || {
                        let text = brief(&format!("new-{second}-{number}"), second * 10 + number);
                        // Whether anything at all comes on the new connection within a second.
                        client::ask(front, &text, Duration::from_secs(1)).is_some_and(|it| it.status > 0)
                    })
                })
                .collect();
            let taken = tries
                .into_iter()
                .filter(|_| true)
                .map(|it| it.join().unwrap_or(false));
            let taken = taken.filter(|it| *it).count();
            let ready = is_ready();
            silent = if taken == 0 && ready { silent + 1 } else { 0 };
            longest = longest.max(silent);
            setup.record.line(&format!(
                "second {second}: ready {ready}, {taken} of {TRYING} new connections answered, {} workers \
                 replaced, {} descriptors, {} answered, {} failed so far",
                replaced.load(Ordering::SeqCst),
                descriptors(gateway.process.id()),
                answered.load(Ordering::SeqCst),
                failed.load(Ordering::SeqCst),
            ));
            if taken > 0 {
                thread::sleep(Duration::from_millis(600));
            }
        }
        is_over.store(true, Ordering::SeqCst);
    });
    setup.record.say(&format!(
        "{} workers were replaced; the gateway had {} descriptors open at the end",
        replaced.load(Ordering::SeqCst),
        descriptors(gateway.process.id()),
    ));
    setup.record.say(&format!(
        "longest time in which it said that it was ready and took no new connection: {longest} rounds of \
         {TRYING} clients, a second each"
    ));
    Some(longest < MAX_SILENT)
}
