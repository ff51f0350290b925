//! A worker that is emptied and taken away while it sends streams without a length.

use std::{
    collections::BTreeMap,
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Setup, client, fleet,
    http::{Conn, End, Head},
    worker,
};

/// Events of a stream, and the time from one to the next.
const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between the notice and the end of the worker.
const NOTICE: Duration = Duration::from_secs(2);

/// Workers that stay; one in ten leaves.
const STAYING: u32 = 9;

/// One in so many answers of a worker has no length; those of the others do.
const UNFRAMED: u32 = 20;

const ROUNDS: u32 = 4;
const STREAMS: u32 = 360;
const DEADLINE_MS: u64 = 12_000;

/// Longest gap between events that a client bears: eight times the pause of the route.
const PATIENCE: Duration = Duration::from_millis(3200);

/// Runs a worker as a process of its own: prints its address and logs its runs to a file.
pub fn run_worker(id: &str, log: &str) {
    let count = AtomicU32::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a worker");
    println!("{}", listener.local_addr().expect("its address"));
    let log = Mutex::new(fs::File::create(log).expect("a log"));
    let handler: Arc<worker::Handler> = Arc::new(move |conn: &mut Conn, head: &Head| {
        let note = |text: String| {
            let _ = writeln!(log.lock().unwrap(), "{text}");
        };
        let id = head.get("X-Request-Id");
        // An answer without a length ends with its connection.
        let is_unframed = count.fetch_add(1, Ordering::SeqCst) % UNFRAMED == UNFRAMED - 1;
        note(format!(
            "{id} runs {}",
            if is_unframed { "unframed" } else { "chunked" }
        ));
        let framing = match is_unframed {
            true => "Content-Type: text/event-stream\r\nConnection: close\r\n",
            false => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
        };
        if conn.send(worker::answer_head(head, framing).as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let mut event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            if !is_unframed {
                event = format!("{:x}\r\n{event}\r\n", event.len());
            }
            if conn.send(event.as_bytes()).is_err() {
                note(format!("{id} is dropped"));
                return false;
            }
            note(format!("{id} event {number}"));
        }
        note(format!("{id} ends"));
        !is_unframed && conn.send(b"0\r\n\r\n").is_ok()
    });
    let is_stopped = Arc::new(AtomicBool::new(false));
    worker::serve(&listener, id, &handler, &is_stopped, &Arc::default());
}

struct Process {
    child: fleet::Process,
    id: String,
    address: SocketAddr,
    log: String,
}

fn start_worker(setup: &Setup, id: &str) -> Option<Process> {
    let log = setup.path(&format!("{id}.log"));
    let program = std::env::current_exe().ok()?;
    let mut child: Child = Command::new(program)
        .args(["stream-worker", id, &log])
        .stdout(Stdio::piped())
        .spawn()
        .ok()?;
    let mut line = String::new();
    BufReader::new(child.stdout.take()?).read_line(&mut line).ok()?;
    Some(Process {
        child: fleet::Process::new(child),
        id: id.to_owned(),
        address: line.trim().parse().ok()?,
        log,
    })
}

fn list(setup: &Setup, process: &Process, state: &str) {
    let entry = worker::entry("model", process.address, state);
    setup.store.put(&format!("servers/{}", process.id), &entry);
    setup.record.line(&format!("{} is listed as {state}", process.id));
}

/// Events that a worker's log names for each stream.
fn logged_events(process: &Process) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    let text = fs::read_to_string(&process.log).unwrap_or_default();
    for line in text.lines() {
        let mut words = line.split(' ');
        let (id, what) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        *counts.entry(id.to_owned()).or_insert(0) += u32::from(what == "event");
    }
    counts
}

/// Plays the case; returns whether the rule held.
pub fn play(setup: &Setup) -> Option<bool> {
    let mut staying = Vec::new();
    for number in 0..STAYING {
        let process = start_worker(setup, &format!("i-stays-{number}"))?;
        list(setup, &process, "ready");
        staying.push(process);
    }
    let gateway = setup.start_gateway("front-1")?;
    let (mut broken, mut cut) = (0, 0);
    for round in 0..ROUNDS {
        let leaving = start_worker(setup, &format!("i-leaves-{round}"))?;
        list(setup, &leaving, "ready");
        thread::sleep(Duration::from_millis(2500));
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (record, front) = (setup.record.clone(), gateway.front);
                let id = format!("stream-{round}-{number}");
                thread::spawn(move || {
                    let extra = format!(
                        "X-Model: m\r\nX-Token-Usage: 1460,240\r\nX-Prompt-Prefix: {:x}:1460\r\n",
                        round * 1000 + number + 1
                    );
                    let text = client::request("POST", "/brief/1", &id, DEADLINE_MS, &extra, "{}");
                    record.line(&format!("client: sends {id}"));
                    let answer = client::ask(front, &text, PATIENCE)?;
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    let events = body.lines().filter(|it| it.starts_with("id:")).count() as u32;
                    let (status, end, took) = (answer.status, answer.end, answer.took.as_millis());
                    record.line(&format!(
                        "client: {id}: status {status}, {events} events, {end:?} after {took} ms"
                    ));
                    Some((id, status, events, end))
                })
            })
            .collect();
        let noticed = Instant::now();
        thread::sleep(Duration::from_millis(500));
        if setup.has_trouble {
            list(setup, &leaving, "draining");
            thread::sleep(NOTICE);
            leaving.child.signal("-KILL");
            setup
                .record
                .line(&format!("{} is taken away (SIGKILL)", leaving.id));
        }
        let answers: Vec<_> = clients
            .into_iter()
            .filter_map(|it| it.join().ok().flatten())
            .collect();
        setup.record.line(&format!(
            "round {round} took {} ms",
            noticed.elapsed().as_millis()
        ));
        let sent = logged_events(&leaving);
        for (id, status, events, end) in answers {
            let Some(made) = sent.get(&id) else { continue };
            setup
                .record
                .line(&format!("{}: made {made} of {EVENTS} events of {id}", leaving.id));
            if *made < EVENTS {
                cut += 1;
            }
            if status == 200 && end == End::Complete && events < EVENTS {
                broken += 1;
                setup.record.say(&format!(
                    "{id} ends as complete after {events} of {EVENTS} events"
                ));
            }
        }
        setup.store.remove(&format!("servers/{}", leaving.id));
    }
    setup.record.say(&format!(
        "{cut} streams were cut off with their worker; {broken} of them ended as complete"
    ));
    if setup.has_trouble && cut == 0 {
        return None;
    }
    Some(broken == 0)
}
