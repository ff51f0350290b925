//! A request that crashes the workers that run it, and comes again after all gateways were killed.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, client, fleet,
    http::{Conn, Head},
    worker::{self, Worker},
};

const GATEWAYS: usize = 5;
const WORKERS: u32 = 9;
const WORK: Duration = Duration::from_millis(20);
const DEADLINE_MS: u64 = 1500;

/// Time after which a crashed worker is back, and after which the entry of the old one is removed.
const BACK_TIME: Duration = Duration::from_secs(2);

/// How old stale reads of the store are.
const STALENESS: Duration = Duration::from_secs(3);

/// `stable_window_ms`.
const STABLE: Duration = Duration::from_secs(3);

/// Retries after the third crash that the rule allows.
const ALLOWED: usize = 3;

/// Body of the request that crashes workers.
const DEADLY: &str = "{\"deadly\":1}";

/// Workers by their ids.
type Workers = Arc<Mutex<BTreeMap<String, Arc<Worker>>>>;

struct Stage {
    workers: Workers,
    crashes: mpsc::Sender<String>,
    /// When the deadly request reached a worker.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    count: AtomicU32,
}

fn start_worker(setup: &Setup, stage: &Arc<Stage>) {
    let number = stage.count.fetch_add(1, Ordering::SeqCst);
    let id = format!("i-{number}");
    let (own, running, record) = (id.clone(), stage.clone(), setup.record.clone());
    let has_crashed = AtomicBool::new(false);
    let handler: Arc<worker::Handler> = Arc::new(move |conn: &mut Conn, head: &Head| {
        let request = head.get("X-Request-Id");
        if request.starts_with("deadly") {
            record.line(&format!("{own}: runs {request} and crashes"));
            running.arrivals.lock().unwrap().push(Instant::now());
            if !has_crashed.swap(true, Ordering::SeqCst) {
                let _ = running.crashes.send(own.clone());
            }
            let worker = running.workers.lock().unwrap().get(&own).cloned();
            if let Some(worker) = worker {
                worker.crash();
            }
            return false;
        }
        thread::sleep(WORK);
        let text = worker::answer_head(head, "Content-Length: 2\r\n");
        conn.send(format!("{text}ok").as_bytes()).is_ok()
    });
    let worker = Arc::new(Worker::start(&setup.store, &id, "portal", handler));
    stage.workers.lock().unwrap().insert(id, worker);
}

fn start_gateways(setup: &Setup) -> Option<Vec<fleet::Gateway>> {
    let numbers = 0..GATEWAYS;
    numbers
        .map(|number| setup.start_gateway(&format!("front-{number}")))
        .collect()
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    setup.store.set_staleness(STALENESS);
    let (crashes, crashed) = mpsc::channel();
    let stage = Arc::new(Stage {
        workers: Workers::default(),
        crashes,
        arrivals: Arc::default(),
        count: AtomicU32::new(0),
    });
    for _ in 0..WORKERS {
        start_worker(setup, &stage);
    }
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let (is_over, stage) = (&is_over, &stage);
        scope.spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let Ok(id) = crashed.recv_timeout(Duration::from_millis(100)) else {
                    continue;
                };
                scope.spawn(move || {
                    thread::sleep(BACK_TIME);
                    start_worker(setup, stage);
                    setup.store.remove(&format!("servers/{id}"));
                });
            }
        });
        let held = play_stage(setup, stage);
        is_over.store(true, Ordering::SeqCst);
        held
    })
}

fn play_stage(setup: &Setup, stage: &Arc<Stage>) -> Option<bool> {
    let mut gateways = start_gateways(setup)?;
    thread::sleep(Duration::from_secs(10));
    let send = |gateway: &fleet::Gateway, id: &str| {
        let text = client::request("POST", "/book/1", id, DEADLINE_MS, "", DEADLY);
        let answer = client::ask(gateway.front, &text, Duration::from_millis(DEADLINE_MS));
        let status = answer.map_or(0, |it| it.status);
        setup.record.line(&format!("client: {id} is answered {status}"));
    };
    // The request comes again at one gateway after the other until it reaches no worker any more.
    for number in 0..GATEWAYS {
        send(&gateways[number], &format!("deadly-{number}"));
        thread::sleep(Duration::from_millis(500));
    }
    let arrivals = stage.arrivals.lock().unwrap().clone();
    setup.record.say(&format!(
        "it crashed {} workers before it was refused",
        arrivals.len()
    ));
    let third = *arrivals.get(2)?;
    if setup.has_trouble {
        setup.record.line("all gateways are killed at the same moment");
        for gateway in &gateways {
            gateway.process.signal("-KILL");
        }
        drop(gateways);
        thread::sleep(Duration::from_millis(500));
        gateways = start_gateways(setup)?;
        setup.record.line("all gateways run and are ready again");
    }
    for wave in 0..4 {
        thread::sleep(STABLE + Duration::from_secs(1));
        thread::scope(|scope| {
            for (number, gateway) in gateways.iter().enumerate() {
                scope.spawn(move || send(gateway, &format!("deadly-{wave}-at-{number}")));
            }
        });
    }
    let arrivals = stage.arrivals.lock().unwrap();
    let late = arrivals
        .iter()
        .filter(|at| at.saturating_duration_since(third) > STABLE)
        .count();
    setup.record.say(&format!(
        "it reached workers {late} times later than {} ms after it had crashed the third",
        STABLE.as_millis()
    ));
    Some(late <= ALLOWED)
}
