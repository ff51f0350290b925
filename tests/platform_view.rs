//! Tests `fulmarctl platform`, which shows a fleet of gateways from the platform's store.

mod gateway_world;

use std::time::Duration;

use fulmarproxy::{ctl, standin::scripted_server};
use gateway_world::{TestEnv, configuration, run_test};
use serde_json::Value;

/// Runs `fulmarctl platform VIEW` and returns the rows that it prints.
async fn show(env: &TestEnv, view: &str) -> Vec<Value> {
    let args = ["platform", view, "--json", "--platform-store"].map(str::to_owned);
    let args = [args.as_slice(), &[env.store_address.to_string()]].concat();
    let command = ctl::parse(&args, &|_| None).unwrap();
    let mut out = Vec::new();
    assert_eq!(ctl::run(&command, &mut out).await, ctl::EXIT_OK);
    serde_json::from_slice(&out).unwrap()
}

#[test]
fn members_show_their_version_or_the_problem() {
    run_test(&configuration(7, 1000, 5000), async |env| {
        let key = |vm: &str| format!("fulmar/routers/{vm}/1");
        env.store
            .put(&key("entry-1"), &env.fleet_address.to_string());
        env.store.put(&key("entry-2"), "127.0.0.1:1");
        env.store.put(&key("entry-3"), "nonsense");
        let rows = show(&env, "members").await;
        assert_eq!(rows[0]["member"], "entry-1/1");
        assert_eq!(rows[0]["status"]["configuration"], 7);
        assert!(rows[0]["status"]["not_ready"].is_null());
        assert!(rows[1]["problem"].is_string(), "{}", rows[1]);
        assert_eq!(rows[2]["problem"], "the entry is not readable");
    });
}

#[test]
fn budgets_show_the_shares_of_their_holders() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        let answer =
            |request: &_| scripted_server::signed_event_stream(request, 0..10, Duration::ZERO);
        env.start_server("model", answer).await;
        let usage = "X-Token-Usage: 100,60\r\n";
        let response = env.send("POST", "/draft/1", usage, "prompt").await;
        assert_eq!(response.status, 200);
        let rows = show(&env, "budgets").await;
        assert_eq!(rows[0]["budget"], "desk");
        assert_eq!(rows[0]["prepaid"], 100_000);
        let holder = env.gw.holder();
        let granted = rows[0]["holders"][&*holder]["granted"].as_u64().unwrap();
        assert!(granted >= 160, "{}", rows[0]);
        // Half a percent of the prepaid tokens is never granted.
        assert_eq!(rows[0]["free"].as_u64().unwrap(), 99_500 - granted);
    });
}

#[test]
fn servers_show_their_entry_or_the_problem() {
    run_test(&configuration(1, 1000, 5000), async |env| {
        let answer = |request: &_| scripted_server::signed_response(request, 200, "yes");
        env.start_server("plain", answer).await;
        env.store.put("servers/i-2", "?");
        let rows = show(&env, "servers").await;
        assert_eq!(rows[0]["server"], "i-1");
        assert_eq!(rows[0]["takes_work"], true);
        assert_eq!(rows[1]["problem"], "the entry is not readable");
    });
}

#[test]
fn an_invalid_address_is_reported_with_its_flag() {
    let args = ["platform", "servers", "--platform-store", "nowhere"].map(str::to_owned);
    let Err(err) = ctl::parse(&args, &|_| None) else {
        panic!("the address was accepted");
    };
    assert!(err.to_string().contains("--platform-store"), "{err}");
}
