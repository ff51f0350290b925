//! Knowledge of the store that gateways compare: random histories of reads and watches.

use std::{collections::BTreeMap, time::Duration};

use fulmarproxy::coordination::configuration::confirmation::{Prefix, Verdict};

/// A change of a key in a played store; a key is written or deleted.
#[derive(Clone, Debug)]
struct Change(u8, bool);

impl quickcheck::Arbitrary for Change {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        Self(u8::arbitrary(g) % 3, bool::arbitrary(g))
    }
}

/// The keys of a store after the first changes, with their revisions.
fn content(changes: &[Change], through: usize) -> BTreeMap<String, u64> {
    let mut keys = BTreeMap::new();
    for (at, Change(key, is_written)) in changes[..through].iter().enumerate() {
        match is_written {
            true => keys.insert(format!("k{key}"), at as u64 + 1),
            false => keys.remove(&format!("k{key}")),
        };
    }
    keys
}

/// Knowledge of a gateway that read the store at one revision and got changes by watches at others.
fn knowledge(changes: &[Change], read_at: usize, watched: &[usize]) -> (Prefix, usize) {
    let mut prefix = Prefix::default();
    let now = Duration::from_secs(1);
    let read = content(changes, read_at);
    let items = read.iter().map(|(key, revision)| (key.as_str(), *revision));
    prefix.record_read(1, read_at as u64, items, now);
    let mut through = read_at;
    for to in watched.iter().copied().filter(|to| *to <= changes.len()) {
        if to < through {
            continue;
        }
        let events = changes[through..to].iter().enumerate();
        let events: Vec<_> = events
            .map(|(at, Change(key, is_written))| {
                let revision = (through + at + 1) as u64;
                (format!("k{key}"), is_written.then_some(revision))
            })
            .collect();
        let newest = if events.is_empty() { 0 } else { to as u64 };
        let events = events
            .iter()
            .map(|(key, revision)| (key.as_str(), *revision));
        prefix.record_watch(events, newest, to as u64, now);
        through = to;
    }
    (prefix, through)
}

quickcheck::quickcheck! {
    /// Guards against a confirmation of knowledge that misses a change which the leader knows.
    fn confirmed_knowledge_misses_nothing(
        changes: Vec<Change>,
        leader: (u8, Vec<usize>),
        own: (u8, Vec<usize>)
    ) -> bool {
        let at = |number: u8| usize::from(number) % (changes.len() + 1);
        let steps = |steps: Vec<usize>| -> Vec<usize> {
            steps.into_iter().map(|step| step % (changes.len() + 1)).collect()
        };
        let (leader, leader_through) = knowledge(&changes, at(leader.0), &steps(leader.1));
        let (mut own, own_through) = knowledge(&changes, at(own.0), &steps(own.1));
        let now = Duration::from_secs(2);
        let report = leader.report(now).unwrap();
        let verdict = own.judge(&report, now, now);
        let misses_nothing = own_through >= leader_through
            || content(&changes, own_through) == content(&changes, leader_through);
        // A gateway that knows as much as the leader must be confirmed, or it would read again.
        match verdict {
            Verdict::Confirmed => misses_nothing,
            _ => own_through < leader_through && !misses_nothing,
        }
    }
}

/// A follower that has read revision 10 and has not revision 12, which was reported at 100 ms.
fn behind() -> (Prefix, Prefix) {
    let at = Duration::from_millis;
    let (mut leader, mut own) = (Prefix::default(), Prefix::default());
    own.record_read(1, 10, [("key", 3)].into_iter(), at(0));
    leader.record_read(1, 10, [("key", 3)].into_iter(), at(0));
    for revision in [11, 12] {
        let change = [("key", Some(revision))].into_iter();
        leader.record_watch(change, revision, revision, at(100));
        let report = leader.report(at(100)).unwrap();
        assert_eq!(own.judge(&report, at(100), at(100)), Verdict::Behind);
    }
    (leader, own)
}

/// Guards against forgetting a change that was reported while an older state was read.
#[test]
fn a_change_after_a_read_is_still_missing() {
    let at = Duration::from_millis;
    let (_, mut own) = behind();
    own.begin_read(at(90));
    own.record_read(1, 11, [("key", 11)].into_iter(), at(900));
    assert_eq!(own.behind_since(), Some(at(100)));
    assert!(own.reads_less(), "a watch brings revision 12 at best");
    own.begin_read(at(900));
    own.record_read(1, 12, [("key", 12)].into_iter(), at(1700));
    assert_eq!(own.behind_since(), None);
}

/// Guards against reading for ever what the store does not have.
#[test]
fn a_reported_change_that_a_later_read_does_not_bring_is_not_looked_for_again() {
    let at = Duration::from_millis;
    let (leader, mut own) = behind();
    own.begin_read(at(110));
    own.record_read(1, 11, [("key", 11)].into_iter(), at(200));
    assert_eq!(own.behind_since(), None);
    let report = leader.report(at(300)).unwrap();
    assert_eq!(own.judge(&report, at(300), at(300)), Verdict::Behind);
    assert_eq!(own.behind_since(), None);
}

/// Guards against counting the time since the first of many changes when most of them have arrived.
#[test]
fn a_gateway_is_behind_since_the_response_that_lacks_the_change() {
    let at = Duration::from_millis;
    let (_, mut own) = behind();
    own.begin_watch(&Prefix::default(), false, at(1500), at(0));
    assert!(own.begin_response(None, at(700)));
    own.record_watch([("key", Some(11))].into_iter(), 11, 11, at(900));
    assert_eq!(own.behind_since(), Some(at(700)));
}
