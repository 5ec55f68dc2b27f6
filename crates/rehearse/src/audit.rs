//! Checks what callers were told against what back ends ran.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use wingspar_standins::backend::{JournalEntry, JournalOutcome, Violation, audit};

use crate::load::{Outcome, Record, RequestKind};

/// Clocks of back ends in one process, or of processes on one machine, differ by less than this.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(2);

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// Journals show two owners or two runs.
    Journals(Violation),
    /// A caller was told that its request was not run, but it had an effect.
    FalseNotRun {
        /// The request.
        request_id: String,
        /// The server where it ran.
        server: String,
        /// The reason that the caller was told.
        reason: String,
    },
    /// A caller got an answer that is not its own, or not whole.
    WrongAnswer {
        /// The request.
        request_id: String,
    },
    /// A caller was told that its request ran, but no back end has it.
    FalseRan {
        /// The request.
        request_id: String,
    },
    /// Part of the program panicked.
    Panicked {
        /// How many times.
        count: u64,
    },
    /// Journals are not whole, so nothing can be said.
    JournalsIncomplete {
        /// Number of entries dropped.
        dropped: u64,
    },
}

impl fmt::Display for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Journals(violation) => write!(formatter, "journals: {violation:?}"),
            Self::FalseNotRun {
                request_id,
                server,
                reason,
            } => write!(
                formatter,
                "{request_id} was told \"not run\" ({reason}), but ran on {server}"
            ),
            Self::WrongAnswer { request_id } => {
                write!(formatter, "{request_id} got an answer that is not its own")
            }
            Self::FalseRan { request_id } => {
                write!(
                    formatter,
                    "{request_id} was told \"ran\", but no server ran it"
                )
            }
            Self::Panicked { count } => write!(formatter, "{count} panics"),
            Self::JournalsIncomplete { dropped } => {
                write!(formatter, "journals dropped {dropped} entries")
            }
        }
    }
}

/// Everything that a run left behind.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// What callers saw.
    pub records: &'a [Record],
    /// Joined journals of all back ends.
    pub journals: &'a [JournalEntry],
    /// Whether the journals hold everything that ever ran; journals of killed processes are lost.
    pub complete: bool,
}

/// Finds every broken promise.
#[must_use]
pub fn check(evidence: Evidence<'_>) -> Vec<Broken> {
    let journals = evidence.journals;
    let mut broken = audit(journals, CLOCK_TOLERANCE)
        .into_iter()
        .map(Broken::Journals)
        .collect::<Vec<_>>();
    let completed = completed_by_request(journals);
    let mut ran_calls = HashMap::new();
    for record in evidence.records {
        if completed.contains_key(record.request_id.as_str()) {
            ran_calls.insert(record.call, ());
        }
    }
    for record in evidence.records {
        let request_id = record.request_id.clone();
        let ran_on = completed.get(record.request_id.as_str());
        if record.wrong_answer {
            broken.push(Broken::WrongAnswer {
                request_id: request_id.clone(),
            });
        }
        match (record.outcome, ran_on) {
            (Outcome::NotRun, Some(server)) => broken.push(Broken::FalseNotRun {
                request_id,
                server: (*server).to_owned(),
                reason: record.reason.clone(),
            }),
            (Outcome::Ran, None) if evidence.complete => {
                // A repeated deposit may get the remembered answer of an earlier attempt.
                let replayed =
                    record.kind == RequestKind::Deposit && ran_calls.contains_key(&record.call);
                if !replayed {
                    broken.push(Broken::FalseRan { request_id });
                }
            }
            _ => {}
        }
    }
    broken
}

fn completed_by_request(journals: &[JournalEntry]) -> HashMap<&str, &str> {
    let completed = journals
        .iter()
        .filter(|entry| entry.outcome == JournalOutcome::Completed);
    completed
        .map(|entry| (entry.request_id.as_str(), entry.server.as_str()))
        .collect()
}
