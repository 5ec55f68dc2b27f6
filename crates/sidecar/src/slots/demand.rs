//! How much work arrives at the target, against what it can do.

use std::time::Duration;

use tokio::time::Instant;

/// Arrivals count for about this long: long enough that a few requests at once aren't taken for overload, short
/// enough that the end of a burst is seen while callers still wait.
const MEMORY: Duration = Duration::from_millis(2_000);

/// Work that arrives, smoothed.
#[derive(Debug)]
pub struct Demand {
    /// Seconds of work within the memory.
    work: f64,
    /// Requests within it.
    requests: f64,
    seen_at: Instant,
}

impl Demand {
    /// No work so far.
    pub fn new(now: Instant) -> Self {
        Self {
            work: 0.0,
            requests: 0.0,
            seen_at: now,
        }
    }

    /// A request arrives that is expected to keep a slot for so many seconds.
    pub fn arrived(&mut self, now: Instant, seconds: f64) {
        let kept = self.kept(now);
        self.work = self.work * kept + seconds;
        self.requests = self.requests * kept + 1.0;
        self.seen_at = now;
    }

    /// Slots that the work which arrives keeps in use.
    pub fn slots(&self, now: Instant) -> f64 {
        self.work * self.kept(now) / MEMORY.as_secs_f64()
    }

    /// Requests that arrive, a second.
    pub fn requests_per_s(&self, now: Instant) -> f64 {
        self.requests * self.kept(now) / MEMORY.as_secs_f64()
    }

    /// Share of what was known that still counts.
    fn kept(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.seen_at).as_secs_f64();
        (-age / MEMORY.as_secs_f64()).exp()
    }
}
