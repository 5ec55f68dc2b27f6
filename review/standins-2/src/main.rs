//! Plays a case: `review-2 CASE FOLDER`. Ends with 0 if the rule held, with 1 if it was broken, with 2 if the case
//! couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod crashing_request;
mod deployment;
mod half_answer;
mod http;
mod impatient_caller;
mod json;
mod late_start;
mod other_caller;
mod record;
mod second_answer;
mod store;
mod target;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case found: whether the rule held, and why.
pub struct Verdict {
    pub held: bool,
    pub reason: String,
}

fn main() -> ExitCode {
    let words = std::env::args().collect::<Vec<_>>();
    let [_, case, folder] = words.as_slice() else {
        eprintln!("review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::begin(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let played = match case.as_str() {
        "crashing-request" => crashing_request::play(&record, trouble),
        "second-answer" => second_answer::play(&record, trouble),
        "other-caller" => other_caller::play(&record, trouble),
        "half-answer" => half_answer::play(&record, trouble),
        "impatient-caller" => impatient_caller::play(&record, trouble),
        "late-start" => late_start::play(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, text) = match played {
        Ok(verdict) if verdict.held => (0, format!("the rule held: {}", verdict.reason)),
        Ok(verdict) => (1, format!("the rule was broken: {}", verdict.reason)),
        Err(error) => (2, format!("the case couldn't run: {error}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
