//! Tests what requests write to the log: sampling, limits, secrets, and a log reader that blocks.

mod gateway_world;

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use fulmarproxy::{
    coordination::log_sampling,
    logging,
    standin::scripted_server,
    transport::{h1::dial, timers},
};
use gateway_world::{KEY, TestEnv, configuration, read_response, request_text, run_test};
use tracing::subscriber::DefaultGuard;

const USAGE: &str = "X-Token-Usage: 100,60\r\nX-Prompt-Prefix: a1:50,b2:30,c3:20\r\n";
const BODY: &str = "the text of a manuscript";

/// Captures the log lines of this thread.
#[derive(Clone, Default)]
struct CapturedLog(Arc<Mutex<Vec<u8>>>);

impl Write for CapturedLog {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl CapturedLog {
    fn capture() -> (Self, DefaultGuard) {
        let captured = Self::default();
        let writer = captured.clone();
        let log = tracing_subscriber::fmt()
            .with_ansi(false)
            .with_target(false)
            .with_writer(move || writer.clone())
            .finish();
        (captured, tracing::subscriber::set_default(log))
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }

    fn lines_with(&self, part: &str) -> Vec<String> {
        let text = self.text();
        let lines = text.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }
}

/// A request id that is sampled for the log, or one that is not.
fn request_id(sampled: bool) -> String {
    let mut ids = (0..).map(|number| format!("request-{number}"));
    ids.find(|id| log_sampling::is_sampled(id) == sampled)
        .unwrap()
}

async fn send_as(front: SocketAddr, id: &str, key: &str) -> u16 {
    let bytes = request_text("POST", "/draft/1", USAGE, BODY);
    let bytes = bytes
        .replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"))
        .replace(KEY, key);
    let timers = timers::Timers::default();
    let conn = dial::connect(front, Duration::from_secs(5), &timers).await;
    let mut conn = conn.unwrap();
    conn.write(bytes.as_bytes()).await.unwrap();
    read_response(&mut conn, "POST").await.status
}

async fn serve_drafts(env: &TestEnv) {
    let answer = |request: &_| scripted_server::signed_event_stream(request, 0..10, Duration::ZERO);
    env.start_server("model", answer).await;
}

#[test]
fn a_served_request_is_logged_completely_or_not_at_all() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        serve_drafts(&env).await;
        let (captured, _guard) = CapturedLog::capture();
        let (logged, unlogged) = (request_id(true), request_id(false));
        assert_eq!(send_as(env.front_address, &logged, KEY).await, 200);
        assert_eq!(send_as(env.front_address, &unlogged, KEY).await, 200);
        env.sleep(20).await;
        let logged = captured.lines_with(&logged);
        for part in ["request: admitted", "request: sent", "request: answered"] {
            assert!(logged.iter().any(|line| line.contains(part)), "{part}");
        }
        assert!(captured.lines_with(&format!("\"{unlogged}\"")).is_empty());
    });
}

#[test]
fn a_sampled_request_is_also_logged_by_the_router_that_gave_the_tokens() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        serve_drafts(&env).await;
        let other = env.start_second_gateway().await;
        let (captured, _guard) = CapturedLog::capture();
        let ids = (0..4000).map(|number| format!("r-{number}"));
        let mut logged = ids.filter(|id| log_sampling::is_sampled(id));
        // Either router may be the budget's home; the other one must draw tokens from it within a
        // few requests.
        for front in [env.front_address, other] {
            for id in logged.by_ref().take(4) {
                assert_eq!(send_as(front, &id, KEY).await, 200);
            }
        }
        env.sleep(20).await;
        let asked = captured.lines_with("budget: asked for tokens");
        let asked = asked.first().expect("a router asked the budget's home");
        let id = asked
            .split("id=")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        let request_lines = captured.lines_with(id);
        let has = |part: &str| request_lines.iter().any(|line| line.contains(part));
        assert!(has("request: admitted") && has("request: sent") && has("request: answered"));
    });
}

#[test]
fn refusals_in_a_burst_are_logged_up_to_a_limit_and_counted() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        let (captured, _guard) = CapturedLog::capture();
        for number in 0..900 {
            assert_eq!(
                send_as(env.front_address, &format!("f-{number}"), "wrong").await,
                401
            );
        }
        let logged = captured.lines_with("request: refused or failed").len();
        let left_out = env.gw.failure_log_quota.borrow_mut().left_out() as usize;
        assert_eq!(logged + left_out, 900, "each is logged or counted");
    });
}

#[test]
fn refusals_beyond_the_quota_are_not_logged() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        // The quota starts anew each second. A time in the future keeps it used up while the test
        // runs.
        let later = env.gw.now() + Duration::from_secs(1000);
        while env.gw.failure_log_quota.borrow_mut().take(later) {}
        assert_eq!(env.gw.failure_log_quota.borrow_mut().left_out(), 1);
        let (captured, _guard) = CapturedLog::capture();
        let unlogged = request_id(false);
        for _ in 0..20 {
            assert_eq!(send_as(env.front_address, &unlogged, "wrong").await, 401);
            let mut conn = env.connect().await;
            conn.write(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                .await
                .unwrap();
            assert_eq!(read_response(&mut conn, "POST").await.status, 400);
        }
        assert!(
            captured.lines_with("refused").is_empty(),
            "{}",
            captured.text()
        );
        assert_eq!(env.gw.failure_log_quota.borrow_mut().left_out(), 40);
    });
}

/// Guards against one odd entry of another writer that fills the log.
#[test]
fn an_entry_that_does_not_parse_is_logged_once_for_each_change() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        serve_drafts(&env).await;
        let (captured, _guard) = CapturedLog::capture();
        let lines = || captured.lines_with("directory: entry does not parse").len();
        for change in 1..4 {
            env.store.put("servers/odd", "?");
            env.until(|_| lines() >= change).await;
            // The whole list is read again.
            let calls = || env.store.calls.borrow().get("/kv-range").copied();
            let before = calls();
            env.store.compact();
            env.until(|_| calls() > before).await;
            env.sleep(50).await;
            assert_eq!(lines(), change);
        }
    });
}

/// Guards against a rush of refusals that hides what happened to requests that were sent.
#[test]
fn a_request_that_was_turned_away_is_logged_during_a_rush_of_refusals() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        let later = env.gw.now() + Duration::from_secs(1000);
        while env.gw.failure_log_quota.borrow_mut().take(later) {}
        env.start_server("model", |_| scripted_server::not_run_response())
            .await;
        let (captured, _guard) = CapturedLog::capture();
        let unsampled = request_id(false);
        assert_eq!(send_as(env.front_address, &unsampled, KEY).await, 503);
        let lines = captured.lines_with(&unsampled);
        let part = "none id, 0 discarded before it, 0 requests earlier on its connection";
        let line = lines.iter().find(|line| line.contains(part));
        assert!(
            line.is_some_and(|it| it.contains("not_run=true")),
            "{lines:?}"
        );
    });
}

#[test]
fn no_line_contains_a_key_or_a_body() {
    run_test(&configuration(1, 1000, 5000), async |env| {
        serve_drafts(&env).await;
        let (captured, _guard) = CapturedLog::capture();
        for number in 0..40 {
            send_as(env.front_address, &format!("s-{number}"), KEY).await;
            send_as(env.front_address, &format!("s-{number}"), "another-secret").await;
        }
        let text = captured.text();
        assert!(
            text.contains("are not left in the budget of desk"),
            "{text}"
        );
        for secret in [KEY, "another-secret", BODY] {
            assert!(!text.contains(secret), "{secret} is in the log");
        }
    });
}

/// A log writer whose reader has stopped: a write blocks until the test ends.
struct BlockedWriter(std::sync::mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_log_reader_delays_no_request() {
    run_test(&configuration(1, 100_000, 5000), async |env| {
        serve_drafts(&env).await;
        let (reads, stopped) = std::sync::mpsc::channel();
        let (writer, writing) = logging::lossy_writer(BlockedWriter(stopped));
        let log = tracing_subscriber::fmt().with_writer(writer).finish();
        let guard = tracing::subscriber::set_default(log);
        for line in 0..10_000 {
            tracing::info!(line, "filler");
        }
        let dropped = logging::dropped_lines();
        assert!(dropped > 5000, "{dropped} of 10,000 lines were dropped");
        assert_eq!(
            send_as(env.front_address, &request_id(true), KEY).await,
            200
        );
        assert!(logging::dropped_lines() > dropped, "its lines are counted");
        drop(guard);
        drop(reads);
        drop(writing);
    });
}
