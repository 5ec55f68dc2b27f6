//! Times on a process's monotonic clock, and the timeouts that ownership relies on.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Milliseconds on the monotonic clock of one process. Times of different processes aren't
/// comparable.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Time {
    /// This time minus `duration`; zero at the earliest.
    pub fn before(self, duration: Duration) -> Time {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Time(self.0.saturating_sub(millis))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0 + u64::try_from(duration.as_millis()).unwrap_or(u64::MAX / 4))
    }
}

/// The timeouts and intervals that ownership relies on.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long a holder may serve after a renewal, from when the renewal was sent.
    pub lease: Duration,
    /// The leader waits this much longer than the lease before it assigns the keys to others, to
    /// allow for clock drift.
    pub lease_margin: Duration,
    /// How long a leader answers renewals after it sent its last successful confirmation.
    pub leadership: Duration,
    /// Interval between a leader's confirmations, which read the leader's object in the store.
    pub confirm_interval: Duration,
    /// Interval between a node's renewals.
    pub renew_interval: Duration,
    /// A node suspects a leader that hasn't answered for this long.
    pub suspect_after: Duration,
    /// How long a new leader waits for targets before it assigns keys that had no owner before.
    pub settle_delay: Duration,
    /// Longest hold that a target accepts in one grant.
    pub max_hold: Duration,
    /// Number of nodes from which the leader registers them all, instead of each registering
    /// itself: otherwise the number of calls to the store would grow with the fleet.
    pub large_fleet_size: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(2_400),
            lease_margin: Duration::from_millis(150),
            leadership: Duration::from_millis(9_000),
            confirm_interval: Duration::from_millis(1_500),
            renew_interval: Duration::from_millis(400),
            suspect_after: Duration::from_millis(1_100),
            settle_delay: Duration::from_millis(1_500),
            max_hold: Duration::from_secs(10),
            large_fleet_size: 200,
        }
    }
}
