//! Each promise's check reports the deliberately wrong behaviour that it is meant to find.

mod world;

use world::{checks::Guarantee, faults::Fault, play, script};

const ONE_ROUTER: &str = "
    budget desk 10000
    router entry-1 in vestland-a
    agent backend-1 in vestland-a serves fortelling slots 8
    agent backend-2 in vestland-a serves fortelling slots 8
";

const TWO_ROUTERS: &str = "
    budget desk 400
    router entry-1 in vestland-a
    router entry-2 in vestland-b
    agent backend-1 in vestland-a serves fortelling slots 8
";

const TWO_REQUESTS: &str = "
    at 2s send r1 to entry-1 as desk quick 50 tokens streamed
    at 2s send r2 to entry-1 as desk quick 50 tokens streamed
    run until 20s
";

/// Plays a scenario rightly, then wrongly; only the second must break the promise.
fn assert_caught(fault: Fault, guarantee: Guarantee, lines: &[&str]) {
    let script = script::parse(&lines.concat()).unwrap();
    let breaks = |wrong: &[Fault]| {
        let report = play::run(&script, wrong);
        let broken = report
            .violations
            .iter()
            .any(|found| found.guarantee == guarantee);
        (broken, report.explain("scenario"))
    };
    let (broken, text) = breaks(&[]);
    assert!(
        !broken,
        "{guarantee:?} is broken without {fault:?}:\n{text}"
    );
    let (broken, text) = breaks(&[fault]);
    assert!(broken, "{fault:?} does not break {guarantee:?}:\n{text}");
}

#[test]
fn spend_finds_a_store_that_ignores_compares() {
    let race = "
        at 2s send r1 to entry-1 as desk quick 250 tokens
        at 2s send r2 to entry-2 as desk quick 250 tokens
        run until 20s
    ";
    assert_caught(
        Fault::IgnoredCompares,
        Guarantee::Spend,
        &[TWO_ROUTERS, race],
    );
}

#[test]
fn billed_once_finds_a_double_charge() {
    assert_caught(
        Fault::DoubleCharge,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn billed_once_finds_a_forgotten_charge() {
    assert_caught(
        Fault::MissingCharge,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn billed_once_finds_a_double_write_off() {
    let deaths = "
        router entry-2 in vestland-b
        from 2s to 8s every 300ms send r to entry-1 as desk quick 40 tokens
        at 6s kill entry-1
        at 6s replace backend-1
        run until 90s
    ";
    assert_caught(
        Fault::DoubleWriteOff,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, deaths],
    );
}

#[test]
fn whole_answer_finds_mixed_answers() {
    assert_caught(
        Fault::MixedAnswers,
        Guarantee::WholeAnswer,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn whole_answer_finds_a_part_left_out() {
    assert_caught(
        Fault::TruncatedAnswers,
        Guarantee::WholeAnswer,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn not_run_finds_a_denied_run() {
    let crash = "
        at 2s send r1 to entry-1 as desk quick 50 tokens
        at 2500ms crash backend-1
        at 2500ms crash backend-2
        run until 60s
    ";
    assert_caught(Fault::DeniedRuns, Guarantee::NotRun, &[ONE_ROUTER, crash]);
}

#[test]
fn at_most_once_finds_a_repeated_run() {
    let once = "
        at 2s send r1 to entry-1 as desk once 20 tokens key k1
        run until 20s
    ";
    assert_caught(
        Fault::RepeatedRuns,
        Guarantee::AtMostOnce,
        &[ONE_ROUTER, once],
    );
}

#[test]
fn leaving_finds_work_after_a_drain() {
    let drain = "
        at 2s drain backend-1
        from 4s to 10s every 200ms send r to entry-1 as desk quick 5 tokens
        run until 20s
    ";
    assert_caught(Fault::HiddenDrain, Guarantee::Leaving, &[ONE_ROUTER, drain]);
}

#[test]
fn graceful_finds_a_hasty_stop() {
    let stop = "
        at 2500ms stop entry-1
        run until 30s
    ";
    let lines = [ONE_ROUTER, TWO_REQUESTS, stop];
    assert_caught(Fault::ImmediateStop, Guarantee::Graceful, &lines);
}

#[test]
fn config_finds_a_router_that_goes_back() {
    let top_up = "
        at 5s top up desk to 20000 by ops
        run until 30s
    ";
    assert_caught(
        Fault::RevertedConfig,
        Guarantee::Config,
        &[ONE_ROUTER, top_up],
    );
}

#[test]
fn config_finds_a_router_that_stays_behind() {
    let top_up = "
        at 5s top up desk to 20000 by ops
        run until 30s
    ";
    assert_caught(Fault::StaleConfig, Guarantee::Config, &[ONE_ROUTER, top_up]);
}
