//! Injects faults to prove that the check of each guarantee in `world::checks` detects violations.

mod world;

use world::{checks::Guarantee, faults::Fault, play, script};

/// A router with two agents and a budget that is large enough for every request.
const ONE_ROUTER: &str = "
    budget desk 10000
    router entry-1 in vestland-a
    agent backend-1 in vestland-a serves fortelling slots 8
    agent backend-2 in vestland-a serves fortelling slots 8
";

/// Two routers that share a budget of 400 tokens, too small for the two requests of 250.
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

/// Runs a scenario without and with an injected fault; only the fault must violate the guarantee.
fn assert_detected(fault: Fault, guarantee: Guarantee, lines: &[&str]) {
    let script = script::parse(&lines.concat()).unwrap();
    let run = |faults: &[Fault]| {
        let report = play::run(&script, faults);
        let violated = report
            .violations
            .iter()
            .any(|found| found.guarantee == guarantee);
        (violated, report.explain("scenario"))
    };
    let (violated, text) = run(&[]);
    assert!(
        !violated,
        "{guarantee:?} is violated without {fault:?}:\n{text}"
    );
    let (violated, text) = run(&[fault]);
    assert!(
        violated,
        "{fault:?} does not violate {guarantee:?}:\n{text}"
    );
}

#[test]
fn spend_check_detects_a_store_that_ignores_compares() {
    let race = "
        at 2s send r1 to entry-1 as desk quick 250 tokens
        at 2s send r2 to entry-2 as desk quick 250 tokens
        run until 20s
    ";
    assert_detected(
        Fault::IgnoredCompares,
        Guarantee::Spend,
        &[TWO_ROUTERS, race],
    );
}

#[test]
fn billed_once_check_detects_a_double_charge() {
    assert_detected(
        Fault::DoubleCharge,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn billed_once_check_detects_a_missing_charge() {
    assert_detected(
        Fault::MissingCharge,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn billed_once_check_detects_a_double_write_off() {
    let deaths = "
        router entry-2 in vestland-b
        from 2s to 8s every 300ms send r to entry-1 as desk quick 40 tokens
        at 6s kill entry-1
        at 6s replace backend-1
        run until 90s
    ";
    assert_detected(
        Fault::DoubleWriteOff,
        Guarantee::BilledOnce,
        &[ONE_ROUTER, deaths],
    );
}

#[test]
fn whole_answer_check_detects_swapped_parts() {
    assert_detected(
        Fault::MixedAnswers,
        Guarantee::WholeAnswer,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn whole_answer_check_detects_truncated_answers() {
    assert_detected(
        Fault::TruncatedAnswers,
        Guarantee::WholeAnswer,
        &[ONE_ROUTER, TWO_REQUESTS],
    );
}

#[test]
fn not_run_check_detects_a_run_reported_as_not_run() {
    let crash = "
        at 2s send r1 to entry-1 as desk quick 50 tokens
        at 2500ms crash backend-1
        at 2500ms crash backend-2
        run until 60s
    ";
    assert_detected(Fault::DeniedRuns, Guarantee::NotRun, &[ONE_ROUTER, crash]);
}

#[test]
fn at_most_once_check_detects_a_repeated_run() {
    let once = "
        at 2s send r1 to entry-1 as desk once 20 tokens key k1
        run until 20s
    ";
    assert_detected(
        Fault::RepeatedRuns,
        Guarantee::AtMostOnce,
        &[ONE_ROUTER, once],
    );
}

#[test]
fn leaving_check_detects_work_after_a_drain() {
    let drain = "
        at 2s drain backend-1
        from 4s to 10s every 200ms send r to entry-1 as desk quick 5 tokens
        run until 20s
    ";
    assert_detected(Fault::HiddenDrain, Guarantee::Leaving, &[ONE_ROUTER, drain]);
}

#[test]
fn graceful_check_detects_an_immediate_stop() {
    let stop = "
        at 2500ms stop entry-1
        run until 30s
    ";
    let lines = [ONE_ROUTER, TWO_REQUESTS, stop];
    assert_detected(Fault::ImmediateStop, Guarantee::Graceful, &lines);
}

#[test]
fn config_check_detects_a_router_that_reverts() {
    let top_up = "
        at 5s top up desk to 20000 by ops
        run until 30s
    ";
    assert_detected(
        Fault::RevertedConfig,
        Guarantee::Config,
        &[ONE_ROUTER, top_up],
    );
}

#[test]
fn config_check_detects_a_router_with_stale_configuration() {
    let top_up = "
        at 5s top up desk to 20000 by ops
        run until 30s
    ";
    assert_detected(Fault::StaleConfig, Guarantee::Config, &[ONE_ROUTER, top_up]);
}
