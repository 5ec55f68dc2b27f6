//! The parts that tenants are spread over.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Shards. More than nodes that are needed to carry the asks of any fleet; few enough for a leader to tell all owners.
pub const SHARDS: u16 = 64;

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
