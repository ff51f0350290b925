//! Checks the expectations that a scenario states.

use fulmarproxy::{
    state::{holder_record, ledger},
    transport::store,
};

use super::{callers, checks, play, script};

/// Checks an expectation; the error says what was found instead.
pub fn check(sim: &play::Simulation, expectation: &script::Expectation) -> Result<(), String> {
    match expectation {
        script::Expectation::AnsweredOnce(label) => {
            check_answered(sim, label)?;
            compare("runs", count_runs(sim, label), script::Relation::Equal, 1)
        }
        script::Expectation::Answered(label) => check_answered(sim, label),
        script::Expectation::Refused(label) => check_refused(sim, label),
        script::Expectation::NotRun(label) => {
            compare("runs", count_runs(sim, label), script::Relation::Equal, 0)
        }
        script::Expectation::Ran(label, relation, wanted) => {
            compare("runs", count_runs(sim, label), *relation, *wanted)
        }
        script::Expectation::Spent(budget, relation, wanted) => {
            let used = checks::used_tokens(sim).get(budget).copied().unwrap_or(0);
            compare("tokens made", used, *relation, *wanted)
        }
        script::Expectation::AllAnswered(relation, wanted) => {
            let whole = |outcome: &callers::Outcome| matches!(outcome, callers::Outcome::Whole(_));
            compare(
                "whole answers",
                count_outcomes(sim, whole),
                *relation,
                *wanted,
            )
        }
        script::Expectation::AllRefused(relation, wanted) => {
            let refused =
                |outcome: &callers::Outcome| matches!(outcome, callers::Outcome::Refused { .. });
            compare("refusals", count_outcomes(sim, refused), *relation, *wanted)
        }
        script::Expectation::Free(budget, relation, wanted) => {
            compare("free tokens", free_tokens(sim, budget), *relation, *wanted)
        }
        script::Expectation::Version(vm, relation, wanted) => {
            let router = sim.members.router(vm);
            let version = router.map_or(0, |router| router.config().config.version);
            compare("version", version, *relation, *wanted)
        }
        script::Expectation::Settled => check_settled(sim),
    }
}

fn compare(what: &str, found: u64, relation: script::Relation, wanted: u64) -> Result<(), String> {
    if relation.holds(found, wanted) {
        return Ok(());
    }
    Err(format!("found {found} {what}"))
}

fn outcomes_of(sim: &play::Simulation, label: &str) -> Vec<Option<callers::Outcome>> {
    let mut sent = sim.callers.all();
    sent.retain(|sent| sent.request.label == label);
    let outcomes = sent
        .into_iter()
        .map(|sent| sent.outcome.map(|(_, outcome)| outcome));
    outcomes.collect()
}

fn describe(outcomes: &[Option<callers::Outcome>]) -> String {
    let name = |outcome: &Option<callers::Outcome>| match outcome {
        None => "no end".to_owned(),
        Some(callers::Outcome::Whole(_)) => "a whole answer".to_owned(),
        Some(other) => format!("{other:?}"),
    };
    let names: Vec<_> = outcomes.iter().map(name).collect();
    format!("found {}", names.join(", "))
}

fn check_answered(sim: &play::Simulation, label: &str) -> Result<(), String> {
    let outcomes = outcomes_of(sim, label);
    let is_whole =
        |outcome: &Option<callers::Outcome>| matches!(outcome, Some(callers::Outcome::Whole(_)));
    if outcomes.iter().any(is_whole) {
        return Ok(());
    }
    Err(describe(&outcomes))
}

fn check_refused(sim: &play::Simulation, label: &str) -> Result<(), String> {
    let outcomes = outcomes_of(sim, label);
    let is_refused = |outcome: &Option<callers::Outcome>| {
        matches!(outcome, Some(callers::Outcome::Refused { .. }))
    };
    if !outcomes.is_empty() && outcomes.iter().all(is_refused) {
        return Ok(());
    }
    Err(describe(&outcomes))
}

fn count_runs(sim: &play::Simulation, label: &str) -> u64 {
    let mut count = 0;
    sim.visit_runs(|run| count += u64::from(run.label == label));
    count
}

fn count_outcomes(sim: &play::Simulation, wanted: impl Fn(&callers::Outcome) -> bool) -> u64 {
    let sent = sim.callers.all();
    let outcomes = sent.iter().filter_map(|sent| sent.outcome.as_ref());
    outcomes.filter(|(_, outcome)| wanted(outcome)).count() as u64
}

fn free_tokens(sim: &play::Simulation, budget: &str) -> u64 {
    let buckets: Vec<ledger::Bucket> = sim.platform.read_values(store::LEDGER_PREFIX);
    let entry = buckets.iter().find_map(|bucket| bucket.entries.get(budget));
    entry.map_or_else(|| sim.max_prepaid(budget), ledger::Entry::free)
}

fn check_settled(sim: &play::Simulation) -> Result<(), String> {
    let records: Vec<holder_record::HolderRecord> = sim.platform.read_values(store::HOLDER_PREFIX);
    for record in records {
        let is_closed = record.state == holder_record::HolderState::Closed;
        if !is_closed && !sim.is_running(record.member.incarnation) {
            return Err(format!("found holder {} not closed", record.member.name));
        }
    }
    Ok(())
}
