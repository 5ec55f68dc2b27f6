//! What became of one request, as its caller saw it.

use serde::{Deserialize, Serialize};
use wingspar_world::KeyHash;

use super::traffic::RequestKind;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came.
    Ran,
    /// The caller was told that it was not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
}

/// One request, or one attempt of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the call; attempts of one call share it.
    pub call: u64,
    /// Attempt, from 1.
    pub attempt: u32,
    /// The id under which it went through the system.
    pub request_id: String,
    /// Place of the service in the deployment.
    pub service: usize,
    /// Read or deposit.
    pub kind: RequestKind,
    /// Place of the key on the ring.
    pub key: Option<KeyHash>,
    /// When it was due, in microseconds from the start of the load.
    pub due_us: u64,
    /// When its end was known.
    pub end_us: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Status of the answer, 0 when there was none.
    pub status: u16,
    /// The system's reason, or what went wrong at the caller.
    pub reason: String,
    /// When to come back, in milliseconds, if the answer says so.
    pub retry_after_ms: Option<u64>,
    /// The answer is not this request's own, or not whole although it looked so.
    pub wrong_answer: bool,
}

impl Record {
    /// Time from when it was due until its end was known, in microseconds.
    #[must_use]
    pub fn latency_us(&self) -> u64 {
        self.end_us.saturating_sub(self.due_us)
    }
}
