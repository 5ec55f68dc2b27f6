//! What `/load` and `/health` tell, which can be late.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Samples closer together than this are one sample.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// How long samples are kept, which bounds how late a report can be.
const KEPT: Duration = Duration::from_secs(60);

/// Load of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that can be worked on at the same time.
    pub slots: u64,
    /// Requests being worked on.
    pub in_flight: u64,
    /// Requests waiting for a slot.
    pub queued: u64,
    /// Requests that took effect so far.
    pub completed: u64,
    /// Requests whose caller went away so far.
    pub cancelled: u64,
    /// Requests refused or given up so far.
    pub refused: u64,
    /// Whether new work is refused because the server is to go.
    pub draining: bool,
    /// Whether the server is not ready yet.
    pub cold: bool,
}

impl LoadReport {
    /// The report with its load scaled to a percentage, as a server tells that lies.
    #[must_use]
    pub fn scaled(self, percent: u32) -> Self {
        let scale = |count: u64| count.saturating_mul(u64::from(percent)) / 100;
        Self {
            in_flight: scale(self.in_flight),
            queued: scale(self.queued),
            ..self
        }
    }
}

/// Samples of the load, oldest first.
#[derive(Debug, Default)]
pub struct ReportHistory {
    samples: VecDeque<(Instant, LoadReport)>,
}

impl ReportHistory {
    /// Keeps a sample of now. The first sample stays as it is until it is too old, so that there is
    /// always something to be late with.
    pub fn add(&mut self, now: Instant, report: LoadReport) {
        let has_later_ones = self.samples.len() > 1;
        match self.samples.back_mut() {
            Some((at, last)) if has_later_ones && now < *at + SAMPLE_INTERVAL => *last = report,
            _ => self.samples.push_back((now, report)),
        }
        while self.samples.get(1).is_some_and(|(at, _)| *at + KEPT < now) {
            self.samples.pop_front();
        }
    }

    /// The newest sample that is at least `lag` old; before that, the first one.
    #[must_use]
    pub fn as_of(&self, now: Instant, lag: Duration) -> Option<LoadReport> {
        let late = self.samples.iter().rev().find(|(at, _)| *at + lag <= now);
        late.or(self.samples.front()).map(|(_, report)| *report)
    }
}
