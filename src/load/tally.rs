//! Figures over all outcomes of a load.

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

const LONGEST_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const BUDGET_CODES: [u16; 2] = [200, 201];

/// Durations in microseconds.
#[derive(Clone, Debug)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Times {
    fn add(&mut self, time: Duration) {
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

    /// Quantile in milliseconds, from 0 to 1.
    ///
    /// ```
    /// assert_eq!(fulmarproxy::load::tally::Times::default().millis(0.5), 0.0);
    /// ```
    pub fn millis(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Figures of the requests of one side.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the deadline.
    pub good: u64,
    /// Requests that ended without any answer.
    pub failed: u64,
    /// Answers that were not whole.
    pub broken: BTreeMap<answer::Fault, u64>,
    /// Requests that ended refused.
    pub refused: BTreeMap<exchange::Refusal, u64>,
    /// Attempts that were repeated.
    pub repeats: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Latency of whole answers.
    pub latency: Times,
    /// Time to the first token of whole answers.
    pub first_token: Times,
    /// Time between tokens of whole answers.
    pub between: Times,
    /// How late requests were sent.
    pub lateness: Times,
}

/// A refusal for want of budget.
#[derive(Clone, Debug)]
pub struct BudgetRefusal {
    /// Budget.
    pub budget: name::Name,
    /// Most tokens that the request could have cost.
    pub bound: u64,
}

/// What the tool itself knows of a budget's use.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    ended: u64,
    in_flight: u64,
}

/// All figures.
#[derive(Default)]
pub struct Tally {
    /// Requests sent to the fleet.
    pub fleet: Group,
    /// Requests sent to an engine.
    pub engine: Group,
    /// Requests refused for want of budget.
    pub budget_refusals: Vec<BudgetRefusal>,
    /// Those that would have fitted beside all that was in flight when they were refused.
    pub refused_beside_room: u64,
    /// Ids that were named in a refusal as not run.
    pub not_run: Vec<String>,
    /// Budget of each request id.
    pub budget_of: HashMap<String, name::Name>,
    owners: HashMap<String, u64>,
    before: accounts::Budgets,
    uses: HashMap<name::Name, Use>,
    deadline: Duration,
    keys: Vec<Option<name::Name>>,
}

impl Tally {
    /// Begins with the budgets as they were before the load.
    pub fn new(options: &options::Options, before: accounts::Budgets) -> Self {
        let budget = |key: &options::Weighted| before.of_key(&key.name);
        Self {
            keys: options.keys.iter().map(budget).collect(),
            deadline: options.deadline,
            before,
            ..Self::default()
        }
    }

    fn budget(&self, planned: &plan::Planned) -> Option<name::Name> {
        match planned.side {
            plan::Side::Fleet => self.keys[planned.key].clone(),
            plan::Side::Engine => None,
        }
    }

    /// Counts a request that is sent.
    pub fn begin(&mut self, planned: &plan::Planned) {
        if let Some(budget) = self.budget(planned) {
            self.uses.entry(budget).or_default().in_flight += bound(planned);
        }
    }

    /// Counts a request that ended.
    pub fn end(&mut self, outcome: &exchange::Outcome) {
        let budget = self.budget(&outcome.planned);
        if let Some(budget) = &budget {
            self.settle(budget, outcome);
        }
        self.note_ids(outcome, budget);
        let foreign = self.is_foreign(outcome);
        let deadline = self.deadline;
        let group = match outcome.planned.side {
            plan::Side::Fleet => &mut self.fleet,
            plan::Side::Engine => &mut self.engine,
        };
        group.add(outcome, deadline, foreign);
    }

    fn settle(&mut self, budget: &name::Name, outcome: &exchange::Outcome) {
        let bound = bound(&outcome.planned);
        let known = self.before.by_name.get(budget).copied().unwrap_or_default();
        let used = self.uses.entry(budget.clone()).or_default();
        used.in_flight -= bound;
        match &outcome.last().end {
            exchange::End::Whole(whole) => {
                used.ended += whole.usage.prompt_tokens + whole.usage.completion_tokens;
            }
            exchange::End::Refused(refusal) if refusal.run == "not run" => {
                if BUDGET_CODES.contains(&refusal.code) {
                    let taken = known.billed + used.ended + used.in_flight;
                    self.refused_beside_room += u64::from(taken + bound <= known.prepaid);
                    let budget = budget.clone();
                    self.budget_refusals.push(BudgetRefusal { budget, bound });
                }
            }
            _ => used.ended += bound,
        }
    }

    fn note_ids(&mut self, outcome: &exchange::Outcome, budget: Option<name::Name>) {
        for attempt in &outcome.attempts {
            let carried = match &attempt.end {
                exchange::End::Whole(whole) => Some(whole.id.clone()),
                _ => None,
            };
            for id in attempt.id.clone().into_iter().chain(carried) {
                if let Some(budget) = &budget {
                    self.budget_of.insert(id, budget.clone());
                }
            }
            if let (exchange::End::Refused(refusal), Some(id)) = (&attempt.end, &attempt.id)
                && refusal.run == "not run"
            {
                self.not_run.push(id.clone());
            }
        }
    }

    /// Whether a whole answer belongs to another request.
    fn is_foreign(&mut self, outcome: &exchange::Outcome) -> bool {
        let last = outcome.last();
        let exchange::End::Whole(whole) = &last.end else {
            return false;
        };
        let owner = self.owners.entry(whole.id.clone());
        let owner = *owner.or_insert(outcome.planned.number);
        let named = last.id.as_ref().is_none_or(|id| *id == whole.id);
        owner != outcome.planned.number || (outcome.attempts.len() == 1 && !named)
    }
}

impl Group {
    fn add(&mut self, outcome: &exchange::Outcome, deadline: Duration, foreign: bool) {
        self.sent += 1;
        self.repeats += outcome.attempts.len() as u64 - 1;
        self.lateness.add(outcome.lateness);
        match &outcome.last().end {
            exchange::End::Whole(_) if foreign => {
                *self.broken.entry(answer::Fault::Mixed).or_default() += 1;
            }
            exchange::End::Whole(whole) => self.add_whole(outcome, whole, deadline),
            exchange::End::Broken(fault) => *self.broken.entry(*fault).or_default() += 1,
            exchange::End::Refused(refusal) => {
                *self.refused.entry(refusal.clone()).or_default() += 1;
            }
            exchange::End::Failed => self.failed += 1,
        }
    }

    fn add_whole(
        &mut self,
        outcome: &exchange::Outcome,
        whole: &answer::Whole,
        deadline: Duration,
    ) {
        self.whole += 1;
        self.good += u64::from(outcome.latency <= deadline);
        self.tokens += whole.tokens;
        self.latency.add(outcome.latency);
        if let Some(first) = outcome.first_token {
            self.first_token.add(first);
        }
        for gap in &outcome.gaps {
            self.between.add(*gap);
        }
    }
}

/// Most tokens that a request can cost.
fn bound(planned: &plan::Planned) -> u64 {
    planned.prompt.len() as u64 + chat::MESSAGE_OVERHEAD_TOKENS + planned.max_tokens
}
