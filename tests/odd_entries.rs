//! Entries that other writers leave in the platform's store: the gateway continues and follows the others.

mod gateway_world;

use fulmarproxy::{
    platform::{configuration, servers},
    standin::scripted_server,
};
use gateway_world::{TestEnv, configuration, run_test};
use quickcheck::quickcheck;
use serde_json::json;

const AMPLE_BUDGET: u64 = 100_000_000;
const TIMEOUT_MS: u64 = 3000;

/// Depth at which a parser that recurses has used up its stack.
const DEPTH: usize = 200_000;

/// Values that name no server to use.
fn odd_values() -> Vec<Vec<u8>> {
    let nested =
        |open: &str, close: &str| format!("{}1{}", open.repeat(DEPTH), close.repeat(DEPTH));
    let whole = |field: &str, value: &str| {
        let mut entry = json!({"service": "\"plain\"", "address": "\"127.0.0.1:9\"", "zone": "\"a\"",
            "version": "\"v1\"", "slots": "1", "state": "\"ready\"", "sequence": "1", "born": "1"});
        entry[field] = json!(value);
        let fields = entry.as_object().unwrap().iter();
        let fields: Vec<_> = fields
            .map(|(name, value)| format!("\"{name}\":{}", value.as_str().unwrap()))
            .collect();
        format!("{{{}}}", fields.join(","))
    };
    let mut values = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        whole("service", &nested("[", "]")),
        whole("state", "\"resting\""),
        "{\"service\":\"plain\",\"service\":\"plain\"}".to_owned(),
        String::new(),
        "null".to_owned(),
        "[1,2".to_owned(),
        "x".repeat(900_000),
    ];
    for port in ["0x50", "65536", "-1", "99999999999999999999", ""] {
        values.push(whole("address", &format!("\"127.0.0.1:{port}\"")));
    }
    for number in [
        "1e999",
        "-1",
        "0.5",
        "4294967296",
        "18446744073709551616",
        "NaN",
        "\"7\"",
    ] {
        values.push(whole("slots", number));
    }
    for number in ["1e999", "-1", "0.5", "18446744073709551616", "NaN", "\"7\""] {
        values.push(whole("born", number));
    }
    for field in ["service", "address", "zone", "version", "state"] {
        for value in ["7", "null", "[]", "{}", "true"] {
            values.push(whole(field, value));
        }
    }
    let mut bytes: Vec<_> = values.into_iter().map(String::into_bytes).collect();
    bytes.push(vec![0xff, 0xfe, 0x80]);
    bytes
}

async fn serves(env: &TestEnv) -> bool {
    env.send("POST", "/book/1", "", "a commission").await.status == 200
}

async fn add_server(env: &TestEnv) {
    let answer = |request: &_| scripted_server::signed_response(request, 200, "booked");
    env.start_server("plain", answer).await;
}

/// Guards against a process that ends, or stops following the list, at one odd entry of a server.
#[test]
fn an_odd_entry_of_a_server_leaves_the_rest_of_the_list_in_force() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        add_server(&env).await;
        for (number, value) in odd_values().into_iter().enumerate() {
            let key = format!("servers/odd-{number}");
            env.store.put_bytes(&key, &value);
        }
        // Changes after the odd ones are followed, and a gateway that starts reads the list.
        add_server(&env).await;
        let (late, _) = env.start_peer().await;
        for gw in [&env.gw, &late] {
            let directory = gw.directory.borrow();
            let mut ids: Vec<_> = directory.servers.keys().map(|id| id.to_string()).collect();
            ids.sort();
            assert_eq!(ids, ["i-1", "i-2"]);
        }
        assert!(serves(&env).await);
    });
}

/// Guards against a list that can't be read as a whole because the store has one value that is not base64.
#[test]
fn a_value_that_is_not_base64_leaves_the_rest_of_the_list_in_force() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        add_server(&env).await;
        env.store.put_encoded("servers/odd", "%%% no base64");
        add_server(&env).await;
        env.start_peer().await;
        assert!(serves(&env).await);
        // The entry counts once it is mended.
        let entry = json!({"service": "plain", "address": "127.0.0.1:9", "zone": "a", "slots": 1,
                           "state": "draining", "version": "v1", "sequence": 1});
        env.store.put("servers/odd", &entry.to_string());
        env.until(|env| env.gw.directory.borrow().servers.contains_key("odd"))
            .await;
    });
}

/// Guards against a process that ends when it computes with an extreme time or count of the configuration.
#[test]
fn extreme_numbers_of_the_configuration_end_no_process() {
    let numbers = [0.0, -1.0, 1e300, 1.8e19, f64::from(u32::MAX)];
    for (number, is_public) in numbers.iter().flat_map(|it| [(*it, false), (*it, true)]) {
        let mut config = configuration(1, AMPLE_BUDGET, TIMEOUT_MS);
        for route in config["routes"].as_array_mut().unwrap() {
            for field in ["timeout_ms", "target_latency_ms", "target_gap_ms"] {
                route[field] = json!(number);
            }
            route["max_attempts"] = json!(u32::MAX);
            route["public"] = json!(is_public);
        }
        for field in ["header_timeout_ms", "idle_timeout_ms"] {
            config["limits"][field] = json!(number.abs().max(1000.0));
        }
        config["services"][0]["engine"]["stride"] = json!(u64::MAX);
        run_test(&config, async |env| {
            let full = |_: &_| scripted_server::not_run_response();
            env.start_server("plain", full).await;
            let answer = |request: &_| {
                scripted_server::signed_event_stream(request, 0..2, std::time::Duration::ZERO)
            };
            env.start_server("model", answer).await;
            for path in ["/book/1", "/look/1", "/draft/1", "/ask/1"] {
                let usage = "X-Token-Usage: 18446744073709551615,18446744073709551615\r\n\
                             X-Prompt-Prefix: a:18446744073709551615,b:18446744073709551615,c:1\r\n";
                for extra in ["", usage] {
                    let status = env.send("POST", path, extra, "prompt").await.status;
                    assert!((200..600).contains(&status), "{number} {path}");
                }
            }
        });
    }
}

quickcheck! {
    fn any_bytes_are_an_entry_or_none(bytes: Vec<u8>) -> bool {
        let _ = servers::decode("servers/i-1", &bytes);
        let _ = configuration::decode(&bytes);
        true
    }
}
