//! How many requests of one class a router keeps in flight at one target.
//!
//! Several routers share a target's slots and none knows what the others have in flight. Each
//! keeps a window: refusals for load shrink it to less than what was in flight, answers let it
//! grow. A target is never left alone altogether, as it would be by pausing for a refusal: that
//! lets slots stand idle while requests are given up.

use std::time::Duration;

use wingspar_world::MonotonicTime;

/// What a refusal leaves of the window.
const DECREASE: f64 = 0.9;
/// Growth of the window by as many answers as it is wide.
const INCREASE: f64 = 0.2;
/// Shortest time between two decreases: refusals of one burst say the same thing.
const DECREASE_INTERVAL: Duration = Duration::from_millis(10);
/// Largest window.
const MAX_LIMIT: f64 = 10_000.0;

/// Requests of one class at one target, and how many there may be.
#[derive(Debug, Clone)]
pub(crate) struct Window {
    in_flight: u32,
    limit: f64,
    decreased_at: Option<MonotonicTime>,
    /// When to come back, as a refusal last told.
    retry_after: Duration,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            in_flight: 0,
            limit: MAX_LIMIT,
            decreased_at: None,
            retry_after: Duration::ZERO,
        }
    }
}

impl Window {
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// When to come back, as a refusal last told.
    pub(crate) fn retry_after(&self) -> Duration {
        self.retry_after
    }

    pub(crate) fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    pub(crate) fn started(&mut self) {
        self.in_flight += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes an answer of the target.
    pub(crate) fn answered(&mut self) {
        self.limit = (self.limit + INCREASE / self.limit).min(MAX_LIMIT);
    }

    /// Notes a refusal for load; the refused request has ended already.
    pub(crate) fn refused(&mut self, now: MonotonicTime, retry_after: Option<Duration>) {
        self.retry_after = retry_after.unwrap_or(self.retry_after);
        let recent = |at: MonotonicTime| now.since(at) < DECREASE_INTERVAL;
        if self.decreased_at.is_some_and(recent) {
            return;
        }
        self.decreased_at = Some(now);
        let held = f64::from(self.in_flight).min(self.limit);
        self.limit = (held * DECREASE).max(1.0);
    }
}
