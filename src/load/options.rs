//! Flags of the load tool.

use std::{ops::RangeInclusive, time::Duration};

use crate::{error, flags};

/// Every flag of the load tool.
pub const FLAGS: &[flags::Flag] = &[
    flags::value("targets", "URL,URL", "Routers, taken in turn"),
    flags::switch("direct", "The targets are engines, not routers"),
    flags::value("compare", "URL", "Send every second request to this engine"),
    flags::value("keys", "KEY*WEIGHT,KEY", "Caller keys"),
    flags::value("model", "NAME*WEIGHT,NAME", "Model routes"),
    flags::value("rate", "R", "Requests per second"),
    flags::value("seconds", "N", "Time that requests are sent for"),
    flags::value("seed", "N", "Seed of arrivals and contents"),
    flags::value("prompt-words", "A..B", "Words of a prompt"),
    flags::value("prefixes", "N", "Shared prefixes that prompts begin with"),
    flags::value("max-tokens", "A..B", "Tokens of an answer"),
    flags::switch("stream", "Ask for streamed answers"),
    flags::value("retry", "N", "Repeats under the same idempotency key"),
    flags::value("deadline-ms", "N", "Longest time of an answer in goodput"),
    flags::value("timeout-ms", "N", "Longest time of one exchange"),
    flags::value("engines", "URL,URL", "Engines whose counts are read"),
    flags::value("store", "URL", "Store whose budgets and bills are read"),
    flags::value("settle-ms", "N", "Longest wait for the bills at the end"),
    flags::value("threads", "N", "Threads that send"),
    flags::switch("json", "Report as JSON"),
];

/// Help text of the load tool.
///
/// ```
/// assert!(fulmarproxy::load::options::usage().contains("--targets"));
/// ```
pub fn usage() -> String {
    let flags = flags::help(FLAGS);
    format!("Usage: fulmar-load --targets URL,URL [FLAGS]\n\n{flags}")
}

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
    pub duration: Duration,
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
    pub settle_timeout: Duration,
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
    let matches = flags::parse(FLAGS, args)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    from_matches(&matches).map(Some)
}

fn from_matches(matches: &getopts::Matches) -> Result<Options, error::Error> {
    let options = Options {
        targets: list(matches, "targets"),
        direct: matches.opt_present("direct"),
        compare: matches.opt_str("compare"),
        keys: weighted(matches, "keys", "none")?,
        models: weighted(matches, "model", "quick")?,
        rate: flags::number(matches, "rate", 10.0)?,
        duration: Duration::from_secs_f64(flags::number(matches, "seconds", 10.0)?),
        seed: flags::number(matches, "seed", 1)?,
        prompt_words: range(matches, "prompt-words", 5..=50)?,
        prefixes: flags::number(matches, "prefixes", 0)?,
        max_tokens: range(matches, "max-tokens", 8..=64)?,
        stream: matches.opt_present("stream"),
        retries: flags::number(matches, "retry", 0)?,
        deadline: Duration::from_millis(flags::number(matches, "deadline-ms", 30_000)?),
        timeout: Duration::from_millis(flags::number(matches, "timeout-ms", 60_000)?),
        engines: list(matches, "engines"),
        store: matches.opt_str("store"),
        settle_timeout: Duration::from_millis(flags::number(matches, "settle-ms", 5_000)?),
        threads: flags::number(matches, "threads", 2)?,
        json: matches.opt_present("json"),
    };
    if options.targets.is_empty() {
        return Err(flags::wrong("targets", "one address or more"));
    }
    if !options.rate.is_finite() || options.rate <= 0.0 {
        return Err(flags::wrong("rate", "a number above 0"));
    }
    Ok(options)
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
    default: &str,
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
        items.push(default.to_owned());
    }
    let read: Option<_> = items.iter().map(read).collect();
    read.ok_or_else(|| flags::wrong(flag, "names with weights above 0"))
}

fn range(
    matches: &getopts::Matches,
    flag: &str,
    default: RangeInclusive<u64>,
) -> Result<RangeInclusive<u64>, error::Error> {
    let Some(given) = matches.opt_str(flag) else {
        return Ok(default);
    };
    let (min, max) = given.split_once("..").unwrap_or((&given, &given));
    match (min.parse(), max.parse()) {
        (Ok(min), Ok(max)) if min <= max => Ok(min..=max),
        _ => Err(flags::wrong(flag, "a range A..B")),
    }
}
