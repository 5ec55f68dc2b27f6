//! Monotonic time as plain numbers, so that decisions can run under a virtual clock.

use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an arbitrary origin of one process's (or the simulator's) clock.
///
/// Values of different processes must never be compared with each other.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// Later than every other time; stands for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Builds a time from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a time from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero when `earlier` lies ahead.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time that remains until `later`; zero when it has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;
    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

impl AddAssign<Duration> for MonotonicTime {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = Self;
    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}
