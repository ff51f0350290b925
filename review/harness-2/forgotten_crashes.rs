//! A request crashes every worker that runs it, and comes again at every gateway. All gateways are killed once.
//! It must not reach workers again and again after it has crashed the third.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    fleet::{self, Ports, Process},
    http::{self, Conn, Message, Server},
    record::Record,
    store::Store,
};

const WORKERS: u8 = 8;
const GATEWAYS: u8 = 3;
/// Time between two rounds; in each, a copy of the request comes at each gateway.
const ROUND: Duration = Duration::from_millis(6200);
const ROUNDS: u32 = 7;
/// Time at which all gateways are killed, 1 s after the second round, and how long they are down.
const KILL: Duration = Duration::from_millis(7200);
const DOWN: Duration = Duration::from_secs(2);
/// Time after which a crashed worker is back.
const BACK: Duration = Duration::from_secs(2);
/// Retries that the rule allows.
const ALLOWED: usize = 3;

struct Worker {
    id: String,
    address: SocketAddr,
    born: AtomicU64,
    server: Mutex<Option<Arc<Server>>>,
    /// When the request reached this worker.
    crashes: Arc<Mutex<Vec<Duration>>>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Worker {
    fn start(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the worker's address is free");
        let serving = self.clone();
        let server = http::serve(listener, move |conn, req| serving.answer(conn, &req));
        *self.server.lock().unwrap() = Some(server);
        let entry = format!(
            "{{\"service\":\"portal\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\"born\":{}}}",
            self.address,
            self.born.fetch_add(1, Ordering::SeqCst)
        );
        let key = format!("servers/{}", self.id);
        self.store.put(&key, entry.as_bytes());
        self.record.note(&format!("{} is ready", self.id));
    }

    fn answer(self: &Arc<Self>, conn: &mut Conn, req: &Message) -> bool {
        let id = req.header("X-Request-Id");
        let echo = format!("X-Request-Id: {id}\r\n");
        if req.header("X-Expect-Instance") != self.id {
            let refusal = http::response("421 Misdirected Request", &echo, "");
            return conn.write(&refusal).is_ok();
        }
        if !req.word(1).ends_with("/deadly") {
            let signature = format!("{echo}X-Response-Signature: {}.{id}\r\n", self.id);
            let answer = http::response("200 OK", &signature, "booked");
            return conn.write(&answer).is_ok();
        }
        let Some(server) = self.server.lock().unwrap().take() else {
            // Its process has ended already.
            return false;
        };
        self.crashes.lock().unwrap().push(self.record.now());
        self.record
            .note(&format!("{} runs {id} and crashes", self.id));
        server.close();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(BACK);
            worker.start();
        });
        false
    }
}

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
    let crashes = Arc::new(Mutex::new(Vec::new()));
    for number in 1..=WORKERS {
        let worker = Arc::new(Worker {
            id: format!("i-{number}"),
            address: SocketAddr::new(fleet::side_ip(number), ports.app()),
            born: AtomicU64::new(1_700_000_000_000),
            server: Mutex::default(),
            crashes: crashes.clone(),
            record: record.clone(),
            store: store.clone(),
        });
        worker.start();
    }
    let mut gateways: Vec<Process> = (1..=GATEWAYS)
        .map(|number| Process::gateway(folder, number, ports, store.addresses[0]))
        .collect();
    gateways.iter_mut().for_each(Process::start);
    if !gateways.iter().all(Process::wait_ready) {
        return Outcome::Unable("a gateway is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let began = record.now();
    let fronts: Vec<_> = gateways.iter().map(|it| it.front).collect();
    let client = thread::spawn({
        let record = record.clone();
        move || {
            for round in 0..ROUNDS {
                thread::sleep((began + ROUND * round).saturating_sub(record.now()));
                let sends: Vec<_> = fronts
                    .iter()
                    .enumerate()
                    .map(|(number, front)| {
                        let (record, front) = (record.clone(), *front);
                        let id = format!("r{round:02}-{}", number + 1);
                        thread::spawn(move || send(&record, front, &id, "deadly"))
                    })
                    .collect();
                sends.into_iter().for_each(|it| drop(it.join()));
                // An ordinary request shows that the gateways serve.
                thread::sleep(Duration::from_millis(2500));
                send(&record, fronts[0], &format!("o{round:02}"), "ordinary");
            }
        }
    });
    if has_trouble {
        thread::sleep((began + KILL).saturating_sub(record.now()));
        gateways.iter_mut().for_each(Process::kill);
        record.result("all gateways are killed");
        thread::sleep(DOWN);
        gateways.iter_mut().for_each(Process::start);
        record.note("all gateways are started again");
    }
    let _ = client.join();
    if gateways.iter_mut().any(Process::has_ended) {
        return Outcome::Unable("a gateway ended by itself".to_owned());
    }
    let crashes = crashes.lock().unwrap().clone();
    let killed = has_trouble.then_some(began + KILL);
    judge(record, &crashes, killed)
}

fn judge(record: &Record, crashes: &[Duration], killed: Option<Duration>) -> Outcome {
    let Some(third) = crashes.get(2) else {
        return Outcome::Unable("the request crashed fewer than three workers".to_owned());
    };
    let window = Duration::from_millis(fleet::STABLE_WINDOW_MS);
    // All gateways are killed at the same time, so that one is in touch when the others are.
    let is_in_touch =
        |at: Duration| killed.is_none_or(|kill| !(kill..kill + DOWN + window).contains(&at));
    let retries = crashes
        .iter()
        .filter(|at| **at > *third + window && is_in_touch(**at));
    let retries = retries.count();
    record.result(&format!(
        "workers that the request crashed: {}; retries later than {} ms after the third, by machines in touch: \
         {retries}; allowed: {ALLOWED}",
        crashes.len(),
        window.as_millis()
    ));
    match retries > ALLOWED {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn send(record: &Record, front: SocketAddr, id: &str, name: &str) {
    let request = format!(
        "POST /book/{name} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
    );
    let deadline = Duration::from_millis(1500);
    let answer = http::send(front, request.as_bytes(), deadline, deadline);
    record.note(&format!("{id} {name}: {} {}", answer.status, answer.cut));
}
