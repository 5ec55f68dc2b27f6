//! The parameters of a request that decide when it gets a slot.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time::Instant;

use super::shares::TenantKey;

/// Key of the one share that all requests without a tenant have in common.
const NO_TENANT: TenantKey = 0;

/// Sort order within a lane: whether the tenant is over its share, priority of the tenant, priority of the route, due
/// time. Smaller comes first.
pub(super) type Rank = (bool, u8, u8, Instant);

/// The tenant of a request, as far as scheduling needs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantScheduling {
    /// Hash of the tenant's name. Two tenants with the same hash have one share in common.
    pub key: TenantKey,
    /// Priority of the tenant; 0 is the most urgent.
    pub priority: u8,
}

impl TenantScheduling {
    /// The scheduling parameters of the tenant with this name.
    pub fn new(name: &str, priority: u8) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Self {
            key: hasher.finish(),
            priority,
        }
    }
}

/// The parameters of a request that decide when it gets a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scheduling {
    /// The tenant of the request. Requests without one, calls by targets among them, have the priority of the most
    /// urgent tenants and one share in common.
    pub tenant: Option<TenantScheduling>,
    /// Priority of the request's route; 0 is the most urgent.
    pub priority: u8,
    /// When the answer is due; until then it has its full value to the caller.
    pub due: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Latency objective of the route. Requests with the same objective are treated as one kind with similar run times.
    pub objective: Duration,
}

impl Scheduling {
    /// The order within a lane: by the tenant's priority, then the route's, but behind all others while the tenant is
    /// over its share.
    pub(super) fn rank(&self, over_share: bool) -> Rank {
        let tenant = self.tenant.map_or(0, |tenant| tenant.priority);
        (over_share, tenant, self.priority, self.due)
    }

    /// The order of a request that is short compared with others: ahead of all others.
    pub(super) fn rank_of_short(&self) -> Rank {
        (false, 0, 0, self.due)
    }

    /// The share that the request uses.
    pub(super) fn share_key(&self) -> TenantKey {
        self.tenant.map_or(NO_TENANT, |tenant| tenant.key)
    }
}
