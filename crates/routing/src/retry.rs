//! Retry budget and backoff: retries may never multiply an overload.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::settings::RetrySettings;

/// Token bucket filled by first attempts, so that retries stay a bounded share of them.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full bucket.
    pub(crate) fn new(settings: &RetrySettings) -> Self {
        Self {
            tokens: settings.burst,
        }
    }

    /// Notes a first attempt.
    pub(crate) fn earn(&mut self, settings: &RetrySettings) {
        self.tokens = (self.tokens + settings.ratio).min(settings.burst);
    }

    /// Takes one retry; false when none is left.
    pub(crate) fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Pause before the retry with this number (from 1), drawn evenly up to a doubling bound.
pub(crate) fn backoff(settings: &RetrySettings, retry: u32, random: &mut ChaCha8Rng) -> Duration {
    let doublings = retry.saturating_sub(1).min(16);
    let bound = settings.first_backoff * (1 << doublings);
    let bound = bound.min(settings.max_backoff);
    bound.mul_f64(random.random_range(0.0..1.0))
}
