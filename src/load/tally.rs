//! Aggregates the outcomes of a load.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use hdrhistogram::Histogram;

use crate::{
    load::{accounts, answer, exchange, options, plan},
    protocol::chat,
    state::name,
};

/// Longest duration that a histogram distinguishes: one hour. Longer ones are recorded as this.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Decimal digits to which a histogram is precise.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Result codes of refusals for lack of budget: `budget_spent` and `budget_unreachable`.
const BUDGET_CODES: [u16; 2] = [200, 201];

/// Histogram of durations in microseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Times {
    fn record(&mut self, time: Duration) {
        self.0.saturating_record(time.as_micros() as u64);
    }

    /// Whether no duration was recorded.
    ///
    /// ```
    /// assert!(fulmarproxy::load::tally::Times::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Value in milliseconds at a quantile from 0 to 1.
    ///
    /// ```
    /// assert_eq!(fulmarproxy::load::tally::Times::default().millis(0.5), 0.0);
    /// ```
    pub fn millis(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Results of the requests to one destination, the fleet or an engine.
#[derive(Clone, Debug, Default)]
pub struct DestinationTally {
    /// Requests sent, without retries.
    pub sent: u64,
    /// Requests with a whole answer.
    pub whole: u64,
    /// Whole answers within the deadline.
    pub within_deadline: u64,
    /// Requests that ended without an answer.
    pub failed: u64,
    /// Answers that were not whole, by fault.
    pub broken: BTreeMap<answer::Fault, u64>,
    /// Requests that ended with a refusal, by refusal.
    pub refused: BTreeMap<exchange::Refusal, u64>,
    /// Retries sent.
    pub repeats: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Latency of whole answers.
    pub latency: Times,
    /// Time to the first token of whole answers.
    pub first_token: Times,
    /// Time between tokens of whole answers.
    pub between_tokens: Times,
    /// Delay of the sending behind the plan.
    pub lateness: Times,
}

/// A refusal because of an insufficient budget.
#[derive(Clone, Debug)]
pub struct BudgetRefusal {
    /// Budget of the request.
    pub budget: name::Name,
    /// Maximum number of tokens that the request could have cost.
    pub bound: u64,
}

/// Use of a budget by this load, estimated from the outcomes of its requests.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetUse {
    /// Tokens of ended requests: as reported for whole answers, the maximum cost for others that
    /// may have run.
    finished_tokens: u64,
    /// Maximum cost of the requests in flight.
    in_flight_tokens: u64,
}

/// Aggregated outcomes of a load.
#[derive(Default)]
pub struct Tally {
    /// Results of the requests to the fleet.
    pub fleet: DestinationTally,
    /// Results of the requests to an engine directly.
    pub engine: DestinationTally,
    /// Requests refused because of an insufficient budget.
    pub budget_refusals: Vec<BudgetRefusal>,
    /// Budget refusals of requests whose maximum cost would have fitted at the time, beside all
    /// tokens used before and the maximum cost of all requests in flight.
    pub refused_beside_room: u64,
    /// Request ids of refusals that claim `not run`.
    pub not_run_ids: Vec<String>,
    /// Budgets by request id, for all ids that occurred in answers.
    pub budget_by_id: HashMap<String, name::Name>,
    /// Number of the planned request that first received a whole answer with this id in its tokens.
    request_by_answer_id: HashMap<String, u64>,
    budgets_before: accounts::Budgets,
    budget_uses: HashMap<name::Name, BudgetUse>,
    deadline: Duration,
    /// Budget of each API key, by the key's index in the options.
    key_budgets: Vec<Option<name::Name>>,
}

impl Tally {
    /// Creates an empty tally; `before` holds the budgets as they were before the load.
    pub fn new(options: &options::Options, before: accounts::Budgets) -> Self {
        let budget = |key: &options::Weighted| before.budget_of_key(&key.name);
        Self {
            key_budgets: options.keys.iter().map(budget).collect(),
            deadline: options.deadline,
            budgets_before: before,
            ..Self::default()
        }
    }

    /// The budget that a request draws on; `None` for an unknown API key or a request to an engine.
    fn budget(&self, planned: &plan::PlannedRequest) -> Option<name::Name> {
        match planned.destination {
            plan::Destination::Fleet => self.key_budgets[planned.key].clone(),
            plan::Destination::Engine => None,
        }
    }

    /// Records that a request is about to be sent.
    pub fn record_start(&mut self, planned: &plan::PlannedRequest) {
        if let Some(budget) = self.budget(planned) {
            self.budget_uses.entry(budget).or_default().in_flight_tokens += token_bound(planned);
        }
    }

    /// Records the outcome of a request.
    pub fn record_end(&mut self, outcome: &exchange::Outcome) {
        let budget = self.budget(&outcome.planned);
        if let Some(budget) = &budget {
            self.record_budget_use(budget, outcome);
        }
        self.record_ids(outcome, budget);
        let foreign = self.answers_other_request(outcome);
        let deadline = self.deadline;
        let tally = match outcome.planned.destination {
            plan::Destination::Fleet => &mut self.fleet,
            plan::Destination::Engine => &mut self.engine,
        };
        tally.add(outcome, deadline, foreign);
    }

    /// Moves the request's tokens from in flight to finished, and checks a budget refusal against
    /// the tokens used so far.
    fn record_budget_use(&mut self, budget: &name::Name, outcome: &exchange::Outcome) {
        let bound = token_bound(&outcome.planned);
        let before = self
            .budgets_before
            .by_name
            .get(budget)
            .copied()
            .unwrap_or_default();
        let used = self.budget_uses.entry(budget.clone()).or_default();
        used.in_flight_tokens -= bound;
        match &outcome.last().end {
            exchange::AttemptEnd::Whole(whole) => {
                used.finished_tokens += whole.usage.prompt_tokens + whole.usage.completion_tokens;
            }
            exchange::AttemptEnd::Refused(refusal) if refusal.run == "not run" => {
                if BUDGET_CODES.contains(&refusal.code) {
                    let taken = before.billed + used.finished_tokens + used.in_flight_tokens;
                    self.refused_beside_room += u64::from(taken + bound <= before.prepaid);
                    let budget = budget.clone();
                    self.budget_refusals.push(BudgetRefusal { budget, bound });
                }
            }
            _ => used.finished_tokens += bound,
        }
    }

    /// Records the request ids that occurred in the headers and tokens of all attempts.
    fn record_ids(&mut self, outcome: &exchange::Outcome, budget: Option<name::Name>) {
        for attempt in &outcome.attempts {
            let id_in_tokens = match &attempt.end {
                exchange::AttemptEnd::Whole(whole) => Some(whole.id.clone()),
                _ => None,
            };
            for id in attempt.id.clone().into_iter().chain(id_in_tokens) {
                if let Some(budget) = &budget {
                    self.budget_by_id.insert(id, budget.clone());
                }
            }
            if let (exchange::AttemptEnd::Refused(refusal), Some(id)) = (&attempt.end, &attempt.id)
                && refusal.run == "not run"
            {
                self.not_run_ids.push(id.clone());
            }
        }
    }

    /// Whether a whole answer belongs to another request: its id was in an answer to another
    /// request before, or differs from the id in the headers.
    ///
    /// The headers are compared only without retries, because a retry may get the answer that was
    /// kept from an earlier attempt and carries the id of that attempt.
    fn answers_other_request(&mut self, outcome: &exchange::Outcome) -> bool {
        let last = outcome.last();
        let exchange::AttemptEnd::Whole(whole) = &last.end else {
            return false;
        };
        let first_request = self.request_by_answer_id.entry(whole.id.clone());
        let first_request = *first_request.or_insert(outcome.planned.number);
        let matches_header = last.id.as_ref().is_none_or(|id| *id == whole.id);
        first_request != outcome.planned.number || (outcome.attempts.len() == 1 && !matches_header)
    }
}

impl DestinationTally {
    fn add(&mut self, outcome: &exchange::Outcome, deadline: Duration, foreign: bool) {
        self.sent += 1;
        self.repeats += outcome.attempts.len() as u64 - 1;
        self.lateness.record(outcome.lateness);
        match &outcome.last().end {
            exchange::AttemptEnd::Whole(_) if foreign => {
                *self.broken.entry(answer::Fault::Mixed).or_default() += 1;
            }
            exchange::AttemptEnd::Whole(whole) => self.add_whole(outcome, whole, deadline),
            exchange::AttemptEnd::Broken(fault) => *self.broken.entry(*fault).or_default() += 1,
            exchange::AttemptEnd::Refused(refusal) => {
                *self.refused.entry(refusal.clone()).or_default() += 1;
            }
            exchange::AttemptEnd::Failed => self.failed += 1,
        }
    }

    fn add_whole(
        &mut self,
        outcome: &exchange::Outcome,
        whole: &answer::WholeAnswer,
        deadline: Duration,
    ) {
        self.whole += 1;
        self.within_deadline += u64::from(outcome.latency <= deadline);
        self.tokens += whole.tokens;
        self.latency.record(outcome.latency);
        if let Some(first) = outcome.first_token {
            self.first_token.record(first);
        }
        for time in &outcome.between_tokens {
            self.between_tokens.record(*time);
        }
    }
}

/// Maximum number of tokens that a request can cost. A token covers at least one byte of the
/// prompt.
fn token_bound(planned: &plan::PlannedRequest) -> u64 {
    planned.prompt.len() as u64 + chat::MESSAGE_OVERHEAD_TOKENS + planned.max_tokens
}
