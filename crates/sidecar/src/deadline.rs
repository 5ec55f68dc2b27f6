//! Deadlines that include the time for which the machine is suspended.

use std::time::Duration;

use tokio::time::Instant;

use crate::clock::total_suspended_time;

/// The time at which a request is given up. Timers stand still while the machine is suspended, but callers don't. The
/// time left therefore takes suspension into account, so that after resuming no work is started whose caller has gone.
#[derive(Debug, Clone, Copy)]
pub struct Deadline {
    at: Instant,
    /// Total time for which the machine had been suspended when this was set.
    suspended_before: Duration,
}

impl Deadline {
    /// A deadline at a time of the timers' clock, by the suspended time so far.
    pub fn at(at: Instant) -> Self {
        Self::set(at, total_suspended_time())
    }

    /// A deadline at a time of the timers' clock, set when the machine had been suspended for `suspended_before` in
    /// total.
    pub fn set(at: Instant, suspended_before: Duration) -> Self {
        Self {
            at,
            suspended_before,
        }
    }

    /// The deadline for timers, which fire late by the time for which the machine is suspended meanwhile.
    pub fn timer(self) -> Instant {
        self.at
    }

    /// Time left; zero once the deadline has passed.
    pub fn left(self) -> Duration {
        self.left_after(Instant::now(), total_suspended_time())
    }

    /// Time left at `now`, when the machine has been suspended for `suspended` in total.
    pub fn left_after(self, now: Instant, suspended: Duration) -> Duration {
        self.at
            .saturating_duration_since(now)
            .saturating_sub(suspended.saturating_sub(self.suspended_before))
    }

    /// Whether the deadline has passed.
    pub fn has_passed(self) -> bool {
        self.left().is_zero()
    }
}
