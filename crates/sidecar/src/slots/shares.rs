//! Fair sharing of a target among tenants: which tenants use more than their share.
//!
//! Each tenant with recent requests has an equal share of the target's time. What a tenant doesn't use of its share is
//! available to all. A tenant over its share still isn't starved: one whose requests are served far less often than the
//! average counts as within its share.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Time constant over which demand and use decay. It is longer than a few simultaneous requests take, and short enough
/// that a tenant that has reduced its demand is soon treated like others.
const TIME_CONSTANT: Duration = Duration::from_millis(2_000);
/// A tenant whose served share of demand is at most this part of the average one counts as within its share, whatever
/// it uses: a large tenant must not be starved for demanding more than small ones.
const STARVED_SHARE: f64 = 0.35;
/// Most tenants that are tracked; among more than these, none can use much of a target.
const MAX_TENANTS: usize = 1_024;
/// Demand, in seconds of work, below which a tenant is no longer tracked.
const NEGLIGIBLE_DEMAND_S: f64 = 1e-4;

/// Identifies a tenant at a target: a hash of its name.
pub type TenantKey = u64;

/// Decayed sums of work, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    /// Expected run time of the requests that arrived.
    demanded: f64,
    /// Time in slots: the expected run time from the start on, the real one from the end on.
    used: f64,
}

impl Work {
    fn scaled(self, factor: f64) -> Self {
        Self {
            demanded: self.demanded * factor,
            used: self.used * factor,
        }
    }

    /// Share of the demand that was served.
    fn served(self) -> f64 {
        self.used / self.demanded.max(NEGLIGIBLE_DEMAND_S)
    }
}

/// Recent demand and use of each tenant at one target.
#[derive(Debug)]
pub struct Shares {
    tenants: HashMap<TenantKey, Work>,
    all: Work,
    decayed_at: Instant,
}

impl Shares {
    /// No tenant has requested any work yet.
    pub fn new(now: Instant) -> Self {
        Self {
            tenants: HashMap::new(),
            all: Work::default(),
            decayed_at: now,
        }
    }

    /// Records that a tenant's request for this many seconds of work has arrived.
    pub fn demanded(&mut self, now: Instant, tenant: TenantKey, seconds: f64) {
        self.decay(now);
        self.all.demanded += seconds;
        if let Some(work) = self.work(tenant) {
            work.demanded += seconds;
        }
    }

    /// Charges a tenant with this many seconds; negative if it was charged too much before.
    pub fn used(&mut self, tenant: TenantKey, seconds: f64) {
        self.all.used = (self.all.used + seconds).max(0.0);
        if let Some(work) = self.work(tenant) {
            work.used = (work.used + seconds).max(0.0);
        }
    }

    /// Whether a tenant uses more than its equal share of `capacity` slots.
    pub fn is_over(&self, tenant: TenantKey, capacity: usize) -> bool {
        let Some(work) = self.tenants.get(&tenant) else {
            return false;
        };
        let share = capacity as f64 * TIME_CONSTANT.as_secs_f64() / self.tenants.len() as f64;
        work.used > share && work.served() > self.all.served() * STARVED_SHARE
    }

    fn work(&mut self, tenant: TenantKey) -> Option<&mut Work> {
        let is_full = self.tenants.len() >= MAX_TENANTS;
        if is_full && !self.tenants.contains_key(&tenant) {
            return None;
        }
        Some(self.tenants.entry(tenant).or_default())
    }

    /// Decays all sums, at most twenty times within the time constant.
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed_at);
        if age < TIME_CONSTANT / 20 {
            return;
        }
        self.decayed_at = now;
        let kept = (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.all = self.all.scaled(kept);
        self.tenants.retain(|_, work| {
            *work = work.scaled(kept);
            work.demanded > NEGLIGIBLE_DEMAND_S
        });
    }
}
