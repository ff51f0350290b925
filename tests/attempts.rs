//! Attempts for one request at servers that refuse it, fail or crash.

mod common;

use std::sync::Arc;

use common::servers::servers;
use fulmarproxy::{
    coordination::attempts::{Attempts, Limits},
    state::server,
};

/// Lets every attempt fail in the same way; returns how often the request was sent.
fn count_sends(limits: Limits, not_run: bool) -> usize {
    let servers = servers(12);
    let mut attempts = Attempts::new(limits);
    loop {
        let server = attempts
            .choose_server(&servers, |_| true, |ready| ready.first().cloned())
            .unwrap();
        attempts.record_send(&server.id);
        if !attempts.record_failure(not_run, !not_run) {
            return attempts.count();
        }
    }
}

#[test]
fn a_request_that_crashes_every_server_is_stopped_after_the_third() {
    let limits = Limits {
        max_runs: 9,
        is_retryable: true,
    };
    assert_eq!(count_sends(limits, false), 3);
}

#[test]
fn a_request_that_is_not_retryable_is_not_retried_once_it_may_have_run() {
    let limits = Limits {
        max_runs: 3,
        is_retryable: false,
    };
    assert_eq!(count_sends(limits, false), 1);
    assert_eq!(count_sends(limits, true), 5, "full servers refused it");
}

#[test]
fn servers_that_fail_or_were_tried_are_chosen_last() {
    let servers = servers(3);
    let limits = Limits {
        max_runs: 3,
        is_retryable: true,
    };
    let mut attempts = Attempts::new(limits);
    let first = |ready: &[Arc<server::Server>]| ready.first().cloned();
    let chosen = attempts.choose_server(&servers, |id| id != "i-0", first);
    assert_eq!(&*chosen.unwrap().id, "i-1");
    attempts.record_send(&"i-1".into());
    attempts.record_send(&"i-2".into());
    let chosen = attempts.choose_server(&servers, |id| id != "i-0", first);
    assert_eq!(
        &*chosen.unwrap().id,
        "i-0",
        "ejected, but the only one left"
    );
    attempts.record_send(&"i-0".into());
    let chosen = attempts.choose_server(&servers, |_| true, first);
    assert!(
        chosen.is_some(),
        "all were tried: any of them may be chosen"
    );
}
