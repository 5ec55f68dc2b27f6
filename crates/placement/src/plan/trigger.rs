//! When moves begin and when they stop.

use std::collections::BTreeMap;

use wingspar_world::{MonotonicTime, RegionName};

use super::peak::Peak;
use super::view::View;
use crate::imbalance;

/// Deviation of a region's share of the load from its due share at which a shift begins of itself.
const SHIFT_START: f64 = 0.05;

/// Deviation at which a shift is complete.
pub(super) const SHIFT_DONE: f64 = 0.01;

/// Relative load of a target below which it counts as starved, so that others fill it: one that
/// joined, mostly, since among many targets that hardly raises the load of the others.
const STARVED: f64 = 0.5;

/// Hysteresis of a service's moves.
#[derive(Debug, Clone, Default)]
pub(super) struct Trigger {
    balancing: bool,
    /// Since when the imbalance has been too high.
    high_since: Option<MonotonicTime>,
    filling: bool,
    /// Since when a target has been starved.
    starved_since: Option<MonotonicTime>,
    shifting: bool,
    /// Since when a region has deviated too far.
    shift_since: Option<MonotonicTime>,
    /// Region weights at the last look; changed weights begin a shift at once.
    weights: Option<BTreeMap<RegionName, f64>>,
    peak: Peak,
}

/// Kinds of moves that are wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Wanted {
    /// Moves from target to target.
    pub(super) balance: bool,
    /// Moves from target to target for the sake of a starved one.
    pub(super) fill: bool,
    /// Moves from region to region.
    pub(super) shift: bool,
}

impl Trigger {
    /// No moves are wanted now; an imbalance must last anew afterwards.
    pub(super) fn hold(&mut self) {
        self.balancing = false;
        self.filling = false;
        self.high_since = None;
        self.starved_since = None;
        self.shift_since = None;
    }

    /// Looks at the targets' loads. While the service is not busy only a shift of weights goes on.
    pub(super) fn update(&mut self, view: &View<'_>, loads: &[f64]) -> Wanted {
        let busy = self.peak.is_busy(view.input.now, loads.iter().sum());
        if !busy {
            self.hold();
        }
        self.update_balance(view, imbalance(loads, &view.shares));
        self.update_fill(view, lowest_relative_load(view, loads));
        self.update_shift(view, region_deviation(view, loads));
        Wanted {
            balance: busy && self.balancing,
            fill: busy && self.filling,
            shift: self.shifting,
        }
    }

    fn update_balance(&mut self, view: &View<'_>, imbalance: f64) {
        let policy = view.input.policy;
        let is_high = imbalance > policy.imbalance_high;
        if imbalance <= policy.imbalance_low {
            self.balancing = false;
        }
        if lasts(&mut self.high_since, is_high, view) {
            self.balancing = true;
        }
    }

    fn update_fill(&mut self, view: &View<'_>, lowest: f64) {
        if lowest >= filled(view) {
            self.filling = false;
        }
        if lasts(&mut self.starved_since, lowest < STARVED, view) {
            self.filling = true;
        }
    }

    fn update_shift(&mut self, view: &View<'_>, deviation: f64) {
        let weights = &view.input.policy.region_weights;
        let changed = self.weights.as_ref() != Some(weights);
        if changed {
            self.weights = Some(weights.clone());
        }
        let lasts = lasts(&mut self.shift_since, deviation > SHIFT_START, view);
        if weights.is_empty() || deviation <= SHIFT_DONE {
            self.shifting = false;
        } else if changed || lasts {
            self.shifting = true;
        }
    }
}

/// Relative load from which a starved target counts as filled.
pub(super) fn filled(view: &View<'_>) -> f64 {
    (2.0 - view.input.policy.imbalance_low).clamp(STARVED, 1.0)
}

/// Lowest load of a target over its due load.
fn lowest_relative_load(view: &View<'_>, loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    let due = loads
        .iter()
        .zip(&view.shares)
        .filter(|(_, share)| **share > 0.0);
    let relative = due.map(|(load, share)| load / (share * total));
    relative.fold(1.0, f64::min)
}

/// Whether something has been so for the sustain time; `since` keeps when it began.
fn lasts(since: &mut Option<MonotonicTime>, is_so: bool, view: &View<'_>) -> bool {
    if !is_so {
        *since = None;
        return false;
    }
    let now = view.input.now;
    let began = *since.get_or_insert(now);
    now.since(began) >= view.input.limits.sustain
}

/// Largest difference between a region's share of the load and its due share.
fn region_deviation(view: &View<'_>, loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 0.0;
    }
    let mut deviations: BTreeMap<&RegionName, f64> = BTreeMap::new();
    for (at, target) in view.input.targets.iter().enumerate() {
        *deviations.entry(&target.region).or_insert(0.0) += loads[at] / total - view.shares[at];
    }
    deviations.values().map(|one| one.abs()).fold(0.0, f64::max)
}
