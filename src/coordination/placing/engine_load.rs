//! Load of an engine, from successive reports of it.
//!
//! A carrier reads a report a few times a second. The counts of requests are those of the latest
//! report. The time per event follows from the growth of the events of each run between reports, and
//! the length of unread prompts from that of prompts read before.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::coordination::placing::server_load;

/// Intervals between reports whose event rates are kept; their median ignores one odd interval.
const MAX_RATES: usize = 3;

/// Age from which on an event rate is not used any more.
const MAX_RATE_AGE: Duration = Duration::from_secs(5);

/// Upper limit of the time between two events; callers' deadlines are shorter.
const MAX_EVENT_TIME: Duration = Duration::from_secs(30);

/// Weight of a new prompt in the mean length of prompts is one in this number.
const MEAN_DIVISOR: f64 = 16.0;

/// A report is held back until the next one when its number of requests differs from the last one by
/// more than this number and by more than [`SUSPICIOUS_FACTOR`].
const SUSPICIOUS_CHANGE: u32 = 16;

/// See [`SUSPICIOUS_CHANGE`]. A burst to eight times the load takes longer than a quarter of a second.
const SUSPICIOUS_FACTOR: u32 = 4;

/// One request that has got its first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// Hash of its id.
    pub id: u64,
    /// Tokens that it has in memory.
    pub tokens: u64,
    /// Events that it has produced.
    pub events: u64,
}

/// Values of one report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that hold a slot.
    pub running: u32,
    /// Tokens in memory that cannot be evicted; 0 when not reported.
    pub used_tokens: u64,
    /// Tokens that fit into memory; 0 when not reported.
    pub total_tokens: u64,
    /// Tokens of the first waiting request; 0 when not reported.
    pub next_tokens: u64,
    /// Start time of the process in Unix milliseconds; 0 when not reported.
    pub started_unix_ms: u64,
    /// Requests that have got their first token; `None` when not reported.
    pub runs: Option<Vec<Run>>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observed {
    /// Its values are used.
    Used,
    /// It is of another process, and the values of the former one were discarded.
    Restarted,
    /// It differs so much from the one before that the next one has to confirm it.
    HeldBack,
}

/// The latest load, and from when it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Current {
    /// The load.
    pub reported: server_load::Reported,
    /// Start time of the process in Unix milliseconds; 0 when not known.
    pub started_unix_ms: u64,
    /// Time at which the report was requested, on the carrier's clock.
    pub at: Duration,
}

#[derive(Debug)]
struct Last {
    sample: Sample,
    at: Duration,
}

/// Load of one engine.
#[derive(Debug, Default)]
pub struct EngineLoad {
    last: Option<Last>,
    /// Number of requests of a report that was held back.
    held_back: Option<u32>,
    /// Events of a run per second in the latest intervals, with the times of their ends and their
    /// lengths.
    rates: VecDeque<(Duration, Duration, f64)>,
    mean_prompt: Option<f64>,
}

fn requests(sample: &Sample) -> u32 {
    sample.waiting.saturating_add(sample.running)
}

fn differs_much(a: u32, b: u32) -> bool {
    let (low, high) = (a.min(b), a.max(b));
    high - low > SUSPICIOUS_CHANGE && high > low.saturating_mul(SUSPICIOUS_FACTOR)
}

impl EngineLoad {
    /// Takes the values of a report that was requested at `at`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use fulmarproxy::coordination::placing::engine_load::{EngineLoad, Observed, Run, Sample};
    /// let (mut load, ms) = (EngineLoad::default(), Duration::from_millis);
    /// let sample = |events| Sample {
    ///     running: 1, runs: Some(vec![Run { id: 1, tokens: 900, events }]), ..Sample::default()
    /// };
    /// load.observe(sample(10), ms(0));
    /// assert_eq!(load.observe(sample(20), ms(250)), Observed::Used);
    /// let reported = load.current().unwrap().reported;
    /// assert_eq!((reported.running, reported.event_time), (1, Some(ms(25))));
    /// ```
    pub fn observe(&mut self, sample: Sample, at: Duration) -> Observed {
        let mut observed = Observed::Used;
        if let Some(last) = &self.last {
            if last.sample.started_unix_ms != sample.started_unix_ms {
                *self = Self::default();
                observed = Observed::Restarted;
            } else {
                let count = requests(&sample);
                let is_confirmed = self
                    .held_back
                    .is_some_and(|held| !differs_much(held, count));
                if differs_much(requests(&last.sample), count) && !is_confirmed {
                    self.held_back = Some(count);
                    return Observed::HeldBack;
                }
            }
        }
        self.held_back = None;
        let runs = sample.runs.as_deref().unwrap_or_default();
        let before = self.last.take();
        let known: HashMap<u64, u64> = before
            .iter()
            .flat_map(|last| last.sample.runs.iter().flatten())
            .map(|run| (run.id, run.events))
            .collect();
        if let Some(last) = &before {
            self.record_rate(&known, runs, at.saturating_sub(last.at), at);
        }
        for run in runs.iter().filter(|run| !known.contains_key(&run.id)) {
            let prompt = run.tokens.saturating_sub(run.events) as f64;
            let mean = self.mean_prompt.unwrap_or(prompt);
            self.mean_prompt = Some(mean + (prompt - mean) / MEAN_DIVISOR);
        }
        self.last = Some(Last { sample, at });
        observed
    }

    /// Records how fast the runs that both reports name have grown.
    fn record_rate(
        &mut self,
        known: &HashMap<u64, u64>,
        runs: &[Run],
        interval: Duration,
        at: Duration,
    ) {
        self.rates.retain(|(end, ..)| at < *end + MAX_RATE_AGE);
        let grown = runs.iter().filter_map(|run| {
            let before = known.get(&run.id)?;
            run.events.checked_sub(*before)
        });
        let (count, events) = grown.fold((0u64, 0u64), |(count, sum), events| {
            (count + 1, sum.saturating_add(events))
        });
        if count == 0 || interval.is_zero() {
            return;
        }
        let rate = events as f64 / (count as f64 * interval.as_secs_f64());
        if self.rates.len() == MAX_RATES {
            self.rates.pop_front();
        }
        self.rates.push_back((at, interval, rate));
    }

    /// Median time between two events; at least the observed time when there were no events.
    fn event_time(&self) -> Option<Duration> {
        let mut rates: Vec<f64> = self.rates.iter().map(|(.., rate)| *rate).collect();
        rates.sort_by(f64::total_cmp);
        let median = *rates.get(rates.len() / 2)?;
        if median > 0.0 {
            let secs = (1.0 / median).min(MAX_EVENT_TIME.as_secs_f64());
            return Some(Duration::from_secs_f64(secs));
        }
        let observed = self.rates.iter().map(|(_, interval, _)| *interval).sum();
        Some(MAX_EVENT_TIME.min(observed))
    }

    /// Tokens of prompts that are still to be read, as far as the report shows: the first waiting
    /// request at its length, the others at the mean length of prompts, less what the requests that are
    /// being read hold in memory. A shared prefix that is in memory counts as unread.
    fn unread_tokens(&self, sample: &Sample) -> u64 {
        let mean = self.mean_prompt.unwrap_or(sample.next_tokens as f64);
        let waiting = match sample.waiting {
            0 => 0.0,
            count if sample.next_tokens > 0 => {
                sample.next_tokens as f64 + f64::from(count - 1) * mean
            }
            count => f64::from(count) * mean,
        };
        let Some(runs) = &sample.runs else {
            return waiting as u64;
        };
        let being_read = f64::from(sample.running.saturating_sub(runs.len() as u32)) * mean;
        let of_runs = runs
            .iter()
            .map(|run| run.tokens)
            .fold(0, u64::saturating_add);
        let read = sample.used_tokens.saturating_sub(of_runs) as f64;
        // Prefixes that several runs share are in memory once, so the difference is uncertain.
        (waiting + (being_read - read).max(being_read / 4.0)) as u64
    }

    /// The latest load; `None` before the first report of a process.
    pub fn current(&self) -> Option<Current> {
        let last = self.last.as_ref()?;
        let sample = &last.sample;
        Some(Current {
            reported: server_load::Reported {
                waiting: sample.waiting,
                running: sample.running,
                unread_tokens: self.unread_tokens(sample),
                used_tokens: sample.used_tokens,
                total_tokens: sample.total_tokens,
                event_time: self.event_time(),
            },
            started_unix_ms: sample.started_unix_ms,
            at: last.at,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    fn sample(running: u32, events: u64) -> Sample {
        let run = |id| Run {
            id,
            tokens: 1000 + events,
            events,
        };
        Sample {
            running,
            used_tokens: u64::from(running) * 1000,
            started_unix_ms: 5,
            runs: Some((0..u64::from(running)).map(run).collect()),
            ..Sample::default()
        }
    }

    /// Guards against a load that one odd report decides.
    #[test]
    fn one_odd_report_changes_neither_counts_nor_event_time() {
        let mut load = EngineLoad::default();
        for step in 0..4 {
            load.observe(sample(4, step * 10), MS(step * 250));
        }
        assert_eq!(load.observe(sample(400, 40), MS(1000)), Observed::HeldBack);
        load.observe(sample(4, 40), MS(1250));
        let reported = load.current().unwrap().reported;
        assert_eq!((reported.running, reported.event_time), (4, Some(MS(25))));
        load.observe(sample(200, 50), MS(1500));
        assert_eq!(load.observe(sample(220, 60), MS(1750)), Observed::Used);
        assert_eq!(load.current().unwrap().reported.running, 220);
    }

    /// Guards against values of a former process after a restart, and against an engine that stalls
    /// and still counts as fast.
    #[test]
    fn a_restart_discards_the_values_and_a_stall_raises_the_event_time() {
        let mut load = EngineLoad::default();
        load.observe(sample(4, 10), MS(0));
        for step in 1..4 {
            load.observe(sample(4, 20), MS(step * 250));
        }
        let stalled = load.current().unwrap().reported.event_time;
        assert_eq!(stalled, Some(MS(750)));
        let restarted = Sample {
            started_unix_ms: 6,
            ..sample(1, 0)
        };
        assert_eq!(load.observe(restarted, MS(1250)), Observed::Restarted);
        assert_eq!(load.current().unwrap().reported.event_time, None);
    }

    /// Guards against unread prompts that do not show because their requests have no token yet.
    #[test]
    fn waiting_and_unread_requests_count_as_unread_tokens() {
        let mut load = EngineLoad::default();
        load.observe(sample(2, 0), MS(0));
        let busy = Sample {
            waiting: 3,
            running: 4,
            next_tokens: 5000,
            used_tokens: 2500,
            ..sample(2, 0)
        };
        load.observe(busy, MS(250));
        // 5,000 and twice 1,000 wait; of the 2,000 being read, 500 are in memory.
        assert_eq!(load.current().unwrap().reported.unread_tokens, 8500);
    }
}
