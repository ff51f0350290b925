//! What requests leave in the log, whoever reads it.

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
    standin::placed_server,
    transport::{h1::dial, timers},
};
use gateway_world::{KEY, World, configuration, play, read, request};
use tracing::subscriber::DefaultGuard;

const USAGE: &str = "X-Token-Usage: 100,60\r\nX-Prompt-Prefix: a1:50,b2:30,c3:20\r\n";
const BODY: &str = "the text of a manuscript";

/// Lines of the log of this thread.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn capture() -> (Self, DefaultGuard) {
        let lines = Self::default();
        let writer = lines.clone();
        let log = tracing_subscriber::fmt()
            .with_ansi(false)
            .with_target(false)
            .with_writer(move || writer.clone())
            .finish();
        (lines, tracing::subscriber::set_default(log))
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }

    fn with(&self, part: &str) -> Vec<String> {
        let text = self.text();
        let lines = text.lines().filter(|line| line.contains(part));
        lines.map(str::to_owned).collect()
    }
}

/// An id whose request is told, or is not, when it is served.
fn id(sampled: bool) -> String {
    let mut ids = (0..).map(|number| format!("request-{number}"));
    ids.find(|id| log_sampling::is_sampled(id) == sampled)
        .unwrap()
}

async fn ask(front: SocketAddr, id: &str, key: &str) -> u16 {
    let bytes = request("POST", "/draft/1", USAGE, BODY);
    let bytes = bytes
        .replace("X-Request-Id: r1", &format!("X-Request-Id: {id}"))
        .replace(KEY, key);
    let timers = timers::Timers::default();
    let conn = dial::connect(front, Duration::from_secs(5), &timers).await;
    let mut conn = conn.unwrap();
    conn.write(bytes.as_bytes()).await.unwrap();
    read(&mut conn, "POST").await.status
}

async fn serve_drafts(world: &World) {
    let answer = |arrived: &_| placed_server::events(arrived, 0..10, Duration::ZERO);
    world.server("model", answer).await;
}

#[test]
fn a_served_request_is_told_whole_or_not_at_all() {
    play(&configuration(1, 100_000, 5000), async |world| {
        serve_drafts(&world).await;
        let (lines, _guard) = Lines::capture();
        let (told, untold) = (id(true), id(false));
        assert_eq!(ask(world.front, &told, KEY).await, 200);
        assert_eq!(ask(world.front, &untold, KEY).await, 200);
        world.sleep(20).await;
        let told = lines.with(&told);
        for part in ["request: admitted", "request: sent", "request: answered"] {
            assert!(told.iter().any(|line| line.contains(part)), "{part}");
        }
        assert!(lines.with(&format!("\"{untold}\"")).is_empty());
    });
}

#[test]
fn the_story_of_a_request_goes_on_at_the_router_that_gave_the_tokens() {
    play(&configuration(1, 100_000, 5000), async |world| {
        serve_drafts(&world).await;
        let other = world.another().await;
        let (lines, _guard) = Lines::capture();
        let ids = (0..4000).map(|number| format!("r-{number}"));
        let mut told = ids.filter(|id| log_sampling::is_sampled(id));
        // Either may be the budget's home; each has to draw within a few requests if it is not.
        for front in [world.front, other] {
            for id in told.by_ref().take(4) {
                assert_eq!(ask(front, &id, KEY).await, 200);
            }
        }
        world.sleep(20).await;
        let asked = lines.with("budget: asked for tokens");
        let asked = asked.first().expect("a router asked the budget's home");
        let id = asked
            .split("id=")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        let story = lines.with(id);
        let has = |part: &str| story.iter().any(|line| line.contains(part));
        assert!(has("request: admitted") && has("request: sent") && has("request: answered"));
    });
}

#[test]
fn a_flood_of_refusals_is_bounded_and_counted() {
    play(&configuration(1, 100_000, 5000), async |world| {
        let (lines, _guard) = Lines::capture();
        for number in 0..900 {
            assert_eq!(ask(world.front, &format!("f-{number}"), "wrong").await, 401);
        }
        let told = lines.with("request: refused or failed").len();
        let left_out = world.gw.telling.borrow_mut().left_out() as usize;
        assert_eq!(told + left_out, 900, "each is told or counted");
    });
}

#[test]
fn what_is_refused_beyond_the_quota_leaves_no_line() {
    play(&configuration(1, 100_000, 5000), async |world| {
        // A second that has not come yet, so that none passes while the test runs.
        let later = world.gw.now() + Duration::from_secs(1000);
        while world.gw.telling.borrow_mut().take(later) {}
        assert_eq!(world.gw.telling.borrow_mut().left_out(), 1);
        let (lines, _guard) = Lines::capture();
        let untold = id(false);
        for _ in 0..20 {
            assert_eq!(ask(world.front, &untold, "wrong").await, 401);
            let mut conn = world.connect().await;
            conn.write(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n")
                .await
                .unwrap();
            assert_eq!(read(&mut conn, "POST").await.status, 400);
        }
        assert!(lines.with("refused").is_empty(), "{}", lines.text());
        assert_eq!(world.gw.telling.borrow_mut().left_out(), 40);
    });
}

#[test]
fn no_line_holds_a_key_or_a_body() {
    play(&configuration(1, 1000, 5000), async |world| {
        serve_drafts(&world).await;
        let (lines, _guard) = Lines::capture();
        for number in 0..40 {
            ask(world.front, &format!("s-{number}"), KEY).await;
            ask(world.front, &format!("s-{number}"), "another-secret").await;
        }
        let text = lines.text();
        assert!(
            text.contains("are not left in the budget of desk"),
            "{text}"
        );
        for secret in [KEY, "another-secret", BODY] {
            assert!(!text.contains(secret), "{secret} is in the log");
        }
    });
}

/// A reader that has stopped: writing never ends before the test does.
struct Stopped(std::sync::mpsc::Receiver<()>);

impl Write for Stopped {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_has_stopped_delays_no_request() {
    play(&configuration(1, 100_000, 5000), async |world| {
        serve_drafts(&world).await;
        let (reads, stopped) = std::sync::mpsc::channel();
        let (writer, writing) = logging::bounded(Stopped(stopped));
        let log = tracing_subscriber::fmt().with_writer(writer).finish();
        let guard = tracing::subscriber::set_default(log);
        for line in 0..10_000 {
            tracing::info!(line, "filler");
        }
        let dropped = logging::dropped_lines();
        assert!(dropped > 5000, "{dropped} of 10,000 lines were dropped");
        assert_eq!(ask(world.front, &id(true), KEY).await, 200);
        assert!(logging::dropped_lines() > dropped, "its lines are counted");
        drop(guard);
        drop(reads);
        drop(writing);
    });
}
