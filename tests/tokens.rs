//! Checks the token accounting in random interleavings of grants, transfers, attempts, crashes and
//! recovery, and that the checks detect deliberate faults.

mod token_world;

use fulmarproxy::{coordination::refill, state::ledger};
use token_world::{Fault, run};

const SEEDS: u64 = 10_000;
/// Seeds tried until a deliberate fault is detected.
const SEEDS_TO_DETECT: u64 = 2_000;

/// Runs the simulation with a fault; returns the first violated property.
fn first_violation(fault: Fault) -> Option<String> {
    (0..SEEDS_TO_DETECT).find_map(|seed| run(seed, fault).err())
}

#[test]
fn tokens_are_conserved_in_every_interleaving() {
    for seed in 0..SEEDS {
        if let Err(message) = run(seed, Fault::None) {
            panic!("seed {seed}: {message}");
        }
    }
}

#[test]
fn an_asker_that_adds_the_reply_is_detected() {
    assert!(first_violation(Fault::AskerAddsReply).is_some());
}

#[test]
fn a_giver_that_keeps_given_tokens_is_detected() {
    assert!(first_violation(Fault::GiverKeepsTokens).is_some());
}

#[test]
fn a_return_undone_before_its_outcome_is_known_is_detected() {
    assert!(first_violation(Fault::ReturnUndoneEarly).is_some());
}

#[test]
fn closing_without_the_agents_promises_is_detected() {
    assert!(first_violation(Fault::NoAgentPromises).is_some());
}

#[test]
fn closing_without_the_routers_promises_is_detected() {
    assert!(first_violation(Fault::NoRouterPromises).is_some());
}

#[test]
fn a_receipt_counted_twice_is_detected() {
    assert!(first_violation(Fault::ReceiptCountedTwice).is_some());
}

#[test]
fn a_total_set_from_an_older_configuration_is_detected() {
    assert!(first_violation(Fault::OlderTotalApplied).is_some());
}

#[test]
fn a_lost_attempt_released_without_asking_its_agent_is_detected() {
    assert!(first_violation(Fault::LostAttemptReleased).is_some());
}

#[test]
fn a_budget_without_an_entry_does_not_count_as_spent() {
    let change = refill::Change::Grant {
        needed: 5,
        missing: 0,
    };
    let request = refill::ChangeRequest {
        change,
        total: 100,
        version: 1,
    };
    let mut bucket = ledger::Bucket::default();
    refill::update_totals(&mut bucket, &[("desk".into(), request)].into());
    assert_eq!(refill::tokens_elsewhere(&bucket, 7, "desk"), 100);
    assert!(refill::apply(
        &mut bucket,
        7,
        &[("desk".into(), request)].into()
    ));
    assert_eq!(refill::share_of(&bucket, 7, "desk").granted, 12);
}

#[test]
fn an_older_record_over_a_newer_one_is_detected() {
    assert!(first_violation(Fault::OlderRecordWritten).is_some());
}
