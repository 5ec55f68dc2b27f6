//! What can be tuned about routing, with defaults.

use std::time::Duration;

/// Tunable bounds of a router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouterSettings {
    /// Requests that the router handles at once, over all services.
    pub max_in_flight: u32,
    /// Requests that may wait at once for slices to find their owner.
    pub max_waiting: u32,
    /// Longest wait of one request for a slice that is handed over.
    pub max_wait: Duration,
    /// Forwardings of one request, the first included.
    pub max_tries: u32,
    /// `Retry-After` when the owner can't be reached: about a lease and its drift bound.
    pub takeover_estimate: Duration,
    /// `Retry-After` when a hand-over outlasts the wait.
    pub hand_over_estimate: Duration,
    /// `Retry-After` when no target may get work or the router has no table yet.
    pub no_target_estimate: Duration,
    /// Shortest time between two pulls of the table.
    pub pull_interval: Duration,
    /// Shortest time between two pulls of the whole table.
    pub full_pull_interval: Duration,
    /// Limits per class.
    pub limits: LimitSettings,
    /// Retry budget and backoff.
    pub retry: RetrySettings,
    /// Ejection of failing targets.
    pub outlier: OutlierSettings,
}

/// Share of a service's slots that each class may hold, as seen by one router.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// All classes together, as a multiple of the slots; what exceeds the slots queues at agents.
    pub total: f64,
    /// Checks.
    pub checks: f64,
    /// Bulk. What checks and bulk leave is headroom for interactive requests.
    pub bulk: f64,
    /// Least factor to which the shares of checks and bulk shrink while agents refuse work.
    pub least_pressure: f64,
    /// Factor applied to those shares when an agent refuses for load.
    pub decrease: f64,
    /// Added to the factor by an answered request.
    pub increase: f64,
    /// Shortest time between two decreases, and between two increases.
    pub interval: Duration,
}

/// Retry budget and backoff.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries that can be saved up.
    pub burst: f64,
    /// Upper bound of the first pause; doubles with each retry.
    pub first_backoff: Duration,
    /// Largest upper bound of a pause.
    pub max_backoff: Duration,
}

/// When and for how long a failing target gets no unkeyed work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OutlierSettings {
    /// Failures in a row that eject a target.
    pub failures: u32,
    /// Length of the first ejection; doubles with each that follows at once.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Largest share of a service's targets that is ejected at once.
    pub max_share: f64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            max_in_flight: 20_000,
            max_waiting: 2_000,
            max_wait: Duration::from_millis(1_500),
            max_tries: 4,
            takeover_estimate: Duration::from_millis(2_000),
            hand_over_estimate: Duration::from_millis(500),
            no_target_estimate: Duration::from_millis(1_000),
            pull_interval: Duration::from_millis(100),
            full_pull_interval: Duration::from_secs(2),
            limits: LimitSettings::default(),
            retry: RetrySettings::default(),
            outlier: OutlierSettings::default(),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            total: 2.0,
            checks: 0.4,
            bulk: 0.2,
            least_pressure: 0.1,
            decrease: 0.7,
            increase: 0.01,
            interval: Duration::from_millis(100),
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
            first_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(200),
        }
    }
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            failures: 5,
            first_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_share: 0.5,
        }
    }
}
