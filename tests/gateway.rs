//! Tests a gateway against simulations of the platform's store and of backend servers: what callers
//! and servers receive, and what is counted against budgets.

mod gateway_world;

use std::{
    cell::Cell,
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    time::Duration,
};

use fulmarproxy::{
    coordination::draining,
    gateway::{budget, ledger, releases},
    standin::{
        platform_store,
        scripted_server::{self, Step},
    },
    state::{release, share_ledger},
    transport::h1::conn,
};
use gateway_world::{TestEnv, configuration, read_response, request_text, run_test};
use socket2::{Domain, Socket, Type};

const AMPLE_BUDGET: u64 = 1_000_000;
const TIMEOUT_MS: u64 = 5000;
const USAGE: &str = "X-Token-Usage: 100,60\r\nX-Prompt-Prefix: a1:50,b2:30,c3:20\r\n";
const NO_DELAY: Duration = Duration::ZERO;

#[test]
fn a_request_is_forwarded_without_reserved_headers() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "booked")
        });
        let server = server.await;
        let forged = "X-Tenant: other\r\nX-Hold: 7\r\nX-Expect-Instance: i-9\r\nX-Own: kept\r\n";
        let response = env
            .send("POST", "/book/1?a=b", forged, "a commission")
            .await;
        assert_eq!((response.status, &response.body[..]), (200, &b"booked"[..]));
        let received = server.received.borrow();
        let head = &received[0].head;
        assert_eq!(head.target, "/book/1?a=b");
        assert_eq!(received[0].body, b"a commission");
        assert_eq!(head.headers.text("X-Tenant"), Some("desk"));
        assert_eq!(head.headers.text("X-Expect-Instance"), Some("i-1"));
        assert_eq!(head.headers.text("X-Own"), Some("kept"));
        assert_eq!(head.headers.text("Authorization"), None);
        assert_eq!(head.headers.text("X-Hold"), None);
    });
}

#[test]
fn a_stream_arrives_in_order_and_its_tokens_are_counted() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..5, NO_DELAY);
        env.start_server("model", answer).await;
        let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert!(response.whole);
        let text = String::from_utf8(response.body).unwrap();
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!(ids, ["0", "1", "2", "3", "4"]);
        // 100 input tokens and five events of six tokens each.
        env.until(|env| env.spent_tokens() == 130).await;
    });
}

#[test]
fn a_cancelled_request_counts_its_spent_tokens() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let pause = Duration::from_secs(10);
        let answer = move |request: &_| scripted_server::signed_event_stream(request, 0..5, pause);
        let server = env.start_server("model", answer).await;
        let mut caller = env.connect().await;
        let bytes = request_text("POST", "/draft/1", USAGE, "prompt");
        caller.write(bytes.as_bytes()).await.unwrap();
        while !caller.unread().windows(5).any(|window| window == b"id: 0") {
            assert!(caller.fill().await.unwrap());
        }
        drop(caller);
        env.until(|env| env.spent_tokens() == 106).await;
        env.until(|_| server.disconnects.get() == 1).await;
    });
}

#[test]
fn a_request_cancelled_before_its_first_event_costs_nothing() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let server = env
            .start_server("model", |_| vec![Step::Wait(Duration::from_secs(10))])
            .await;
        let mut caller = env.connect().await;
        let bytes = request_text("POST", "/draft/1", USAGE, "prompt");
        caller.write(bytes.as_bytes()).await.unwrap();
        env.until(|_| server.received.borrow().len() == 1).await;
        drop(caller);
        env.until(|_| server.disconnects.get() == 1).await;
        env.until(|env| env.gw.in_flight.get() == 0).await;
        assert_eq!(env.spent_tokens(), 0);
    });
}

#[test]
fn a_request_with_an_unknown_outcome_counts_its_input() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.start_server("model", |_| vec![Step::Close]).await;
        assert_eq!(
            env.send("POST", "/draft/1", USAGE, "prompt").await.status,
            502
        );
        env.until(|env| env.spent_tokens() == 100).await;
    });
}

#[test]
fn a_request_that_was_sent_is_not_reported_as_not_run() {
    run_test(&configuration(1, AMPLE_BUDGET, 200), async |env| {
        let server = env
            .start_server("plain", |_| vec![Step::Wait(Duration::from_secs(10))])
            .await;
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 504);
        assert_eq!(server.received.borrow().len(), 1);
        assert_eq!(response.headers.text("Retry-After"), None);
    });
}

/// Guards against a refusal in the middle of a response that its caller reads slowly (MIXED).
#[test]
fn nothing_is_written_after_a_part_of_a_response_when_its_time_has_passed() {
    run_test(&configuration(1, AMPLE_BUDGET, 200), async |env| {
        let body = "m".repeat(12 << 20);
        let answer = move |request: &_| scripted_server::signed_response(request, 200, &body);
        env.start_server("plain", answer).await;
        let mut caller = env.connect().await;
        let text = request_text("POST", "/book/1", "", "a commission");
        caller.write(text.as_bytes()).await.unwrap();
        env.until(|env| env.gw.in_flight.get() == 1).await;
        env.sleep(1000).await;
        while let Ok(true) = caller.fill().await {}
        let received = String::from_utf8_lossy(caller.unread());
        assert_eq!(received.matches("HTTP/1.1 ").count(), 1);
    });
}

/// Guards against a request that reaches its server after it was abandoned (DRAIN, GONE).
#[test]
fn an_abandoned_request_is_not_delivered_later() {
    run_test(&configuration(1, AMPLE_BUDGET, 200), async |env| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(2048).unwrap();
        let address: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&address.into()).unwrap();
        socket.listen(8).unwrap();
        socket.set_nonblocking(true).unwrap();
        let listener = async_net::TcpListener::try_from(TcpListener::from(socket)).unwrap();
        env.list_server("plain", listener.local_addr().unwrap())
            .await;
        let body = "m".repeat(48 * 1024);
        let response = env.send("POST", "/book/1", "", &body).await;
        assert_eq!(response.status, 504);
        let (stream, _) = listener.accept().await.unwrap();
        let mut conn = conn::Conn::new(stream);
        while let Ok(true) = conn.fill().await {}
        let received = conn.unread().len();
        assert!(received < body.len(), "{received} bytes arrived");
    });
}

#[test]
fn a_non_idempotent_request_is_sent_once() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let first = env.start_server("plain", |_| vec![Step::Close]).await;
        let second = env.start_server("plain", |_| vec![Step::Close]).await;
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 502);
        let sent = first.received.borrow().len() + second.received.borrow().len();
        assert_eq!(sent, 1);
    });
}

#[test]
fn a_request_that_did_not_run_is_sent_to_another_server() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.start_server("plain", |_| scripted_server::not_run_response())
            .await;
        env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "booked")
        })
        .await;
        for _ in 0..4 {
            let response = env.send("POST", "/book/1", "", "a commission").await;
            assert_eq!(response.status, 200);
        }
    });
}

#[test]
fn a_stream_resumes_at_another_server_after_its_last_complete_event() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &scripted_server::ReceivedRequest| {
            if request.head.headers.text("Last-Event-Id") == Some("1") {
                return scripted_server::signed_event_stream(request, 2..4, NO_DELAY);
            }
            let mut steps = scripted_server::signed_event_stream(request, 0..2, NO_DELAY);
            steps.pop();
            steps.push(Step::Send(b"9\r\nid: 2\ndat\r\n".to_vec()));
            steps.push(Step::Close);
            steps
        };
        env.start_server("model", answer).await;
        env.start_server("model", answer).await;
        let response = env.send("POST", "/ask/1", USAGE, "prompt").await;
        let text = String::from_utf8(response.body).unwrap();
        let ids: Vec<&str> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        assert_eq!((response.whole, ids), (true, vec!["0", "1", "2", "3"]));
    });
}

#[test]
fn a_truncated_response_never_looks_complete() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &_| {
            let mut steps = scripted_server::signed_event_stream(request, 0..2, NO_DELAY);
            steps.pop();
            steps.push(Step::Close);
            steps
        };
        env.start_server("model", answer).await;
        let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert!(!response.whole);
    });
}

/// Everything that a caller receives of a stream whose servers close the connection early.
async fn received_from_broken_stream(env: &TestEnv) -> String {
    let answer = |request: &_| {
        let mut steps = scripted_server::signed_event_stream(request, 0..2, NO_DELAY);
        steps.pop();
        steps.push(Step::Close);
        steps
    };
    env.start_server("model", answer).await;
    let mut conn = env.connect().await;
    let bytes = request_text("POST", "/ask/1", USAGE, "prompt");
    conn.write(bytes.as_bytes()).await.unwrap();
    while let Ok(true) = conn.fill().await {}
    String::from_utf8(conn.unread().to_vec()).unwrap()
}

/// Guards against an error response being written into a stream that has already begun. It happened
/// when the stream broke off and no retries were left.
#[test]
fn nothing_is_written_after_a_broken_stream_without_retries_left() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let (allowance, now) = (env.gw.retry_allowance(), env.gw.now());
        let service = "model".into();
        while env
            .gw
            .retry_windows
            .borrow_mut()
            .take_retry(&service, allowance, Some(1), now)
        {}
        let text = received_from_broken_stream(&env).await;
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
        assert!(text.contains("id: 1"), "{text}");
    });
}

#[test]
fn nothing_is_written_after_a_stream_that_broke_at_every_server() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let text = received_from_broken_stream(&env).await;
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    });
}

#[test]
fn a_late_response_to_another_request_is_discarded() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &_| {
            let late = "HTTP/1.1 200 X\r\nX-Request-Id: r0\r\nX-Response-Signature: s\r\n\
                        Content-Length: 5\r\n\r\nother";
            let mut steps = vec![Step::Send(late.as_bytes().to_vec())];
            steps.extend(scripted_server::signed_response(request, 200, "own"));
            steps
        };
        env.start_server("plain", answer).await;
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.body, b"own");
    });
}

/// Guards against a status that promises 'not run' for a request that may have run (REFUSED).
#[test]
fn a_failure_that_promises_not_run_is_not_passed_on_for_a_request_that_may_have_run() {
    for status in [408, 429, 503] {
        run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
            let answer =
                move |request: &_| scripted_server::signed_response(request, status, "no seat");
            let plain = env.start_server("plain", answer).await;
            let model = env.start_server("model", answer).await;
            for path in ["/book/1", "/draft/1"] {
                let response = env.send("POST", path, "", "a commission").await;
                assert_eq!(response.status, 502, "{path}");
                assert!(response.headers.text("X-Response-Signature").is_none());
            }
            let sent = [&plain, &model].map(|server| server.received.borrow().len());
            assert_eq!(sent, [1, 1]);
        });
    }
}

/// Guards against failures of servers that are replaced by one of the router's own.
#[test]
fn the_last_failure_of_a_server_is_passed_on_unchanged() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_response(request, 500, "no such seat");
        let first = env.start_server("plain", answer).await;
        let second = env.start_server("plain", answer).await;
        let response = env.send("GET", "/look/1", "", "").await;
        assert_eq!(response.status, 500);
        assert_eq!(response.body, b"no such seat");
        assert!(response.headers.text("X-Response-Signature").is_some());
        let sent = [&first, &second].map(|server| server.received.borrow().len());
        assert_eq!(sent, [1, 1]);
    });
}

/// A failure must not hide that a later attempt succeeded.
#[test]
fn a_failure_that_another_server_makes_good_is_not_passed_on() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let sends = Rc::new(Cell::new(0));
        for _ in 0..2 {
            let sends = sends.clone();
            let answer = move |request: &_| {
                sends.set(sends.get() + 1);
                let status = if sends.get() == 1 { 500 } else { 200 };
                scripted_server::signed_response(request, status, "seat 7")
            };
            env.start_server("plain", answer).await;
        }
        let response = env.send("GET", "/look/1", "", "").await;
        assert_eq!((response.status, sends.get()), (200, 2));
    });
}

#[test]
fn an_unsigned_response_is_an_error() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let unsigned = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhi".to_vec();
        env.start_server("plain", move |_| vec![Step::Send(unsigned.clone())])
            .await;
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 502);
    });
}

#[test]
fn an_exhausted_budget_refuses_requests_until_a_top_up() {
    run_test(&configuration(1, 300, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        assert_eq!(
            env.send("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        env.until(|env| env.spent_tokens() == 160).await;
        let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(response.status, 402);
        env.store
            .put("op/config", &configuration(2, 600, TIMEOUT_MS).to_string());
        env.until(|env| env.config_version() == 2).await;
        assert_eq!(
            env.send("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
    });
}

#[test]
fn a_ledger_write_with_a_lost_answer_grants_nothing_twice() {
    run_test(&configuration(1, 1000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        env.store.faults.dropped_responses.set(2);
        let mut served = 0;
        for _ in 0..12 {
            served += u32::from(env.send("POST", "/draft/1", USAGE, "prompt").await.status == 200);
        }
        assert_eq!(served, 6, "six requests of 160 tokens fit into 1,000");
    });
}

/// Guards against refusals when the store applies a ledger write but never answers it. Requests
/// used to wait for the store call's timeout, one after the other, and were then refused although
/// their tokens had been granted.
#[test]
fn a_ledger_write_without_an_answer_is_found_applied() {
    run_test(&configuration(1, 100_000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        for _ in 0..3 {
            // More tokens than the reserve holds, so that the ledger must be written.
            env.store.faults.hanging_responses.set(1);
            let usage = "X-Token-Usage: 15000,60\r\n";
            let response = env.send("POST", "/draft/1", usage, "prompt").await;
            assert_eq!(response.status, 200);
        }
    });
}

/// Guards against taking a ledger write for applied because the store holds the same value: a write
/// that grants nothing doesn't change the ledger, so its value proves nothing.
#[test]
fn a_ledger_write_without_changes_is_never_found_applied() {
    run_test(&configuration(1, 1000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        let mut served = 0;
        for _ in 0..12 {
            env.store.faults.hanging_responses.set(1);
            served += u32::from(env.send("POST", "/draft/1", USAGE, "prompt").await.status == 200);
        }
        env.store.faults.hanging_responses.set(0);
        assert!(served <= 6, "{served} requests of 160 tokens out of 1,000");
        let spent = env.spent_tokens();
        assert!(spent <= 1000, "{spent}");
    });
}

#[test]
fn a_watch_broken_by_a_compaction_reads_everything_again() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.store.faults.mutes_watches.set(true);
        env.store.put(
            "op/config",
            &configuration(2, AMPLE_BUDGET, TIMEOUT_MS).to_string(),
        );
        env.store.compact();
        // The change fell into the time in which watches got no events, and compaction dropped it.
        // A watch that only resumed would wait for a further change.
        env.until(|env| env.config_version() == 2).await;
        env.store.faults.mutes_watches.set(false);
    });
}

#[test]
fn an_older_or_invalid_configuration_is_ignored() {
    run_test(&configuration(5, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.store.put(
            "op/config",
            &configuration(4, AMPLE_BUDGET, TIMEOUT_MS).to_string(),
        );
        env.store
            .put("op/config", "{\"version\": 9, \"routes\": 3}");
        env.store.put(
            "op/config",
            &configuration(6, AMPLE_BUDGET, TIMEOUT_MS).to_string(),
        );
        env.until(|env| env.config_version() == 6).await;
    });
}

#[test]
fn a_server_removed_from_the_list_gets_no_requests() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        });
        let server = server.await;
        env.store.remove("servers/i-1");
        env.until(|env| env.gw.directory.borrow().servers.is_empty())
            .await;
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 503);
        assert!(response.headers.text("Retry-After").is_some());
        assert!(server.received.borrow().is_empty());
    });
}

#[test]
fn a_server_entry_that_does_not_parse_is_ignored() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.store.put("servers/i-x", "{\"service\": 7}");
        env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        })
        .await;
        assert_eq!(env.gw.directory.borrow().servers.len(), 1);
    });
}

#[test]
fn requests_with_ambiguous_framing_are_refused() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        });
        let server = server.await;
        for extra in [
            "Transfer-Encoding: chunked\r\n",
            "Content-Length: 5\r\n",
            "Transfer-Encoding: xchunked\r\n",
        ] {
            let response = env.send(
                "POST",
                "/book/1",
                extra,
                "0\r\n\r\nGET /look/1 HTTP/1.1\r\n\r\n",
            );
            assert_eq!(response.await.status, 400, "{extra}");
        }
        assert!(server.received.borrow().is_empty());
    });
}

#[test]
fn limits_and_keys_are_checked() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let long = format!("X-Long: {}\r\n", "a".repeat(5000));
        assert_eq!(env.send("POST", "/book/1", &long, "").await.status, 431);
        let large = "a".repeat(70_000);
        assert_eq!(env.send("POST", "/book/1", "", &large).await.status, 413);
        assert_eq!(env.send("POST", "/nowhere", "", "").await.status, 404);
        let mut caller = env.connect().await;
        let wrong = request_text("POST", "/book/1", "", "").replace("secret-of-desk", "guessed");
        caller.write(wrong.as_bytes()).await.unwrap();
        assert_eq!(read_response(&mut caller, "POST").await.status, 401);
    });
}

#[test]
fn a_store_outage_leaves_the_known_state_in_force() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        })
        .await;
        env.store.faults.unavailable.set(true);
        env.store.compact();
        env.sleep(300).await;
        assert_eq!(env.send("POST", "/book/1", "", "").await.status, 200);
        env.store.faults.unavailable.set(false);
        env.store.put(
            "op/config",
            &configuration(2, AMPLE_BUDGET, TIMEOUT_MS).to_string(),
        );
        env.until(|env| env.config_version() == 2).await;
    });
}

#[test]
fn a_draining_router_refuses_requests_that_it_could_not_finish() {
    run_test(&configuration(1, AMPLE_BUDGET, 9000), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        });
        let server = server.await;
        let draining = draining::Draining::new(Duration::ZERO, Duration::from_secs(8));
        env.until(|env| env.gw.now() > draining::ACCEPT_ALL_TIME)
            .await;
        env.gw.draining.set(Some(draining));
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 503);
        assert_eq!(response.headers.text("Connection"), Some("close"));
        assert!(server.received.borrow().is_empty());
    });
}

#[test]
fn a_drained_router_refuses_every_request() {
    run_test(&configuration(1, AMPLE_BUDGET, 100), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "yes")
        });
        let server = server.await;
        let draining = draining::Draining::new(env.gw.now(), Duration::from_secs(8));
        let is_closed = true;
        env.gw.draining.set(Some(draining::Draining {
            is_closed,
            ..draining
        }));
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 503);
        assert!(server.received.borrow().is_empty());
    });
}

/// Guards against a router filling its reserve after it has returned its tokens at shutdown. The
/// ledger then listed all tokens that it had ever held again, besides the closed total, and half of
/// the budget was unavailable.
#[test]
fn a_closed_account_is_not_reopened() {
    run_test(&configuration(1, 10_000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        assert_eq!(
            env.send("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        ledger::close(&env.gw).await;
        assert_closed(&env, 160);
        // The request needs more tokens than the router still holds, so that it would write the
        // ledger. The sleep covers two of the periodic checks that fill shares.
        let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(response.status, 429);
        env.sleep(1100).await;
        assert_closed(&env, 160);
    });
}

/// Guards against tokens being lost at shutdown when the store is unavailable for a moment, or
/// applies the write but loses its answer.
#[test]
fn a_router_retries_returning_its_tokens_at_shutdown() {
    run_test(&configuration(1, 10_000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        assert_eq!(
            env.send("POST", "/draft/1", USAGE, "prompt").await.status,
            200
        );
        env.store.faults.dropped_responses.set(1);
        env.store.faults.unavailable.set(true);
        let back = async {
            env.sleep(300).await;
            env.store.faults.unavailable.set(false);
        };
        futures::join!(ledger::close(&env.gw), back);
        assert_closed(&env, 160);
    });
}

/// Asserts that no router holds tokens of the budget, and the total of the closed accounts.
fn assert_closed(env: &TestEnv, closed: i64) {
    let text = env.store.text("fulmar/budgets/desk").unwrap();
    let ledger: share_ledger::ShareLedger = serde_json::from_str(&text).unwrap();
    assert_eq!(ledger.holders, BTreeMap::new());
    assert_eq!(ledger.closed_total(), closed);
    assert_eq!(ledger.closings.len(), 1);
}

/// Guards against 402 while another router that could not be asked may hold tokens: 402 means that
/// the balance does not cover the request, and callers don't come back after it.
#[test]
fn a_budget_that_cannot_be_asked_for_everywhere_is_not_called_spent() {
    run_test(&configuration(1, 300, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = silent.local_addr().unwrap();
        env.gw.set_peers([("entry-9/1".to_owned(), address)].into());
        // The home is whichever of the two ranks first; the silent one never answers as home.
        let first = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(first.status, 200);
        env.until(|env| env.spent_tokens() == 160).await;
        for _ in 0..3 {
            let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
            assert_eq!(response.status, 429);
            assert!(response.headers.text("Retry-After").is_some());
        }
        env.gw.set_peers(std::collections::HashMap::new());
        env.sleep(1100).await;
        let response = env.send("POST", "/draft/1", USAGE, "prompt").await;
        assert_eq!(response.status, 402);
    });
}

/// Guards against work for a caller that has left: a router that was held up finds the request and
/// the close at the same time, and used to send the request first.
#[test]
fn a_request_of_a_caller_that_has_left_is_not_sent() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let server = env.start_server("plain", |request| {
            scripted_server::signed_response(request, 200, "booked")
        });
        let server = server.await;
        // Its connection to the server is kept, so that the next request need not wait for one.
        let response = env.send("POST", "/book/1", "", "a commission").await;
        assert_eq!(response.status, 200);
        let mut caller = std::net::TcpStream::connect(env.front_address).unwrap();
        let bytes = request_text("POST", "/book/1", "", "a commission");
        std::io::Write::write_all(&mut caller, bytes.as_bytes()).unwrap();
        drop(caller);
        let response = env.send("POST", "/book/1", "", "another commission").await;
        assert_eq!(response.status, 200);
        env.until(|env| env.gw.in_flight.get() == 0).await;
        assert_eq!(server.received.borrow().len(), 2);
    });
}

/// Load: a store that comes back without the entries of many servers. Each entry used to be read on
/// its own at every gateway, which was a third of all store calls on a day with 180 servers.
#[test]
fn expired_entries_are_checked_with_one_call() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        for number in 0..40 {
            let entry = format!(
                r#"{{"service":"plain","address":"10.0.0.1:{}","zone":"a","slots":8,"state":"ready","version":"v1"}}"#,
                number + 1
            );
            env.store.put(&format!("servers/w-{number}"), &entry);
        }
        env.until(|env| env.gw.directory.borrow().servers.len() == 40)
            .await;
        let before = range_calls_before_outage(&env).await;
        env.store.faults.unavailable.set(true);
        env.store.compact();
        let had_failed = |env: &TestEnv| env.store.calls.borrow()["/kv-range"] > before + 1;
        env.until(had_failed).await;
        for number in 0..40 {
            env.store.remove(&format!("servers/w-{number}"));
        }
        env.store.faults.unavailable.set(false);
        env.until(|env| env.gw.directory.borrow().servers.is_empty())
            .await;
        let calls = env.store.calls.borrow();
        assert_eq!(calls.get("/kv-key"), None);
    });
}

const EXAMPLE_ENTRY: &str = r#"{"service":"plain","address":"10.0.0.1:1","zone":"a","slots":8,"state":"ready","version":"v1"}"#;

/// Number of range calls once the record of releases needs none, so that further ones in an outage are
/// those for the list of servers.
async fn range_calls_before_outage(env: &TestEnv) -> u32 {
    let example = release::Release::new("plain", "v1");
    env.until(|env| releases::is_recorded(&env.gw, &example))
        .await;
    env.store.calls.borrow()["/kv-range"]
}

/// Takes the store away, removes an entry meanwhile, and waits until the gateway keeps its server for
/// a time. Returns the end of the outage.
async fn expire_in_an_outage(env: &TestEnv, id: &str) -> Duration {
    let range_calls = |env: &TestEnv| env.store.calls.borrow()["/kv-range"];
    let before = range_calls_before_outage(env).await;
    env.store.faults.unavailable.set(true);
    // A change ends the watch that waits, and the next one fails.
    env.store.put("servers/w-0", EXAMPLE_ENTRY);
    env.until(|env| range_calls(env) > before).await;
    env.store.remove(&format!("servers/{id}"));
    let end = env.gw.now();
    env.store.faults.unavailable.set(false);
    let is_waiting = |env: &TestEnv| {
        let due = env.gw.expired_servers.borrow().next_due();
        due.is_some_and(|due| due > end)
    };
    env.until(is_waiting).await;
    end
}

/// Guards against servers that are removed before their time: those of a second outage used to be
/// checked at the time of the first one.
#[test]
fn each_expired_entry_has_the_time_of_its_own_outage() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        for id in ["w-1", "w-2"] {
            env.store.put(&format!("servers/{id}"), EXAMPLE_ENTRY);
        }
        let is_listed =
            |env: &TestEnv, id: &str| env.gw.directory.borrow().servers.contains_key(id);
        env.until(|env| is_listed(env, "w-2")).await;
        expire_in_an_outage(&env, "w-1").await;
        env.sleep(1000).await;
        let end = expire_in_an_outage(&env, "w-2").await;
        assert!(is_listed(&env, "w-1") && is_listed(&env, "w-2"));
        env.until(|env| !is_listed(env, "w-2")).await;
        let kept = env.gw.now() - end;
        assert!(kept >= Duration::from_secs(2), "{kept:?}");
    });
}

/// Guards against a router that asks for tokens once for each request: with thousands waiting it ran
/// out of sockets, and answered nobody any more.
#[test]
fn requests_that_wait_for_tokens_ask_the_home_a_few_at_a_time() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        let home = scripted_server::ScriptedServer::new(Rc::new(|_| {
            let body = r#"{"tokens":100000,"is_exhausted":false}"#;
            let len = body.len();
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {len}\r\n\r\n{body}");
            vec![
                Step::Wait(Duration::from_millis(50)),
                Step::Send(reply.into_bytes()),
            ]
        }));
        let (listener, address) = platform_store::listener().await.unwrap();
        let serving = home.clone().serve(listener, env.executor.clone());
        env.executor.spawn(serving).detach();
        // One of the names ranks before the gateway's own.
        for number in 0.. {
            env.gw
                .set_peers([(format!("peer-{number}/1"), address)].into());
            let candidates = budget::home_candidates(&env.gw, "desk");
            if candidates[0] == budget::Candidate::Peer(address) {
                break;
            }
        }
        let sending = (0..40).map(|_| env.send("POST", "/draft/1", USAGE, "prompt"));
        let responses = futures::future::join_all(sending).await;
        assert!(responses.iter().all(|response| response.status == 200));
        let received = home.received.borrow();
        let draws = received
            .iter()
            .filter(|call| String::from_utf8_lossy(&call.body).contains("needed"));
        assert!(draws.count() <= 8);
    });
}

/// Guards against 402 for a budget with free tokens: a ledger whose writes all conflicted with other
/// routers' used to count as exhausted.
#[test]
fn a_budget_whose_ledger_is_contended_is_not_called_spent() {
    run_test(&configuration(1, 100_000, TIMEOUT_MS), async |env| {
        let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, NO_DELAY);
        env.start_server("model", answer).await;
        let usage = "X-Token-Usage: 15000,60\r\n";
        env.store.faults.conflicting_writes.set(1000);
        let response = env.send("POST", "/draft/1", usage, "prompt").await;
        assert_eq!(response.status, 429);
        env.store.faults.conflicting_writes.set(0);
        let response = env.send("POST", "/draft/1", usage, "prompt").await;
        assert_eq!(response.status, 200);
    });
}

#[test]
fn servers_are_handed_no_more_time_than_the_caller_has_left() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let pause = Duration::from_millis(100);
        let server = env
            .start_server("plain", move |_| vec![Step::Wait(pause), Step::Close])
            .await;
        env.send("POST", "/look/1", "", "x").await;
        let received = server.received.borrow();
        let deadline = |index: usize| -> u64 {
            let given = received[index].head.headers.text("X-Deadline-Ms");
            given.unwrap().parse().unwrap()
        };
        assert!(deadline(0) <= TIMEOUT_MS.min(5000));
        assert!(deadline(1) + 100 <= deadline(0), "the second attempt");
    });
}
