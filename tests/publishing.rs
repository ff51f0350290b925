//! Publishing a configuration while the store is down, sends no watch events or loses answers.

mod common;

use std::{path::Path, process::Command};

use common::slow_link::SlowLink;
use fulmarproxy::{ctl, state::object_set, transport::http, transport::store};
use serde_json::{Value, json};

fn set_faults(fleet: &common::Fleet, faults: &Value) {
    let conn = fleet.client.post(fleet.platform_url("/faults"));
    let conn = conn.with_body(faults.to_string());
    let answered = smol::block_on(async { conn.await.unwrap().success() });
    assert!(answered.is_ok(), "the stand-in accepts the faults");
}

fn status(fleet: &common::Fleet, router: usize) -> Option<Value> {
    let url = format!("http://{}/status", fleet.routers[router].admin_address);
    smol::block_on(http::get(&fleet.client, "status", &url)).ok()
}

fn wait_version(fleet: &common::Fleet, router: usize, version: u64) {
    common::wait_for("the version to be in force", || {
        status(fleet, router).is_some_and(|found| found["config"] == version)
    });
}

fn wait_peers(fleet: &common::Fleet, router: usize, peers: usize) {
    common::wait_for("the router to hear its peers", || {
        status(fleet, router).is_some_and(|found| found["live"] == peers)
    });
}

fn readiness(fleet: &common::Fleet, router: usize) -> String {
    let url = format!("http://{}/readyz", fleet.routers[router].admin_address);
    smol::block_on(async {
        match fleet.client.get(url).await {
            Ok(mut conn) => conn.response_body().read_string().await.unwrap_or_default(),
            Err(_) => String::new(),
        }
    })
}

fn example_set() -> object_set::ObjectSet {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/haugland");
    ctl::read_dir(&dir).unwrap()
}

fn store(fleet: &common::Fleet) -> store::Store {
    store::Store::over_http(&fleet.platform_url(""))
}

/// Publishes the example configuration with another total for one budget; returns the version.
fn publish(fleet: &common::Fleet, total: u64) -> u64 {
    let mut set = example_set();
    set.budgets.get_mut("fjordforlaget").unwrap().prepaid_tokens = total;
    smol::block_on(ctl::publish_set(&store(fleet), &set, None)).unwrap()
}

#[test]
fn a_watch_that_sends_no_events_is_noticed() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    wait_version(&fleet, 0, 1);
    set_faults(&fleet, &json!({ "mute_watches": true }));
    assert_eq!(publish(&fleet, 9_000_000), 2);
    wait_version(&fleet, 0, 2);
}

#[test]
fn a_router_that_starts_without_the_store_reads_the_configuration_from_its_peers() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    wait_version(&fleet, 0, 1);
    set_faults(&fleet, &json!({ "down": true }));
    fleet.add_router();
    wait_version(&fleet, 1, 1);
}

#[test]
fn a_router_without_store_and_peers_says_why_it_is_not_ready() {
    let mut fleet = common::Fleet::start("haugland");
    set_faults(&fleet, &json!({ "down": true }));
    fleet.add_router();
    common::wait_for("the reason", || {
        let reason = readiness(&fleet, 0);
        reason.contains("no configuration has been read yet") && reason.contains("503")
    });
    set_faults(&fleet, &json!({}));
    wait_version(&fleet, 0, 1);
}

#[test]
fn routers_keep_the_newest_version_when_the_store_returns_an_older_one() {
    let mut fleet = common::Fleet::start("haugland");
    let store = store(&fleet);
    let first = smol::block_on(store.get(store::HEAD_KEY)).unwrap().unwrap();
    publish(&fleet, 9_000_000);
    fleet.add_router();
    wait_version(&fleet, 0, 2);
    let newest = smol::block_on(store.get(store::HEAD_KEY)).unwrap().unwrap();
    let old: Value = serde_json::from_slice(&first.value.0).unwrap();
    let revision = newest.mod_revision.0;
    let put = smol::block_on(store.put_if(store::HEAD_KEY, &old, revision, 0)).unwrap();
    assert!(matches!(put, store::Put::Written(_)));
    fleet.add_router();
    wait_version(&fleet, 1, 2);
    wait_version(&fleet, 0, 2);
}

fn fulmarctl(fleet: &common::Fleet, args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarctl"))
        .args(args)
        .args(["--store", &fleet.platform_url("")])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    (output.status.code().unwrap(), text + &*errors)
}

#[test]
fn only_one_of_several_racing_publishers_wins() {
    let fleet = common::Fleet::start("haugland");
    let publishers: Vec<_> = (0..4)
        .map(|publisher| {
            let store = store(&fleet);
            let mut set = example_set();
            set.budgets.get_mut("fjordforlaget").unwrap().prepaid_tokens += 1 + publisher;
            std::thread::spawn(move || smol::block_on(ctl::publish_set(&store, &set, Some(1))))
        })
        .collect();
    let results: Vec<_> = publishers.into_iter().map(|r| r.join().unwrap()).collect();
    let won = results.iter().filter(|result| matches!(result, Ok(2)));
    assert_eq!(won.count(), 1, "{results:?}");
    let (code, text) = fulmarctl(&fleet, &["publish", "examples/haugland", "--expect", "1"]);
    assert_eq!(code, i32::from(ctl::EXIT_CONFLICT), "{text}");
    assert!(text.contains("budget fjordforlaget"), "{text}");
}

#[test]
fn a_lost_answer_to_the_write_of_the_head_is_resolved_by_the_publish_id() {
    let fleet = common::Fleet::start("haugland");
    let mut set = example_set();
    set.budgets.get_mut("fjordforlaget").unwrap().prepaid_tokens += 5;
    set_faults(&fleet, &json!({ "lose_answers": 2 }));
    let published = smol::block_on(ctl::publish_set(&store(&fleet), &set, Some(1)));
    assert_eq!(published.unwrap(), 2);
    let (head, found) = smol::block_on(ctl::read_published(&store(&fleet))).unwrap();
    assert_eq!((head.version, found), (2, set));
}

#[test]
fn a_total_below_what_is_granted_is_refused_with_the_least_total_allowed() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_agent("fortelling", 10);
    fleet.wait_ready(0, 1);
    let body = json!({ "model": "quick", "max_tokens": 20,
        "messages": [{ "role": "user", "content": "when is the brief due" }] });
    assert_eq!(fleet.chat(0, "fjordforlaget-key", &body).0, 200);
    let (code, text) = fulmarctl(&fleet, &["budget", "top-up", "fjordforlaget", "1"]);
    assert_eq!(code, i32::from(ctl::EXIT_INVALID), "{text}");
    let least = text
        .split("the least total that passes is ")
        .nth(1)
        .unwrap_or_else(|| panic!("{text}"));
    let least: String = least.chars().take_while(char::is_ascii_digit).collect();
    let (code, text) = fulmarctl(&fleet, &["budget", "top-up", "fjordforlaget", &least]);
    assert_eq!(code, 0, "{text}");
    wait_version(&fleet, 0, 2);
}

#[test]
fn a_wait_ends_when_all_routers_run_the_version() {
    let mut fleet = common::Fleet::start("haugland");
    fleet.add_router();
    fleet.add_router();
    fleet.add_agent("fortelling", 10);
    fleet.wait_ready(0, 1);
    wait_peers(&fleet, 0, 1);
    let vms = fleet.platform_url("/vms");
    let key = fleet.key_file();
    let reach = ["--vms", &vms, "--fleet-key-file", &key];
    let publish = ["publish", "examples/haugland", "--wait"];
    let (code, text) = fulmarctl(&fleet, &[&publish[..], &reach].concat());
    assert_eq!(code, 0, "{text}");
    let (code, text) = fulmarctl(&fleet, &[&["status", "--json"][..], &reach].concat());
    assert_eq!(code, 0, "{text}");
    let found: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(found["lagging"], json!([]));
    assert_eq!(found["routers"].as_array().unwrap().len(), 2);
    let (code, text) = fulmarctl(&fleet, &[&["drain", "backend-0"][..], &reach].concat());
    assert_eq!(code, 0, "{text}");
}

/// Guards against a router that never has a configuration, as its transfer takes longer than a call may.
#[test]
fn a_router_behind_a_slow_link_reads_a_large_set() {
    const WORKSPACES: usize = 3_000;
    const LINK: u32 = 250_000;
    let fleet = common::Fleet::start("haugland");
    let mut set = example_set();
    let template = set.workspaces["fjordforlaget"].clone();
    for number in 0..WORKSPACES {
        let mut workspace = template.clone();
        workspace.name = format!("added-{number}").as_str().into();
        workspace.keys = (0..4)
            .map(|_| format!("{:064x}", fastrand::u128(..)))
            .collect();
        set.workspaces.insert(workspace.name.clone(), workspace);
    }
    smol::block_on(ctl::publish_set(&store(&fleet), &set, None)).unwrap();
    let link = SlowLink::new(LINK);
    let url = format!(
        "http://{}",
        link.outward(fleet.platform.address.parse().unwrap())
    );
    let router = fleet.start_daemon("router", "entry-0", "a", &["--store", &url]);
    let status = format!("http://{}/status", router.admin_address);
    common::wait_for("the set to be in force", || {
        let found: Result<Value, _> = smol::block_on(http::get(&fleet.client, "status", &status));
        found.is_ok_and(|found| found["config"] == 2)
    });
}
