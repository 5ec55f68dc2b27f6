//! Rate limiting of request starts at a target, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Starts at a target that warms up are counted over this window. It is longer than the second over which the target
/// counts arrivals, by the time for which this process may stall between a start and its send: delayed requests arrive
/// together with those that follow.
const WARM_UP_WINDOW: Duration = Duration::from_millis(1_300);

/// Requests per second that even a target with a lower limit gets, since their answers show when the limit is raised.
const MIN_STARTS_PER_S: f64 = 0.2;

/// A limit of `most` starts within any window of length `span`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StartCap {
    most: usize,
    span: Duration,
}

impl StartCap {
    /// At most `most` starts, and at least one, within each second as the target counts it.
    pub fn within_a_second(most: usize) -> Self {
        Self {
            most: most.max(1),
            span: WARM_UP_WINDOW,
        }
    }

    /// `rate` starts per second, which needn't be a whole number. Unused starts aren't saved up for later.
    pub fn per_second(rate: f64) -> Self {
        let rate = rate.max(MIN_STARTS_PER_S);
        let most = rate.ceil();
        Self {
            most: most as usize,
            span: Duration::from_secs_f64(most / rate),
        }
    }

    /// Starts per second that the cap allows.
    pub fn starts_per_s(self) -> f64 {
        self.most as f64 / self.span.as_secs_f64()
    }
}

/// Recent starts at a target.
#[derive(Debug)]
pub struct StartRate {
    starts: VecDeque<Instant>,
    /// How long starts are kept: the longest window of a cap so far.
    kept_for: Duration,
    /// When this process started, if the target may still count starts by an earlier process of the node.
    unknown_before: Option<Instant>,
}

impl Default for StartRate {
    fn default() -> Self {
        Self {
            starts: VecDeque::new(),
            kept_for: WARM_UP_WINDOW,
            unknown_before: None,
        }
    }
}

impl StartRate {
    /// No starts, for a process that has just started; `after_restart` is whether an earlier process of the node may
    /// have sent requests right before.
    pub fn new(now: Instant, after_restart: bool) -> Self {
        Self {
            unknown_before: after_restart.then_some(now),
            ..Self::default()
        }
    }

    /// Records the start of a request.
    pub fn started(&mut self, now: Instant) {
        self.forget(now);
        self.starts.push_back(now);
    }

    /// When a request with `ahead` others ahead of it may start under a cap.
    pub fn free_at(&mut self, now: Instant, cap: StartCap, ahead: usize) -> Instant {
        self.kept_for = self.kept_for.max(cap.span);
        self.forget(now);
        let unknown_until = self.unknown_before.map(|began| began + cap.span);
        let earliest = unknown_until.unwrap_or(now).max(now);
        let over = |started: &Instant| now.duration_since(*started) >= cap.span;
        let counted = self.starts.partition_point(over);
        let recent = self.starts.len() - counted;
        // Each start is allowed once the one `most` places before it has left the window.
        let mut place = recent + ahead;
        let mut spans = 0;
        while place >= recent {
            if place < cap.most {
                return earliest + cap.span * spans;
            }
            place -= cap.most;
            spans += 1;
        }
        (self.starts[counted + place] + cap.span * spans).max(earliest)
    }

    fn forget(&mut self, now: Instant) {
        while self
            .starts
            .front()
            .is_some_and(|started| now.duration_since(*started) >= self.kept_for)
        {
            self.starts.pop_front();
        }
    }
}
