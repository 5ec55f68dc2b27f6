//! How the platform misbehaves. None of it stands in the model.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The faults in force. Missing fields of the JSON form mean "no such fault".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request is answered 503 and does nothing; waiting watches end so too.
    pub down: bool,
    /// Every request's connection is cut, and it does nothing.
    pub cut: bool,
    /// Each request waits this long, in milliseconds, before it takes effect.
    pub delay_ms: u64,
    /// Every n-th write loses its answer by a cut connection; 0 for never.
    pub lose_answer_every: u64,
    /// A write that loses its answer takes effect only this long after the cut, in milliseconds.
    pub late_effect_ms: u64,
    /// How far the list of machines lags, in milliseconds.
    pub machine_list_lag_ms: u64,
}

impl Faults {
    /// How long each request waits.
    #[must_use]
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// How far the list of machines lags.
    #[must_use]
    pub fn machine_list_lag(&self) -> Duration {
        Duration::from_millis(self.machine_list_lag_ms)
    }

    /// Whether the `count`-th write loses its answer.
    #[must_use]
    pub fn loses_answer(&self, count: u64) -> bool {
        self.lose_answer_every > 0 && count.is_multiple_of(self.lose_answer_every)
    }
}
