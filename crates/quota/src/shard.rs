//! Partitioning of tenants into shards.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of shards. It is high enough that no owner in the largest planned deployment answers more
/// than about 1,000 requests for tokens per second, and low enough that the owners of all shards
/// fit into the table sent to every node.
pub const SHARD_COUNT: u16 = 256;

/// A partition of the tenants; the quotas of all its tenants have the same owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(pub u16);

impl Shard {
    /// Returns the shard of a tenant.
    pub fn of(tenant: &str) -> Self {
        Self((xxh3_64(tenant.as_bytes()) % u64::from(SHARD_COUNT)) as u16)
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }
}
