//! The process's steady clock.

use std::time::{Duration, Instant};

use wingspar_ownership::Time;

/// Whole milliseconds of a time; the longest that can be told for one that is longer.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

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
        Time(BEFORE_START_MS + whole_millis(self.start.elapsed()))
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        self.start.elapsed()
    }
}
