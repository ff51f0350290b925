//! Flags and options of the load tool.

use std::{ops::RangeInclusive, time::Duration};

use crate::{error, flags};

/// All flags of the load tool.
pub const FLAGS: &[flags::Flag] = &[
    flags::value("targets", "URL,URL", "Routers to send to, in turn"),
    flags::switch("direct", "The targets are engines, not routers"),
    flags::value(
        "compare",
        "URL",
        "Engine that gets every second request, for comparison",
    ),
    flags::value(
        "keys",
        "KEY*WEIGHT,KEY",
        "Caller keys, each with its weight",
    ),
    flags::value(
        "model",
        "NAME*WEIGHT,NAME",
        "Model routes, each with its weight",
    ),
    flags::value("rate", "R", "Requests per second"),
    flags::value("seconds", "N", "Duration of the load in seconds"),
    flags::value("seed", "N", "Seed of the planned times and contents"),
    flags::value(
        "prompt-words",
        "A..B",
        "Range of the number of words in a prompt",
    ),
    flags::value("prefixes", "N", "Number of prefixes that prompts share"),
    flags::value(
        "max-tokens",
        "A..B",
        "Range of the maximum number of tokens in an answer",
    ),
    flags::switch("stream", "Request streamed answers"),
    flags::value(
        "retry",
        "N",
        "Maximum number of retries, under the same idempotency key",
    ),
    flags::value(
        "deadline-ms",
        "N",
        "Maximum latency of an answer that counts as goodput",
    ),
    flags::value("timeout-ms", "N", "Time limit of each attempt"),
    flags::value("engines", "URL,URL", "Engines to read counts from"),
    flags::value("store", "URL", "Store to read budgets and bills from"),
    flags::value("settle-ms", "N", "Maximum wait for the bills at the end"),
    flags::value("threads", "N", "Number of threads that send requests"),
    flags::switch("json", "Print the report as JSON"),
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

/// A name with the weight of its random selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Weighted {
    /// Name.
    pub name: String,
    /// Weight, relative to the sum of all weights.
    pub weight: u64,
}

/// Options of the load and of the comparison with engines and bills.
#[derive(Clone, Debug)]
pub struct Options {
    /// Routers, or engines when `direct` is set.
    pub targets: Vec<String>,
    /// Whether the targets are engines.
    pub direct: bool,
    /// Engine that gets every second request, for comparison.
    pub compare: Option<String>,
    /// API keys to choose from.
    pub keys: Vec<Weighted>,
    /// Model routes to choose from.
    pub models: Vec<Weighted>,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests are planned.
    pub duration: Duration,
    /// Seed of the planned times and contents.
    pub seed: u64,
    /// Range of the number of words in a prompt.
    pub prompt_words: RangeInclusive<u64>,
    /// Number of prefixes that prompts share; 0 for none.
    pub prefixes: u64,
    /// Range of the maximum number of tokens in an answer.
    pub max_tokens: RangeInclusive<u64>,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Maximum number of retries of one request.
    pub retries: u32,
    /// Maximum latency of an answer that counts as goodput.
    pub deadline: Duration,
    /// Time limit of each attempt.
    pub timeout: Duration,
    /// URLs of the engines whose counts are read.
    pub engines: Vec<String>,
    /// URL of the store whose budgets and bills are read.
    pub store: Option<String>,
    /// Maximum wait at the end until the bills cover what the engines ran.
    pub settle_timeout: Duration,
    /// Number of threads that send requests.
    pub threads: usize,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

/// Parses the command line; `None` when `--help` is given.
///
/// # Errors
///
/// [`error::Error::Argument`] names the flag whose value is invalid.
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
        return Err(flags::invalid_value("targets", "one URL or more"));
    }
    if !options.rate.is_finite() || options.rate <= 0.0 {
        return Err(flags::invalid_value("rate", "a number above 0"));
    }
    Ok(options)
}

/// The items of a comma-separated flag, without trailing slashes.
fn list(matches: &getopts::Matches, flag: &str) -> Vec<String> {
    let given = matches.opt_str(flag).unwrap_or_default();
    let items = given.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| item.trim_end_matches('/').to_owned())
        .collect()
}

/// The items of a flag such as `a*3,b`; an item without a weight has weight 1.
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
    read.ok_or_else(|| flags::invalid_value(flag, "names with whole weights above 0"))
}

/// The range of a flag such as `5..50`; a single number is a range of just that number.
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
        _ => Err(flags::invalid_value(flag, "a range A..B")),
    }
}
