//! Baseline: consistent hashing with virtual nodes.

use std::collections::BTreeMap;

use wingspar_world::{KeyHash, MonotonicTime, TargetName};

use super::{Observation, Placer};
use crate::TargetState;

/// Virtual nodes of a target for each of its slots.
const VIRTUAL_NODES_PER_SLOT: u32 = 8;

/// Consistent hashing: a key belongs to the first virtual node at or after its hash. A target has
/// virtual nodes by its slots; loads don't count.
#[derive(Debug, Clone, Default)]
pub struct ConsistentHash {
    ring: BTreeMap<KeyHash, TargetName>,
}

impl Placer for ConsistentHash {
    fn name(&self) -> &'static str {
        "consistent hashing"
    }

    fn set_targets(&mut self, _now: MonotonicTime, targets: &[TargetState]) {
        self.ring.clear();
        for target in targets.iter().filter(|target| target.accepts) {
            for number in 0..target.slots * VIRTUAL_NODES_PER_SLOT {
                let node = format!("{}#{number}", target.name);
                let place = KeyHash::of(node.as_bytes());
                self.ring.insert(place, target.name.clone());
            }
        }
    }

    fn observe(&mut self, _observation: &Observation<'_>) -> bool {
        false
    }

    fn owner(&self, key: KeyHash) -> Option<&TargetName> {
        let after = self.ring.range(key..).next();
        let (_, target) = after.or_else(|| self.ring.first_key_value())?;
        Some(target)
    }
}
