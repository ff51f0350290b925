//! Flags of the load tool.

use std::{fmt::Display, ops::RangeInclusive, str::FromStr, time::Duration};

use crate::error;

/// Help text of the load tool.
pub const USAGE: &str = "Usage: fulmar-load --targets URL,URL [FLAGS]

  --targets URL,URL        Routers, taken in turn.
  --direct                 The targets are engines, not routers.
  --compare URL            Send every second request to this engine instead, and compare.
  --keys KEY*WEIGHT,KEY    Caller keys.
  --model NAME*WEIGHT,NAME Model routes.
  --rate R                 Requests per second.
  --seconds N              Time that requests are sent for.
  --seed N                 Seed of arrivals and contents.
  --prompt-words A..B      Words of a prompt.
  --prefixes N             Prompts begin with one of N shared prefixes; 0: none.
  --max-tokens A..B        Tokens of an answer.
  --stream                 Ask for streamed answers.
  --retry N                Repeat up to N times under the same idempotency key.
  --deadline-ms N          Longest time of an answer that still counts as goodput.
  --timeout-ms N           Longest time of one exchange.
  --engines URL,URL        Engines whose counts are read.
  --store URL              Store whose budgets and bills are read.
  --settle-ms N            Longest wait for the bills after the last answer.
  --threads N              Threads that send.
  --json                   Report as JSON.
";

const VALUES: &[&str] = &[
    "targets",
    "compare",
    "keys",
    "model",
    "rate",
    "seconds",
    "seed",
    "prompt-words",
    "prefixes",
    "max-tokens",
    "retry",
    "deadline-ms",
    "timeout-ms",
    "engines",
    "store",
    "settle-ms",
    "threads",
];

const SWITCHES: &[&str] = &["direct", "stream", "json", "help"];

/// A name and how often it is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weighted {
    /// Name.
    pub name: String,
    /// Share among all weights.
    pub weight: u64,
}

/// What load is sent, and what it is held against.
#[derive(Clone, Debug)]
pub struct Options {
    /// Routers, or engines when `direct` is set.
    pub targets: Vec<String>,
    /// Whether the targets are engines.
    pub direct: bool,
    /// Engine that every second request goes to.
    pub compare: Option<String>,
    /// Caller keys.
    pub keys: Vec<Weighted>,
    /// Model routes.
    pub models: Vec<Weighted>,
    /// Requests per second.
    pub rate: f64,
    /// Time that requests are sent for.
    pub length: Duration,
    /// Seed of arrivals and contents.
    pub seed: u64,
    /// Words of a prompt.
    pub prompt_words: RangeInclusive<u64>,
    /// Number of shared prefixes; zero for none.
    pub prefixes: u64,
    /// Tokens of an answer.
    pub max_tokens: RangeInclusive<u64>,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Repeats of one request.
    pub retries: u32,
    /// Longest time of an answer that counts as goodput.
    pub deadline: Duration,
    /// Longest time of one exchange.
    pub timeout: Duration,
    /// Engines whose counts are read.
    pub engines: Vec<String>,
    /// Store whose budgets and bills are read.
    pub store: Option<String>,
    /// Longest wait for the bills.
    pub settle: Duration,
    /// Threads that send.
    pub threads: usize,
    /// Whether the report is JSON.
    pub json: bool,
}

/// Reads the command line; `None` when help is asked for.
///
/// # Errors
///
/// [`error::Error::Argument`] names the flag that is wrong.
///
/// ```
/// use fulmarproxy::load::options;
/// let args = ["--targets", "http://127.0.0.1:1", "--keys", "a*3,b"].map(str::to_owned);
/// let options = options::parse(&args).unwrap().unwrap();
/// assert_eq!(options.keys[0].weight, 3);
/// ```
pub fn parse(args: &[String]) -> Result<Option<Options>, error::Error> {
    let mut flags = getopts::Options::new();
    for flag in VALUES {
        flags.optopt("", flag, "", "VALUE");
    }
    for flag in SWITCHES {
        flags.optflag("", flag, "");
    }
    let matches = flags.parse(args)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    collect(&matches).map(Some)
}

fn collect(matches: &getopts::Matches) -> Result<Options, error::Error> {
    let options = Options {
        targets: list(matches, "targets"),
        direct: matches.opt_present("direct"),
        compare: matches.opt_str("compare"),
        keys: weighted(matches, "keys", "none")?,
        models: weighted(matches, "model", "quick")?,
        rate: value(matches, "rate", 10.0)?,
        length: Duration::from_secs_f64(value(matches, "seconds", 10.0)?),
        seed: value(matches, "seed", 1)?,
        prompt_words: range(matches, "prompt-words", 5..=50)?,
        prefixes: value(matches, "prefixes", 0)?,
        max_tokens: range(matches, "max-tokens", 8..=64)?,
        stream: matches.opt_present("stream"),
        retries: value(matches, "retry", 0)?,
        deadline: Duration::from_millis(value(matches, "deadline-ms", 30_000)?),
        timeout: Duration::from_millis(value(matches, "timeout-ms", 60_000)?),
        engines: list(matches, "engines"),
        store: matches.opt_str("store"),
        settle: Duration::from_millis(value(matches, "settle-ms", 5_000)?),
        threads: value(matches, "threads", 2)?,
        json: matches.opt_present("json"),
    };
    if options.targets.is_empty() {
        return Err(wrong("targets", "one address or more"));
    }
    if !options.rate.is_finite() || options.rate <= 0.0 {
        return Err(wrong("rate", "a number above 0"));
    }
    Ok(options)
}

fn wrong(flag: &str, allowed: impl Display) -> error::Error {
    error::Error::Argument {
        message: format!("--{flag} takes {allowed}"),
    }
}

fn list(matches: &getopts::Matches, flag: &str) -> Vec<String> {
    let given = matches.opt_str(flag).unwrap_or_default();
    let items = given.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| item.trim_end_matches('/').to_owned())
        .collect()
}

fn weighted(
    matches: &getopts::Matches,
    flag: &str,
    usual: &str,
) -> Result<Vec<Weighted>, error::Error> {
    let read = |item: &String| {
        let (name, weight) = item.split_once('*').unwrap_or((item, "1"));
        let weight = weight.parse().ok().filter(|weight| *weight > 0);
        Some(Weighted {
            name: name.to_owned(),
            weight: weight?,
        })
    };
    let mut items = list(matches, flag);
    if items.is_empty() {
        items.push(usual.to_owned());
    }
    let read: Option<_> = items.iter().map(read).collect();
    read.ok_or_else(|| wrong(flag, "names with weights above 0"))
}

fn value<T: FromStr>(matches: &getopts::Matches, flag: &str, usual: T) -> Result<T, error::Error> {
    let given = matches.opt_get(flag);
    let given = given.map_err(|_| wrong(flag, "a number"))?;
    Ok(given.unwrap_or(usual))
}

fn range(
    matches: &getopts::Matches,
    flag: &str,
    usual: RangeInclusive<u64>,
) -> Result<RangeInclusive<u64>, error::Error> {
    let Some(given) = matches.opt_str(flag) else {
        return Ok(usual);
    };
    let (least, most) = given.split_once("..").unwrap_or((&given, &given));
    match (least.parse(), most.parse()) {
        (Ok(least), Ok(most)) if least <= most => Ok(least..=most),
        _ => Err(wrong(flag, "a range A..B")),
    }
}
