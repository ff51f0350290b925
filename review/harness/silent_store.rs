//! A store that gives no response to one machine for some seconds, and answers all again afterwards.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, client, fleet,
    http::{Conn, Head},
    worker::{self, Worker},
};

const GATEWAYS: usize = 3;

/// How long the store is silent towards one of them.
const SILENCE: Duration = Duration::from_millis(4500);

/// `stable_window_ms` and `config_apply_ms`, each with some room.
const STABLE: Duration = Duration::from_millis(4000);
const APPLY: Duration = Duration::from_millis(2500);

/// How long requests are sent after the last change.
const WATCHED: Duration = Duration::from_secs(12);
const DEADLINE_MS: u64 = 1500;
const PREPAID: u64 = 1_000_000;

fn handler(setup: &Setup, service: &'static str) -> Arc<worker::Handler> {
    let record = setup.record.clone();
    Arc::new(move |conn: &mut Conn, head: &Head| {
        record.line(&format!("{service} runs {}", head.get("X-Request-Id")));
        thread::sleep(Duration::from_millis(10));
        let framing = format!("Content-Length: {}\r\n", service.len());
        let text = worker::answer_head(head, &framing);
        conn.send(format!("{text}{service}").as_bytes()).is_ok()
    })
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    let _portal = Worker::start(&setup.store, "i-portal", "portal", handler(setup, "portal"));
    let _archive = Worker::start(&setup.store, "i-archive", "archive", handler(setup, "archive"));
    let is_silent = Arc::new(AtomicBool::new(false));
    let mut gateways: Vec<fleet::Gateway> = Vec::new();
    for number in 0..GATEWAYS {
        let never = Arc::default();
        let store = setup.store.listen(if number == 0 { &is_silent } else { &never });
        gateways.push(setup.start_gateway_at(&format!("front-{number}"), store)?);
    }
    let publish = |version, service| {
        setup.publish_with(version, PREPAID, service);
        setup.record.line(&format!(
            "operator: version {version} is acknowledged, status goes to {service}"
        ));
    };
    // The services that answered, by gateway.
    let mut count = 0;
    let mut ask = || {
        count += 1;
        let services = gateways.iter().enumerate().map(|(number, gateway)| {
            let id = format!("status-{number}-{count}");
            let text = client::request("GET", "/status/1", &id, DEADLINE_MS, "", "");
            let answer = client::ask(gateway.front, &text, Duration::from_millis(DEADLINE_MS));
            let service =
                answer.map_or_else(String::new, |it| String::from_utf8_lossy(&it.body).into_owned());
            setup.record.line(&format!(
                "client: {id} at front-{number} is answered by {service}"
            ));
            service
        });
        services.collect::<Vec<String>>()
    };
    thread::sleep(Duration::from_secs(4));
    publish(2, "portal");
    thread::sleep(Duration::from_secs(1));
    is_silent.store(setup.has_trouble, Ordering::SeqCst);
    setup.record.line("store: gives front-0 no response from now on");
    thread::sleep(Duration::from_secs(1));
    publish(3, "portal");
    thread::sleep(SILENCE - Duration::from_secs(1));
    is_silent.store(false, Ordering::SeqCst);
    setup.record.line("store: answers all again");
    let until = Instant::now() + STABLE;
    while Instant::now() < until {
        ask();
        thread::sleep(Duration::from_millis(500));
    }
    publish(4, "archive");
    let published = Instant::now();
    let mut old = [0; GATEWAYS];
    let mut last = Duration::ZERO;
    while published.elapsed() < WATCHED {
        let sent = published.elapsed();
        let services = ask();
        for (number, service) in services.iter().enumerate() {
            if sent >= APPLY && service == "portal" {
                old[number] += 1;
                last = sent;
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    setup.record.say(&format!(
        "requests that ran at the old service more than {} ms after the acknowledgement, by gateway: {old:?}; \
         the last of them was sent {} ms after it",
        APPLY.as_millis(),
        last.as_millis()
    ));
    Some(old.iter().sum::<u32>() == 0)
}
