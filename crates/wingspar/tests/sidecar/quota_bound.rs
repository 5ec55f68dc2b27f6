//! The bound of a tenant's quota, checked from what clients sent and targets ran.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingspar_standins::fleet::Seen;

/// What the operator tolerates, as the settings of nodes in these tests have it under `[bounds]`.
pub const SETTINGS: &str = "quota_window_s = 2\nquota_over = 0.1\nquota_slack = 5\n";
/// The span over which requests are counted.
pub const WINDOW: Duration = Duration::from_secs(2);
/// Requests beyond a quota within that span, in parts of it.
const OVER: f64 = 0.1;
/// Further ones, in requests.
const SLACK: f64 = 5.0;

/// A tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond that.
    pub burst: f64,
}

impl Terms {
    /// Requests of the tenant that may be sent and run within any window.
    pub fn most(&self) -> f64 {
        (self.rate * WINDOW.as_secs_f64() + self.burst) * (1.0 + OVER) + SLACK
    }
}

/// A request that ran: when its client sent it and when it first began at a target.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    sent_at: Instant,
    ran_at: Instant,
}

/// The spans of the requests that ran, by the times at which they were sent.
pub fn spans<'a>(
    sent: &BTreeMap<&str, Instant>,
    runs: impl Iterator<Item = &'a Seen>,
) -> Vec<Span> {
    let mut spans = BTreeMap::<&str, Span>::new();
    for run in runs {
        let Some(sent_at) = sent.get(run.id.as_str()) else {
            continue;
        };
        let span = spans.entry(&run.id).or_insert(Span {
            sent_at: *sent_at,
            ran_at: run.at,
        });
        span.ran_at = span.ran_at.min(run.at);
    }
    spans.into_values().collect()
}

/// The most requests that were sent and ran within one window that begins at `from` or later.
pub fn most_in_a_window(spans: &[Span], from: Option<Instant>) -> usize {
    let within = |begin: Instant| {
        let inside = spans
            .iter()
            .filter(|span| span.sent_at >= begin && span.ran_at <= begin + WINDOW);
        inside.count()
    };
    // A window that holds the most can begin when one of its requests is sent.
    let begins = spans.iter().map(|span| span.sent_at);
    let begins = begins.filter(|begin| from.is_none_or(|from| *begin >= from));
    begins.map(within).max().unwrap_or(0)
}
