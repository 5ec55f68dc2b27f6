//! What a node admits alone while no owner answers it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Limit, Tolerance};

/// Tenants beyond which those without recent requests are forgotten.
const MANY_TENANTS: usize = 256;

/// A node's place among all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Its number among them, from 0.
    pub position: usize,
    /// How many there are.
    pub nodes: usize,
}

impl Place {
    /// This node's share of so many requests of a tenant. What doesn't divide evenly goes to other nodes for each
    /// tenant, so that the shares of all nodes add up to the whole.
    fn share(self, total: u32, tenant: &str) -> usize {
        let nodes = self.nodes.max(1);
        let total = total as usize;
        let turn = (xxh3_64(tenant.as_bytes()) % nodes as u64) as usize;
        let has_extra = (self.position + turn) % nodes < total % nodes;
        total / nodes + usize::from(has_extra)
    }
}

/// Requests that a node has admitted alone.
#[derive(Debug)]
pub struct Fallback {
    tolerance: Tolerance,
    /// The process before may have spent its share until then.
    from: Duration,
    admitted: HashMap<String, VecDeque<Duration>>,
}

impl Fallback {
    /// The fallback of a process that started at that time.
    pub fn new(started_at: Duration, tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            from: started_at + tolerance.window,
            admitted: HashMap::new(),
        }
    }

    /// Admits a request if the node has any of its share of this window left.
    pub fn admit(&mut self, now: Duration, place: Place, tenant: &str, limit: &Limit) -> bool {
        let window = self.tolerance.window;
        let share = place.share(self.tolerance.fallback(limit), tenant);
        if now < self.from || share == 0 {
            return false;
        }
        if self.admitted.len() >= MANY_TENANTS {
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

    /// A request that was admitted at that time hasn't run.
    pub fn give_back(&mut self, tenant: &str, admitted_at: Duration) {
        let Some(times) = self.admitted.get_mut(tenant) else {
            return;
        };
        if let Some(index) = times.iter().position(|time| *time == admitted_at) {
            times.remove(index);
        }
    }
}
