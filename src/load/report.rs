//! The report of a load, as JSON and as a table.

use std::fmt::Write;

use serde::Serialize;

use crate::load::{accounts, exchange, tally};

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// How many requests were refused in one way.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalCount {
    /// Numbered result code.
    pub code: u16,
    /// Name of the code.
    pub name: String,
    /// `not run` or `may have run`.
    pub run: String,
    /// How many.
    pub count: u64,
}

/// How many answers were not whole in one way.
#[derive(Clone, Debug, Serialize)]
pub struct BrokenCount {
    /// Fault of the answers.
    pub fault: String,
    /// How many.
    pub count: u64,
}

/// Figures of one side.
#[derive(Clone, Debug, Serialize)]
pub struct DestinationReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Answers that were not whole.
    pub broken: Vec<BrokenCount>,
    /// Requests without any answer.
    pub failed: u64,
    /// Refusals.
    pub refused: Vec<RefusalCount>,
    /// Attempts that were repeated.
    pub repeats: u64,
    /// Latency of whole answers in milliseconds.
    pub latency_ms: Option<Quantiles>,
    /// Time to the first token in milliseconds.
    pub first_token_ms: Option<Quantiles>,
    /// Time between tokens in milliseconds.
    pub between_tokens_ms: Option<Quantiles>,
    /// How late requests were sent in milliseconds.
    pub lateness_ms: Option<Quantiles>,
    /// Tokens of whole answers a second.
    pub tokens_per_second: f64,
    /// Whole answers within the deadline a second.
    pub goodput_per_second: f64,
}

/// One budget.
#[derive(Clone, Debug, Serialize)]
pub struct BudgetLine {
    /// Name.
    pub name: String,
    /// Tokens prepaid.
    pub prepaid: u64,
    /// Tokens billed in all.
    pub billed: u64,
    /// Tokens billed before the load and run for it since.
    pub run: u64,
    /// Tokens billed or run past the prepaid total.
    pub overspend: u64,
}

/// What the engines ran, held against the bills.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Accounts {
    /// Tokens that the engines ran for the fleet.
    pub run: u64,
    /// Tokens billed.
    pub billed: u64,
    /// Tokens run for requests whose id no answer named.
    pub unmatched: u64,
    /// Requests that ran more than once.
    pub ran_again: u64,
    /// Requests refused as not run that ran.
    pub untruthful: u64,
    /// Engines whose counts could not be read.
    pub silent_engines: u64,
    /// Sum of the budgets' overspend.
    pub overspend: u64,
    /// Requests refused for want of budget.
    pub budget_refusals: u64,
    /// Those that the prepaid total less all that was ever run would have covered.
    pub false_refusals: u64,
    /// Those that would have fitted beside all that was in flight.
    pub refused_beside_room: u64,
    /// Budgets that were used.
    pub budgets: Vec<BudgetLine>,
}

/// What the fleet adds to an engine's latency.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Added to the median, in milliseconds.
    pub p50_ms: f64,
    /// Added to the 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Length of the load in seconds, up to the last answer.
    pub seconds: f64,
    /// Requests to the fleet.
    pub fleet: Option<DestinationReport>,
    /// Requests to an engine.
    pub engine: Option<DestinationReport>,
    /// Comparison of the two.
    pub added: Option<AddedLatency>,
    /// Engines held against bills.
    pub accounts: Option<Accounts>,
}

fn quantiles(times: &tally::Times) -> Option<Quantiles> {
    (!times.is_empty()).then(|| Quantiles {
        p50: times.millis(0.5),
        p95: times.millis(0.95),
        p99: times.millis(0.99),
    })
}

fn refusal_count((refusal, count): (&exchange::Refusal, &u64)) -> RefusalCount {
    RefusalCount {
        code: refusal.code,
        name: refusal.name.clone(),
        run: refusal.run.clone(),
        count: *count,
    }
}

fn destination_report(tally: &tally::DestinationTally, seconds: f64) -> Option<DestinationReport> {
    let broken = tally.broken.iter().map(|(fault, count)| BrokenCount {
        fault: fault.to_string(),
        count: *count,
    });
    (tally.sent > 0).then(|| DestinationReport {
        sent: tally.sent,
        whole: tally.whole,
        broken: broken.collect(),
        failed: tally.failed,
        refused: tally.refused.iter().map(refusal_count).collect(),
        repeats: tally.repeats,
        latency_ms: quantiles(&tally.latency),
        first_token_ms: quantiles(&tally.first_token),
        between_tokens_ms: quantiles(&tally.between_tokens),
        lateness_ms: quantiles(&tally.lateness),
        tokens_per_second: tally.tokens as f64 / seconds,
        goodput_per_second: tally.within_deadline as f64 / seconds,
    })
}

fn added_latency(fleet: &DestinationReport, engine: &DestinationReport) -> Option<AddedLatency> {
    let (fleet, engine) = (fleet.latency_ms?, engine.latency_ms?);
    Some(AddedLatency {
        p50_ms: fleet.p50 - engine.p50,
        p99_ms: fleet.p99 - engine.p99,
        p50_ratio: fleet.p50 / engine.p50,
        p99_ratio: fleet.p99 / engine.p99,
    })
}

/// What was read before and after a load.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    /// Engines before.
    pub engines_before: accounts::EngineCounts,
    /// Engines after.
    pub engines: accounts::EngineCounts,
    /// Budgets before.
    pub budgets_before: accounts::Budgets,
    /// Budgets after.
    pub budgets: accounts::Budgets,
}

/// Makes the report.
pub fn build(tally: &tally::Tally, readings: Option<&Readings>, seconds: f64) -> Report {
    let fleet = destination_report(&tally.fleet, seconds);
    let engine = destination_report(&tally.engine, seconds);
    let added = match (&fleet, &engine) {
        (Some(fleet), Some(engine)) => added_latency(fleet, engine),
        _ => None,
    };
    let accounts = readings.map(|readings| compare_accounts(tally, readings));
    Report {
        seconds,
        fleet,
        engine,
        added,
        accounts,
    }
}

fn compare_accounts(tally: &tally::Tally, readings: &Readings) -> Accounts {
    let mut accounts = Accounts {
        billed: (readings.budgets.total_billed())
            .saturating_sub(readings.budgets_before.total_billed()),
        silent_engines: readings.engines.silent_engines,
        budget_refusals: tally.budget_refusals.len() as u64,
        refused_beside_room: tally.refused_beside_room,
        ..Accounts::default()
    };
    let mut run_by_budget = std::collections::HashMap::<_, u64>::new();
    for (id, tokens) in new_runs(readings) {
        accounts.run += tokens;
        match tally.budget_by_id.get(id) {
            Some(budget) => *run_by_budget.entry(budget).or_default() += tokens,
            None => accounts.unmatched += tokens,
        }
        accounts.ran_again += u64::from(readings.engines.runs.get(id) > Some(&1));
    }
    let ran = |id: &&String| readings.engines.tokens_by_id.contains_key(*id);
    accounts.untruthful = tally.not_run_ids.iter().filter(ran).count() as u64;
    for (name, budget) in &readings.budgets.by_name {
        let before = readings.budgets_before.by_name.get(name);
        let before = before.map_or(0, |budget| budget.billed);
        let run = before + run_by_budget.get(name).copied().unwrap_or(0);
        if run == 0 && budget.billed == 0 {
            continue;
        }
        accounts.budgets.push(BudgetLine {
            name: name.to_string(),
            prepaid: budget.prepaid,
            billed: budget.billed,
            run,
            overspend: run.max(budget.billed).saturating_sub(budget.prepaid),
        });
    }
    accounts.overspend = accounts.budgets.iter().map(|line| line.overspend).sum();
    accounts.false_refusals = false_refusals(tally, &accounts.budgets, readings);
    accounts
}

/// Runs since the first reading, without those that went to an engine directly.
fn new_runs(readings: &Readings) -> impl Iterator<Item = (&String, u64)> {
    let before = &readings.engines_before.tokens_by_id;
    let runs = readings.engines.tokens_by_id.iter();
    let runs = runs.filter(|(id, _)| !id.starts_with("load-") && !before.contains_key(*id));
    runs.map(|(id, tokens)| (id, *tokens))
}

fn false_refusals(tally: &tally::Tally, lines: &[BudgetLine], readings: &Readings) -> u64 {
    let covered = |refusal: &&tally::BudgetRefusal| {
        let line = lines.iter().find(|line| *line.name == *refusal.budget);
        let used = line.map_or(0, |line| line.run.max(line.billed));
        let budget = readings.budgets.by_name.get(&refusal.budget);
        let prepaid = budget.map_or(0, |budget| budget.prepaid);
        used + refusal.bound <= prepaid
    };
    tally.budget_refusals.iter().filter(covered).count() as u64
}

impl Report {
    /// The report as a table.
    pub fn table(&self) -> String {
        let mut text = format!("{:.1} s\n", self.seconds);
        for (name, side) in [("fleet", &self.fleet), ("engine", &self.engine)] {
            if let Some(side) = side {
                side.write_table(&mut text, name);
            }
        }
        if let Some(added) = &self.added {
            let AddedLatency {
                p50_ms,
                p99_ms,
                p50_ratio,
                p99_ratio,
            } = added;
            let _ = writeln!(
                text,
                "added latency   p50 {p50_ms:.3} ms (x{p50_ratio:.2})  p99 {p99_ms:.3} ms (x{p99_ratio:.2})"
            );
        }
        if let Some(accounts) = &self.accounts {
            accounts.write_table(&mut text);
        }
        text
    }
}

impl DestinationReport {
    fn write_table(&self, text: &mut String, name: &str) {
        let Self {
            sent,
            whole,
            failed,
            repeats,
            ..
        } = self;
        let _ = writeln!(
            text,
            "{name:<7} sent {sent}, whole {whole}, without answer {failed}, repeated {repeats}"
        );
        for broken in &self.broken {
            let _ = writeln!(text, "  broken: {:<14} {:>8}", broken.fault, broken.count);
        }
        for refused in &self.refused {
            let RefusalCount {
                code,
                name,
                run,
                count,
            } = refused;
            let _ = writeln!(text, "  refused {code:>3} {name:<20} {run:<13} {count:>8}");
        }
        let rows = [
            ("latency", self.latency_ms),
            ("first token", self.first_token_ms),
            ("between tokens", self.between_tokens_ms),
            ("sent late", self.lateness_ms),
        ];
        for (name, quantiles) in rows {
            let Some(Quantiles { p50, p95, p99 }) = quantiles else {
                continue;
            };
            let _ = writeln!(
                text,
                "  {name:<15} p50 {p50:>9.3}  p95 {p95:>9.3}  p99 {p99:>9.3} ms"
            );
        }
        let _ = writeln!(
            text,
            "  tokens/s {:.1}, goodput {:.1} answers/s",
            self.tokens_per_second, self.goodput_per_second
        );
    }
}

impl Accounts {
    fn write_table(&self, text: &mut String) {
        let Self {
            run,
            billed,
            unmatched,
            ran_again,
            untruthful,
            ..
        } = self;
        let _ = writeln!(
            text,
            "engines ran {run} tokens, billed {billed}, without a named request {unmatched}, \
             requests run again {ran_again}, refused as not run but run {untruthful}"
        );
        let _ = writeln!(
            text,
            "overspend {}, budget refusals {}, false {}, beside room {}",
            self.overspend, self.budget_refusals, self.false_refusals, self.refused_beside_room
        );
        for line in &self.budgets {
            let _ = writeln!(
                text,
                "  {:<20} prepaid {:>10}  billed {:>10}  run {:>10}  overspend {:>8}",
                line.name, line.prepaid, line.billed, line.run, line.overspend
            );
        }
    }
}
