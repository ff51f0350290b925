//! Counts of crashes that gateways send each other: what they cost while gateways don't answer.

mod gateway_world;

use std::{cell::Cell, rc::Rc};

use fulmarproxy::{
    coordination::suspect_keys,
    gateway::{core, crash_reports, peer_rpc},
    standin::platform_store,
};
use gateway_world::{configuration, run_test};

const AMPLE_BUDGET: u64 = 100_000_000;
const TIMEOUT_MS: u64 = 3000;

/// Records that a server crashed while it ran a request.
fn record_crash(gw: &core::Gateway, request: u64) {
    let keys = suspect_keys::Keys::new("model", [], request);
    let now = gw.now();
    let mut suspects = gw.crash_notes.suspects.borrow_mut();
    suspects.record_crash(&keys, request, now, now);
    drop(suspects);
    gw.crash_notes.changed.notify(usize::MAX);
}

/// Guards against counts that fill a link by being sent again and again to gateways that don't answer.
#[test]
fn counts_for_silent_gateways_are_sent_ever_more_rarely() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let (listener, silent) = platform_store::listener().await.unwrap();
        let connections = Rc::new(Cell::new(0));
        let counting = connections.clone();
        let accepting = env.executor.spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                counting.set(counting.get() + 1);
                open.push(stream);
            }
        });
        env.gw.set_peers([("silent/1".to_owned(), silent)].into());
        crash_reports::start(&env.gw);
        for request in 0..160 {
            record_crash(&env.gw, request);
            env.sleep(25).await;
        }
        // One call at the start, and then after 0.5, 1 and 2 s, each of which waits 0.25 s for a reply.
        assert!(connections.get() >= 2, "it is asked again");
        assert!(connections.get() <= 5, "{} calls in 4 s", connections.get());
        drop(accepting);
    });
}

/// Guards against answers to counts that repeat what the gateway knows, for each of them.
#[test]
fn only_a_gateway_that_asks_gets_the_counts_of_others() {
    run_test(&configuration(1, AMPLE_BUDGET, TIMEOUT_MS), async |env| {
        let (peer, _) = env.start_peer().await;
        record_crash(&env.gw, 1);
        record_crash(&peer, 2);
        let address = env.fleet_address;
        let told = peer.crash_notes.reports(peer.now());
        assert_eq!(told.len(), 1);
        let answer = peer_rpc::exchange_crashes(&peer, address, told).await;
        assert_eq!(answer, Ok(Vec::new()));
        let known = peer_rpc::exchange_crashes(&peer, address, Vec::new()).await;
        assert_eq!(known.map(|it| it.len()), Ok(2));
    });
}
