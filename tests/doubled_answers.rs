//! Backend servers that answer twice, late, or without naming the request: what runs, and what callers
//! receive.

mod gateway_world;

use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use fulmarproxy::standin::scripted_server::{self, ReceivedRequest, Step};
use gateway_world::{TestEnv, configuration, read_response, request_text, run_test};

const AMPLE_BUDGET: u64 = 100_000_000;
const TIMEOUT_MS: u64 = 3000;
const RUN_TIME: Duration = Duration::from_millis(5);
const ROUNDS: u32 = 16;

/// What a server did with the requests that it received.
#[derive(Default)]
struct Record {
    /// Number of requests received.
    received: u32,
    /// Times that each request ran, by its id.
    runs: HashMap<String, u32>,
    /// Second copies of answers that are still to be sent, by connection.
    late: HashMap<u32, Vec<u8>>,
}

fn id(request: &ReceivedRequest) -> &str {
    request
        .head
        .headers
        .text("X-Request-Id")
        .unwrap_or_default()
}

/// A rejection, which names the request if `named`.
fn rejection(request: &ReceivedRequest, named: bool) -> Vec<u8> {
    let name = match named {
        true => format!("X-Request-Id: {}\r\n", id(request)),
        false => String::new(),
    };
    format!("HTTP/1.1 503 Busy\r\n{name}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// Starts a server that turns away the requests for which `rejects` returns whether the rejection names
/// the request, and that sends each rejection again before the next answer on its connection.
async fn start_doubling_server(
    env: &TestEnv,
    service: &str,
    rejects: impl Fn(&ReceivedRequest, u32) -> Option<bool> + 'static,
) -> Rc<RefCell<Record>> {
    let record = Rc::new(RefCell::new(Record::default()));
    let noting = record.clone();
    let stream = service == "model";
    let answer = move |request: &ReceivedRequest| {
        let mut record = noting.borrow_mut();
        record.received += 1;
        let late = record.late.remove(&request.connection);
        let mut steps: Vec<_> = late.into_iter().map(Step::Send).collect();
        match rejects(request, record.received) {
            Some(named) => {
                let bytes = rejection(request, named);
                record.late.insert(request.connection, bytes.clone());
                steps.push(Step::Send(bytes));
            }
            None => {
                *record.runs.entry(id(request).to_owned()).or_default() += 1;
                steps.push(Step::Wait(RUN_TIME));
                steps.extend(match stream {
                    true => scripted_server::signed_event_stream(request, 0..2, Duration::ZERO),
                    false => scripted_server::signed_response(request, 200, "done"),
                });
            }
        }
        steps
    };
    env.start_server(service, answer).await;
    record
}

/// Sends a request with this id, empty for none; returns the status of the answer.
async fn send_as(env: &TestEnv, path: &str, request: &str) -> u16 {
    let mut conn = env.connect().await;
    let line = match request {
        "" => String::new(),
        id => format!("X-Request-Id: {id}\r\n"),
    };
    let text = request_text("POST", path, "", "a commission");
    let text = text.replace("X-Request-Id: r1\r\n", &line);
    conn.write(text.as_bytes()).await.unwrap();
    read_response(&mut conn, "POST").await.status
}

fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Guards against requests that run though a refusal said that they had not (REFUSED).
#[test]
fn a_second_copy_of_a_rejection_refuses_no_request_that_runs() {
    for (service, path) in [("plain", "/book/1"), ("model", "/draft/1")] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let seen = RefCell::new(HashSet::new());
            let rejects = move |request: &ReceivedRequest, _| {
                let is_first = seen.borrow_mut().insert(id(request).to_owned());
                is_first.then_some(true)
            };
            let record = start_doubling_server(&env, service, rejects).await;
            let full = |request: &_| vec![Step::Send(rejection(request, true))];
            env.start_server(service, full).await;
            for number in 0..ROUNDS {
                let booking = format!("b{number}");
                let status = send_as(&env, path, &booking).await;
                let runs = record.borrow().runs.get(&booking).copied().unwrap_or(0);
                let case = format!("{path}: {booking} ran {runs} times, answered {status}");
                assert!(runs == 0 || !promises_not_run(status), "{case}");
            }
        });
    }
}

/// Guards against a second run of a request that may run once only (TWICE).
#[test]
fn a_second_copy_of_a_rejection_makes_no_request_run_twice() {
    for (service, path) in [("plain", "/book/1"), ("model", "/draft/1")] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let rejects = |_: &_, number| (number == 1).then_some(true);
            let record = start_doubling_server(&env, service, rejects).await;
            let status = send_as(&env, path, "b1").await;
            assert_eq!((status, record.borrow().runs["b1"]), (200, 1), "{path}");
        });
    }
}

/// Guards against believing an answer that names no request and came to an earlier one.
#[test]
fn an_unnamed_copy_of_a_rejection_says_nothing_of_the_next_request() {
    for (service, path) in [("plain", "/book/1"), ("model", "/draft/1")] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            // Requests without an id are turned away without one.
            let rejects = |request: &ReceivedRequest, _| id(request).is_empty().then_some(false);
            let record = start_doubling_server(&env, service, rejects).await;
            for number in 0..ROUNDS {
                send_as(&env, path, "").await;
                let booking = format!("b{number}");
                let status = send_as(&env, path, &booking).await;
                let runs = record.borrow().runs.get(&booking).copied().unwrap_or(0);
                assert!(runs <= 1, "{booking} ran {runs} times");
                assert!(
                    runs == 0 || !promises_not_run(status),
                    "{booking}: {status}"
                );
            }
        });
    }
}

/// Guards against the same by a rejection that should name its request and doesn't.
#[test]
fn an_unnamed_rejection_of_a_named_request_says_nothing_of_the_next_one() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let rejects =
            |request: &ReceivedRequest, _| id(request).starts_with("full").then_some(false);
        let record = start_doubling_server(&env, "plain", rejects).await;
        for number in 0..ROUNDS {
            // 502 where the rejection may be the answer to an earlier request.
            let full = format!("full-{number}");
            let status = send_as(&env, "/book/1", &full).await;
            let runs = record.borrow().runs.get(&full).copied();
            assert!(matches!((status, runs), (502 | 503, None)), "{status}");
            let booking = format!("b{number}");
            let status = send_as(&env, "/book/1", &booking).await;
            assert_eq!((status, record.borrow().runs[&booking]), (200, 1));
        }
    });
}
