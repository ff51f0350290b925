//! Tests the rules for requests (kept answers, crash records, claims, retries, ejection,
//! slots and queues), without sockets or clocks.

use std::time::Duration;

use fulmarproxy::{
    code::Code,
    coordination::{
        answers::{self, Answers, BeginOutcome, Read},
        claims::{self, Bucket, Change, Claim, Claimed},
        crashes::{self, CrashReport, Crashes, Verdict},
        ejection::Ejection,
        fair_queue::{Admission, FairQueue, QueueRequest},
        retry, slots,
    },
    state::name,
};

const START: Duration = Duration::ZERO;

fn key(key: &str) -> Option<answers::Key> {
    Some(answers::Key {
        workspace: "desk".into(),
        key: key.into(),
    })
}

#[test]
fn a_repeated_key_joins_the_answer_and_refuses_another_body() {
    let mut kept: Answers<u8> = Answers::new(1 << 20);
    assert_eq!(
        kept.begin(&"r1".into(), key("k"), 1, START),
        BeginOutcome::Run
    );
    let joined = kept.begin(&"r2".into(), key("k"), 1, START);
    assert_eq!(joined, BeginOutcome::Join("r1".into()));
    assert_eq!(
        kept.begin(&"r3".into(), key("k"), 2, START),
        BeginOutcome::KeyReused
    );
    kept.append("r1", b"part");
    kept.finish("r1", 9, true, START);
    assert_eq!(kept.read("r1", 4), Read::End(9));
    let again = kept.begin(&"r4".into(), key("k"), 1, START);
    assert_eq!(again, BeginOutcome::Join("r1".into()));
    kept.expire(answers::KEYED_RETENTION);
    assert_eq!(
        kept.begin(&"r5".into(), key("k"), 1, START),
        BeginOutcome::Run
    );
}

#[test]
fn a_failed_answer_does_not_hold_its_key() {
    let mut kept: Answers<u8> = Answers::new(1 << 20);
    kept.begin(&"r1".into(), key("k"), 1, START);
    kept.finish("r1", 9, false, START);
    assert_eq!(
        kept.begin(&"r2".into(), key("k"), 1, START),
        BeginOutcome::Run
    );
}

#[test]
fn kept_answers_stay_within_the_memory_limit() {
    let limit = 1 << 20;
    let mut kept: Answers<u8> = Answers::new(limit);
    for number in 0..100 {
        let id: name::Name = format!("r{number}").into();
        assert_eq!(kept.begin(&id, key(&id), 1, START), BeginOutcome::Run);
        kept.append(&id, &[0; 100_000]);
        kept.finish(&id, 0, true, START);
        assert!(kept.bytes() <= limit, "{} bytes", kept.bytes());
    }
    assert_eq!(kept.read("r0", 0), Read::Gone);
    assert!(matches!(kept.read("r99", 0), Read::Data(_)));
}

#[test]
fn a_long_answer_keeps_only_the_bytes_that_can_be_resumed() {
    let mut kept: Answers<u8> = Answers::new(1 << 30);
    kept.begin(&"r1".into(), None, 1, START);
    kept.attach("r1");
    let mut offset = 0;
    while offset < 8 << 20 {
        assert!(kept.has_room("r1"));
        kept.append("r1", &[0; 64 << 10]);
        offset += 64 << 10;
        assert!(!matches!(kept.read("r1", offset), Read::Gone));
    }
    assert!(kept.bytes() as u64 <= 2 * answers::RESUME_BYTES + answers::MAX_READ_AHEAD_BYTES);
    let behind = offset - answers::RESUME_BYTES;
    assert!(matches!(kept.read("r1", behind), Read::Data(_)));
    assert_eq!(kept.read("r1", 0), Read::Gone);
}

#[test]
fn an_abandoned_request_is_cancelled_after_its_grace_period() {
    let mut kept: Answers<u8> = Answers::new(1 << 20);
    kept.begin(&"plain".into(), None, 1, START);
    kept.begin(&"keyed".into(), key("k"), 1, START);
    for id in ["plain", "keyed"] {
        kept.attach(id);
    }
    assert!(kept.abandoned(answers::KEYED_UNREAD_GRACE).is_empty());
    for id in ["plain", "keyed"] {
        kept.detach(id, START);
    }
    assert!(kept.abandoned(START).is_empty());
    assert_eq!(kept.abandoned(answers::UNREAD_GRACE), ["plain".into()]);
    assert_eq!(kept.abandoned(answers::KEYED_UNREAD_GRACE).len(), 2);
    kept.cancel("keyed");
    assert_eq!(kept.abandoned(START), ["keyed".into()]);
}

fn report(fingerprint: u64, count: u32) -> CrashReport {
    CrashReport {
        fingerprint,
        count,
        age: START,
    }
}

#[test]
fn only_the_request_common_to_two_crashes_is_refused() {
    let mut known = Crashes::default();
    for (agent, neighbour) in [(1, 20), (2, 30)] {
        known.report(agent, report(10, 1), START);
        known.report(agent, report(neighbour, 1), START);
    }
    assert!(matches!(known.verdict(10, START), Verdict::Refuse(_)));
    assert_eq!(known.verdict(20, START), Verdict::Solo);
    assert_eq!(known.verdict(30, START), Verdict::Solo);
    known.clear(20, START);
    assert_eq!(known.verdict(20, START), Verdict::Run);
    assert_eq!(known.verdict(10, crashes::CRASH_RETENTION), Verdict::Run);
}

#[test]
fn a_crash_that_is_reported_twice_counts_once() {
    let mut known = Crashes::default();
    known.record_crash(1, 10, START);
    known.report(1, report(10, 1), START);
    known.report(1, report(10, 1), START);
    assert_eq!(known.verdict(10, START), Verdict::Solo);
    let mut other = Crashes::default();
    for exported in known.export(START, 8) {
        other.merge(exported, START);
        other.merge(exported, START);
    }
    assert_eq!(other.verdict(10, START), Verdict::Solo);
    other.report(2, report(10, 2), START);
    assert!(matches!(other.verdict(10, START), Verdict::Refuse(_)));
}

fn claim(id: &str, fingerprint: u64, at: u64) -> Claim {
    Claim {
        workspace: "desk".into(),
        key: "booking".into(),
        id: id.into(),
        fingerprint,
        at,
        outcome: None,
    }
}

#[test]
fn a_claimed_call_is_never_dispatched_again() {
    let mut bucket = Bucket::default();
    let first = Change::Claim(claim("r1", 1, 0));
    assert_eq!(bucket.apply(&first), Claimed::New);
    let other = bucket.apply(&Change::Claim(claim("r2", 2, 0)));
    assert_eq!(other, Claimed::Refused(Code::KeyReused));
    bucket.apply(&Change::Release(claim("r2", 1, 0)));
    bucket.apply(&Change::Record(Claim {
        outcome: Some(0),
        ..claim("r1", 1, 0)
    }));
    let Claimed::AlreadyClaimed(found) = bucket.apply(&Change::Claim(claim("r3", 1, 0))) else {
        panic!("the call was claimed");
    };
    assert_eq!((&*found.id, found.outcome), ("r1", Some(0)));
    bucket.expire(claims::CLAIM_RETENTION.as_secs() + 1);
    let late = bucket.apply(&Change::Claim(claim("r4", 1, 0)));
    assert_eq!(late, Claimed::Refused(Code::KeyExpired));
}

#[test]
fn a_released_claim_can_be_claimed_again() {
    let mut bucket = Bucket::default();
    bucket.apply(&Change::Claim(claim("r1", 1, 0)));
    bucket.apply(&Change::Release(claim("r1", 1, 0)));
    let again = bucket.apply(&Change::Claim(claim("r2", 1, 0)));
    assert_eq!(again, Claimed::New);
}

#[test]
fn a_retry_is_made_only_when_it_is_safe() {
    let failure = |code, ran, has_ended| retry::Failure {
        code,
        ran,
        has_ended,
    };
    let cases = [
        (failure(Code::Draining, false, false), true, true),
        (failure(Code::AgentLost, true, false), false, false),
        (failure(Code::BackendFailed, true, true), true, false),
        (failure(Code::BackendFailed, true, false), false, false),
        (failure(Code::BackendCrashed, true, true), true, false),
        (failure(Code::CallerGone, true, true), false, false),
    ];
    for (failure, idempotent, once) in cases {
        assert_eq!(retry::is_safe(failure, true), idempotent, "{failure:?}");
        assert_eq!(retry::is_safe(failure, false), once, "{failure:?}");
    }
}

/// Without a limit on retries, failures would multiply the load on the backend servers.
#[test]
fn the_retry_budget_limits_the_number_of_retries() {
    let pool: name::Name = "fortelling".into();
    let mut budgets = retry::RetryBudgets::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budgets.count_request(&pool);
        retries += u32::from(budgets.take_retry(&pool));
    }
    assert!((200..=225).contains(&retries), "{retries} retries");
}

#[test]
fn a_successful_probe_readmits_an_ejected_backend_server() {
    let mut ejection = Ejection::default();
    let vm: name::Name = "vm".into();
    for _ in 0..3 {
        assert!(ejection.admits(&vm, START));
        ejection.record_failure(&vm, START);
    }
    let later = Duration::from_secs(1);
    assert!(!ejection.admits(&vm, START));
    assert!(ejection.admits(&vm, later));
    ejection.begin_probe(&vm, later);
    assert!(!ejection.admits(&vm, later));
    ejection.record_success(&vm);
    assert!(ejection.admits(&vm, later));
}

#[test]
fn a_solo_attempt_runs_alone() {
    let mut slots = slots::Slots::new(4, 8);
    assert_eq!(slots.enter(0, false), slots::Admission::Run);
    let slots::Admission::Wait(solo) = slots.enter(0, true) else {
        panic!("another attempt runs");
    };
    let slots::Admission::Wait(next) = slots.enter(0, false) else {
        panic!("a solo attempt waits first");
    };
    assert_eq!(slots.finish(), [solo]);
    assert_eq!(slots.finish(), [next]);
}

fn queue_request(workspace: &str, weight: u32, priority: u8) -> QueueRequest {
    QueueRequest {
        workspace: workspace.into(),
        weight,
        priority,
        time_left: Duration::from_secs(600),
    }
}

/// Queues requests and returns their workspaces in the order in which the requests run.
fn run_order(queue: &mut FairQueue, arrivals: &[(&'static str, u32, u8)]) -> Vec<&'static str> {
    let mut names = std::collections::HashMap::new();
    for (workspace, weight, priority) in arrivals {
        match queue.enter(&queue_request(workspace, *weight, *priority)) {
            Admission::Wait(ticket) => names.insert(ticket, *workspace),
            other => panic!("{other:?}"),
        };
    }
    let mut ran = Vec::new();
    while queue.waiting() > 0 {
        ran.extend(queue.finish(Duration::from_millis(1)));
    }
    ran.iter().map(|ticket| names[ticket]).collect()
}

#[test]
fn many_requests_of_one_workspace_do_not_delay_another_within_its_share() {
    let mut queue = FairQueue::default();
    queue.set_capacity(1);
    assert_eq!(queue.enter(&queue_request("flood", 1, 1)), Admission::Run);
    let mut arrivals = vec![("flood", 1, 1); 100];
    arrivals.extend([("small", 1, 1); 3]);
    let ran = run_order(&mut queue, &arrivals);
    let last = ran.iter().rposition(|name| *name == "small").unwrap();
    assert!(last < 8, "the last request of the small one ran at {last}");
}

#[test]
fn workspaces_run_in_proportion_to_their_weights() {
    let mut queue = FairQueue::default();
    queue.set_capacity(1);
    queue.enter(&queue_request("other", 1, 1));
    let mut arrivals = vec![("heavy", 4, 1); 100];
    arrivals.extend([("light", 1, 1); 100]);
    let ran = run_order(&mut queue, &arrivals);
    let heavy = ran[..100].iter().filter(|name| **name == "heavy").count();
    assert!((78..=82).contains(&heavy), "{heavy} of 100");
}

#[test]
fn a_more_urgent_priority_runs_first() {
    let mut queue = FairQueue::default();
    queue.set_capacity(1);
    queue.enter(&queue_request("a", 1, 2));
    let arrivals = [("a", 1, 2), ("b", 1, 2), ("quick", 1, 0)];
    assert_eq!(run_order(&mut queue, &arrivals)[0], "quick");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = FairQueue::default();
    queue.set_capacity(2);
    let mut short_deadline = queue_request("a", 1, 0);
    short_deadline.time_left = Duration::from_secs(3);
    assert_eq!(queue.enter(&short_deadline), Admission::Run);
    queue.finish(Duration::from_secs(2));
    for _ in 0..2 {
        assert_eq!(queue.enter(&short_deadline), Admission::Run);
    }
    let admissions: Vec<_> = (0..4).map(|_| queue.enter(&short_deadline)).collect();
    let waits = |admission: &&Admission| matches!(admission, Admission::Wait(_));
    assert_eq!(admissions.iter().filter(waits).count(), 3, "{admissions:?}");
    assert_eq!(admissions[3], Admission::Refuse(Duration::from_secs(4)));
}

#[test]
fn a_full_queue_of_one_workspace_does_not_lengthen_the_expected_wait_of_another() {
    let queue_request = |workspace: &str| QueueRequest {
        workspace: workspace.into(),
        weight: 1,
        priority: 0,
        time_left: Duration::from_secs(10),
    };
    let mut queue = FairQueue::default();
    queue.set_capacity(1);
    assert_eq!(queue.enter(&queue_request("flood")), Admission::Run);
    queue.finish(Duration::from_secs(1));
    assert_eq!(queue.enter(&queue_request("flood")), Admission::Run);
    for _ in 0..10 {
        let admission = queue.enter(&queue_request("flood"));
        assert!(matches!(admission, Admission::Wait(_)), "{admission:?}");
    }
    let full = queue.enter(&queue_request("flood"));
    assert!(matches!(full, Admission::Refuse(_)), "{full:?}");
    assert_eq!(
        queue.expected_wait(&queue_request("light")),
        Duration::from_secs(2)
    );
    let light = queue.enter(&queue_request("light"));
    assert!(matches!(light, Admission::Wait(_)), "{light:?}");
}
