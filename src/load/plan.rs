//! The plan of a load, reproducible from its seed: time, destination and content of each request.

use std::time::Duration;

use serde_json::json;

use crate::load::options;

/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A router of the fleet.
    Fleet,
    /// An engine, directly.
    Engine,
}

/// One planned request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Number in the plan, counted from 0.
    pub number: u64,
    /// Time after the start of the load at which the request is to be sent.
    pub send_at: Duration,
    /// Where the request is sent.
    pub destination: Destination,
    /// Index of the API key in the options.
    pub key: usize,
    /// Index of the model route in the options.
    pub model: usize,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
}

/// The planned requests, in order of time. The same options give the same plan.
///
/// ```
/// use fulmarproxy::load::{options, plan};
/// let args = ["--targets", "http://127.0.0.1:1"].map(str::to_owned);
/// let options = options::parse(&args).unwrap().unwrap();
/// let first: Vec<_> = plan::requests(&options).take(9).collect();
/// assert!(plan::requests(&options).take(9).eq(first));
/// ```
pub fn requests(options: &options::Options) -> impl Iterator<Item = PlannedRequest> {
    let mut rng = fastrand::Rng::with_seed(options.seed);
    let mut send_at = Duration::ZERO;
    let planned = (0..).map(move |number| {
        send_at += arrival_interval(&mut rng, options.rate);
        let words = rng.u64(options.prompt_words.clone());
        PlannedRequest {
            number,
            send_at,
            destination: destination(options, number),
            key: pick_weighted(&mut rng, &options.keys),
            model: pick_weighted(&mut rng, &options.models),
            prompt: prompt_text(&mut rng, options.prefixes, number, words),
            max_tokens: rng.u64(options.max_tokens.clone()),
        }
    });
    planned.take_while(|planned| planned.send_at < options.duration)
}

/// Random time to the next request; the requests form a Poisson process with this rate.
fn arrival_interval(rng: &mut fastrand::Rng, rate: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}

fn destination(options: &options::Options, number: u64) -> Destination {
    let compared = options.compare.is_some() && number % 2 == 1;
    if options.direct || compared {
        return Destination::Engine;
    }
    Destination::Fleet
}

/// Index of a random item, chosen by weight.
fn pick_weighted(rng: &mut fastrand::Rng, items: &[options::Weighted]) -> usize {
    let sum: u64 = items.iter().map(|item| item.weight).sum();
    let mut left = rng.u64(..sum);
    for (index, item) in items.iter().enumerate() {
        if left < item.weight {
            return index;
        }
        left -= item.weight;
    }
    items.len() - 1
}

/// Makes a prompt of `words` words. If there are shared prefixes, one of them fills the first three
/// quarters; the other words occur in this prompt only.
fn prompt_text(rng: &mut fastrand::Rng, prefixes: u64, number: u64, words: u64) -> String {
    let shared = if prefixes == 0 { 0 } else { words * 3 / 4 };
    let prefix = rng.u64(..prefixes.max(1));
    let word = |index| match index < shared {
        true => format!("p{prefix}-{index}"),
        false => format!("q{number}-{index}"),
    };
    (0..words).map(word).collect::<Vec<_>>().join(" ")
}

impl PlannedRequest {
    /// JSON body of the request.
    pub fn body(&self, options: &options::Options) -> String {
        json!({
            "model": options.models[self.model].name,
            "messages": [{ "role": "user", "content": self.prompt }],
            "max_tokens": self.max_tokens,
            "stream": options.stream,
        })
        .to_string()
    }
}
