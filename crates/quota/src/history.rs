//! Recent deficits of a token bucket, which limit how many returned tokens are credited.

use std::time::Duration;

/// Length of an interval. A token is often returned within one or two intervals of its grant.
const INTERVAL_LENGTH: Duration = Duration::from_millis(125);
/// Number of intervals kept: one second in all. Tokens are returned within the time that a request
/// waits at a full target, which is under a second.
const MAX_INTERVALS: usize = 8;

/// Lowest deficit of a bucket in each of the last [`MAX_INTERVALS`] intervals. The deficit is the
/// number of tokens missing from a full bucket.
///
/// A returned token is credited only if the bucket had a deficit ever since the token was granted.
/// Otherwise the bucket would have been full without the grant and would have gained no token in
/// place of the one granted.
#[derive(Debug, Clone, Default)]
pub struct DeficitHistory {
    min_deficit: [f64; MAX_INTERVALS],
    newest: u64,
}

impl DeficitHistory {
    /// Records the deficit at `now`. Must be called after each refill, when the deficit is lowest.
    pub fn record(&mut self, now: Duration, deficit: f64) {
        let interval = interval_of(now);
        if interval <= self.newest {
            let min_deficit = &mut self.min_deficit[index_of(self.newest)];
            *min_deficit = min_deficit.min(deficit);
            return;
        }
        let skipped = (interval - self.newest).min(MAX_INTERVALS as u64);
        for passed in 0..skipped {
            self.min_deficit[index_of(interval - passed)] = deficit;
        }
        self.newest = interval;
    }

    /// Subtracts tokens granted at `granted_at` from the recorded deficits. Returns how many of
    /// them may be credited; none if the grant is older than the history.
    pub fn reclaim(&mut self, granted_at: Duration, tokens: f64) -> f64 {
        let first = interval_of(granted_at);
        if first + MAX_INTERVALS as u64 <= self.newest || first > self.newest {
            return 0.0;
        }
        let intervals = first..=self.newest;
        let min_deficit = intervals
            .clone()
            .map(|interval| self.min_deficit[index_of(interval)])
            .fold(tokens, f64::min);
        for interval in intervals {
            self.min_deficit[index_of(interval)] -= min_deficit;
        }
        min_deficit
    }
}

fn interval_of(time: Duration) -> u64 {
    (time.as_millis() / INTERVAL_LENGTH.as_millis()) as u64
}

fn index_of(interval: u64) -> usize {
    (interval % MAX_INTERVALS as u64) as usize
}
