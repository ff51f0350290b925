//! Connection attempts to backend servers that time out: whether the server is to blame or the own link.

mod gateway_world;

use std::{net::SocketAddr, time::Duration};

use fulmarproxy::coordination::overload::own_delay;
use gateway_world::{TestEnv, configuration, run_test};

const AMPLE_BUDGET: u64 = 100_000_000;

/// Attempts that fail before a server is ejected.
const ATTEMPTS: usize = 3;

/// An address whose kernel drops connection attempts, and what keeps it so.
fn silent_listener() -> (SocketAddr, Vec<socket2::Socket>) {
    let new = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let listener = new();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut kept = vec![listener];
    for _ in 0..8 {
        let socket = new();
        socket.set_nonblocking(true).unwrap();
        let _in_progress = socket.connect(&address.into());
        kept.push(socket);
    }
    (address, kept)
}

/// Has exchanges with several peers take as long as over a full link.
fn slow_down(env: &TestEnv) {
    let started = env.gw.now().saturating_sub(own_delay::SLOW * 3 / 2);
    for host in 1..=own_delay::MIN_PEERS as u8 {
        let peer = ([127, 0, 0, host], 9).into();
        env.gw.round_trips.record_probe(peer, started);
    }
    env.gw.round_trips.update();
}

/// Sends requests to a server that accepts no connection; returns whether it is still used.
async fn is_used_after_timeouts(env: &TestEnv, is_slow: bool) -> bool {
    let (address, _kept) = silent_listener();
    env.list_server("plain", address).await;
    let mut settings = env.gw.settings();
    // Old knowledge is not what this is about.
    settings.drain = Duration::from_secs(60);
    settings.config_apply = settings.drain;
    env.gw.reload(settings);
    // Fast answers show for a while that the link is not slow.
    env.sleep(2000).await;
    for _ in 0..ATTEMPTS {
        if is_slow {
            slow_down(env);
            assert!(env.gw.round_trips.is_slow());
        }
        let response = env.send("POST", "/book/", "", "x").await;
        assert_eq!(response.status, 503, "the request did not run");
        let text = String::from_utf8_lossy(&response.body).into_owned();
        assert!(text.contains("no_backend"), "it was tried: {text}");
    }
    let ejection = env.gw.ejection.borrow();
    ejection.admits("i-1", env.gw.now().max(Duration::from_millis(1)))
}

/// Guards against healthy servers that get no requests because the own link was full.
#[test]
fn connects_that_time_out_over_the_own_slow_link_exclude_no_server() {
    run_test(&configuration(1, AMPLE_BUDGET, 3000), async |env| {
        assert!(is_used_after_timeouts(&env, true).await);
    });
    run_test(&configuration(1, AMPLE_BUDGET, 3000), async |env| {
        assert!(!is_used_after_timeouts(&env, false).await, "it is silent");
    });
}
