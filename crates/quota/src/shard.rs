//! The parts that tenants are spread over.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Shards: so many that at the largest deployment planned no owner answers more than about 1,000 asks a second, and so
/// few that all owners fit the table that every node is told.
pub const SHARDS: u16 = 256;

/// A part of all tenants, whose quotas have the same owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Shard(pub u16);

impl Shard {
    /// The shard of a tenant.
    pub fn of(tenant: &str) -> Self {
        Self((xxh3_64(tenant.as_bytes()) % u64::from(SHARDS)) as u16)
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }
}
