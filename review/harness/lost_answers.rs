//! Workers that run requests of a tenant with a prepaid budget, some of whose answers are lost.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, client,
    http::{Conn, Head},
    worker::{self, Worker},
};

/// Tokens that the tenant has paid for.
pub const PREPAID: u64 = 2_000_000;

/// Tokens of a prompt, the most that an answer holds, and tokens and number of its events.
const INPUT: u64 = 5_000;
const MAX_OUTPUT: u64 = 60;
const PER_EVENT: u64 = 6;
const EVENTS: u64 = 9;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which a worker reads a prompt.
const READ_TIME: Duration = Duration::from_millis(90);

const WORKERS: u32 = 5;

/// Workers that lose answers, and share of their answers: three in ten.
const LOSING: u32 = 3;
const LOST_OF_TEN: u32 = 3;

/// When answers get lost, and for how long.
const LOSS_AFTER: Duration = Duration::from_secs(1);
const LOSS_TIME: Duration = Duration::from_secs(6);

/// Time from one request to the next, and for how long requests are sent.
const PACE: Duration = Duration::from_millis(15);
const TRAFFIC_TIME: Duration = Duration::from_secs(25);

const DEADLINE_MS: u64 = 4000;

/// Longest gap that a client bears: eight times the pause of the route.
const PATIENCE: Duration = Duration::from_millis(3200);

fn handler(setup: &Setup, number: u32, is_losing: Arc<AtomicBool>) -> Arc<worker::Handler> {
    let (record, runs) = (setup.record.clone(), setup.runs.clone());
    let count = AtomicU32::new(0);
    Arc::new(move |conn: &mut Conn, head: &Head| {
        let id = head.get("X-Request-Id").to_owned();
        thread::sleep(READ_TIME);
        *runs.lock().unwrap().entry(id.clone()).or_insert(0) += 1;
        let loses = number < LOSING && is_losing.load(Ordering::SeqCst);
        if loses && count.fetch_add(1, Ordering::SeqCst) % 10 < LOST_OF_TEN {
            record.line(&format!("worker {number}: runs {id}, its answer is lost"));
            // Nothing comes on this connection any more, until the other side closes it.
            let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(20)));
            let _ = conn.head();
            record.line(&format!("worker {number}: {id} is dropped"));
            return false;
        }
        record.line(&format!("worker {number}: runs {id}"));
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        if conn.send(worker::answer_head(head, framing).as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if conn.send(chunk.as_bytes()).is_err() {
                return false;
            }
            thread::sleep(EVENT_INTERVAL);
        }
        conn.send(b"0\r\n\r\n").is_ok()
    })
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    setup.publish(2, PREPAID);
    let is_losing = Arc::new(AtomicBool::new(false));
    let workers = (0..WORKERS).map(|number| {
        let handler = handler(setup, number, is_losing.clone());
        Worker::start(&setup.store, &format!("i-{number}"), "model", handler)
    });
    let _workers: Vec<Worker> = workers.collect();
    let gateway = setup.start_gateway("front-1")?;
    thread::sleep(Duration::from_secs(3));
    let started = Instant::now();
    let delivered = Arc::new(AtomicU64::new(0));
    let statuses: Arc<Mutex<BTreeMap<u16, u32>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0.. {
        let elapsed = started.elapsed();
        if elapsed >= TRAFFIC_TIME {
            break;
        }
        let is_window = elapsed >= LOSS_AFTER && elapsed < LOSS_AFTER + LOSS_TIME;
        is_losing.store(is_window && setup.has_trouble, Ordering::SeqCst);
        let (record, front) = (setup.record.clone(), gateway.front);
        let (delivered, statuses) = (delivered.clone(), statuses.clone());
        clients.push(thread::spawn(move || {
            let id = format!("brief-{number}");
            let extra = format!(
                "X-Model: m\r\nX-Token-Usage: {INPUT},{MAX_OUTPUT}\r\n\
                 X-Prompt-Prefix: {:x}:4000,{:x}:1000\r\n",
                number % 40 + 1,
                number + 1000
            );
            let text = client::request("POST", "/brief/1", &id, DEADLINE_MS, &extra, "{}");
            let Some(answer) = client::ask(front, &text, PATIENCE) else {
                return;
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let events = body.lines().filter(|it| it.starts_with("id:")).count() as u64;
            delivered.fetch_add(events * PER_EVENT, Ordering::SeqCst);
            *statuses.lock().unwrap().entry(answer.status).or_insert(0) += 1;
            let (status, end, took) = (answer.status, answer.end, answer.took.as_millis());
            record.line(&format!(
                "client: {id}: status {status}, {events} events, {end:?} after {took} ms"
            ));
        }));
        thread::sleep(PACE);
    }
    for client in clients {
        let _ = client.join();
    }
    let ran = setup.runs.lock().unwrap().len() as u64;
    let (input, output) = (ran * INPUT, delivered.load(Ordering::SeqCst));
    setup
        .record
        .say(&format!("answers by status: {:?}", statuses.lock().unwrap()));
    setup.record.say(&format!(
        "the tenant got {ran} prompts of {INPUT} tokens and {output} tokens of output: {} of {PREPAID} prepaid",
        input + output
    ));
    Some(input + output <= PREPAID)
}
