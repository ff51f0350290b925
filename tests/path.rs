//! Chat requests through a router, agents and engines that run as processes of their own: they are
//! answered completely, billed once, and refused with a wrong key.

mod common;

use serde_json::{Value, json};

fn small_fleet() -> common::Fleet {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_agent("fortelling", 100);
    fleet.add_agent("fortelling", 100);
    fleet.wait_ready(0, 2);
    fleet
}

fn chat_request(stream: bool) -> Value {
    json!({
        "model": "quick",
        "messages": [{ "role": "user", "content": "when is the brief due" }],
        "max_tokens": 20,
        "stream": stream,
    })
}

#[test]
fn a_complete_answer_is_billed_once() {
    let fleet = small_fleet();
    let (status, body) = fleet.chat(0, "fjordforlaget-key", &chat_request(false));
    assert_eq!(status, 200, "{body}");
    let answer: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(answer["usage"]["completion_tokens"], 20);
    let tokens = fleet.engine_tokens();
    // 5 tokens of the prompt and 20 of the answer.
    assert_eq!(tokens, 25);
    common::wait_for("the bill", || {
        fleet.billed_tokens("fjordforlaget") == tokens
    });
}

#[test]
fn a_stream_ends_with_its_done_event() {
    let fleet = small_fleet();
    let (status, body) = fleet.chat(0, "nordlysbok-key", &chat_request(true));
    assert_eq!(status, 200, "{body}");
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    common::wait_for("the bill", || fleet.billed_tokens("nordlysbok") == 25);
}

#[test]
fn a_wrong_key_is_refused_as_not_run() {
    let fleet = small_fleet();
    let (status, body) = fleet.chat(0, "nobody", &chat_request(false));
    assert_eq!(status, 401);
    let refusal: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(refusal["error"]["code"], 101);
    assert_eq!(refusal["error"]["run"], "not run");
    assert_eq!(fleet.engine_tokens(), 0);
}
