//! The process's steady clock.

use std::time::{Duration, Instant};

use wingspar_ownership::Time;

/// Counts milliseconds from a moment before the process did anything.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

/// Time zero lies this far before the start, so that "long ago" can be expressed.
const BEFORE_START_MS: u64 = 1_000_000;

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(BEFORE_START_MS + u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0))
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }
}
