//! The process's clock.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use wingspar_ownership::Time;

/// Whole milliseconds of a duration, saturating.
pub fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

/// Time since the machine booted, including time in suspension.
pub fn since_boot() -> Duration {
    read(ClockId::Boottime)
}

/// Total time in suspension since the machine booted.
pub fn total_suspended_time() -> Duration {
    // The monotonic clock is read first, so that a preemption in between can't make the difference negative.
    let awake = read(ClockId::Monotonic);
    since_boot().saturating_sub(awake)
}

/// Milliseconds since a moment before the process started, including time in suspension: a machine that was suspended
/// must not believe that its lease is still valid.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Reading of `source` when the process started.
    start: Duration,
    /// Returns the time since boot; replaced in tests.
    source: fn() -> Duration,
}

/// Value of the clock when the process starts. It leaves room for times before the start, such as "long ago".
const START_OFFSET_MS: u64 = 1_000_000;

impl Clock {
    /// Starts a clock that reads the time since boot.
    pub fn start() -> Self {
        Self::with_source(since_boot)
    }

    /// Starts a clock that reads `source`.
    pub fn with_source(source: fn() -> Duration) -> Self {
        Self {
            start: source(),
            source,
        }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(START_OFFSET_MS + whole_millis(self.uptime()))
    }

    /// Time since the process started.
    pub fn uptime(&self) -> Duration {
        (self.source)().saturating_sub(self.start)
    }
}
