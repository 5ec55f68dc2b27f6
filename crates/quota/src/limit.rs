//! A tenant's limit, and how the requests tolerated beyond it are divided.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Share of the tolerated excess that is added to the owner's bucket capacity. With it, a tenant
/// whose requests arrive at random, on average below the rate, finds the bucket empty no more often
/// than the configured limit intends.
const CAPACITY_SHARE: f64 = 0.6;
/// Share of the tolerated excess that all nodes together may admit per window while no owner
/// answers. The remainder is a margin: partitioned nodes that know only some of the nodes take
/// larger shares.
const FALLBACK_SHARE: f64 = 0.25;

/// Rate limit of a tenant as set by one version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Version of the configuration that set this limit; a higher version replaces a lower one.
    #[serde(rename = "v")]
    pub version: u64,
    /// Requests per second.
    #[serde(rename = "r")]
    pub rate_per_s: f64,
    /// Requests allowed at once in addition to the rate.
    #[serde(rename = "b")]
    pub burst: f64,
}

impl Limit {
    /// Returns whether both limits allow the same, regardless of their versions.
    pub(crate) fn same_rate_and_burst(&self, other: &Self) -> bool {
        (self.rate_per_s, self.burst) == (other.rate_per_s, other.burst)
    }

    /// Returns the time in which this number of tokens is refilled.
    pub fn refill_time(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(tokens.max(0.0) / self.rate_per_s).unwrap_or(Duration::MAX)
    }
}

/// What the operator tolerates beyond a limit. In any window of length `window`, a tenant may have
/// `rate * window + burst` requests run, plus a fraction of that number (`over`) and a fixed number
/// of requests (`slack`).
///
/// This excess is divided: one part raises the owner's bucket capacity above the burst, another is
/// the budget of all nodes together while no owner answers, and the rest is a margin. A new owner
/// starts with an empty bucket, so any number of successive owners grant no more than a single
/// owner whose bucket was full at the start of the window. The bound therefore holds in whatever
/// order these events happen, as long as the first two parts add up to less than 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window over which requests are counted.
    pub window: Duration,
    /// Tolerated excess as a fraction of the requests that the limit allows in a window.
    pub over: f64,
    /// Tolerated excess as a number of requests per window, in addition to `over`.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the number of requests that the limit allows in a window.
    pub fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the number of requests tolerated beyond the limit in a window.
    pub fn excess(&self, limit: &Limit) -> f64 {
        self.allowed(limit) * self.over + self.slack
    }

    /// Returns the capacity of the owner's bucket, in tokens.
    pub fn capacity(&self, limit: &Limit) -> f64 {
        limit.burst + self.excess(limit) * CAPACITY_SHARE
    }

    /// Returns the number of requests that all nodes together may admit in a window while no owner
    /// answers.
    pub fn fallback_budget(&self, limit: &Limit) -> u32 {
        (self.excess(limit) * FALLBACK_SHARE) as u32
    }
}
