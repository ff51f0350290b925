//! The load tool reports the faults of answers and bills, and no others.

mod common;

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use fulmarproxy::{
    coordination::config_chunks,
    load::{answer, options, plan, report, runner},
    standin::{engine, main, platform},
    transport::{http, store},
};
use serde_json::{Value, json};
use smol::block_on;
use trillium::{Conn, Status};

fn run(args: &[&str]) -> report::Report {
    let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    runner::run(&options::parse(&args).unwrap().unwrap()).unwrap()
}

/// Event with one token of a streamed answer.
fn token(id: &str, number: u64) -> String {
    let chunk = json!({ "choices": [{ "delta": { "content": format!("{id}:{number} ") } }] });
    format!("data: {chunk}\n\n")
}

/// The events at the end of a streamed answer: its usage and `[DONE]`.
fn end(tokens: u64) -> String {
    let usage = json!({ "prompt_tokens": 1, "completion_tokens": tokens });
    format!("data: {}\n\ndata: [DONE]\n\n", json!({ "usage": usage }))
}

/// Reads a streamed answer in chunks of `chunk_size` bytes.
fn read(text: &str, chunk_size: usize) -> Result<answer::WholeAnswer, answer::Fault> {
    let mut reader = answer::Reader::new(true);
    for bytes in text.as_bytes().chunks(chunk_size.max(1)) {
        reader.push(bytes);
    }
    reader.finish(false)
}

#[test]
fn each_fault_of_an_answer_is_found_however_its_bytes_arrive() {
    fn holds(chunk_size: usize) -> bool {
        let [one, two, end] = [token("a", 1), token("a", 2), end(2)];
        let other = token("b", 2);
        let error = "event: error\ndata: {}\n\n";
        let found = |text: String| read(&text, chunk_size % 99).map(|whole| whole.tokens);
        found(format!("{one}{two}{end}")) == Ok(2)
            && found(format!("{one}{two}")) == Err(answer::Fault::NoEnd)
            && found(format!("{one}{other}{end}")) == Err(answer::Fault::Mixed)
            && found(format!("{one}{end}")) == Err(answer::Fault::Gap)
            && found(format!("{two}{end}")) == Err(answer::Fault::Gap)
            && found(format!("{one}{error}")) == Err(answer::Fault::ErrorEvent)
            && found(format!("{one}data: {{\n\n{end}")) == Err(answer::Fault::Malformed)
    }
    quickcheck::QuickCheck::new().quickcheck(holds as fn(usize) -> bool);
}

#[test]
fn a_correct_fleet_is_reported_without_faults() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_agent("fortelling", 100);
    fleet.add_agent("fortelling", 100);
    fleet.wait_ready(0, 2);
    let (listener, direct) = bind();
    drop(engine::start(listener, engine::Options::default()).unwrap());
    let engines: Vec<_> = fleet
        .engines
        .iter()
        .map(|e| format!("http://{}", e.address))
        .collect();
    let report = run(&[
        "--targets",
        &format!("http://{}", fleet.routers[0].address),
        "--compare",
        &direct,
        "--keys",
        "fjordforlaget-key*3,nordlysbok-key",
        "--rate",
        "100",
        "--seconds",
        "0.5",
        "--stream",
        "--engines",
        &engines.join(","),
        "--store",
        &fleet.platform_url(""),
        "--settle-ms",
        &common::WAIT_TIMEOUT.as_millis().to_string(),
    ]);
    let accounts = report.accounts.unwrap();
    let side = report.fleet.unwrap();
    assert!(side.sent > 0);
    assert_eq!(side.whole, side.sent, "{side:?}");
    assert!(side.sent - report.engine.unwrap().sent <= 1);
    assert!(report.added.is_some());
    assert_eq!(accounts.run, fleet.engine_tokens());
    assert_eq!(accounts.billed, accounts.run, "{accounts:?}");
    let wrong = [
        accounts.unmatched,
        accounts.ran_again,
        accounts.overspend,
        accounts.untruthful,
    ];
    assert_eq!(wrong, [0; 4], "{accounts:?}");
}

fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    (listener, url)
}

/// Starts a store with one budget of 100 prepaid tokens, to which `spent` tokens are billed.
fn store_with_bills(spent: u64) -> String {
    let (listener, url) = bind();
    drop(platform::start(listener, 100).unwrap());
    let store = store::Store::over_http(&url);
    let chunk = json!({
        "workspaces": { "desk": {
            "name": "desk", "budget": "desk", "routes": [], "weight": 1,
            "keys": [config_chunks::sha256_hex(b"desk-key")],
        } },
        "budgets": { "desk": { "name": "desk", "prepaid_tokens": 100 } },
        "routes": {}, "pools": {},
    });
    let head = json!({ "version": 1, "publish_id": "p", "chunks": { "all": "d" } });
    let record = json!({
        "member": {
            "name": "entry", "incarnation": 1, "role": "router", "address": "127.0.0.1:1",
            "region": "r", "zone": "a",
        },
        "seq": 1, "state": "live", "covered": {}, "budgets": { "desk": { "spent": spent } },
    });
    let values = BTreeMap::from([
        (format!("{}d", store::CHUNK_PREFIX), chunk),
        (store::HEAD_KEY.to_owned(), head),
        (format!("{}1", store::HOLDER_PREFIX), record),
    ]);
    for (key, value) in values {
        block_on(store.put_if(&key, &value, 0, 0)).unwrap();
    }
    url
}

/// Starts a server in place of a fleet. It answers in turn with another request's tokens, without a
/// proper end, with an error event, with a budget refusal and with a whole answer.
fn faulty_fleet() -> String {
    let (listener, url) = bind();
    let turn = Arc::new(AtomicUsize::new(0));
    let handler = move |mut conn: Conn| {
        let turn = turn.clone();
        async move {
            let number = turn.fetch_add(1, Ordering::SeqCst);
            let id = format!("id-{number}");
            conn.insert_response_header("x-request-id", id.clone());
            let whole = |id: &str| format!("{}{}", token(id, 1), end(1));
            let refusal = json!({ "error": {
                "code": 200, "name": "budget_spent", "run": "not run", "message": "",
            } });
            match number % 5 {
                0 => conn.ok(whole("another")),
                1 => conn.ok(token(&id, 1)),
                2 => conn.ok(format!("{}event: error\ndata: {{}}\n\n", token(&id, 1))),
                3 => conn
                    .with_status(Status::PaymentRequired)
                    .with_body(refusal.to_string()),
                _ => conn.ok(whole(&id)),
            }
        }
    };
    drop(http::serve(listener, handler).unwrap());
    url
}

#[test]
fn faults_of_answers_and_bills_are_reported() {
    let options = |spent| {
        let (fleet, store) = (faulty_fleet(), store_with_bills(spent));
        let keys = [
            "--keys",
            "desk-key",
            "--settle-ms",
            "0",
            "--prompt-words",
            "1..1",
        ];
        let fixed = [
            "--rate",
            "200",
            "--seconds",
            "0.5",
            "--stream",
            "--max-tokens",
            "1..1",
        ];
        let mut args = vec!["--targets", &fleet, "--store", &store];
        args.extend(keys);
        args.extend(fixed);
        run(&args)
    };
    let report = options(130);
    let side = report.fleet.unwrap();
    let faults: Vec<_> = side.broken.iter().map(|broken| &*broken.fault).collect();
    assert_eq!(faults, ["no end", "error event", "mixed"]);
    let refused: Vec<_> = side.refused.iter().map(|r| (r.code, &*r.run)).collect();
    assert_eq!(refused, [(200, "not run")]);
    let counted: u64 = side.broken.iter().map(|broken| broken.count).sum();
    assert_eq!(side.whole + counted + side.refused[0].count, side.sent);
    let accounts = report.accounts.unwrap();
    assert_eq!((accounts.overspend, accounts.false_refusals), (30, 0));
    let accounts = options(10).accounts.unwrap();
    assert_eq!(accounts.overspend, 0);
    assert_eq!(accounts.false_refusals, accounts.budget_refusals);
    assert!(accounts.budget_refusals > 0);
}

#[test]
fn retries_carry_the_same_key_until_an_answer_is_whole() {
    let (listener, url) = bind();
    let seen: Arc<std::sync::Mutex<Vec<Value>>> = Arc::default();
    let log = seen.clone();
    let handler = move |conn: Conn| {
        let log = log.clone();
        async move {
            let key = conn.request_headers().get_str("idempotency-key");
            let key = key.unwrap_or_default().to_owned();
            let mut log = log.lock().unwrap();
            log.push(json!(key));
            let earlier = log.iter().filter(|other| **other == json!(key)).count();
            match earlier {
                1 => conn.with_status(Status::ServiceUnavailable).with_body("{}"),
                2 => conn.ok(token("r", 1)),
                _ => conn.ok(format!("{}{}", token(&key, 1), end(1))),
            }
        }
    };
    drop(http::serve(listener, handler).unwrap());
    let args = [
        "--rate",
        "40",
        "--seconds",
        "0.2",
        "--stream",
        "--retry",
        "5",
    ];
    let report = run(&[&["--targets", &*url], &args[..]].concat());
    let side = report.fleet.unwrap();
    assert_eq!((side.whole, side.repeats), (side.sent, 2 * side.sent));
    assert_eq!(seen.lock().unwrap().len() as u64, 3 * side.sent);
}

#[test]
fn a_plan_keeps_to_its_rate_and_weights() {
    let args = [
        "--targets",
        "http://t",
        "--rate",
        "1000",
        "--seconds",
        "10",
        "--keys",
        "a*3,b",
    ];
    let args = args.map(str::to_owned);
    let options = options::parse(&args).unwrap().unwrap();
    let planned: Vec<_> = plan::requests(&options).collect();
    assert!(
        (9_500..10_500).contains(&planned.len()),
        "{}",
        planned.len()
    );
    let heavy = planned.iter().filter(|planned| planned.key == 0).count();
    assert!((7_000..8_000).contains(&heavy), "{heavy}");
    assert!(planned.is_sorted_by_key(|planned| planned.send_at));
}

#[test]
fn each_flag_is_documented() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("bench/README.md");
    let page = std::fs::read_to_string(page).unwrap();
    let tables = [
        options::FLAGS,
        main::COMMON_FLAGS,
        main::PLATFORM_FLAGS,
        main::ENGINE_FLAGS,
        main::PLAIN_FLAGS,
    ];
    for flag in tables.concat() {
        let named = format!("--{} {}", flag.name, flag.value);
        assert!(page.contains(&format!("`{}`", named.trim_end())), "{named}");
    }
}
