//! Generates random scenarios and reduces those that fail.

use super::{play, script};

const FLEET: &str = "budget desk 6000
router entry-1 in vestland-a
router entry-2 in vestland-b
agent backend-1 in vestland-a serves fortelling slots 4
agent backend-2 in vestland-b serves fortelling slots 4
";
/// Earliest time of a random step.
const EARLIEST_STEP_MS: u64 = 2_000;
/// Latest time of a random step; it leaves half of the scenario for recovery.
const LATEST_STEP_MS: u64 = 30_000;

/// Generates the text of a random scenario.
///
/// The order in which random numbers are drawn must not change: seeds of known failures would
/// otherwise generate other scenarios.
pub fn generate(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut text = format!("seed {seed}\n{FLEET}");
    for number in 0..rng.u32(10..60) {
        let at = rng.u64(EARLIEST_STEP_MS..LATEST_STEP_MS);
        let line = random_send(&mut rng, number);
        text.push_str(&format!("at {at}ms {line}\n"));
    }
    for _ in 0..rng.u32(2..9) {
        let at = rng.u64(EARLIEST_STEP_MS..LATEST_STEP_MS);
        let line = random_fault(&mut rng);
        text.push_str(&format!("at {at}ms {line}\n"));
    }
    text.push_str("run until 60s\n");
    text
}

fn random_send(rng: &mut fastrand::Rng, number: u32) -> String {
    let to = rng.u8(1..=2);
    if number > 0 && rng.u8(..5) == 0 {
        let label = rng.u32(..number);
        return format!("resend r{label} to entry-{to}");
    }
    let tokens = rng.u64(5..150);
    let route = if rng.u8(..4) == 0 { "once" } else { "quick" };
    let streamed = if rng.bool() { " streamed" } else { "" };
    let key = format!(" key k{number}");
    let key = if rng.bool() { &key } else { "" };
    let crashing = if rng.u8(..12) == 0 { " crashing" } else { "" };
    format!("send r{number} to entry-{to} as desk {route} {tokens} tokens{streamed}{key}{crashing}")
}

fn random_fault(rng: &mut fastrand::Rng) -> String {
    let vms = ["entry-1", "entry-2", "backend-1", "backend-2"];
    let vm = vms[rng.usize(..vms.len())];
    let other = vms[rng.usize(..vms.len())];
    let router = vms[rng.usize(..2)];
    let agent = vms[rng.usize(2..4)];
    match rng.u8(..15) {
        0 => format!("cut {vm} from {other}"),
        1 => format!("cut {router} from store"),
        2 => "heal all".to_owned(),
        3 => format!("freeze {vm} with {other}"),
        4 => format!("pause {vm}"),
        5 => format!("resume {vm}"),
        6 => format!("replace {vm}"),
        7 => format!("kill {vm}"),
        8 => "store down".to_owned(),
        9 => "store up".to_owned(),
        10 => format!("lose {} replies to {router}", rng.u8(1..4)),
        11 => format!("crash {agent}"),
        12 => format!("stop {vm}"),
        13 => format!("drain {agent}"),
        _ => format!("top up desk to {} by ops", rng.u64(2_000..12_000)),
    }
}

/// Runs the scenario in a text without injected faults.
///
/// # Panics
///
/// If a line does not parse, which is a fault of the generator.
pub fn run(text: &str) -> play::Report {
    match script::parse(text) {
        Ok(script) => play::run(&script, &[]),
        Err(err) => panic!("line {}: {}", err.line, err.message),
    }
}

/// Removes every step without which the first violated guarantee is still violated.
pub fn shrink(text: &str) -> String {
    let guarantee = run(text).violations.first().map(|found| found.guarantee);
    let mut lines: Vec<_> = text.lines().collect();
    let mut at = lines.len();
    while at > 0 {
        at -= 1;
        if !lines[at].starts_with("at ") {
            continue;
        }
        let line = lines.remove(at);
        let report = run(&lines.join("\n"));
        let same = report
            .violations
            .iter()
            .any(|found| Some(found.guarantee) == guarantee);
        if !same {
            lines.insert(at, line);
        }
    }
    lines.join("\n") + "\n"
}
