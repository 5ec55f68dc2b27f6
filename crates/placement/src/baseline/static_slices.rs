//! Baseline: slices of fixed width, spread by number.

use std::collections::BTreeMap;

use wingspar_world::{KeyHash, MonotonicTime, PlacementPolicy, TargetName};

use super::{Observation, Placer, SliceTable};
use crate::{Action, MoveReason, TargetState, shares};

/// Slices of fixed width, spread by number. Only a joining or leaving target moves any: as few as
/// give each target its number again. Loads don't count.
#[derive(Debug, Clone)]
pub struct StaticSlices {
    policy: PlacementPolicy,
    table: SliceTable,
}

impl StaticSlices {
    /// Uses the number of slices and the region weights of a policy.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self {
            policy,
            table: SliceTable::default(),
        }
    }

    /// Moves slices from targets with too many to targets with too few.
    fn even_out(&mut self, now: MonotonicTime, targets: &[TargetState]) {
        let total = self.table.len() as f64;
        let due = shares(&self.policy, targets);
        let due = due.iter().map(|share| (share * total).round() as i64);
        let names = targets.iter().map(|target| &target.name);
        let mut spare: BTreeMap<TargetName, i64> = names.cloned().zip(due).collect();
        for slice in self.table.slices() {
            if let Some(left) = spare.get_mut(&slice.owner) {
                *left -= 1;
            }
        }
        for action in surplus_moves(&self.table, &mut spare) {
            self.table.apply(now, &action);
        }
    }
}

/// `spare` tells how many slices each target has too few; negative for too many.
fn surplus_moves(table: &SliceTable, spare: &mut BTreeMap<TargetName, i64>) -> Vec<Action> {
    let mut moves = Vec::new();
    for slice in table.slices() {
        if spare.get(&slice.owner).is_none_or(|left| *left >= 0) {
            continue;
        }
        let Some(to) = neediest(spare) else {
            break;
        };
        spare
            .entry(slice.owner.clone())
            .and_modify(|left| *left += 1);
        spare.entry(to.clone()).and_modify(|left| *left -= 1);
        moves.push(Action::Move {
            range: slice.range,
            from: slice.owner.clone(),
            to,
            reason: MoveReason::Balance,
        });
    }
    moves
}

fn neediest(spare: &BTreeMap<TargetName, i64>) -> Option<TargetName> {
    let (name, left) = spare.iter().max_by_key(|(_, left)| **left)?;
    (*left > 0).then(|| name.clone())
}

impl Placer for StaticSlices {
    fn name(&self) -> &'static str {
        "static slices"
    }

    fn set_targets(&mut self, now: MonotonicTime, targets: &[TargetState]) {
        if self.table.is_empty() {
            self.table = SliceTable::place(now, &self.policy, targets);
            return;
        }
        let mut unloaded = targets.to_vec();
        unloaded
            .iter_mut()
            .for_each(|target| target.requests_per_second = 0.0);
        self.table.reassign(now, &self.policy, &unloaded);
        self.even_out(now, targets);
    }

    fn observe(&mut self, _observation: &Observation<'_>) -> bool {
        false
    }

    fn owner(&self, key: KeyHash) -> Option<&TargetName> {
        self.table.find(key).map(|slice| &slice.owner)
    }
}
