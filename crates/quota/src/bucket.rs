//! The token bucket of one tenant, at the owner of its shard.

use std::time::Duration;

use crate::history::History;
use crate::{Limit, Tolerance};

/// What was taken from a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Tokens granted.
    pub granted: u16,
    /// When the first request that got none may come back; zero if all got one.
    pub retry_after: Duration,
}

/// A token bucket. Tokens come at the limit's rate until it is full.
#[derive(Debug, Clone)]
pub struct Bucket {
    limit: Limit,
    tolerance: Tolerance,
    /// Tokens that it lacks to be full.
    lacking: f64,
    /// When that was so.
    at: Duration,
    history: History,
    /// The time that the next caller without a token is told to come back at: each is told another, a token apart.
    next_return: Duration,
}

impl Bucket {
    /// The bucket of an owner that began at `since` and has granted nothing since. It was empty then: the owner before
    /// may have granted all there was.
    pub fn new(now: Duration, since: Duration, limit: Limit, tolerance: Tolerance) -> Self {
        let mut bucket = Self {
            limit,
            tolerance,
            lacking: tolerance.depth(&limit),
            at: since,
            history: History::default(),
            next_return: Duration::ZERO,
        };
        bucket.advance(now);
        bucket
    }

    /// The limit in force.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// Puts a limit in force unless one of a later configuration is. Tokens that a lower one leaves no room for go.
    pub fn set_limit(&mut self, now: Duration, limit: Limit) {
        if limit.version <= self.limit.version {
            return;
        }
        if limit.allows_the_same_as(&self.limit) {
            self.limit = limit;
            return;
        }
        self.advance(now);
        let (depth, level) = (self.tolerance.depth(&limit), self.level());
        self.limit = limit;
        self.lacking = (depth - level).max(0.0);
        self.history = History::default();
        self.history.note(now, 0.0);
    }

    /// Grants as many of the wanted tokens as there are.
    pub fn take(&mut self, now: Duration, wanted: u16) -> Taken {
        self.advance(now);
        let granted = (self.level().max(0.0) as u64).min(u64::from(wanted)) as u16;
        self.lacking += f64::from(granted);
        let refused = wanted - granted;
        Taken {
            granted,
            retry_after: if refused == 0 {
                Duration::ZERO
            } else {
                self.next_return(now, refused)
            },
        }
    }

    /// Takes back tokens that were granted at a time and whose requests haven't run. Returns how many count.
    pub fn give_back(&mut self, now: Duration, granted_at: Duration, tokens: u16) -> f64 {
        self.advance(now);
        let counted = self.history.take_back(granted_at, f64::from(tokens));
        self.lacking -= counted;
        counted
    }

    /// Tokens there are now.
    pub fn tokens(&mut self, now: Duration) -> f64 {
        self.advance(now);
        self.level()
    }

    /// Whether it has lost every trace of what was granted.
    pub fn is_full(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.lacking <= 0.0
    }

    /// Whether tokens may soon be wanting, so that each that comes back counts.
    pub fn is_scarce(&self) -> bool {
        self.level() * 2.0 < self.tolerance.depth(&self.limit)
    }

    fn level(&self) -> f64 {
        self.tolerance.depth(&self.limit) - self.lacking
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.lacking = (self.lacking - passed * self.limit.rate_per_s).max(0.0);
        self.at = self.at.max(now);
        self.history.note(self.at, self.lacking);
    }

    /// The time from now at which the first of so many callers may come back: behind those told before.
    fn next_return(&mut self, now: Duration, callers: u16) -> Duration {
        let latest = now + self.tolerance.window;
        let earliest = now.saturating_add(self.limit.time_for(1.0 - self.level()));
        let told = self.next_return.max(earliest).min(latest);
        let behind = told.saturating_add(self.limit.time_for(f64::from(callers)));
        self.next_return = behind.min(latest);
        told - now
    }
}
