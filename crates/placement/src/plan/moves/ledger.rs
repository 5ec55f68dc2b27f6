//! Loads of targets and regions while a batch of moves is planned.

use std::cmp::Ordering;

use crate::plan::sweep::Sweep;
use crate::plan::view::View;

/// Most load that a target gets in one batch, as a part of its due load: a target that starts cold
/// fills over several batches. A single slice may exceed it.
const MOST_INCOMING: f64 = 0.25;

/// Load, as a part of the mean load of its owner's slices, below which a slice is not worth a move.
const LEAST_USEFUL: f64 = 0.01;

/// Loads of targets while a batch of moves is planned, in requests a second.
pub(super) struct Ledger<'a> {
    shares: &'a [f64],
    /// Region of each target, by a number.
    regions: Vec<usize>,
    loads: Vec<f64>,
    slices: Vec<usize>,
    /// Load that each target gets in this batch.
    incoming: Vec<f64>,
    total: f64,
    /// Load above its due of each region.
    region_excess: Vec<f64>,
}

impl<'a> Ledger<'a> {
    pub(super) fn new(view: &'a View<'a>, sweep: &Sweep, loads: Vec<f64>) -> Self {
        let targets = view.input.targets;
        let same_region = |target: usize| {
            let region = &targets[target].region;
            targets.iter().position(|other| &other.region == region)
        };
        let total: f64 = loads.iter().sum();
        let regions: Vec<usize> = (0..targets.len())
            .map(|target| same_region(target).unwrap_or(target))
            .collect();
        let mut region_excess = vec![0.0; targets.len()];
        for (target, region) in regions.iter().enumerate() {
            region_excess[*region] += loads[target] - view.shares[target] * total;
        }
        let slices = |target| match view.accepts(target) {
            true => sweep.slices_of(target),
            false => 0,
        };
        Self {
            shares: &view.shares,
            slices: (0..targets.len()).map(slices).collect(),
            incoming: vec![0.0; targets.len()],
            regions,
            loads,
            total,
            region_excess,
        }
    }

    /// Load of each target.
    pub(super) fn into_loads(self) -> Vec<f64> {
        self.loads
    }

    /// Load of all targets.
    pub(super) fn total(&self) -> f64 {
        self.total
    }

    /// Whether the target has slices though nothing is due to it.
    pub(super) fn must_empty(&self, target: usize) -> bool {
        self.shares[target] <= 0.0 && self.slices[target] > 0
    }

    /// The target's load over its due load.
    pub(super) fn relative_load(&self, target: usize) -> f64 {
        self.loads[target] / self.due(target)
    }

    /// Load that a slice of the target must have to be worth a move.
    pub(super) fn least_useful(&self, target: usize) -> f64 {
        if self.must_empty(target) {
            return 0.0;
        }
        LEAST_USEFUL * self.loads[target] / self.slices[target].max(1) as f64
    }

    /// Load whose move leaves both targets with the same relative load.
    pub(super) fn evening_amount(&self, source: usize, destination: usize) -> f64 {
        let difference = self.relative_load(source) - self.relative_load(destination);
        difference / (1.0 / self.due(source) + 1.0 / self.due(destination))
    }

    /// Load above its due of the region that the target is in.
    pub(super) fn region_excess(&self, target: usize) -> f64 {
        self.region_excess[self.regions[target]]
    }

    /// Load that the target may still get in this batch; any slice when it got none yet.
    pub(super) fn room(&self, target: usize) -> f64 {
        if self.incoming[target] <= 0.0 {
            return f64::INFINITY;
        }
        self.due(target) * MOST_INCOMING - self.incoming[target]
    }

    /// The usable target with the highest relative load.
    pub(super) fn most_loaded(&self, usable: impl Fn(usize) -> bool) -> Option<usize> {
        let targets = self.due_targets().filter(|target| usable(*target));
        targets.max_by(|left, right| self.compare(*left, *right))
    }

    /// The target with the lowest relative load that has room, in the region of `near` if given.
    pub(super) fn least_loaded(&self, near: Option<usize>) -> Option<usize> {
        let region = near.map(|target| self.regions[target]);
        let is_near = |target: &usize| region.is_none_or(|one| one == self.regions[*target]);
        let targets = self.due_targets().filter(is_near);
        let targets = targets.filter(|target| self.room(*target) > 0.0);
        targets.min_by(|left, right| self.compare(*left, *right))
    }

    /// Where load of the source goes: the region with the least of its due, there the target with
    /// the lowest relative load, if it has room.
    pub(super) fn shift_destination(&self, source: usize) -> Option<usize> {
        let elsewhere = |target: &usize| self.regions[*target] != self.regions[source];
        let targets = self.due_targets().filter(elsewhere);
        let roomy = targets.filter(|target| self.room(*target) > 0.0);
        roomy.min_by(|left, right| self.compare_for_shift(*left, *right))
    }

    /// Orders by excess of the region, then by relative load.
    pub(super) fn compare_for_shift(&self, left: usize, right: usize) -> Ordering {
        let region = |target| self.region_excess(target);
        let by_region = region(left).total_cmp(&region(right));
        by_region.then_with(|| self.compare(left, right))
    }

    /// Counts a move.
    pub(super) fn apply(&mut self, from: usize, to: usize, load: f64) {
        self.loads[from] -= load;
        self.loads[to] += load;
        self.slices[from] -= 1;
        self.slices[to] += 1;
        self.incoming[to] += load;
        self.region_excess[self.regions[from]] -= load;
        self.region_excess[self.regions[to]] += load;
    }

    fn due(&self, target: usize) -> f64 {
        self.shares[target] * self.total
    }

    fn due_targets(&self) -> impl Iterator<Item = usize> {
        (0..self.shares.len()).filter(|target| self.shares[*target] > 0.0)
    }

    fn compare(&self, left: usize, right: usize) -> Ordering {
        let relative = |target| self.relative_load(target);
        relative(left).total_cmp(&relative(right))
    }
}
