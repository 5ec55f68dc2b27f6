//! A tenant's limit, and how what is tolerated beyond it is divided.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of the tolerated requests that deepens an owner's bucket: callers that come at random, below the rate on
/// average, then find it empty no more often than the limit itself means.
const DEPTH_PART: f64 = 0.6;
/// Part that all nodes together may admit within a window while no owner answers them. What is left is a margin: nodes
/// that know fewer others than there are, because those are cut off, take larger shares.
const FALLBACK_PART: f64 = 0.25;

/// How many requests a tenant may have run, as of a version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Version of the configuration that set it.
    #[serde(rename = "v")]
    pub version: u64,
    /// Requests a second.
    #[serde(rename = "r")]
    pub rate_per_s: f64,
    /// Requests at once beyond that.
    #[serde(rename = "b")]
    pub burst: f64,
}

impl Limit {
    /// Whether both allow the same, whichever versions set them.
    pub(crate) fn allows_the_same_as(&self, other: &Self) -> bool {
        (self.rate_per_s, self.burst) == (other.rate_per_s, other.burst)
    }

    /// Time in which so many tokens come.
    pub fn time_for(&self, tokens: f64) -> Duration {
        Duration::try_from_secs_f64(tokens.max(0.0) / self.rate_per_s).unwrap_or(Duration::MAX)
    }
}

/// What the operator tolerates: within any window a tenant may have `rate * window + burst` requests run, a part more
/// (`over`) and a number more (`slack`).
///
/// All that is tolerated is divided: the owner's bucket is deeper than the burst by one part, and another is what all
/// nodes together may admit without an owner. A new owner starts without any token, so that any number of owners, one
/// after the other, grant no more than one that fills its bucket before the window: the bound holds whichever of these
/// happen in it. The two parts are below 1 together; the rest is a margin.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Duration,
    /// In parts of the limit.
    pub over: f64,
    /// In requests.
    pub slack: f64,
}

impl Tolerance {
    /// Requests that the limit allows within a window.
    pub fn allowed(&self, limit: &Limit) -> f64 {
        limit.rate_per_s * self.window.as_secs_f64() + limit.burst
    }

    /// Requests beyond the limit that are tolerated within a window.
    pub fn beyond(&self, limit: &Limit) -> f64 {
        self.allowed(limit) * self.over + self.slack
    }

    /// Tokens in a full bucket.
    pub fn depth(&self, limit: &Limit) -> f64 {
        limit.burst + self.beyond(limit) * DEPTH_PART
    }

    /// Requests that all nodes together may admit within a window while no owner answers.
    pub fn fallback(&self, limit: &Limit) -> u32 {
        (self.beyond(limit) * FALLBACK_PART) as u32
    }
}
