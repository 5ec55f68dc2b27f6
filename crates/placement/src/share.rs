//! The share of the service's load that each target is due.

use std::collections::BTreeMap;

use wingspar_world::{PlacementPolicy, RegionName};

use crate::TargetState;

/// Due shares in the order of `targets`; they sum to 1, or are all 0 when no target accepts slices.
///
/// Without region weights a target's share is by slots alone. With them each region with accepting
/// targets gets its weight (a region that is not listed gets none), and its targets divide it by
/// slots. When no accepting target has weight, slots decide: serving keys goes before weights.
pub fn shares(policy: &PlacementPolicy, targets: &[TargetState]) -> Vec<f64> {
    let slots = slots_by_region(targets);
    let due = |target: &TargetState| {
        let region_slots = slots.get(&target.region).copied().unwrap_or(0.0);
        region_weight(policy, &target.region) * slots_of(target) / region_slots.max(1.0)
    };
    let weighted: Vec<f64> = targets.iter().map(due).collect();
    if !policy.region_weights.is_empty() && weighted.iter().any(|share| *share > 0.0) {
        return normalized(weighted);
    }
    normalized(targets.iter().map(slots_of).collect())
}

/// Weight of a region; never negative or not a number.
fn region_weight(policy: &PlacementPolicy, region: &RegionName) -> f64 {
    let weight = policy.region_weights.get(region).copied().unwrap_or(0.0);
    if weight.is_finite() {
        weight.max(0.0)
    } else {
        0.0
    }
}

fn slots_of(target: &TargetState) -> f64 {
    if target.accepts {
        f64::from(target.slots.max(1))
    } else {
        0.0
    }
}

fn slots_by_region(targets: &[TargetState]) -> BTreeMap<&RegionName, f64> {
    let mut slots = BTreeMap::new();
    for target in targets {
        *slots.entry(&target.region).or_insert(0.0) += slots_of(target);
    }
    slots
}

fn normalized(mut shares: Vec<f64>) -> Vec<f64> {
    let sum: f64 = shares.iter().sum();
    if sum > 0.0 {
        shares.iter_mut().for_each(|share| *share /= sum);
    }
    shares
}

/// Load per slot that placement supposes on the ring besides what is reported, in requests a second.
const IDLE_LOAD_PER_SLOT: f64 = 0.05;

/// Load of the whole ring that is supposed besides what is reported, spread evenly over it, in
/// requests a second. It lets an idle service be placed by share of the ring, and keeps a handful of
/// requests from looking like an imbalance.
pub(crate) fn idle_load(targets: &[TargetState]) -> f64 {
    IDLE_LOAD_PER_SLOT * targets.iter().map(slots_of).sum::<f64>()
}
