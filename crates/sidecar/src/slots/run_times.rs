//! Run times of requests at the target, by kind; requests with the same objective are one kind.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of one request's time in the exponential moving averages.
const SMOOTHING: f64 = 0.05;
/// Assumed run time before any was measured.
const INITIAL_RUN_TIME_S: f64 = 0.06;
/// Most kinds of requests that are tracked: a service has few objectives, and the table must not grow with values that
/// callers make up. For further kinds the mean of all is used.
const MAX_KINDS: usize = 16;
/// A request is expected to take the mean of its kind plus this many mean deviations: nine of ten are done by then,
/// even if run times are distributed exponentially.
const ALLOWED_DEVIATIONS: f64 = 1.5;

/// A kind is short if its mean is at most this share of the longest kind's. Calls by other targets, whose running work
/// waits for the answer, take a sixth or less of the time of client requests.
const SHORT_KIND_MAX_SHARE: f64 = 0.4;

/// Moving averages of a kind's run times and of their deviation from the mean, in seconds.
#[derive(Debug, Clone, Copy)]
struct RunTime {
    mean: f64,
    deviation: f64,
}

impl RunTime {
    fn first(seconds: f64) -> Self {
        Self {
            mean: seconds,
            deviation: seconds / 2.0,
        }
    }

    fn observe(&mut self, seconds: f64) {
        self.deviation += SMOOTHING * ((seconds - self.mean).abs() - self.deviation);
        self.mean += SMOOTHING * (seconds - self.mean);
    }
}

/// Run times of all kinds of requests at one target.
#[derive(Debug)]
pub struct RunTimes {
    all: RunTime,
    kinds: HashMap<Duration, RunTime>,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            all: RunTime::first(INITIAL_RUN_TIME_S),
            kinds: HashMap::new(),
        }
    }
}

impl RunTimes {
    /// Records that a request with this objective kept its slot for `took`.
    pub fn observe(&mut self, objective: Duration, took: Duration) {
        let seconds = took.as_secs_f64();
        self.all.observe(seconds);
        if let Some(kind) = self.kinds.get_mut(&objective) {
            kind.observe(seconds);
        } else if self.kinds.len() < MAX_KINDS {
            self.kinds.insert(objective, RunTime::first(seconds));
        }
    }

    /// Mean over all kinds, in seconds.
    pub fn mean(&self) -> f64 {
        self.all.mean
    }

    /// Mean of the kind with this objective, in seconds; the mean of all kinds if none was measured.
    pub fn mean_of(&self, objective: Duration) -> f64 {
        self.kinds.get(&objective).unwrap_or(&self.all).mean
    }

    /// Whether requests of this kind are short compared with others at the target.
    pub fn is_short(&self, objective: Duration) -> bool {
        let longest = self
            .kinds
            .values()
            .map(|kind| kind.mean)
            .fold(0.0, f64::max);
        self.kinds
            .get(&objective)
            .is_some_and(|kind| kind.mean <= longest * SHORT_KIND_MAX_SHARE)
    }

    /// Time within which a request of this kind is very likely done.
    pub fn allowance(&self, objective: Duration) -> Duration {
        let kind = self.kinds.get(&objective).unwrap_or(&self.all);
        Duration::try_from_secs_f64(kind.mean + ALLOWED_DEVIATIONS * kind.deviation)
            .unwrap_or_default()
    }
}
