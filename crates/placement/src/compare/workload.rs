//! Workloads: keys with their rates over a stretch of time, and what happens meanwhile.

use std::time::Duration;

use wingspar_world::{KeyHash, TargetName};

use crate::TargetState;

/// A workload of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Name for reports.
    pub name: &'static str,
    /// Targets at the beginning.
    pub targets: Vec<TargetState>,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of rates over keys.
    pub zipf_exponent: f64,
    /// Requests a second of all keys at the top of the day.
    pub requests_per_second: f64,
    /// Share of the top rate by hour of the day.
    pub hours: [f64; 24],
    /// Minute of the day (UTC) at the beginning.
    pub start_minute: u16,
    /// Length of the run.
    pub length: Duration,
    /// Time from one observation to the next.
    pub step: Duration,
    /// Time over which the rates that placements see are counted.
    pub counting: Duration,
    /// Seed of keys and noise.
    pub seed: u64,
    /// What happens, in order of time.
    pub events: Vec<TimedEvent>,
}

/// Something that happens at a time from the beginning.
#[derive(Debug, Clone, PartialEq)]
pub struct TimedEvent {
    /// Time from the beginning.
    pub at: Duration,
    /// What happens.
    pub event: Event,
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The key of this rank gets this share of all requests besides its own, until another event for
    /// the key says otherwise.
    Hot {
        /// Rank of the key, from 0.
        rank: usize,
        /// Share of all requests.
        share: f64,
    },
    /// The most requested keys change: this many ranks, at most half of
    /// them all, swap places with the ranks after them.
    Shift {
        /// Number of keys.
        ranks: usize,
    },
    /// A target joins.
    Join(TargetState),
    /// A target is drained; planned.
    Drain(TargetName),
    /// A target is lost; unplanned.
    Lose(TargetName),
    /// A drained or lost target comes back.
    Return(TargetName),
}

impl Workload {
    /// Hashes of the keys by rank.
    pub(super) fn hashes(&self) -> Vec<KeyHash> {
        let hash = |rank| KeyHash::of(format!("{}/{}/{rank}", self.name, self.seed).as_bytes());
        (0..self.keys).map(hash).collect()
    }

    /// Shares of the requests by rank; they sum to 1.
    pub(super) fn zipf(&self) -> Vec<f64> {
        let weight = |rank: usize| ((rank + 1) as f64).powf(-self.zipf_exponent);
        let sum: f64 = (0..self.keys).map(weight).sum();
        (0..self.keys).map(|rank| weight(rank) / sum).collect()
    }

    /// Share of the top rate at a time from the beginning, with a straight line from hour to hour.
    pub(super) fn rate_at(&self, elapsed: Duration) -> f64 {
        let minutes = f64::from(self.start_minute) + elapsed.as_secs_f64() / 60.0;
        let hour = minutes / 60.0;
        let within = hour.fract();
        let from = self.hours[hour as usize % 24];
        let to = self.hours[(hour as usize + 1) % 24];
        self.requests_per_second * (from + (to - from) * within)
    }

    /// Minute of the day at a time from the beginning.
    pub(super) fn minute_at(&self, elapsed: Duration) -> u16 {
        let minute = u64::from(self.start_minute) + elapsed.as_secs() / 60;
        (minute % 1_440) as u16
    }
}
