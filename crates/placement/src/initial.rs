//! First placement of a new service.

use wingspar_world::{PlacementPolicy, SliceRange, TargetName};

use crate::{TargetState, shares};

/// Most slices that a new service starts with, whatever its policy says.
const MOST_SLICES: u32 = 1 << 20;

/// Slices that a service should have: `slices_per_target` for each accepting target.
pub(crate) fn regular_slices(policy: &PlacementPolicy, targets: &[TargetState]) -> u32 {
    let accepting = targets.iter().filter(|target| target.accepts).count();
    let accepting = u32::try_from(accepting).unwrap_or(u32::MAX);
    let per_target = policy.slices_per_target.max(1);
    accepting.saturating_mul(per_target).min(MOST_SLICES)
}

/// Cuts the ring into `policy.slices_per_target` slices for each accepting target and spreads them
/// by share, neighbours in different zones where possible. Empty when no target accepts slices.
pub fn initial(policy: &PlacementPolicy, targets: &[TargetState]) -> Vec<(SliceRange, TargetName)> {
    let count = regular_slices(policy, targets);
    if count == 0 {
        return Vec::new();
    }
    let mut spread = Spread::new(shares(policy, targets));
    let mut last_zone = None;
    let mut placed = Vec::with_capacity(count as usize);
    for range in SliceRange::partition(count) {
        let target = &targets[spread.next(|index| Some(&targets[index].zone) == last_zone)];
        last_zone = Some(&target.zone);
        placed.push((range, target.name.clone()));
    }
    placed
}

/// Weighted round robin: after any number of turns each target has its share of them, to within
/// about a turn.
struct Spread {
    shares: Vec<f64>,
    /// Turns that each target is owed; they sum to 0 between turns.
    credit: Vec<f64>,
}

/// Credit within which two targets are equally in turn.
const EQUAL_CREDIT: f64 = 1.0e-9;

impl Spread {
    fn new(shares: Vec<f64>) -> Self {
        let credit = vec![0.0; shares.len()];
        Self { shares, credit }
    }

    /// The target in turn. Of targets equally in turn the first that is not avoided.
    fn next(&mut self, avoided: impl Fn(usize) -> bool) -> usize {
        for (credit, share) in self.credit.iter_mut().zip(&self.shares) {
            *credit += share;
        }
        let due = (0..self.shares.len()).filter(|index| self.shares[*index] > 0.0);
        let highest = due.clone().map(|index| self.credit[index]);
        let highest = highest.fold(f64::NEG_INFINITY, f64::max);
        let mut tied = due.filter(|index| self.credit[*index] > highest - EQUAL_CREDIT);
        let first = tied.clone().next().expect("one target has a share");
        let chosen = tied.find(|index| !avoided(*index)).unwrap_or(first);
        self.credit[chosen] -= 1.0;
        chosen
    }
}
