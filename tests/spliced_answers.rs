//! Backend servers that cut their answers off, write one twice, or send other bytes in the middle of one:
//! what callers receive.

mod gateway_world;

use std::{cell::RefCell, rc::Rc};

use fulmarproxy::{
    standin::scripted_server::{ReceivedRequest, Step, signed_head},
    transport::h1::body::Framing,
};
use gateway_world::{TestEnv, configuration, read_response, request_text, run_test};

const AMPLE_BUDGET: u64 = 100_000_000;
const TIMEOUT_MS: u64 = 3000;
const USAGE: &str = "X-Token-Usage: 100,60\r\n";
const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";
const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Le";

/// Events that a server sends before it breaks its first answer off.
const RELAYED: u32 = 3;

fn events(ids: std::ops::Range<u32>) -> String {
    ids.map(|id| format!("id: {id}\ndata: word\n\n")).collect()
}

/// An answer with a status line, header lines and a body, in one piece.
fn answer(head: &str, lines: &str, framing: Framing, body: &str) -> String {
    match framing {
        Framing::Length(_) => format!("{head}{lines}Content-Length: {}\r\n\r\n{body}", body.len()),
        Framing::Close => format!("{head}{lines}\r\n{body}"),
        Framing::Chunked => {
            let mut text = format!("{head}{lines}Transfer-Encoding: chunked\r\n\r\n");
            // Two chunks, so that one ends inside the body.
            for chunk in [&body[..body.len() / 2], &body[body.len() / 2..]] {
                if !chunk.is_empty() {
                    text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
                }
            }
            text + "0\r\n\r\n"
        }
    }
}

fn any_length() -> Framing {
    Framing::Length(0)
}

/// What a server sends for a request, given the status line and signature of a success, and whether it
/// closes the connection after it.
type Script = Rc<dyn Fn(&str) -> (String, bool)>;

/// A server's scripts for requests that begin a stream or none, and for those that resume one.
#[derive(Clone)]
struct Plan {
    first: Script,
    resumed: Script,
}

fn script(text: impl Fn(&str) -> (String, bool) + 'static) -> Script {
    Rc::new(text)
}

/// A first answer that is broken off after [`RELAYED`] events.
fn broken_off() -> Script {
    script(|head| {
        let whole = answer(head, EVENT_STREAM, Framing::Chunked, &events(0..RELAYED));
        let cut = whole.len() - "0\r\n\r\n".len();
        (whole[..cut].to_owned(), true)
    })
}

/// Starts two servers of a service that follow the same plan, which a test replaces.
async fn start_servers(env: &TestEnv, service: &str, plan: &Rc<RefCell<Plan>>) {
    for _ in 0..2 {
        let plan = plan.clone();
        let answer = move |request: &ReceivedRequest| {
            let plan = plan.borrow();
            let script = match request.head.headers.text("Last-Event-Id") {
                Some(_) => &plan.resumed,
                None => &plan.first,
            };
            let (text, closes) = script(&signed_head(request, 200));
            let mut steps = vec![Step::Send(text.into_bytes())];
            steps.extend(closes.then_some(Step::Close));
            steps
        };
        env.start_server(service, answer).await;
    }
}

/// Header lines of a success without those that sign it.
fn unsigned(head: &str) -> String {
    head.replace("X-Response-Signature: s\r\n", "")
}

/// Answers to a request for the rest of a stream after event 2 that are not the rest, with the end of the
/// events that belong to it.
fn wrong_continuations() -> Vec<(&'static str, Script, u32)> {
    let status = |status: &'static str| {
        script(move |head| {
            let head = head.replace("200 X", status);
            (answer(&head, "", any_length(), "failed\n\n"), false)
        })
    };
    vec![
        ("500", status("500 X"), RELAYED),
        ("502", status("502 X"), RELAYED),
        ("400", status("400 X"), RELAYED),
        ("404", status("404 X"), RELAYED),
        ("409", status("409 X"), RELAYED),
        ("422", status("422 X"), RELAYED),
        (
            "unsigned",
            script(|head| {
                (
                    answer(&unsigned(head), "", any_length(), "failed\n\n"),
                    false,
                )
            }),
            RELAYED,
        ),
        (
            "rejection",
            script(|head| {
                let head = unsigned(head).replace("200 X", "503 X");
                (
                    answer(&head, "X-Not-Executed: 1\r\n", any_length(), "full\n\n"),
                    false,
                )
            }),
            RELAYED,
        ),
        (
            "another type",
            script(|head| {
                let lines = "Content-Type: application/json\r\n";
                (answer(head, lines, any_length(), "{}"), false)
            }),
            RELAYED,
        ),
        (
            "a head that is cut",
            script(|_| (CUT_HEAD.to_owned(), true)),
            RELAYED,
        ),
        (
            "nothing until the time limit",
            script(|_| (String::new(), false)),
            RELAYED,
        ),
        (
            "text without a type",
            script(|head| (answer(head, "", any_length(), "internal error\n\n"), false)),
            RELAYED,
        ),
        (
            "text that looks like a field",
            script(|head| (answer(head, "", any_length(), "error: internal\n\n"), false)),
            RELAYED,
        ),
        (
            "text as data",
            script(|head| {
                let body = "data: {\"error\": \"internal\"}\n\n";
                (answer(head, EVENT_STREAM, any_length(), body), false)
            }),
            RELAYED,
        ),
        (
            "nothing, without a type",
            script(|head| (answer(head, "", any_length(), ""), false)),
            RELAYED,
        ),
        (
            "another answer behind an event",
            script(|head| {
                let second = answer(&head.replace("200 X", "500 X"), "", any_length(), "failed");
                let body = events(RELAYED..RELAYED + 1) + second.as_str();
                (answer(head, "", Framing::Close, &body), true)
            }),
            RELAYED + 1,
        ),
        (
            "another answer as a chunk",
            script(|head| {
                let second = answer(&head.replace("200 X", "500 X"), "", any_length(), "failed");
                let chunk = format!("{:x}\r\n{second}\r\n", second.len());
                let head = format!("{head}{EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n");
                (head + chunk.as_str() + "0\r\n\r\n", false)
            }),
            RELAYED,
        ),
        (
            "all events from the first",
            script(|head| {
                (
                    answer(head, EVENT_STREAM, any_length(), &events(0..5)),
                    false,
                )
            }),
            RELAYED,
        ),
    ]
}

/// Guards against a stream that goes on with the answer of a server that failed, or ends there as complete
/// (ORDER, MIXED).
#[test]
fn a_stream_goes_on_with_its_own_events_only() {
    for (case, resumed, end) in wrong_continuations() {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let first = broken_off();
            let plan = Rc::new(RefCell::new(Plan { first, resumed }));
            start_servers(&env, "model", &plan).await;
            let got = env.send("POST", "/ask/1", USAGE, "prompt").await;
            let text = String::from_utf8_lossy(&got.body);
            assert_eq!((got.status, &*text), (200, &*events(0..end)), "{case}");
            assert!(!got.whole, "{case}");
        });
    }
}

/// Guards against breaking off a stream that its next server goes on with properly.
#[test]
fn a_stream_goes_on_at_the_next_server() {
    let rest = |head: &str| (answer(head, "", Framing::Close, &events(RELAYED..5)), true);
    let chunks = |head: &str| {
        let body = format!(": resumed\n\n{}", events(RELAYED..5));
        (answer(head, EVENT_STREAM, Framing::Chunked, &body), false)
    };
    // The first server was broken off between its last event and the end of its answer.
    let nothing = |head: &str| (answer(head, EVENT_STREAM, any_length(), ""), false);
    let cases = [
        (script(rest), 5),
        (script(chunks), 5),
        (script(nothing), RELAYED),
    ];
    for (resumed, end) in cases {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let first = broken_off();
            let plan = Rc::new(RefCell::new(Plan { first, resumed }));
            start_servers(&env, "model", &plan).await;
            let got = env.send("POST", "/ask/1", USAGE, "prompt").await;
            let text = String::from_utf8_lossy(&got.body).replace(": resumed\n\n", "");
            assert_eq!((got.status, text, got.whole), (200, events(0..end), true));
        });
    }
}

/// Guards against a first answer that is no stream and reaches the caller as one (MIXED, ORDER).
#[test]
fn a_stream_begins_with_an_event() {
    let texts = ["internal error\n\n", "error: internal\n\n", ""];
    for path in ["/ask/1", "/draft/1"] {
        for text in texts {
            run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
                let first = script(|head| (answer(head, "", any_length(), text), false));
                let resumed = first.clone();
                let plan = Rc::new(RefCell::new(Plan { first, resumed }));
                start_servers(&env, "model", &plan).await;
                let got = env.send("POST", path, USAGE, "prompt").await;
                assert_eq!(got.status, 502, "{path}: {text:?}");
            });
        }
    }
}

/// Guards against a second answer that becomes part of the body before it (MIXED).
#[test]
fn an_answer_without_length_ends_before_a_second_answer() {
    const BODY: &str = "booked\n";
    for (path, service) in [
        ("/book/1", "plain"),
        ("/look/1", "plain"),
        ("/draft/1", "model"),
    ] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let body = match service {
                "model" => events(0..RELAYED),
                _ => BODY.to_owned(),
            };
            let sent = body.clone();
            let first = script(move |head| {
                let second = answer(&head.replace("200 X", "503 X"), "", any_length(), "full");
                (
                    answer(head, "", Framing::Close, &format!("{sent}{second}")),
                    true,
                )
            });
            let resumed = first.clone();
            let plan = Rc::new(RefCell::new(Plan { first, resumed }));
            start_servers(&env, service, &plan).await;
            let got = env.send("POST", path, USAGE, "prompt").await;
            let text = String::from_utf8_lossy(&got.body).into_owned();
            assert!(got.status == 502 || text == body, "{path}: {text:?}");
            assert!(got.status == 502 || !got.whole, "{path}");
        });
    }
}

/// Guards against a 200 whose server stopped within the head of its answer (MIXED, ORDER): as the first
/// answer on a connection, as a later one, and after an interim response.
#[test]
fn an_answer_that_is_cut_within_its_head_is_none() {
    const LINES: &str = "Content-Type: text/event-stream\r\nContent-Length: 0\r\n";
    for (path, service) in [
        ("/book/1", "plain"),
        ("/look/1", "plain"),
        ("/draft/1", "model"),
    ] {
        for before in ["", "HTTP/1.1 103 Early\r\n\r\n"] {
            run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
                let whole = script(|head| (answer(head, "", any_length(), &events(0..1)), false));
                let resumed = whole.clone();
                let first = whole.clone();
                let plan = Rc::new(RefCell::new(Plan { first, resumed }));
                start_servers(&env, service, &plan).await;
                let head_len = signed_head_len() + LINES.len() + 2;
                for cut in 0..head_len {
                    plan.borrow_mut().first = script(move |head| {
                        let text = format!("{head}{LINES}\r\n");
                        (format!("{before}{}", &text[..cut]), true)
                    });
                    let got = env.send("POST", path, USAGE, "prompt").await;
                    assert_eq!(got.status, 502, "{path} cut at {cut}");
                    // Puts connections into the pool that have carried a request.
                    plan.borrow_mut().first = whole.clone();
                    let mut caller = env.connect().await;
                    let text = request_text("POST", path, USAGE, "prompt");
                    let text = text.replace("X-Request-Id: r1", &format!("X-Request-Id: w{cut}"));
                    caller.write(text.as_bytes()).await.unwrap();
                    let kept = read_response(&mut caller, "POST").await;
                    assert_eq!((kept.status, kept.whole), (200, true), "{path} after {cut}");
                }
            });
        }
    }
}

fn signed_head_len() -> usize {
    "HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Response-Signature: s\r\n".len()
}
