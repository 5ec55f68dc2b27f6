//! Baseline: the key's hash modulo the number of targets.

use wingspar_world::{KeyHash, MonotonicTime, TargetName};

use super::{Observation, Placer};
use crate::TargetState;

/// The key's hash modulo the number of accepting targets. Slots and loads don't count.
#[derive(Debug, Clone, Default)]
pub struct Modulo {
    targets: Vec<TargetName>,
}

impl Placer for Modulo {
    fn name(&self) -> &'static str {
        "modulo"
    }

    fn set_targets(&mut self, _now: MonotonicTime, targets: &[TargetState]) {
        let accepting = targets.iter().filter(|target| target.accepts);
        self.targets = accepting.map(|target| target.name.clone()).collect();
    }

    fn observe(&mut self, _observation: &Observation<'_>) -> bool {
        false
    }

    fn owner(&self, key: KeyHash) -> Option<&TargetName> {
        let count = self.targets.len() as u64;
        let position = key.0.checked_rem(count)?;
        self.targets.get(position as usize)
    }
}
