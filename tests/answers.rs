//! Tests answers, repeats, cancellations and refusals with real processes.

mod common;

use std::io::{Read, Write};

use serde_json::{Value, json};

const WORKSPACE: &str = "fjordforlaget";
const WORKSPACE_KEY: &str = "fjordforlaget-key";

/// What a caller received: status 0 when the connection failed, and whether the body arrived whole.
struct CallerResult {
    status: u16,
    key: Option<String>,
    body: String,
    whole: bool,
}

impl CallerResult {
    fn error(&self) -> Value {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"].clone()
    }
}

async fn send(
    client: trillium_client::Client,
    address: String,
    path: &str,
    key: Option<&str>,
    body: &Value,
) -> CallerResult {
    let conn = client.post(format!("http://{address}{path}"));
    let mut conn = conn
        .with_request_header("authorization", format!("Bearer {WORKSPACE_KEY}"))
        .with_body(body.to_string());
    if let Some(key) = key {
        conn = conn.with_request_header("idempotency-key", key.to_owned());
    }
    if (&mut conn).await.is_err() {
        return CallerResult {
            status: 0,
            key: None,
            body: String::new(),
            whole: false,
        };
    }
    let status = conn.status().unwrap() as u16;
    let headers = conn.response_headers();
    let key = headers.get_str("idempotency-key").map(str::to_owned);
    let body = conn.response_body().read_string().await;
    CallerResult {
        status,
        key,
        whole: body.is_ok(),
        body: body.unwrap_or_default(),
    }
}

/// Sends a request to a router and waits for its result.
fn call(
    fleet: &common::Fleet,
    router: usize,
    path: &str,
    key: Option<&str>,
    body: &Value,
) -> CallerResult {
    let address = fleet.routers[router].address.clone();
    smol::block_on(send(fleet.client.clone(), address, path, key, body))
}

/// Sends a chat request in a background task.
fn spawn_chat(
    fleet: &common::Fleet,
    router: usize,
    key: Option<&'static str>,
    body: &Value,
) -> smol::Task<CallerResult> {
    let address = fleet.routers[router].address.clone();
    let (client, body) = (fleet.client.clone(), body.clone());
    smol::spawn(async move { send(client, address, CHAT, key, &body).await })
}

const CHAT: &str = "/v1/chat/completions";

/// Body of a chat request.
fn chat_body(text: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": "quick",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Starts routers and agents with a chat engine each, and waits until the routers are ready.
fn start_fleet(routers: usize, agents: usize, token_micros: u64) -> common::Fleet {
    let mut fleet = common::Fleet::start("haugland");
    for _ in 0..routers {
        fleet.add_router();
    }
    for _ in 0..agents {
        fleet.add_agent("fortelling", token_micros);
    }
    for router in 0..routers {
        fleet.wait_ready(router, agents);
    }
    fleet
}

/// The counters of one engine.
fn counts(fleet: &common::Fleet, engine: usize) -> Value {
    let url = format!("http://{}/counts", fleet.engines[engine].address);
    smol::block_on(fulmarproxy::transport::http::get(
        &fleet.client,
        "counts",
        &url,
    ))
    .unwrap()
}

/// Sum of one counter over all engines.
fn total(fleet: &common::Fleet, field: &str) -> u64 {
    let engines = 0..fleet.engines.len();
    engines
        .map(|engine| counts(fleet, engine)[field].as_u64().unwrap())
        .sum()
}

/// Number of runs of each request, with one entry for each engine that ran it.
fn runs(fleet: &common::Fleet) -> Vec<u64> {
    let engines = 0..fleet.engines.len();
    let by_id = engines.flat_map(|engine| {
        let counts = counts(fleet, engine);
        let runs = counts["runs"].as_object().unwrap().clone();
        runs.into_values().map(|count| count.as_u64().unwrap())
    });
    by_id.collect()
}

#[test]
fn a_repeat_at_another_router_gets_the_same_answer_and_is_billed_once() {
    let fleet = start_fleet(2, 3, 100);
    let body = chat_body("when is the brief due", 20, false);
    let first = call(&fleet, 0, CHAT, Some("k1"), &body);
    let again = call(&fleet, 1, CHAT, Some("k1"), &body);
    assert_eq!((first.status, again.status), (200, 200), "{}", again.body);
    assert_eq!(first.body, again.body);
    assert_eq!(runs(&fleet), [1]);
    let other = chat_body("another question", 20, false);
    let refused = call(&fleet, 1, CHAT, Some("k1"), &other);
    assert_eq!(
        (refused.status, &refused.error()["code"]),
        (409, &json!(104))
    );
    assert_eq!(refused.error()["run"], "not run");
    let ran = fleet.engine_tokens();
    common::wait_for("the bill", || fleet.billed_tokens(WORKSPACE) == ran);
}

#[test]
fn a_repeat_joins_the_running_stream_of_a_killed_router() {
    let mut fleet = start_fleet(2, 2, 5000);
    let body = chat_body("draft the opening scene", 200, true);
    let first = spawn_chat(&fleet, 0, Some("k2"), &body);
    common::wait_for("the run", || runs(&fleet) == [1]);
    fleet.routers[0].child.kill().unwrap();
    let broken = smol::block_on(first);
    assert!(!broken.whole || !broken.body.contains("[DONE]"));
    let again = call(&fleet, 1, CHAT, Some("k2"), &body);
    assert_eq!(again.status, 200, "{}", again.body);
    assert!(again.whole && again.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(again.body.matches("\"content\"").count(), 200);
    assert_eq!(runs(&fleet), [1]);
}

#[test]
fn the_call_of_a_disconnected_caller_is_cancelled_and_billed() {
    let fleet = start_fleet(1, 1, 20_000);
    let body = chat_body("a question nobody waits for", 500, true).to_string();
    let mut caller = std::net::TcpStream::connect(&fleet.routers[0].address).unwrap();
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    caller.write_all((head + body.as_str()).as_bytes()).unwrap();
    common::wait_for("the run", || runs(&fleet) == [1]);
    drop(caller);
    common::wait_for("the end of the run", || total(&fleet, "cancelled") == 1);
    common::wait_for("the bill", || {
        fleet.billed_tokens(WORKSPACE) >= fleet.engine_tokens()
    });
}

#[test]
fn a_request_that_crashes_engines_is_refused_and_others_are_answered() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_router();
    for _ in 0..4 {
        let crash = [
            "--crash-on",
            "poison",
            "--crash-soft",
            "--restart-ms",
            "400",
        ];
        let [engine, agent] = fleet.add_engine_and_agent("fortelling", 2000, &crash);
        assert_eq!(engine, agent);
    }
    fleet.wait_ready(0, 4);
    fleet.wait_ready(1, 4);
    let ask = |text: &str| chat_body(text, 40, false);
    let neighbours: Vec<_> = (0..12)
        .map(|number| {
            spawn_chat(
                &fleet,
                number % 2,
                None,
                &ask(&format!("question {number}")),
            )
        })
        .collect();
    let poison = spawn_chat(&fleet, 0, None, &ask("poison"));
    for neighbour in neighbours {
        let answered = smol::block_on(neighbour);
        assert_eq!(answered.status, 200, "{}", answered.body);
    }
    let first = smol::block_on(poison);
    assert_eq!(first.error()["run"], "may have run", "{}", first.body);
    common::wait_for("the refusal", || {
        (0..2).all(|router| {
            let again = call(&fleet, router, CHAT, Some("a new key"), &ask("poison"));
            again.error()["code"] == 306
        })
    });
    assert!(
        total(&fleet, "crashes") <= 2,
        "{}",
        total(&fleet, "crashes")
    );
}

#[test]
fn a_graceful_shutdown_completes_running_answers() {
    let fleet = start_fleet(1, 1, 5000);
    let body = chat_body("draft a scene", 200, true);
    let stream = spawn_chat(&fleet, 0, None, &body);
    common::wait_for("the run", || runs(&fleet) == [1]);
    fleet.agents[0].signal("-TERM");
    fleet.routers[0].signal("-TERM");
    let answered = smol::block_on(stream);
    assert!(answered.whole && answered.body.ends_with("data: [DONE]\n\n"));
    let ran = fleet.engine_tokens();
    common::wait_for("the bill", || fleet.billed_tokens(WORKSPACE) == ran);
}

/// Two routers and one agent whose backend server is a plain service.
fn plain_fleet() -> (common::Fleet, common::Process) {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_router();
    let service = fleet.add_plain_service("portal");
    fleet.wait_ready(0, 1);
    fleet.wait_ready(1, 1);
    (fleet, service)
}

/// Number of calls that a plain service has carried out.
fn calls_carried_out(fleet: &common::Fleet, service: &common::Process) -> u64 {
    let url = format!("http://{}/counts", service.address);
    let counts = fulmarproxy::transport::http::get(&fleet.client, "counts", &url);
    let counts: Value = smol::block_on(counts).unwrap();
    counts["calls"].as_u64().unwrap()
}

#[test]
fn a_call_that_must_not_be_repeated_runs_at_most_once() {
    let (mut fleet, service) = plain_fleet();
    let order = json!({ "commission": "cover" });
    let first = call(&fleet, 0, "/portal/orders", None, &order);
    assert_eq!(first.status, 200, "{}", first.body);
    let key = first.key.clone().expect("the answer names the key");
    let again = call(&fleet, 1, "/portal/orders", Some(&key), &order);
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(calls_carried_out(&fleet, &service), 1);

    let faults = json!({ "drop_answers": 1 });
    let faulty = fleet
        .client
        .post(format!("http://{}/faults", service.address));
    let set = smol::block_on(async { faulty.with_body(faults.to_string()).await.unwrap() });
    assert!(set.status().is_some_and(|status| status.is_success()));
    let lost = call(&fleet, 0, "/portal/orders", Some("booking"), &order);
    assert_eq!(lost.error()["run"], "may have run", "{}", lost.body);
    let repeat = call(&fleet, 1, "/portal/orders", Some("booking"), &order);
    assert_eq!(repeat.error()["code"], 403, "{}", repeat.body);
    assert_eq!(repeat.error()["run"], "may have run");
    assert_eq!(calls_carried_out(&fleet, &service), 2);

    let no_engine = call(&fleet, 0, CHAT, None, &chat_body("x", 500, false));
    assert_eq!(no_engine.error()["code"], 301, "{}", no_engine.body);
    fleet.platform.child.kill().unwrap();
    let refused = call(&fleet, 0, "/portal/orders", Some("late"), &order);
    assert_eq!(refused.error()["code"], 307, "{}", refused.body);
    assert_eq!(refused.error()["run"], "not run");
    assert_eq!(calls_carried_out(&fleet, &service), 2);
}

/// Sends raw bytes to a router and returns the status line of its answer, empty if it gave none.
fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer);
    text.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn bad_input_is_refused_and_never_runs() {
    let fleet = start_fleet(1, 1, 100);
    let address = &fleet.routers[0].address;
    let head =
        format!("POST {CHAT} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {WORKSPACE_KEY}\r\n");
    let good = chat_body("x", 1, false).to_string();
    let smuggled = format!(
        "{head}content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n{good}",
        good.len()
    );
    let twice = format!(
        "{head}content-length: 1\r\ncontent-length: {}\r\n\r\n{good}",
        good.len()
    );
    let large_head = format!(
        "{head}x-large: {}\r\ncontent-length: 0\r\n\r\n",
        "x".repeat(100_000)
    );
    let cut_short = format!("{head}content-length: {}\r\n\r\n{good}", good.len() + 5);
    for bytes in [
        smuggled,
        twice,
        large_head,
        cut_short,
        "\0\u{1}\r\n\r\n".to_owned(),
    ] {
        let status = send_raw(address, bytes.as_bytes());
        assert!(!status.contains(" 200"), "{status} to {:.200}", bytes);
    }
    let large = json!({ "model": "quick", "messages": [{ "content": "x".repeat(9 << 20) }] });
    let refused = call(&fleet, 0, CHAT, None, &large);
    assert!(
        refused.status == 413 || refused.status == 0,
        "{}",
        refused.status
    );
    let no_model = call(&fleet, 0, CHAT, None, &json!({ "model": "unknown" }));
    assert_eq!(no_model.error()["code"], 102, "{}", no_model.body);
    let no_object = call(&fleet, 0, CHAT, None, &json!([1, 2]));
    assert_eq!(no_object.error()["code"], 100, "{}", no_object.body);
    assert!(runs(&fleet).is_empty());
    let answered = call(&fleet, 0, CHAT, None, &chat_body("still there", 5, false));
    assert_eq!(answered.status, 200, "{}", answered.body);
}

#[test]
fn a_draining_backend_server_completes_its_answers_and_refuses_new_requests() {
    let fleet = start_fleet(2, 1, 5000);
    let body = chat_body("draft a scene", 200, true);
    let first = spawn_chat(&fleet, 0, Some("k3"), &body);
    common::wait_for("the run", || runs(&fleet) == [1]);
    fleet.agents[0].signal("-TERM");
    let refused = call(&fleet, 1, CHAT, Some("k4"), &body);
    assert_eq!(refused.error()["run"], "not run", "{}", refused.body);
    let again = call(&fleet, 1, CHAT, Some("k3"), &body);
    assert!(again.body.ends_with("data: [DONE]\n\n"), "{}", again.body);
    assert_eq!(smol::block_on(first).body, again.body);
    assert_eq!(runs(&fleet), [1]);
}
