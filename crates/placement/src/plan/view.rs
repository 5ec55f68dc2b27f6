//! One call's inputs, prepared for looking up.

use std::cell::Cell;
use std::collections::HashMap;

use wingspar_world::{SliceRange, TargetName};

use super::PlanInput;
use crate::initial::regular_slices;
use crate::share::idle_load;
use crate::{HotKey, SliceState, ring_share, shares};

/// One call's inputs, prepared for looking up.
pub(super) struct View<'a> {
    pub(super) input: &'a PlanInput<'a>,
    /// Due share of each target.
    pub(super) shares: Vec<f64>,
    /// Load supposed on the whole ring besides what is reported.
    pub(super) idle_load: f64,
    /// Slices that the service should have.
    pub(super) regular_slices: usize,
    /// Load above which a slice is hot.
    pub(super) hot_load: f64,
    /// By key.
    hot_keys: Vec<HotKey>,
    /// First hot key that may lie in the next slice read.
    next_hot_key: Cell<usize>,
    positions: HashMap<&'a TargetName, usize>,
}

/// A slice with its targets by position.
#[derive(Debug, Clone, Copy)]
pub(super) struct Slice<'a> {
    pub(super) range: SliceRange,
    /// Share of the ring that it covers.
    pub(super) ring_share: f64,
    /// Owner, or next owner while it moves; `None` when that is nobody of the present targets.
    pub(super) owner: Option<usize>,
    /// Whether it may be changed now.
    pub(super) is_steady: bool,
    /// Whether it has been with its owner for the minimum dwell time.
    pub(super) may_move: bool,
    /// Whether it has been with its owner for so long that a fragment may return.
    pub(super) is_old: bool,
    /// Reported load, at least that of its hot keys.
    pub(super) reported: Option<f64>,
    /// Hot keys inside, by key.
    pub(super) hot_keys: &'a [HotKey],
}

/// Load of a slice or pair, as a part of the hot load, below which it counts as cold. Far below the
/// hot load, so that a merged pair is not split again.
const COLD_PART: f64 = 0.125;

/// Minimum dwell times after which a cold fragment may return to a neighbour's owner.
const DWELLS_UNTIL_OLD: u32 = 10;

impl<'a> View<'a> {
    pub(super) fn new(input: &'a PlanInput<'a>) -> Self {
        let positions = input.targets.iter().enumerate();
        let mut hot_keys = input.hot_keys.to_vec();
        hot_keys.sort_by_key(|hot| hot.key);
        let idle_load = idle_load(input.targets);
        Self {
            input,
            shares: shares(input.policy, input.targets),
            idle_load,
            regular_slices: regular_slices(input.policy, input.targets) as usize,
            hot_load: input.policy.hot_slice_share * mean_load(input, idle_load),
            hot_keys,
            next_hot_key: Cell::new(0),
            positions: positions.map(|(at, target)| (&target.name, at)).collect(),
        }
    }

    pub(super) fn any_accepts(&self) -> bool {
        self.shares.iter().any(|share| *share > 0.0)
    }

    pub(super) fn accepts(&self, target: usize) -> bool {
        self.input.targets[target].accepts
    }

    /// Load below which a slice or pair of slices is cold.
    pub(super) fn cold_load(&self) -> f64 {
        self.hot_load * COLD_PART
    }

    /// Reads the next slice; slices are read in order of range.
    pub(super) fn read(&self, slice: &SliceState<'_>) -> Slice<'_> {
        let hot_keys = self.next_hot_keys_in(&slice.range);
        let hot_load: f64 = hot_keys.iter().map(|hot| hot.requests_per_second).sum();
        let reported = match slice.requests_per_second {
            Some(load) => Some(load.max(hot_load)),
            None => (hot_load > 0.0).then_some(hot_load),
        };
        let age = self.input.now.since(slice.since);
        let dwell = self.input.limits.minimum_dwell;
        let owner = slice.moving_to.or(slice.owner);
        Slice {
            range: slice.range,
            ring_share: ring_share(&slice.range),
            owner: owner.and_then(|name| self.positions.get(name).copied()),
            is_steady: slice.owner.is_some() && slice.moving_to.is_none(),
            may_move: age >= dwell,
            is_old: age >= dwell * DWELLS_UNTIL_OLD,
            reported,
            hot_keys,
        }
    }

    /// Hot keys in a range that is read in its turn, which saves a search.
    fn next_hot_keys_in(&self, range: &SliceRange) -> &[HotKey] {
        let rest = &self.hot_keys[self.next_hot_key.get()..];
        if rest.first().is_none_or(|hot| hot.key > range.last) {
            return &[];
        }
        let found = self.hot_keys_in(range);
        let passed = self.hot_keys.partition_point(|hot| hot.key <= range.last);
        self.next_hot_key.set(passed);
        found
    }

    /// Hot keys in any range.
    pub(super) fn hot_keys_in(&self, range: &SliceRange) -> &[HotKey] {
        let from = self.hot_keys.partition_point(|hot| hot.key < range.first);
        let to = self.hot_keys.partition_point(|hot| hot.key <= range.last);
        &self.hot_keys[from..to]
    }
}

/// Mean load of the accepting targets.
fn mean_load(input: &PlanInput<'_>, idle_load: f64) -> f64 {
    let accepting = || input.targets.iter().filter(|target| target.accepts);
    let load: f64 = accepting().map(|target| target.requests_per_second).sum();
    (load.max(0.0) + idle_load) / accepting().count().max(1) as f64
}
