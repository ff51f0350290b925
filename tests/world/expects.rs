//! What a scenario itself expects.

use fulmarproxy::{
    state::{holder_record, ledger},
    transport::store,
};

use super::{callers, checks, play, script};

/// Checks one expectation; returns what was found instead.
pub fn check(play: &play::Play, expect: &script::Expect) -> Result<(), String> {
    match expect {
        script::Expect::AnsweredOnce(label) => {
            answered(play, label)?;
            compare("runs", runs(play, label), script::Relation::Equal, 1)
        }
        script::Expect::Answered(label) => answered(play, label),
        script::Expect::Refused(label) => refused(play, label),
        script::Expect::NotRun(label) => {
            compare("runs", runs(play, label), script::Relation::Equal, 0)
        }
        script::Expect::Ran(label, is, n) => compare("runs", runs(play, label), *is, *n),
        script::Expect::Spent(budget, is, n) => {
            let made = checks::made(play).get(budget).copied().unwrap_or(0);
            compare("tokens made", made, *is, *n)
        }
        script::Expect::AllAnswered(is, n) => {
            let whole = |end: &callers::End| matches!(end, callers::End::Whole(_));
            compare("whole answers", count(play, whole), *is, *n)
        }
        script::Expect::AllRefused(is, n) => {
            let refused = |end: &callers::End| matches!(end, callers::End::Refused { .. });
            compare("refusals", count(play, refused), *is, *n)
        }
        script::Expect::Free(budget, is, n) => compare("free tokens", free(play, budget), *is, *n),
        script::Expect::Version(vm, is, n) => {
            let router = play.members.router(vm);
            let version = router.map_or(0, |router| router.config().config.version);
            compare("version", version, *is, *n)
        }
        script::Expect::Settled => settled(play),
    }
}

fn compare(what: &str, found: u64, is: script::Relation, wanted: u64) -> Result<(), String> {
    if is.holds(found, wanted) {
        return Ok(());
    }
    Err(format!("found {found} {what}"))
}

fn ends(play: &play::Play, label: &str) -> Vec<Option<callers::End>> {
    let mut sent = play.callers.all();
    sent.retain(|sent| sent.send.label == label);
    let ends = sent.into_iter().map(|sent| sent.end.map(|(_, end)| end));
    ends.collect()
}

fn shown(ends: &[Option<callers::End>]) -> String {
    let name = |end: &Option<callers::End>| match end {
        None => "no end".to_owned(),
        Some(callers::End::Whole(_)) => "a whole answer".to_owned(),
        Some(other) => format!("{other:?}"),
    };
    let names: Vec<_> = ends.iter().map(name).collect();
    format!("found {}", names.join(", "))
}

fn answered(play: &play::Play, label: &str) -> Result<(), String> {
    let ends = ends(play, label);
    let is_whole = |end: &Option<callers::End>| matches!(end, Some(callers::End::Whole(_)));
    if ends.iter().any(is_whole) {
        return Ok(());
    }
    Err(shown(&ends))
}

fn refused(play: &play::Play, label: &str) -> Result<(), String> {
    let ends = ends(play, label);
    let is_refused = |end: &Option<callers::End>| matches!(end, Some(callers::End::Refused { .. }));
    if !ends.is_empty() && ends.iter().all(is_refused) {
        return Ok(());
    }
    Err(shown(&ends))
}

fn runs(play: &play::Play, label: &str) -> u64 {
    let mut count = 0;
    play.visit_runs(|run| count += u64::from(run.label == label));
    count
}

fn count(play: &play::Play, wanted: impl Fn(&callers::End) -> bool) -> u64 {
    let sent = play.callers.all();
    let ends = sent.iter().filter_map(|sent| sent.end.as_ref());
    ends.filter(|(_, end)| wanted(end)).count() as u64
}

fn free(play: &play::Play, budget: &str) -> u64 {
    let buckets: Vec<ledger::Bucket> = play.platform.peek(store::LEDGER_PREFIX);
    let entry = buckets.iter().find_map(|bucket| bucket.entries.get(budget));
    entry.map_or_else(|| play.prepaid(budget), ledger::Entry::free)
}

fn settled(play: &play::Play) -> Result<(), String> {
    let records: Vec<holder_record::HolderRecord> = play.platform.peek(store::HOLDER_PREFIX);
    for record in records {
        let is_closed = record.state == holder_record::HolderState::Closed;
        if !is_closed && !play.lives(record.member.incarnation) {
            return Err(format!("found holder {} not closed", record.member.name));
        }
    }
    Ok(())
}
