//! Properties of the token logic over random interleavings of its steps.

mod token_world;

use fulmarproxy::{coordination::refill, state::ledger};
use token_world::{Wrong, run};

const SEEDS: u64 = 10_000;
const SEEDS_TO_CATCH: u64 = 2_000;

fn caught(wrong: Wrong) -> Option<String> {
    (0..SEEDS_TO_CATCH).find_map(|seed| run(seed, wrong).err())
}

#[test]
fn tokens_are_conserved_in_every_interleaving() {
    for seed in 0..SEEDS {
        if let Err(fault) = run(seed, Wrong::Nothing) {
            panic!("seed {seed}: {fault}");
        }
    }
}

#[test]
fn an_asker_that_adds_is_caught() {
    assert!(caught(Wrong::AskerAdds).is_some());
}

#[test]
fn a_giver_that_lowers_its_tokens_late_is_caught() {
    assert!(caught(Wrong::GiverLate).is_some());
}

#[test]
fn a_return_raised_after_a_lost_reply_is_caught() {
    assert!(caught(Wrong::ReturnRaised).is_some());
}

#[test]
fn closing_without_the_agents_promises_is_caught() {
    assert!(caught(Wrong::NoPromises).is_some());
}

#[test]
fn closing_without_the_routers_promises_is_caught() {
    assert!(caught(Wrong::NoFlows).is_some());
}

#[test]
fn a_receipt_counted_twice_is_caught() {
    assert!(caught(Wrong::ReceiptTwice).is_some());
}

#[test]
fn a_limit_lowered_by_an_old_configuration_is_caught() {
    assert!(caught(Wrong::StaleLimit).is_some());
}

#[test]
fn a_lost_attempt_released_unasked_is_caught() {
    assert!(caught(Wrong::LostReleased).is_some());
}

#[test]
fn a_budget_without_an_entry_does_not_look_spent() {
    let change = refill::Change::Grant {
        needed: 5,
        missing: 0,
    };
    let want = refill::ChangeRequest {
        change,
        total: 100,
        version: 1,
    };
    let mut bucket = ledger::Bucket::default();
    refill::update_totals(&mut bucket, &[("desk".into(), want)].into());
    assert_eq!(refill::tokens_elsewhere(&bucket, 7, "desk"), 100);
    assert!(refill::apply(
        &mut bucket,
        7,
        &[("desk".into(), want)].into()
    ));
    assert_eq!(refill::share_of(&bucket, 7, "desk").granted, 12);
}

#[test]
fn an_older_record_over_a_newer_one_is_caught() {
    assert!(caught(Wrong::OlderRecord).is_some());
}
