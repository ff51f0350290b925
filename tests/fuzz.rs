//! Feeds mutated samples to the parsers of bytes from outside: requests, keys, answers of backend
//! servers and messages of members. None may panic, and what a parser accepts stays within limits.

use std::time::Duration;

use fulmarproxy::{
    agent::usage,
    code::Code,
    coordination::config_chunks,
    ctl,
    protocol::{fleet_capnp, run, wire},
    router::{config_sync, raw_request, request},
    state::config,
};

const SEED: u64 = 7;

/// Mutated samples per test.
const CASES: usize = 4000;

/// Returns copies of a valid sample with a few random changes, the same ones in each run. Most of
/// a copy stays valid, so that parsers get past their first checks.
fn mutants(sample: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let sample = sample.to_vec();
    (0..CASES).map(move |_| {
        let mut bytes = sample.clone();
        for _ in 0..rng.usize(1..8) {
            let at = rng.usize(..bytes.len().max(1));
            match rng.u8(..4) {
                0 if at < bytes.len() => bytes[at] = rng.u8(..),
                1 => bytes.truncate(at),
                2 => bytes.insert(at.min(bytes.len()), rng.u8(..)),
                _ => bytes.extend((0..rng.usize(..32)).map(|_| rng.u8(..))),
            }
        }
        bytes
    })
}

fn in_force() -> config_sync::ActiveConfig {
    let dir = format!("{}/examples/cooperative", env!("CARGO_MANIFEST_DIR"));
    let set = ctl::read_dir(dir.as_ref()).unwrap();
    let mut in_force = config_sync::ActiveConfig::default();
    in_force.config = config::Config {
        version: 1,
        set: set.into(),
    };
    in_force
}

fn check(in_force: &config_sync::ActiveConfig, raw: &raw_request::RawRequest) {
    match request::parse(in_force, &"clifton".into(), raw, 1) {
        Ok(req) => {
            assert!(req.bound >= 1);
            assert!(req.deadline <= Duration::from_secs(900));
            assert!(req.key.len() <= request::MAX_KEY_BYTES);
        }
        Err(refusal) => {
            assert!(!refusal.may_have_run);
            assert!(refusal.code < Code::BudgetSpent, "{refusal:?}");
        }
    }
}

#[test]
fn any_body_is_parsed_or_refused() {
    let in_force = in_force();
    let sample =
        br#"{"model":"counter","messages":[{"role":"user","content":"casings"}],"max_tokens":5}"#;
    for body in mutants(sample) {
        let raw = raw_request::RawRequest {
            method: "POST".to_owned(),
            path: request::CHAT_PATH.to_owned(),
            body,
            ..Default::default()
        };
        check(&in_force, &raw);
    }
}

#[test]
fn any_path_is_parsed_or_refused() {
    let in_force = in_force();
    for path in mutants(b"/members/claims?id=7") {
        let path = String::from_utf8_lossy(&path).into_owned();
        let raw = raw_request::RawRequest {
            method: "POST".to_owned(),
            key: Some(path.clone()),
            path,
            ..Default::default()
        };
        check(&in_force, &raw);
    }
}

#[test]
fn any_unknown_key_is_refused() {
    let in_force = in_force();
    for header in mutants(b"Bearer clifton-kex") {
        let header = String::from_utf8_lossy(&header);
        let found = request::authenticate(&in_force, Some(&header));
        assert_eq!(found.unwrap_err().code, Code::BadKey);
    }
    assert_eq!(config_chunks::sha256_hex(b"").len(), 64);
}

#[test]
fn the_usage_parser_accepts_any_answer() {
    let sample =
        b"data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\ndata: [DONE]\n\n";
    for (number, bytes) in mutants(sample).enumerate() {
        let mut meter = usage::UsageParser::default();
        for part in bytes.chunks(1 + number % 17) {
            meter.read(part);
        }
        meter.finish();
    }
}

#[test]
fn any_message_of_a_member_is_parsed_or_refused() {
    let mut message = capnp::message::Builder::new_default();
    let mut heartbeat = message.init_root::<fleet_capnp::agent_beat::Builder<'_>>();
    heartbeat.set_service("fortelling");
    heartbeat.reborrow().init_member().set_name("backend-0");
    heartbeat.init_models(2).set(0, "scene-brief");
    let sample = capnp::serialize::write_message_to_words(&message);
    for bytes in mutants(&sample) {
        let options = capnp::message::ReaderOptions::new();
        let read = capnp::serialize::read_message(&bytes[..], options);
        let Ok(message) = read else { continue };
        if let Ok(heartbeat) = message.get_root() {
            let _ = wire::read_heartbeat(heartbeat);
        }
        if let Ok(req) = message.get_root() {
            let _ = run::read_request(req);
        }
        if let Ok(outcome) = message.get_root() {
            let _ = run::read_outcome(outcome);
        }
        if let Ok(gossip) = message.get_root() {
            let _ = wire::read_gossip(gossip);
        }
    }
}
