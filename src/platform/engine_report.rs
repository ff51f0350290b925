//! The report of an engine on its load, which its backend server gives to processes on the same VM.

use serde::Deserialize;
use xxhash_rust::xxh3;

use crate::{coordination::placing::engine_load, protocol::load_datagram};

/// Path of the report.
pub const PATH: &str = "/report";

/// Maximum size of a report in bytes; one with 512 runs has about 20 KB.
pub const MAX_BYTES: usize = 256 * 1024;

/// Maximum number of runs that are read from a report.
const MAX_RUNS: usize = 4096;

#[derive(Deserialize)]
struct Report {
    queued: f64,
    active: f64,
    kv_used: Option<f64>,
    kv_total: Option<f64>,
    next: Option<f64>,
    born: Option<f64>,
    runs: Option<Vec<Vec<serde_json::Value>>>,
}

/// A number of requests or tokens; `None` when it is negative, not a number or too large.
fn count(value: f64, max: u64) -> Option<u64> {
    (0.0..=max as f64).contains(&value).then_some(value as u64)
}

fn tokens(value: Option<f64>) -> Option<u64> {
    count(value.unwrap_or_default(), load_datagram::MAX_TOKENS)
}

/// A run: its id, its tokens in memory, and the events that it has produced.
fn run(row: &[serde_json::Value]) -> Option<engine_load::Run> {
    let id = match row.first()? {
        serde_json::Value::String(text) => xxh3::xxh3_64(text.as_bytes()),
        serde_json::Value::Number(number) => xxh3::xxh3_64(number.to_string().as_bytes()),
        _ => return None,
    };
    Some(engine_load::Run {
        id,
        tokens: tokens(Some(row.get(1)?.as_f64()?))?,
        events: tokens(Some(row.get(2)?.as_f64()?))?,
    })
}

/// Decodes a report.
///
/// # Errors
///
/// What is wrong with it: it does not parse, lacks the number of waiting or of running requests, or
/// has a value that is negative or impossibly large.
///
/// ```
/// use fulmarproxy::platform::engine_report;
/// let report = br#"{"queued":1,"active":2,"kv_used":900,"next":70,"born":5,"runs":[["a",800,3,1]]}"#;
/// let sample = engine_report::decode(report).unwrap();
/// assert_eq!((sample.waiting, sample.running, sample.next_tokens), (1, 2, 70));
/// assert_eq!(sample.runs.unwrap()[0].events, 3);
/// assert!(engine_report::decode(br#"{"queued":1}"#).is_err());
/// ```
pub fn decode(bytes: &[u8]) -> Result<engine_load::Sample, String> {
    let report: Report = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    let requests = |name: &str, value| {
        let value = count(value, load_datagram::MAX_REQUESTS.into());
        value.ok_or_else(|| format!("{name} is not a number of requests"))
    };
    let tokens = |name: &str, value| {
        tokens(value).ok_or_else(|| format!("{name} is not a number of tokens"))
    };
    let runs = match report.runs {
        Some(rows) if rows.len() > MAX_RUNS => return Err(format!("{} runs", rows.len())),
        Some(rows) => {
            let runs: Option<Vec<_>> = rows.iter().map(|row| run(row)).collect();
            Some(runs.ok_or("a run does not parse")?)
        }
        None => None,
    };
    let born = count(report.born.unwrap_or_default(), 1 << 53);
    Ok(engine_load::Sample {
        waiting: requests("queued", report.queued)? as u32,
        running: requests("active", report.active)? as u32,
        used_tokens: tokens("kv_used", report.kv_used)?,
        total_tokens: tokens("kv_total", report.kv_total)?,
        next_tokens: tokens("next", report.next)?,
        started_unix_ms: born.ok_or("born is not a time")?,
        runs,
    })
}

#[cfg(test)]
mod tests {
    /// Guards against values of an invalid report that reach the gateways.
    #[test]
    fn invalid_reports_are_rejected_with_a_reason() {
        let invalid = [
            "",
            "not JSON",
            "[]",
            "null",
            r#"{"active":1}"#,
            r#"{"queued":1}"#,
            r#"{"queued":null,"active":1}"#,
            r#"{"queued":-1,"active":1}"#,
            r#"{"queued":1,"active":1e99}"#,
            r#"{"queued":1,"active":1e999}"#,
            r#"{"queued":"1","active":1}"#,
            r#"{"queued":1,"active":1,"kv_used":-5}"#,
            r#"{"queued":1,"active":1,"kv_total":1e99}"#,
            r#"{"queued":1,"active":1,"next":-1}"#,
            r#"{"queued":1,"active":1,"born":-1}"#,
            r#"{"queued":1,"active":1,"runs":[["a",1]]}"#,
            r#"{"queued":1,"active":1,"runs":[["a",-1,1,1]]}"#,
            r#"{"queued":1,"active":1,"runs":{}}"#,
            r#"{"queued":1,"queued":2,"active":1}"#,
        ];
        for text in invalid {
            let reason = super::decode(text.as_bytes()).unwrap_err();
            assert!(!reason.is_empty(), "{text}");
        }
    }

    /// Guards against a report that is rejected because fields are missing or unknown.
    #[test]
    fn missing_and_unknown_fields_are_allowed() {
        let sample = super::decode(br#"{"queued":0,"active":3,"new":{"a":[1]}}"#).unwrap();
        assert_eq!(
            (sample.running, sample.started_unix_ms, sample.runs),
            (3, 0, None)
        );
    }
}
