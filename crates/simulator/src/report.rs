//! What one run gave.

use std::fmt;
use std::time::Duration;

use crate::callers::CallerCounts;
use crate::checker::{Gap, Violation};
use crate::scenario::Preset;

/// Result of one run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The kind of run.
    pub preset: Preset,
    /// The broken promise, with a short trace of what happened before.
    pub failure: Option<Failure>,
    /// Intervals in which watched keys were unserved.
    pub gaps: Vec<Gap>,
    /// What callers were told.
    pub callers: CallerCounts,
    /// Times from acceptance until configurations were in force, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Requests that back ends started.
    pub started: u64,
    /// Events of the run.
    pub events: u64,
    /// Changes of state, as a fingerprint of the run.
    pub trace_lines: u64,
    /// Virtual time that passed.
    pub virtual_time: Duration,
}

/// A broken promise.
#[derive(Debug, Clone)]
pub struct Failure {
    /// What was broken.
    pub violation: Violation,
    /// The last changes of state.
    pub trace: String,
}

impl Report {
    /// The command that plays the run again.
    pub fn replay_command(&self) -> String {
        let seed = self.seed;
        match self.preset {
            Preset::Mix => format!("wingspar-rehearse replay --seed {seed}"),
            preset => format!("wingspar-rehearse replay --seed {seed} --scenario {preset}"),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(failure) = &self.failure else {
            return write!(formatter, "seed {} ({}): passed", self.seed, self.preset);
        };
        writeln!(
            formatter,
            "seed {} ({}): {}",
            self.seed, self.preset, failure.violation
        )?;
        writeln!(formatter, "replay: {}", self.replay_command())?;
        write!(formatter, "{}", failure.trace)
    }
}
