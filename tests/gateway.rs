//! A gateway before stand-ins of the platform: what callers and backend servers see.

mod gateway_world;

use std::{collections::BTreeMap, time::Duration};

use fulmarproxy::{
    coordination::draining,
    gateway::ledger,
    standin::placed_server::{self, Step},
    state::share_ledger,
};
use gateway_world::{World, configuration, play, read, request};

const PLENTY: u64 = 1_000_000;
const TIMEOUT_MS: u64 = 5000;
const USAGE: &str = "X-Token-Usage: 100,60\r\nX-Prompt-Prefix: a1:50,b2:30,c3:20\r\n";
const NO_PAUSE: Duration = Duration::ZERO;

#[test]
fn a_request_is_answered_whole_by_its_server() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let server = world.server("plain", |arrived| {
            placed_server::signed(arrived, 200, "booked")
        });
        let server = server.await;
        let forged = "X-Tenant: other\r\nX-Hold: 7\r\nX-Expect-Instance: i-9\r\nX-Own: kept\r\n";
        let got = world
            .ask("POST", "/book/1?a=b", forged, "a commission")
            .await;
        assert_eq!((got.status, &got.body[..]), (200, &b"booked"[..]));
        let arrived = server.arrived.borrow();
        let head = &arrived[0].head;
        assert_eq!(head.target, "/book/1?a=b");
        assert_eq!(arrived[0].body, b"a commission");
        assert_eq!(head.headers.text("X-Tenant"), Some("desk"));
        assert_eq!(head.headers.text("X-Expect-Instance"), Some("i-1"));
        assert_eq!(head.headers.text("X-Own"), Some("kept"));
        assert_eq!(head.headers.text("Authorization"), None);
        assert_eq!(head.headers.text("X-Hold"), None);
    });
}

#[test]
fn a_stream_arrives_in_order_and_is_paid_for() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..5, NO_PAUSE);
        world.server("model", answer).await;
        let got = world.ask("POST", "/draft/1", USAGE, "prompt").await;
        assert!(got.whole);
        let text = String::from_utf8(got.body).unwrap();
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!(ids, ["0", "1", "2", "3", "4"]);
        // 100 tokens of input and five events of six.
        world.until(|world| world.spent() == 130).await;
    });
}

#[test]
fn a_cancelled_request_counts_what_it_spent() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let pause = Duration::from_secs(10);
        let answer = move |arrived: &_| placed_server::events(arrived, 0..5, pause);
        let server = world.server("model", answer).await;
        let mut caller = world.connect().await;
        let bytes = request("POST", "/draft/1", USAGE, "prompt");
        caller.write(bytes.as_bytes()).await.unwrap();
        while !caller.unread().windows(5).any(|window| window == b"id: 0") {
            assert!(caller.fill().await.unwrap());
        }
        drop(caller);
        world.until(|world| world.spent() == 106).await;
        world.until(|_| server.abandoned.get() == 1).await;
    });
}

#[test]
fn a_request_that_left_before_its_first_event_costs_nothing() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let server = world
            .server("model", |_| vec![Step::Wait(Duration::from_secs(10))])
            .await;
        let mut caller = world.connect().await;
        let bytes = request("POST", "/draft/1", USAGE, "prompt");
        caller.write(bytes.as_bytes()).await.unwrap();
        world.until(|_| server.arrived.borrow().len() == 1).await;
        drop(caller);
        world.until(|_| server.abandoned.get() == 1).await;
        world.until(|world| world.gw.in_flight.get() == 0).await;
        assert_eq!(world.spent(), 0);
    });
}

#[test]
fn a_request_whose_end_is_unknown_counts_its_input() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        world.server("model", |_| vec![Step::Close]).await;
        assert_eq!(
            world.ask("POST", "/draft/1", USAGE, "prompt").await.status,
            502
        );
        world.until(|world| world.spent() == 100).await;
    });
}

#[test]
fn a_request_that_was_sent_is_never_called_not_run() {
    play(&configuration(1, PLENTY, 200), async |world| {
        let server = world
            .server("plain", |_| vec![Step::Wait(Duration::from_secs(10))])
            .await;
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 504);
        assert_eq!(server.arrived.borrow().len(), 1);
        assert_eq!(got.headers.text("Retry-After"), None);
    });
}

#[test]
fn a_request_that_may_run_once_is_sent_once() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let first = world.server("plain", |_| vec![Step::Close]).await;
        let second = world.server("plain", |_| vec![Step::Close]).await;
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 502);
        let sent = first.arrived.borrow().len() + second.arrived.borrow().len();
        assert_eq!(sent, 1);
    });
}

#[test]
fn a_request_that_was_turned_away_is_sent_elsewhere() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        world.server("plain", |_| placed_server::not_run()).await;
        world
            .server("plain", |arrived| {
                placed_server::signed(arrived, 200, "booked")
            })
            .await;
        for _ in 0..4 {
            let got = world.ask("POST", "/book/1", "", "a commission").await;
            assert_eq!(got.status, 200);
        }
    });
}

#[test]
fn a_stream_goes_on_at_another_server_after_its_last_whole_event() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let answer = |arrived: &placed_server::Arrived| {
            if arrived.head.headers.text("Last-Event-Id") == Some("1") {
                return placed_server::events(arrived, 2..4, NO_PAUSE);
            }
            let mut steps = placed_server::events(arrived, 0..2, NO_PAUSE);
            steps.pop();
            steps.push(Step::Send(b"9\r\nid: 2\ndat\r\n".to_vec()));
            steps.push(Step::Close);
            steps
        };
        world.server("model", answer).await;
        world.server("model", answer).await;
        let got = world.ask("POST", "/ask/1", USAGE, "prompt").await;
        let text = String::from_utf8(got.body).unwrap();
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!((got.whole, ids), (true, vec!["0", "1", "2", "3"]));
    });
}

#[test]
fn an_answer_that_ends_early_never_looks_whole() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| {
            let mut steps = placed_server::events(arrived, 0..2, NO_PAUSE);
            steps.pop();
            steps.push(Step::Close);
            steps
        };
        world.server("model", answer).await;
        let got = world.ask("POST", "/draft/1", USAGE, "prompt").await;
        assert!(!got.whole);
    });
}

/// All that a caller gets of a stream that breaks off, byte by byte.
async fn bytes_of_broken_stream(world: &World) -> String {
    let answer = |arrived: &_| {
        let mut steps = placed_server::events(arrived, 0..2, NO_PAUSE);
        steps.pop();
        steps.push(Step::Close);
        steps
    };
    world.server("model", answer).await;
    let mut conn = world.connect().await;
    let bytes = request("POST", "/ask/1", USAGE, "prompt");
    conn.write(bytes.as_bytes()).await.unwrap();
    while let Ok(true) = conn.fill().await {}
    String::from_utf8(conn.unread().to_vec()).unwrap()
}

/// The refusal of a repeat was written into the middle of a stream that had begun.
#[test]
fn nothing_follows_a_stream_that_may_not_be_repeated() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let (allowance, now) = (world.gw.allowance(), world.gw.now());
        let service = "model".into();
        while world
            .gw
            .repeats
            .borrow_mut()
            .take_retry(&service, allowance, 1, now)
        {}
        let text = bytes_of_broken_stream(&world).await;
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
        assert!(text.contains("id: 1"), "{text}");
    });
}

#[test]
fn nothing_follows_a_stream_that_broke_off_at_every_server() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let text = bytes_of_broken_stream(&world).await;
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    });
}

#[test]
fn a_late_answer_of_another_request_is_dropped() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| {
            let late = "HTTP/1.1 200 X\r\nX-Request-Id: r0\r\nX-Response-Signature: s\r\n\
                        Content-Length: 5\r\n\r\nother";
            let mut steps = vec![Step::Send(late.as_bytes().to_vec())];
            steps.extend(placed_server::signed(arrived, 200, "own"));
            steps
        };
        world.server("plain", answer).await;
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.body, b"own");
    });
}

#[test]
fn an_unsigned_answer_is_no_success() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let unsigned = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhi".to_vec();
        world
            .server("plain", move |_| vec![Step::Send(unsigned.clone())])
            .await;
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 502);
    });
}

#[test]
fn a_spent_budget_refuses_until_a_top_up() {
    play(&configuration(1, 300, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        assert_eq!(
            world.ask("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        world.until(|world| world.spent() == 160).await;
        let got = world.ask("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(got.status, 402);
        world
            .store
            .put("op/config", &configuration(2, 600, TIMEOUT_MS).to_string());
        world.until(|world| world.version() == 2).await;
        assert_eq!(
            world.ask("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
    });
}

#[test]
fn a_write_whose_answer_was_lost_grants_nothing_twice() {
    play(&configuration(1, 1000, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        world.store.faults.lost_answers.set(2);
        let mut served = 0;
        for _ in 0..12 {
            served += u32::from(world.ask("POST", "/draft/1", USAGE, "prompt").await.status == 200);
        }
        assert_eq!(served, 6, "six requests of 160 tokens fit into 1,000");
    });
}

/// The store did each write and answered none of some: requests waited for the limit of a call, one
/// after the other, and were refused although their tokens had been granted.
#[test]
fn a_write_that_is_never_answered_is_found_done() {
    play(&configuration(1, 100_000, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        for _ in 0..3 {
            // More than the reserve, so that the ledger is written.
            world.store.faults.silent_answers.set(1);
            let usage = "X-Token-Usage: 15000,60\r\n";
            let got = world.ask("POST", "/draft/1", usage, "prompt").await;
            assert_eq!(got.status, 200);
        }
    });
}

/// Nothing changes in the ledger when nothing is granted: its value must not pass for a write done.
#[test]
fn a_write_that_changes_nothing_is_never_found_done() {
    play(&configuration(1, 1000, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        let mut served = 0;
        for _ in 0..12 {
            world.store.faults.silent_answers.set(1);
            served += u32::from(world.ask("POST", "/draft/1", USAGE, "prompt").await.status == 200);
        }
        world.store.faults.silent_answers.set(0);
        assert!(served <= 6, "{served} requests of 160 tokens out of 1,000");
        let spent = world.spent();
        assert!(spent <= 1000, "{spent}");
    });
}

#[test]
fn a_watch_that_was_cut_in_a_compaction_reads_anew() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        world.store.faults.is_mute.set(true);
        world.store.put(
            "op/config",
            &configuration(2, PLENTY, TIMEOUT_MS).to_string(),
        );
        world.store.compact();
        // The store hears again, but a watch that resumed would have waited for a next change.
        world.until(|world| world.version() == 2).await;
        world.store.faults.is_mute.set(false);
    });
}

#[test]
fn the_configuration_never_goes_back() {
    play(&configuration(5, PLENTY, TIMEOUT_MS), async |world| {
        world.store.put(
            "op/config",
            &configuration(4, PLENTY, TIMEOUT_MS).to_string(),
        );
        world
            .store
            .put("op/config", "{\"version\": 9, \"routes\": 3}");
        world.store.put(
            "op/config",
            &configuration(6, PLENTY, TIMEOUT_MS).to_string(),
        );
        world.until(|world| world.version() == 6).await;
    });
}

#[test]
fn a_server_that_leaves_gets_no_more_requests() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let server = world.server("plain", |arrived| {
            placed_server::signed(arrived, 200, "yes")
        });
        let server = server.await;
        world.store.remove("servers/i-1");
        world
            .until(|world| world.gw.known.borrow().servers.is_empty())
            .await;
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 503);
        assert!(got.headers.text("Retry-After").is_some());
        assert!(server.arrived.borrow().is_empty());
    });
}

#[test]
fn an_entry_that_cannot_be_read_names_no_server() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        world.store.put("servers/i-x", "{\"service\": 7}");
        world
            .server("plain", |arrived| {
                placed_server::signed(arrived, 200, "yes")
            })
            .await;
        assert_eq!(world.gw.known.borrow().servers.len(), 1);
    });
}

#[test]
fn two_readers_can_never_disagree_on_a_request() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let server = world.server("plain", |arrived| {
            placed_server::signed(arrived, 200, "yes")
        });
        let server = server.await;
        for extra in [
            "Transfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\n",
            "Transfer-Encoding: xchunked\r\n",
        ] {
            let got = world.ask(
                "POST",
                "/book/1",
                extra,
                "0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n",
            );
            assert_eq!(got.await.status, 400, "{extra}");
        }
        assert!(server.arrived.borrow().is_empty());
    });
}

#[test]
fn limits_and_keys_are_checked() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        let long = format!("X-Long: {}\r\n", "a".repeat(5000));
        assert_eq!(world.ask("POST", "/book/1", &long, "").await.status, 431);
        let large = "a".repeat(70_000);
        assert_eq!(world.ask("POST", "/book/1", "", &large).await.status, 413);
        assert_eq!(world.ask("POST", "/nowhere", "", "").await.status, 404);
        let mut caller = world.connect().await;
        let wrong = request("POST", "/book/1", "", "").replace("secret-of-desk", "guessed");
        caller.write(wrong.as_bytes()).await.unwrap();
        assert_eq!(read(&mut caller, "POST").await.status, 401);
    });
}

#[test]
fn a_store_that_is_away_leaves_what_is_known_in_force() {
    play(&configuration(1, PLENTY, TIMEOUT_MS), async |world| {
        world
            .server("plain", |arrived| {
                placed_server::signed(arrived, 200, "yes")
            })
            .await;
        world.store.faults.refuses.set(true);
        world.store.compact();
        world.sleep(300).await;
        assert_eq!(world.ask("POST", "/book/1", "", "").await.status, 200);
        world.store.faults.refuses.set(false);
        world.store.put(
            "op/config",
            &configuration(2, PLENTY, TIMEOUT_MS).to_string(),
        );
        world.until(|world| world.version() == 2).await;
    });
}

#[test]
fn a_leaving_router_refuses_what_it_could_not_finish() {
    play(&configuration(1, PLENTY, 9000), async |world| {
        let server = world.server("plain", |arrived| {
            placed_server::signed(arrived, 200, "yes")
        });
        let server = server.await;
        let draining = draining::Draining::new(Duration::ZERO, Duration::from_secs(8));
        world
            .until(|world| world.gw.now() > draining::ACCEPT_ALL_PERIOD)
            .await;
        world.gw.draining.set(Some(draining));
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 503);
        assert_eq!(got.headers.text("Connection"), Some("close"));
        assert!(server.arrived.borrow().is_empty());
    });
}

#[test]
fn a_drained_router_takes_nothing_more() {
    play(&configuration(1, PLENTY, 100), async |world| {
        let server = world.server("plain", |arrived| {
            placed_server::signed(arrived, 200, "yes")
        });
        let server = server.await;
        let draining = draining::Draining::new(world.gw.now(), Duration::from_secs(8));
        let is_closed = true;
        world.gw.draining.set(Some(draining::Draining {
            is_closed,
            ..draining
        }));
        let got = world.ask("POST", "/book/1", "", "a commission").await;
        assert_eq!(got.status, 503);
        assert!(server.arrived.borrow().is_empty());
    });
}

/// A router that gave its tokens back went on to fill its reserve: it stood in the ledger again
/// with all it ever had, beside the closed part, and half of a budget was out of reach.
#[test]
fn a_closed_account_is_not_opened_again() {
    play(&configuration(1, 10_000, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        assert_eq!(
            world.ask("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        ledger::close(&world.gw).await;
        assert_closed(&world, 160);
        // More than the reserve, so that the router would ask the ledger; and two looks at shares.
        let got = world.ask("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(got.status, 429);
        world.sleep(1100).await;
        assert_closed(&world, 160);
    });
}

/// The store was away for a moment: what was left was lost. The end of a write was unknown.
#[test]
fn a_leaving_router_tries_again_to_give_its_tokens_back() {
    play(&configuration(1, 10_000, TIMEOUT_MS), async |world| {
        let answer = |arrived: &_| placed_server::events(arrived, 0..10, NO_PAUSE);
        world.server("model", answer).await;
        assert_eq!(
            world.ask("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        world.store.faults.lost_answers.set(1);
        world.store.faults.refuses.set(true);
        let back = async {
            world.sleep(300).await;
            world.store.faults.refuses.set(false);
        };
        futures::join!(ledger::close(&world.gw), back);
        assert_closed(&world, 160);
    });
}

/// Asserts that nobody holds tokens of the budget and how many are spent for good.
fn assert_closed(world: &World, closed: i64) {
    let text = world.store.text("fulmar/budgets/desk").unwrap();
    let ledger: share_ledger::ShareLedger = serde_json::from_str(&text).unwrap();
    assert_eq!(ledger.holders, BTreeMap::new());
    assert_eq!(ledger.closed, closed);
}
