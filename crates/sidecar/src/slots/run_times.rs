//! How long requests keep a slot of the target, by kind.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of one request's time against what was known.
const SMOOTHING: f64 = 0.05;
/// Run time before any was seen.
const FIRST_RUN_TIME_S: f64 = 0.06;
/// Kinds of requests that are told apart; a service has few objectives, and the table must not grow with what
/// callers invent. Further kinds are taken for the mean of all.
const MOST_KINDS: usize = 16;
/// A request is expected to take its kind's mean and so many mean deviations: nine of ten are done by then, also where
/// run times spread as widely as an exponential's.
const DEVIATIONS: f64 = 1.5;

/// A kind is short if its mean is at most this part of the longest kind's. Calls of targets, on which work that has
/// begun waits, are a sixth or less of what clients ask.
const SHORT_SHARE: f64 = 0.4;

/// Mean and mean deviation of a kind's run times, in seconds.
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

/// Run times of all kinds at one target.
#[derive(Debug)]
pub struct RunTimes {
    all: RunTime,
    kinds: HashMap<Duration, RunTime>,
}

impl Default for RunTimes {
    fn default() -> Self {
        Self {
            all: RunTime::first(FIRST_RUN_TIME_S),
            kinds: HashMap::new(),
        }
    }
}

impl RunTimes {
    /// A request with that objective has kept its slot for so long.
    pub fn observe(&mut self, objective: Duration, took: Duration) {
        let seconds = took.as_secs_f64();
        self.all.observe(seconds);
        if let Some(kind) = self.kinds.get_mut(&objective) {
            kind.observe(seconds);
        } else if self.kinds.len() < MOST_KINDS {
            self.kinds.insert(objective, RunTime::first(seconds));
        }
    }

    /// Mean over all kinds, in seconds.
    pub fn mean(&self) -> f64 {
        self.all.mean
    }

    /// Mean of a kind, in seconds.
    pub fn mean_of(&self, objective: Duration) -> f64 {
        self.kinds.get(&objective).unwrap_or(&self.all).mean
    }

    /// Whether requests of that kind are short beside others at the target.
    pub fn is_short(&self, objective: Duration) -> bool {
        let longest = self
            .kinds
            .values()
            .map(|kind| kind.mean)
            .fold(0.0, f64::max);
        self.kinds
            .get(&objective)
            .is_some_and(|kind| kind.mean <= longest * SHORT_SHARE)
    }

    /// Time that a request of that kind should be given, so that it is very likely done.
    pub fn allowance(&self, objective: Duration) -> Duration {
        let kind = self.kinds.get(&objective).unwrap_or(&self.all);
        Duration::try_from_secs_f64(kind.mean + DEVIATIONS * kind.deviation).unwrap_or_default()
    }
}
