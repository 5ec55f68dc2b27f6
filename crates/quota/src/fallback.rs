//! Local admission on each node while a shard's owner doesn't answer.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Limit, Tolerance};

/// Number of tenants from which those without an admission in the last window are removed.
const PRUNE_THRESHOLD: usize = 256;

/// Position of a node in the ordered list of all known nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodePosition {
    /// Index in that list, from 0.
    pub position: usize,
    /// Length of that list.
    pub nodes: usize,
}

impl NodePosition {
    /// Returns this node's share of `total` requests of a tenant. The nodes that get one request
    /// more when `total` doesn't divide evenly depend on the tenant, and the shares of all nodes
    /// add up to `total`.
    fn share(self, total: u32, tenant: &str) -> usize {
        let nodes = self.nodes.max(1);
        let total = total as usize;
        let offset = (xxh3_64(tenant.as_bytes()) % nodes as u64) as usize;
        let has_extra = (self.position + offset) % nodes < total % nodes;
        total / nodes + usize::from(has_extra)
    }
}

/// Limits the requests that a node admits without an owner, by a sliding window per tenant.
#[derive(Debug)]
pub struct FallbackLimiter {
    tolerance: Tolerance,
    /// Nothing is admitted before this time, because the node's previous process may have used up
    /// the share of the current window.
    from: Duration,
    admitted: HashMap<String, VecDeque<Duration>>,
}

impl FallbackLimiter {
    /// Creates the limiter of a process that started at `started_at`.
    pub fn new(started_at: Duration, tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            from: started_at + tolerance.window,
            admitted: HashMap::new(),
        }
    }

    /// Admits a request if the node has used less than its share in the window that ends now.
    pub fn admit(
        &mut self,
        now: Duration,
        place: NodePosition,
        tenant: &str,
        limit: &Limit,
    ) -> bool {
        let window = self.tolerance.window;
        let share = place.share(self.tolerance.fallback_budget(limit), tenant);
        if now < self.from || share == 0 {
            return false;
        }
        if self.admitted.len() >= PRUNE_THRESHOLD {
            self.admitted
                .retain(|_, times| times.back().is_some_and(|last| now < *last + window));
        }
        let times = self.admitted.entry(tenant.to_owned()).or_default();
        while times.front().is_some_and(|first| *first + window < now) {
            times.pop_front();
        }
        if times.len() >= share {
            return false;
        }
        times.push_back(now);
        true
    }

    /// Frees the place of a request that was admitted at `admitted_at` and did not run.
    pub fn cancel(&mut self, tenant: &str, admitted_at: Duration) {
        let Some(times) = self.admitted.get_mut(tenant) else {
            return;
        };
        if let Some(index) = times.iter().position(|time| *time == admitted_at) {
            times.remove(index);
        }
    }
}
