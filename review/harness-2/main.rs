//! Stand-ins and checks of the cases of this review. Usage: harness CASE FOLDER; the variable `TROUBLE` is 0
//! for a run without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod forgotten_crashes;
mod frozen_gateway;
mod http;
mod json;
mod odd_entry;
mod record;
mod store;
mod worker;

use std::{process::ExitCode, sync::Arc};

/// What a case found.
pub enum Outcome {
    Held,
    Broken,
    /// It could not run, for this reason.
    Unable(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    let temp = std::env::temp_dir().join(format!("fulmar-review-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&temp) {
        eprintln!("{}: {err}", temp.display());
        return ExitCode::from(2);
    }
    let outcome = match case.as_str() {
        "forgotten-crashes" => forgotten_crashes::run(&temp, &record, has_trouble),
        "frozen-gateway" => frozen_gateway::run(&temp, &record, has_trouble),
        "odd-entry" => odd_entry::run(&temp, &record, has_trouble),
        _ => Outcome::Unable("no such case".to_owned()),
    };
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    match outcome {
        Outcome::Held => {
            record.result("the rule held");
            ExitCode::from(0)
        }
        Outcome::Broken => {
            record.result("the rule was BROKEN");
            ExitCode::from(1)
        }
        Outcome::Unable(why) => {
            record.result(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
