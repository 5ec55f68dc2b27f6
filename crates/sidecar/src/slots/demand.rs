//! Work that arrives at the target, to compare with what it can do.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the averages. It is long enough that a few simultaneous requests aren't taken for overload, and
/// short enough that the end of a burst is noticed while callers still wait.
const TIME_CONSTANT: Duration = Duration::from_millis(2_000);

/// Arriving work as exponentially decaying sums.
#[derive(Debug)]
pub struct Demand {
    /// Decayed sum of the work that arrived, in seconds.
    work: f64,
    /// Decayed number of the requests that arrived.
    requests: f64,
    /// When both sums were brought up to date last.
    updated_at: Instant,
}

impl Demand {
    /// No work has arrived so far.
    pub fn new(now: Instant) -> Self {
        Self {
            work: 0.0,
            requests: 0.0,
            updated_at: now,
        }
    }

    /// Records a request that is expected to keep a slot for this many seconds.
    pub fn arrived(&mut self, now: Instant, seconds: f64) {
        let kept = self.kept(now);
        self.work = self.work * kept + seconds;
        self.requests = self.requests * kept + 1.0;
        self.updated_at = now;
    }

    /// Number of slots that the arriving work keeps busy.
    pub fn slots(&self, now: Instant) -> f64 {
        self.work * self.kept(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Requests that arrive per second.
    pub fn requests_per_s(&self, now: Instant) -> f64 {
        self.requests * self.kept(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Decay factor of the sums at `now`, from 1 to 0.
    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
