//! Token bucket of one tenant, kept by the owner of the tenant's shard.

use std::time::Duration;

use crate::history::DeficitHistory;
use crate::{Limit, Tolerance};

/// Result of taking tokens from a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeResult {
    /// Number of tokens granted, at most the number wanted.
    pub granted: u16,
    /// Delay after which the first refused request should retry; zero if every request got a token.
    pub retry_after: Duration,
}

/// Token bucket that refills at the limit's rate until it is full.
#[derive(Debug, Clone)]
pub struct Bucket {
    limit: Limit,
    tolerance: Tolerance,
    /// Number of tokens missing from a full bucket at time `at`.
    deficit: f64,
    /// Time up to which the refill has been accounted for.
    at: Duration,
    history: DeficitHistory,
    /// Retry time to give to the next refused caller. Retry times are spaced by the refill time of
    /// one token, so that refused callers don't all return at once.
    next_retry: Duration,
}

impl Bucket {
    /// Creates the bucket of an owner whose ownership began at `since` and that has granted nothing
    /// yet. The bucket starts empty at `since`, because the previous owner may have granted every
    /// token.
    pub fn new(now: Duration, since: Duration, limit: Limit, tolerance: Tolerance) -> Self {
        let mut bucket = Self {
            limit,
            tolerance,
            deficit: tolerance.capacity(&limit),
            at: since,
            history: DeficitHistory::default(),
            next_retry: Duration::ZERO,
        };
        bucket.advance(now);
        bucket
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Applies a limit unless the current one comes from the same or a later configuration version.
    /// Tokens above the capacity of a lower limit are discarded.
    pub fn set_limit(&mut self, now: Duration, limit: Limit) {
        if limit.version <= self.limit.version {
            return;
        }
        if limit.same_rate_and_burst(&self.limit) {
            self.limit = limit;
            return;
        }
        self.advance(now);
        let (capacity, available) = (self.tolerance.capacity(&limit), self.available());
        self.limit = limit;
        self.deficit = (capacity - available).max(0.0);
        self.history = DeficitHistory::default();
        self.history.record(now, 0.0);
    }

    /// Grants as many of the wanted tokens as are available.
    pub fn take(&mut self, now: Duration, wanted: u16) -> TakeResult {
        self.advance(now);
        let granted = (self.available().max(0.0) as u64).min(u64::from(wanted)) as u16;
        self.deficit += f64::from(granted);
        let refused = wanted - granted;
        TakeResult {
            granted,
            retry_after: if refused == 0 {
                Duration::ZERO
            } else {
                self.next_retry(now, refused)
            },
        }
    }

    /// Takes back tokens granted at `granted_at` whose requests did not run. Returns the number of
    /// tokens credited, which is lower if the bucket was nearly full in the meantime (see
    /// [`DeficitHistory`]).
    pub fn return_tokens(&mut self, now: Duration, granted_at: Duration, tokens: u16) -> f64 {
        self.advance(now);
        let counted = self.history.reclaim(granted_at, f64::from(tokens));
        self.deficit -= counted;
        counted
    }

    /// Returns the number of tokens available now.
    pub fn tokens(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.available()
    }

    /// Returns whether the bucket is full, so that removing it loses no state.
    pub fn is_full(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.deficit <= 0.0
    }

    /// Returns whether the bucket is less than half full. Routers then return unused tokens.
    pub fn is_scarce(&self) -> bool {
        self.available() * 2.0 < self.tolerance.capacity(&self.limit)
    }

    fn available(&self) -> f64 {
        self.tolerance.capacity(&self.limit) - self.deficit
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.deficit = (self.deficit - elapsed * self.limit.rate_per_s).max(0.0);
        self.at = self.at.max(now);
        self.history.record(self.at, self.deficit);
    }

    /// Returns the delay after which the first of `callers` refused requests should retry, after
    /// the retry times given out before, and reserves retry times for all of them. No delay exceeds
    /// the window.
    fn next_retry(&mut self, now: Duration, callers: u16) -> Duration {
        let latest = now + self.tolerance.window;
        let earliest = now.saturating_add(self.limit.refill_time(1.0 - self.available()));
        let told = self.next_retry.max(earliest).min(latest);
        let behind = told.saturating_add(self.limit.refill_time(f64::from(callers)));
        self.next_retry = behind.min(latest);
        told - now
    }
}
