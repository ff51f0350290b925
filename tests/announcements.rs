//! Backend servers that say that they are leaving or name a time: what gateways send to them after
//! that, and what callers get.

mod gateway_world;

use std::{cell::Cell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use fulmarproxy::{
    coordination::announcements::{Announcement, Announcements},
    platform::headers,
    standin::scripted_server,
    state::server,
    transport::h1::head,
};
use gateway_world::{TestEnv, configuration, run_test};
use serde_json::json;

const LEAVING: &str = "Server-Leaving: 1\r\n";

fn config() -> serde_json::Value {
    configuration(1, 1_000_000, 5000)
}

async fn book(env: &TestEnv) -> gateway_world::Response {
    env.send("POST", "/book/1", "", "a commission").await
}

fn booked(request: &scripted_server::ReceivedRequest) -> Vec<scripted_server::Step> {
    scripted_server::signed_response(request, 200, "booked")
}

/// Writes the directory's entry of a server again, as its heartbeat or a restart does.
fn list_again(env: &TestEnv, id: &str, started_unix_ms: u64) {
    let servers = env.gw.directory.borrow().servers.clone();
    let address = servers[id].address.to_string();
    let entry = json!({"service": "plain", "address": address, "zone": "zone-a", "slots": 8,
                       "state": "ready", "version": "v1", "sequence": 2, "born": started_unix_ms});
    env.store.put(&format!("servers/{id}"), &entry.to_string());
}

#[test]
fn a_server_that_says_it_leaves_gets_no_further_request() {
    run_test(&config(), async |env| {
        let leaving = env.start_server("plain", |request| {
            scripted_server::with_headers(booked(request), LEAVING)
        });
        let leaving = leaving.await;
        assert_eq!(book(&env).await.status, 200);
        let other = env.start_server("plain", booked).await;
        for _ in 0..6 {
            assert_eq!(book(&env).await.status, 200);
        }
        assert_eq!(leaving.received.borrow().len(), 1);
        assert_eq!(other.received.borrow().len(), 6);
    });
}

#[test]
fn a_new_listing_does_not_put_a_leaving_server_back() {
    run_test(&config(), async |env| {
        let leaving = env.start_server("plain", |request| {
            scripted_server::with_headers(booked(request), LEAVING)
        });
        let leaving = leaving.await;
        assert_eq!(book(&env).await.status, 200);
        let entry = env.store.text("servers/i-1").unwrap();
        env.store.remove("servers/i-1");
        env.until(|env| env.gw.directory.borrow().servers.is_empty())
            .await;
        env.store.put("servers/i-1", &entry);
        env.until(|env| !env.gw.directory.borrow().servers.is_empty())
            .await;
        assert_eq!(book(&env).await.status, 503);
        assert_eq!(leaving.received.borrow().len(), 1);
    });
}

#[test]
fn the_same_id_started_again_is_another_server() {
    run_test(&config(), async |env| {
        let says_leaving = Rc::new(Cell::new(true));
        let saying = says_leaving.clone();
        let server = env.start_server("plain", move |request| match saying.get() {
            true => scripted_server::with_headers(booked(request), LEAVING),
            false => booked(request),
        });
        let server = server.await;
        assert_eq!(book(&env).await.status, 200);
        says_leaving.set(false);
        list_again(&env, "i-1", 0);
        assert_eq!(book(&env).await.status, 503, "the process is the same");
        list_again(&env, "i-1", 77);
        let is_new = |env: &TestEnv| env.gw.directory.borrow().servers["i-1"].started_unix_ms == 77;
        env.until(is_new).await;
        assert_eq!(book(&env).await.status, 200);
        assert_eq!(server.received.borrow().len(), 2);
    });
}

#[test]
fn a_server_that_names_a_time_gets_nothing_until_then() {
    run_test(&config(), async |env| {
        let is_full = Rc::new(Cell::new(true));
        let full = is_full.clone();
        let named = env.start_server("plain", move |request| match full.get() {
            true => scripted_server::with_headers(
                scripted_server::not_run_response(),
                "Retry-After: 0.8\r\n",
            ),
            false => booked(request),
        });
        let named = named.await;
        let first = book(&env).await;
        assert_eq!(first.status, 503);
        let after: f64 = first.headers.text("Retry-After").unwrap().parse().unwrap();
        assert!(after > 0.0 && after <= 0.8, "{after}");
        let body = String::from_utf8(first.body).unwrap();
        assert!(body.contains("backends_closed"), "{body}");
        let other = env.start_server("plain", booked).await;
        for _ in 0..4 {
            assert_eq!(book(&env).await.status, 200);
        }
        assert_eq!(named.received.borrow().len(), 1);
        assert_eq!(other.received.borrow().len(), 4);
        is_full.set(false);
        env.store.remove("servers/i-2");
        env.until(|env| env.gw.directory.borrow().servers.len() == 1)
            .await;
        env.sleep(1000).await;
        assert_eq!(book(&env).await.status, 200);
    });
}

#[test]
fn a_caller_is_told_the_earliest_time_when_all_servers_have_named_one() {
    run_test(&config(), async |env| {
        for line in ["Retry-After: 30\r\n", "Retry-After: 2.5\r\n"] {
            env.start_server("plain", move |_| {
                scripted_server::with_headers(scripted_server::not_run_response(), line)
            })
            .await;
        }
        for _ in 0..3 {
            let response = book(&env).await;
            assert_eq!(response.status, 503);
            let after = response.headers.text("Retry-After").unwrap();
            let after: f64 = after.parse().unwrap();
            assert!(after > 1.0 && after <= 2.5, "{after}");
        }
    });
}

#[test]
fn malformed_announcements_count_as_none() {
    let response = |status, lines: &[(&'static str, &str)]| {
        let mut given = head::Headers::default();
        for (name, value) in lines {
            given.push(name, value.as_bytes());
        }
        headers::announcement(&head::ResponseHead {
            status,
            is_1_1: true,
            headers: given,
        })
    };
    let date = "Fri, 04 Dec 2026 10:00:00 GMT";
    for value in [
        "-1", date, "1e99", "", "1.2.3", "inf", "NaN", "+2", "99999999",
    ] {
        let (said, malformed) = response(503, &[("Retry-After", value)]);
        assert_eq!(said, Announcement::default(), "{value}");
        assert_eq!(malformed, ["Retry-After"], "{value}");
    }
    for lines in [
        &[("Server-Leaving", "yes")][..],
        &[("Server-Leaving", "1"), ("Server-Leaving", "1")],
    ] {
        let (said, malformed) = response(200, lines);
        assert_eq!(
            (said, &malformed[..]),
            (Announcement::default(), &["Server-Leaving"][..])
        );
    }
    for value in ["-1", "1e3", "", "many", "inf", "NaN", "+2", "1.2.3"] {
        let (said, malformed) = response(200, &[("Server-Limit", value)]);
        assert_eq!((said.limit, &malformed[..]), (None, &["Server-Limit"][..]));
    }
    for (value, limit) in [("0", 0.0), ("0.3", 0.3), (" 1.4 ", 1.4), ("1000000", 1e6)] {
        let (said, malformed) = response(200, &[("Server-Limit", value)]);
        assert_eq!((said.limit, malformed), (Some(limit), Vec::new()));
    }
    let twice = [("Server-Limit", "1"), ("Server-Limit", "2")];
    assert_eq!(response(200, &twice).0, Announcement::default());
    let twice = [("Retry-After", "1"), ("Retry-After", "2")];
    assert_eq!(response(503, &twice).0, Announcement::default());
    let at_success = response(200, &[("Retry-After", "1")]);
    assert_eq!(at_success, (Announcement::default(), Vec::new()));
    let elsewhere = response(421, &[("Server-Leaving", "1")]);
    assert_eq!(elsewhere, (Announcement::default(), Vec::new()));
}

/// A deliberate fault of a gateway, which the world below must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A new listing of a server in the directory puts it back.
    ListingPutsBack,
    /// What a server said is kept by its id alone, so that it applies to the next process.
    KeptById,
    /// A named time is ignored.
    TimeIgnored,
    /// Requests that have chosen their server are sent there whatever was said meanwhile.
    NotCheckedBeforeSending,
}

/// A process of a server, as the simulation knows it.
#[derive(Clone)]
struct Process {
    started: u64,
    leaves_since: Option<Duration>,
    /// Time until which the gateway was told to send nothing.
    refuses_until: Duration,
    is_listed: bool,
}

/// Plays one gateway and four servers for a while; returns what went wrong first.
fn play(seed: u64, fault: Fault) -> Result<(), String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut said = Announcements::default();
    let mut processes: BTreeMap<usize, Process> = BTreeMap::new();
    for id in 0..4 {
        let process = Process {
            started: 1,
            leaves_since: None,
            refuses_until: Duration::ZERO,
            is_listed: true,
        };
        processes.insert(id, process);
    }
    let known = |id: usize, process: &Process| {
        let started_unix_ms = match fault {
            Fault::KeptById => 0,
            _ => process.started,
        };
        Arc::new(server::Server {
            id: format!("i-{id}").as_str().into(),
            service: "plain".into(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "zone-a".into(),
            slots: 8,
            takes_work: true,
            software: "v1".into(),
            started_unix_ms,
        })
    };
    // Requests that have chosen a server and wait for their connection.
    let mut connecting: Vec<(usize, u64)> = Vec::new();
    for step in 1..400u64 {
        let now = Duration::from_millis(step * 20);
        let id = rng.usize(..4);
        let process = processes.get_mut(&id).unwrap();
        match rng.u8(..10) {
            0 => process.leaves_since = Some(now),
            1 => {
                // The process is replaced, under the same id and at the same address.
                process.started += 1;
                process.leaves_since = None;
                process.refuses_until = Duration::ZERO;
            }
            2 => process.is_listed = !process.is_listed,
            3 if fault == Fault::ListingPutsBack => said = Announcements::default(),
            4..7 => {
                let listed = processes.iter().filter(|(_, process)| process.is_listed);
                let servers: Vec<_> = listed.map(|(id, process)| known(*id, process)).collect();
                let open = said.open(&servers, now).servers;
                if let Some(server) = open.first() {
                    let id: usize = server.id[2..].parse().unwrap();
                    connecting.push((id, processes[&id].started));
                }
                // A process that has said nothing bad is never kept from requests.
                for (id, process) in processes.iter().filter(|(_, process)| process.is_listed) {
                    let is_open = open.iter().any(|found| found.id[2..] == id.to_string());
                    let may_serve = process.leaves_since.is_none() && process.refuses_until <= now;
                    if may_serve && !is_open {
                        return Err(format!("seed {seed}: {id} gets nothing at {now:?}"));
                    }
                }
            }
            _ => {
                let Some((id, started)) = connecting.pop() else {
                    continue;
                };
                let process = processes.get_mut(&id).unwrap();
                if process.started != started {
                    continue;
                }
                let server = known(id, process);
                let checks = fault != Fault::NotCheckedBeforeSending;
                if checks && !said.admits(&server, now) {
                    continue;
                }
                if process.refuses_until > now {
                    return Err(format!("seed {seed}: {id} got a request at {now:?}"));
                }
                let mut announced = Announcement::default();
                if process.leaves_since.is_some() {
                    announced.is_leaving = true;
                    process.refuses_until = Duration::MAX;
                } else if rng.u8(..3) == 0 {
                    let after = Duration::from_millis(rng.u64(1..900));
                    announced.retry_after = Some(after);
                    process.refuses_until = now + after;
                }
                if fault == Fault::TimeIgnored {
                    announced.retry_after = None;
                }
                said.record(&server, announced, now);
            }
        }
    }
    Ok(())
}

#[test]
fn no_order_of_events_sends_to_a_server_that_said_no() {
    for seed in 0..300 {
        assert_eq!(play(seed, Fault::None), Ok(()));
    }
}

#[test]
fn the_world_detects_each_fault() {
    for fault in [
        Fault::ListingPutsBack,
        Fault::KeptById,
        Fault::TimeIgnored,
        Fault::NotCheckedBeforeSending,
    ] {
        let found = (0..300).any(|seed| play(seed, fault).is_err());
        assert!(found, "{fault:?}");
    }
}
