//! The report of a load, as JSON and as a table.

use std::fmt::Write;

use serde::Serialize;

use crate::load::{accounts, exchange, tally};

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    /// Median, the 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Number of requests that ended with the same refusal.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalCount {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Whether the requests may have run: `not run` or `may have run`.
    pub run: String,
    /// Number of requests.
    pub count: u64,
}

/// Number of answers with the same fault.
#[derive(Clone, Debug, Serialize)]
pub struct BrokenCount {
    /// Name of the fault.
    pub fault: String,
    /// Number of requests.
    pub count: u64,
}

/// Results of the requests to one destination, the fleet or an engine.
#[derive(Clone, Debug, Serialize)]
pub struct DestinationReport {
    /// Requests sent, without retries.
    pub sent: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Answers that were not whole, by fault.
    pub broken: Vec<BrokenCount>,
    /// Requests without an answer.
    pub failed: u64,
    /// Refused requests, by refusal.
    pub refused: Vec<RefusalCount>,
    /// Retries sent.
    pub repeats: u64,
    /// Latency of whole answers, counted from the planned start, in milliseconds.
    pub latency_ms: Option<Quantiles>,
    /// Time from the planned start to the first token of whole answers, in milliseconds.
    pub first_token_ms: Option<Quantiles>,
    /// Time between tokens of whole answers, in milliseconds.
    pub between_tokens_ms: Option<Quantiles>,
    /// Delay of the sending behind the plan, in milliseconds.
    pub lateness_ms: Option<Quantiles>,
    /// Tokens of whole answers per second.
    pub tokens_per_second: f64,
    /// Whole answers within the deadline per second.
    pub goodput_per_second: f64,
}

/// Tokens of one budget.
#[derive(Clone, Debug, Serialize)]
pub struct BudgetLine {
    /// Name of the budget.
    pub name: String,
    /// Tokens prepaid.
    pub prepaid: u64,
    /// Tokens billed, including those billed before the load.
    pub billed: u64,
    /// Tokens billed before the load plus tokens that engines ran for this budget since.
    pub run: u64,
    /// Tokens by which the larger of `billed` and `run` exceeds `prepaid`.
    pub overspend: u64,
}

/// Comparison of what the engines ran with the bills and the answers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Accounts {
    /// Tokens that the engines ran for the fleet during the load.
    pub run: u64,
    /// Tokens billed during the load.
    pub billed: u64,
    /// Tokens of runs whose request id occurred in no answer.
    pub unmatched: u64,
    /// Requests that ran more than once.
    pub ran_again: u64,
    /// Refusals that claim `not run` although an engine ran the request.
    pub untruthful: u64,
    /// Engines whose counts could not be read.
    pub silent_engines: u64,
    /// Sum of the budgets' overspend.
    pub overspend: u64,
    /// Requests refused because of an insufficient budget.
    pub budget_refusals: u64,
    /// Budget refusals of requests whose maximum cost would have fitted into what is left of the
    /// prepaid tokens at the end of the load.
    pub false_refusals: u64,
    /// Budget refusals of requests whose maximum cost would have fitted at the time, beside all
    /// tokens used before and the maximum cost of all requests in flight.
    pub refused_beside_room: u64,
    /// Budgets with billed or run tokens.
    pub budgets: Vec<BudgetLine>,
}

/// Latency that the fleet adds to that of an engine.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct AddedLatency {
    /// Difference of the medians, in milliseconds.
    pub p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub p99_ms: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

/// The whole report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Time from the start of the load to its last answer, in seconds.
    pub seconds: f64,
    /// Results of the requests to the fleet.
    pub fleet: Option<DestinationReport>,
    /// Results of the requests to an engine directly.
    pub engine: Option<DestinationReport>,
    /// Comparison of the two latencies.
    pub added: Option<AddedLatency>,
    /// Comparison of engines and bills, if either was read.
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

/// Counts of engines and budgets, read before and after a load.
#[derive(Clone, Debug, Default)]
pub struct Readings {
    /// Engine counts before the load.
    pub engines_before: accounts::EngineCounts,
    /// Engine counts after the load.
    pub engines: accounts::EngineCounts,
    /// Budgets before the load.
    pub budgets_before: accounts::Budgets,
    /// Budgets after the load.
    pub budgets: accounts::Budgets,
}

/// Builds the report of a load that took `seconds`.
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

/// Compares the readings with each other and with the answers.
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

/// Request ids first run since the first reading, with their tokens. Requests that this tool sent
/// directly to an engine, recognised by their ids, are left out.
fn new_runs(readings: &Readings) -> impl Iterator<Item = (&String, u64)> {
    let before = &readings.engines_before.tokens_by_id;
    let runs = readings.engines.tokens_by_id.iter();
    let runs = runs.filter(|(id, _)| !id.starts_with("load-") && !before.contains_key(*id));
    runs.map(|(id, tokens)| (id, *tokens))
}

/// Number of budget refusals of requests that the budget could have paid for after the load.
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
    /// The report as a table in text form.
    pub fn table(&self) -> String {
        let mut text = format!("{:.1} s\n", self.seconds);
        for (name, destination) in [("fleet", &self.fleet), ("engine", &self.engine)] {
            if let Some(destination) = destination {
                destination.write_table(&mut text, name);
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
