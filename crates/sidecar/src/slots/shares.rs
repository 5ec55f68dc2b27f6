//! Which tenants use more of a target than their share of it.
//!
//! Each tenant that has asked for something lately has an equal share of the target's time. What a tenant doesn't need
//! of its share is left to all. A tenant over its share still isn't starved: one whose requests are served far less
//! often than everybody's counts as within its share.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// What tenants ask and use counts for about this long. It outlasts a few requests at once, and a tenant that has
/// stopped asking too much is treated as others soon.
const MEMORY: Duration = Duration::from_millis(2_000);
/// A tenant that gets at most this part of what is served of everybody's requests is within its share, whatever it
/// uses: a large one must not be starved for asking more than small ones.
const STARVED_SHARE: f64 = 0.35;
/// Most tenants that are remembered; among more than these, none can use much of a target.
const MOST_TENANTS: usize = 1_024;
/// Work, in seconds, below which a tenant is forgotten.
const NOTHING: f64 = 1e-4;

/// Tells tenants apart at a target.
pub type TenantKey = u64;

/// Seconds of work.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    asked: f64,
    used: f64,
}

impl Work {
    fn times(self, factor: f64) -> Self {
        Self {
            asked: self.asked * factor,
            used: self.used * factor,
        }
    }

    /// Part of what was asked that was used.
    fn served(self) -> f64 {
        self.used / self.asked.max(NOTHING)
    }
}

/// What each tenant has asked and used lately.
#[derive(Debug)]
pub struct Shares {
    tenants: HashMap<TenantKey, Work>,
    all: Work,
    faded_at: Instant,
}

impl Shares {
    /// Nobody has asked for anything.
    pub fn new(now: Instant) -> Self {
        Self {
            tenants: HashMap::new(),
            all: Work::default(),
            faded_at: now,
        }
    }

    /// A tenant asks for so many seconds of work.
    pub fn asked(&mut self, now: Instant, tenant: TenantKey, seconds: f64) {
        self.fade(now);
        self.all.asked += seconds;
        if let Some(work) = self.work(tenant) {
            work.asked += seconds;
        }
    }

    /// A tenant uses so many seconds; negative if it was charged with too much before.
    pub fn used(&mut self, tenant: TenantKey, seconds: f64) {
        self.all.used = (self.all.used + seconds).max(0.0);
        if let Some(work) = self.work(tenant) {
            work.used = (work.used + seconds).max(0.0);
        }
    }

    /// Whether a tenant uses more than its share of `capacity` slots.
    pub fn is_over(&self, tenant: TenantKey, capacity: usize) -> bool {
        let Some(work) = self.tenants.get(&tenant) else {
            return false;
        };
        let share = capacity as f64 * MEMORY.as_secs_f64() / self.tenants.len() as f64;
        work.used > share && work.served() > self.all.served() * STARVED_SHARE
    }

    fn work(&mut self, tenant: TenantKey) -> Option<&mut Work> {
        let is_full = self.tenants.len() >= MOST_TENANTS;
        if is_full && !self.tenants.contains_key(&tenant) {
            return None;
        }
        Some(self.tenants.entry(tenant).or_default())
    }

    /// Lets what is past count for less, a few times within the memory.
    fn fade(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.faded_at);
        if age < MEMORY / 20 {
            return;
        }
        self.faded_at = now;
        let kept = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.all = self.all.times(kept);
        self.tenants.retain(|_, work| {
            *work = work.times(kept);
            work.asked > NOTHING
        });
    }
}
