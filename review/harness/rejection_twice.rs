//! A rejection that a worker sends a second time, late, on a connection on which the same request is
//! sent again.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Setup, client,
    http::{Conn, Head},
    worker::{self, Worker},
};

/// Ordinary bookings before each one that finds the workers full.
const ORDINARY: u32 = 80;
const ROUNDS: u32 = 15;
const WORK: Duration = Duration::from_millis(20);

/// Longest time that a client waits.
const DEADLINE_MS: u64 = 1500;

/// What one worker does.
#[derive(Default)]
struct Desk {
    /// Requests that it will turn away, because it is full at that moment.
    full_for: AtomicU32,
    /// Answers sent, and those sent a second time.
    answers: AtomicU32,
    extras: AtomicU32,
    /// Late second answers, by the address of the connection's other end.
    late: Mutex<BTreeMap<String, String>>,
}

fn handler(setup: &Setup, name: &'static str, desk: Arc<Desk>, doubles: bool) -> Arc<worker::Handler> {
    let record = setup.record.clone();
    let runs = setup.runs.clone();
    Arc::new(move |conn: &mut Conn, head: &Head| {
        let id = head.get("X-Request-Id").to_owned();
        let peer = conn
            .stream
            .peer_addr()
            .map_or_else(|_| String::new(), |it| it.to_string());
        if let Some(late) = desk.late.lock().unwrap().remove(&peer) {
            record.line(&format!(
                "{name}: late second answer, where that to {id} is expected"
            ));
            if conn.send(late.as_bytes()).is_err() {
                return false;
            }
        }
        desk.answers.fetch_add(1, Ordering::SeqCst);
        let full = desk.full_for.load(Ordering::SeqCst);
        if full > 0 {
            desk.full_for.store(full - 1, Ordering::SeqCst);
            record.line(&format!("{name}: turns {id} away with 503, X-Not-Executed"));
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            if doubles {
                desk.extras.fetch_add(1, Ordering::SeqCst);
                desk.late.lock().unwrap().insert(peer, answer.clone());
            }
            return conn.send(answer.as_bytes()).is_ok();
        }
        record.line(&format!("{name}: runs {id}"));
        *runs.lock().unwrap().entry(id).or_insert(0) += 1;
        thread::sleep(WORK);
        let body = "booked";
        let text = worker::answer_head(head, &format!("Content-Length: {}\r\n", body.len()));
        conn.send(format!("{text}{body}").as_bytes()).is_ok()
    })
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    let desks: [Arc<Desk>; 2] = Default::default();
    let [first, second] = &desks;
    let a = handler(setup, "worker a", first.clone(), setup.has_trouble);
    let b = handler(setup, "worker b", second.clone(), false);
    let _a = Worker::start(&setup.store, "i-a", "portal", a);
    let _b = Worker::start(&setup.store, "i-b", "portal", b);
    let gateway = setup.start_gateway("front-1")?;
    let book = |id: &str| {
        let text = client::request("POST", "/book/1", id, DEADLINE_MS, "", "{\"n\":1}");
        let answer = client::ask(gateway.front, &text, Duration::from_millis(DEADLINE_MS));
        let status = answer.map_or(0, |it| it.status);
        setup.record.line(&format!("client: {id} is answered {status}"));
        status
    };
    let ran = |id: &str| setup.runs.lock().unwrap().get(id).copied().unwrap_or(0);
    let (mut refused, mut twice) = (0, 0);
    for round in 0..ROUNDS {
        for number in 0..ORDINARY {
            book(&format!("ordinary-{round}-{number}"));
        }
        for desk in &desks {
            desk.full_for.store(1, Ordering::SeqCst);
        }
        let id = format!("booking-{round}");
        let status = book(&id);
        thread::sleep(Duration::from_millis(200));
        for desk in &desks {
            desk.full_for.store(0, Ordering::SeqCst);
        }
        if matches!(status, 429 | 503) && ran(&id) > 0 {
            refused += 1;
            setup.record.say(&format!(
                "{id} was answered {status}, which says that it has not run, and it has run"
            ));
            // The promise allows the client to ask again, under another id.
            let again = format!("{id}-again");
            book(&again);
            if ran(&again) > 0 {
                setup.record.say(&format!(
                    "the client asked again as {again}: the booking ran a second time"
                ));
            }
        }
        if ran(&id) > 1 {
            twice += 1;
            setup.record.say(&format!("{id} ran {} times", ran(&id)));
        }
    }
    let answers = first.answers.load(Ordering::SeqCst);
    let extras = first.extras.load(Ordering::SeqCst);
    setup.record.say(&format!(
        "worker a sent {answers} answers, {extras} of them a second time; worker b none twice"
    ));
    setup.record.say(&format!(
        "{ROUNDS} bookings found both workers full at first: {refused} refused though they ran, {twice} ran twice"
    ));
    Some(refused == 0 && twice == 0)
}
