//! Backend servers that cut their answers off, write one twice, or send other bytes in the middle of one:
//! what callers receive.

mod gateway_world;

use std::{cell::RefCell, rc::Rc};

use fulmarproxy::{
    standin::scripted_server::{ReceivedRequest, Step, signed_head},
    transport::h1::body::Framing,
};
use gateway_world::{Response, TestEnv, configuration, read_response, request_text, run_test};
use quickcheck::{Arbitrary, Gen, QuickCheck};

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

/// Guards against breaking off a stream that can't be resumed, since its caller names an event of an earlier one.
#[test]
fn a_stream_that_cannot_be_resumed_may_begin_anew() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let first = script(|head| {
            (
                answer(head, EVENT_STREAM, any_length(), &events(0..5)),
                false,
            )
        });
        let resumed = first.clone();
        let plan = Rc::new(RefCell::new(Plan { first, resumed }));
        start_servers(&env, "model", &plan).await;
        let extra = format!("{USAGE}Last-Event-Id: 2\r\n");
        let got = env.send("POST", "/draft/1", &extra, "prompt").await;
        let text = String::from_utf8_lossy(&got.body);
        assert_eq!((got.status, &*text, got.whole), (200, &*events(0..5), true));
    });
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

/// Guards against a head that is cut within a line and goes on with the head of another answer: a 200 with the
/// body of that one, or a rejection of a request that ran (MIXED, REFUSED, TWICE).
#[test]
fn two_heads_in_one_are_no_answer() {
    let rejection = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let failure = "HTTP/1.1 500 X\r\nX-Request-Id: r1\r\nX-Response-Signature: s\r\n\
                   Content-Length: 5\r\n\r\nother";
    for other in [rejection, failure] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let first = script(|_| (CUT_HEAD.to_owned(), true));
            let resumed = first.clone();
            let plan = Rc::new(RefCell::new(Plan { first, resumed }));
            start_servers(&env, "plain", &plan).await;
            for cut in 1..signed_head_len() {
                plan.borrow_mut().first =
                    script(move |head| (format!("{}{other}", &head[..cut]), true));
                let got = env.send("POST", "/book/1", "", "a commission").await;
                assert_eq!(got.status, 502, "cut at {cut}, then {other:?}: {got:?}");
            }
        });
    }
}

/// What goes wrong with an answer.
#[derive(Clone, Copy, Debug)]
enum Damage {
    /// It is cut off.
    Cut,
    /// Another answer follows where it was cut off.
    Splice,
    /// It is sent twice.
    Double,
}

/// A damaged answer. The framing of a body that ends with its connection, or of a plain one with a length,
/// does not show some of the damage; such cases are not generated.
#[derive(Clone, Debug)]
struct Case {
    path: &'static str,
    framing: usize,
    damage: Damage,
    /// Place of the damage, as a part of the whole answer in 1/256.
    at: u8,
    other_status: u16,
}

const FRAMINGS: [Framing; 3] = [Framing::Length(0), Framing::Chunked, Framing::Close];

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Self {
        loop {
            let case = Self {
                path: g
                    .choose(&["/book/1", "/look/1", "/draft/1", "/ask/1"])
                    .unwrap(),
                framing: *g.choose(&[0, 1, 2]).unwrap(),
                damage: *g
                    .choose(&[Damage::Cut, Damage::Splice, Damage::Double])
                    .unwrap(),
                at: u8::arbitrary(g),
                other_status: *g.choose(&[200, 500, 503]).unwrap(),
            };
            let is_plain = matches!(case.path, "/book/1" | "/look/1");
            let is_shown = match (case.damage, case.framing) {
                (Damage::Cut, framing) => framing < 2,
                (Damage::Splice, framing) => framing == 1 || !is_plain && framing == 0,
                (Damage::Double, _) => true,
            };
            if is_shown {
                return case;
            }
        }
    }
}

/// Whether a caller got the server's whole answer, or what can't be taken for one.
fn is_sound(got: &Response, case: &Case, body: &str) -> bool {
    let text = String::from_utf8_lossy(&got.body);
    let is_stream = matches!(case.path, "/draft/1" | "/ask/1");
    match got.status {
        200 if got.whole => text == body,
        200 => is_stream && body.starts_with(&*text),
        status => status == 502,
    }
}

/// Guards against answers that are mixed from two, or cut, and look whole (MIXED, ORDER).
#[test]
fn a_damaged_answer_never_looks_whole() {
    fn holds(case: Case) -> bool {
        let sound = Rc::new(RefCell::new(false));
        let result = sound.clone();
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let is_stream = matches!(case.path, "/draft/1" | "/ask/1");
            let (service, body) = match is_stream {
                true => ("model", events(0..4)),
                false => ("plain", "what was booked".to_owned()),
            };
            let (damaged, sent) = (case.clone(), body.clone());
            let first = script(move |head| {
                let framing = FRAMINGS[damaged.framing];
                let whole = answer(head, "", framing, &sent);
                let status = format!("{} X", damaged.other_status);
                let other = answer(&head.replace("200 X", &status), "", any_length(), "other");
                // Not before the first byte, where the other answer would be the only one.
                let at = 1 + (whole.len() - 1) * usize::from(damaged.at) / 256;
                let text = match damaged.damage {
                    Damage::Cut => whole[..at].to_owned(),
                    Damage::Splice => format!("{}{other}", &whole[..at]),
                    Damage::Double => whole.repeat(2),
                };
                (text, true)
            });
            let resumed = script(|_| (CUT_HEAD.to_owned(), true));
            let plan = Rc::new(RefCell::new(Plan { first, resumed }));
            start_servers(&env, service, &plan).await;
            let got = env.send("POST", case.path, USAGE, "prompt").await;
            let is_sound = is_sound(&got, &case, &body);
            if !is_sound {
                println!("{case:?}: {got:?}");
            }
            *result.borrow_mut() = is_sound;
        });
        *sound.borrow()
    }
    QuickCheck::new()
        .tests(150)
        .quickcheck(holds as fn(Case) -> bool);
}
