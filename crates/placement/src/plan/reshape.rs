//! Splits of hot slices, merges of cold ones, and the return of cold fragments.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wingspar_world::{KeyHash, MonotonicTime, SliceRange};

use super::view::{Slice, View};
use crate::{Action, HotKey};

/// A service's slices may grow to this multiple of their regular number.
const MOST_GROWTH: usize = 4;

/// A slice narrower than this part of a regular slice is a fragment.
const FRAGMENT_PART: f64 = 0.25;

/// Fragments are returned once a service has this many times its regular slices.
const TOLERATED_GROWTH: f64 = 1.25;

/// Time for which the parts of a split slice are not merged: their loads must be reported first.
const SPLIT_REST: Duration = Duration::from_secs(60);

/// Fragments that a sweep remembers.
const MOST_FRAGMENTS: usize = 256;

/// Spare room for rounding when widths are added.
const WIDTH_TOLERANCE: f64 = 1.0e-6;

/// Decides on the shape of slices. Its memory lasts over sweeps.
#[derive(Debug, Clone, Default)]
pub(super) struct Reshaper {
    /// Slices that the last whole sweep found; 0 before the first.
    known_slices: usize,
    /// Last hash of each slice that was split, by its first, and when its parts may be merged.
    resting: BTreeMap<KeyHash, (KeyHash, MonotonicTime)>,
    /// First hashes of the slices that were reshaped in this sweep.
    touched: BTreeSet<KeyHash>,
    fragments: Vec<Fragment>,
}

/// A cold fragment beside a slice of another owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fragment {
    pub(super) range: SliceRange,
    pub(super) owner: usize,
    pub(super) neighbour: usize,
}

impl Reshaper {
    /// Begins a stretch of slices.
    pub(super) fn start_stretch<'r, 'v>(&'r mut self, view: &'v View<'v>) -> Stretch<'r, 'v> {
        Stretch {
            splits_left: self.splits_allowed(view),
            merges_left: self.merges_allowed(view),
            reshaper: self,
            view,
            previous: None,
        }
    }

    /// Begins a sweep.
    pub(super) fn start_sweep(&mut self) {
        self.touched.clear();
        self.fragments.clear();
    }

    /// Learns how many slices a whole sweep has found.
    pub(super) fn finish_sweep(&mut self, slices: usize, now: MonotonicTime) {
        self.known_slices = slices;
        self.resting.retain(|_, (_, until)| *until > now);
    }

    /// Whether the slice was reshaped in this sweep.
    pub(super) fn has_touched(&self, range: &SliceRange) -> bool {
        self.touched.contains(&range.first)
    }

    /// Cold fragments found in this sweep.
    pub(super) fn fragments(&self) -> &[Fragment] {
        &self.fragments
    }

    /// Slices that may be split now.
    pub(super) fn splits_allowed(&self, view: &View<'_>) -> usize {
        let most = view.regular_slices * MOST_GROWTH;
        let room = most.saturating_sub(self.known_slices);
        room.min(view.input.limits.reshapes_per_call)
    }

    fn merges_allowed(&self, view: &View<'_>) -> usize {
        let spare = self.known_slices.saturating_sub(view.regular_slices);
        spare.min(view.input.limits.reshapes_per_call)
    }

    /// Keeps the parts of a split slice from being merged at once.
    pub(super) fn rest(&mut self, range: &SliceRange, now: MonotonicTime) {
        let until = now + SPLIT_REST;
        self.resting.insert(range.first, (range.last, until));
        self.touched.insert(range.first);
    }

    fn is_resting(&self, range: &SliceRange, now: MonotonicTime) -> bool {
        let mut before = self.resting.range(..=range.last);
        let last = before.next_back();
        last.is_some_and(|(_, (last, until))| *last >= range.first && *until > now)
    }
}

/// A stretch of neighbouring slices.
pub(super) struct Stretch<'r, 'v> {
    reshaper: &'r mut Reshaper,
    view: &'v View<'v>,
    splits_left: usize,
    merges_left: usize,
    /// The slice before, unless it was reshaped.
    previous: Option<Slice<'v>>,
}

impl<'v> Stretch<'_, 'v> {
    /// Looks at the next slice and adds what is to be done with it.
    pub(super) fn look_at(&mut self, slice: &Slice<'v>, actions: &mut Vec<Action>) {
        let previous = self.previous.take();
        if self.may_split(slice) {
            actions.push(self.split(slice));
        } else if let Some(left) = previous.filter(|left| self.may_merge(left, slice)) {
            actions.push(self.merge(&left, slice));
        } else {
            let fragment = previous.and_then(|left| self.fragment(&left, slice));
            self.reshaper.fragments.extend(fragment);
            self.previous = fragment.is_none().then_some(*slice);
        }
    }

    fn may_split(&self, slice: &Slice<'_>) -> bool {
        let is_hot = slice.reported.is_some_and(|load| load > self.view.hot_load);
        is_hot && self.splits_left > 0 && slice.range.span() > 0 && self.is_free(slice)
    }

    /// Whether the slice has an owner that may go on owning it, and nothing happens to it.
    fn is_free(&self, slice: &Slice<'_>) -> bool {
        slice.is_steady && slice.owner.is_some_and(|owner| self.view.accepts(owner))
    }

    fn split(&mut self, slice: &Slice<'_>) -> Action {
        self.splits_left -= 1;
        self.reshaper.rest(&slice.range, self.view.input.now);
        let load = slice.reported.unwrap_or(0.0);
        Action::Split {
            range: slice.range,
            at: cuts(&slice.range, load, slice.hot_keys, self.view.hot_load),
        }
    }

    fn may_merge(&self, left: &Slice<'_>, right: &Slice<'_>) -> bool {
        self.merges_left > 0 && left.owner == right.owner && self.fit_together(left, right)
    }

    /// Whether two slices could be one, if they had the same owner.
    fn fit_together(&self, left: &Slice<'_>, right: &Slice<'_>) -> bool {
        let now = self.view.input.now;
        let regular = 1.0 / self.view.regular_slices.max(1) as f64;
        let width = left.ring_share + right.ring_share;
        let load = left.reported.unwrap_or(0.0) + right.reported.unwrap_or(0.0);
        left.range.last.0.checked_add(1) == Some(right.range.first.0)
            && self.is_free(left)
            && self.is_free(right)
            && width <= regular * (1.0 + WIDTH_TOLERANCE)
            && load < self.view.cold_load()
            && !self.reshaper.is_resting(&left.range, now)
            && !self.reshaper.is_resting(&right.range, now)
    }

    fn merge(&mut self, left: &Slice<'_>, right: &Slice<'_>) -> Action {
        self.merges_left -= 1;
        self.reshaper.touched.insert(left.range.first);
        self.reshaper.touched.insert(right.range.first);
        Action::Merge {
            left: left.range,
            right: right.range,
        }
    }

    fn fragment(&self, left: &Slice<'_>, slice: &Slice<'_>) -> Option<Fragment> {
        let (neighbour, owner) = (left.owner?, slice.owner?);
        let regular = self.view.regular_slices as f64;
        let is_wanted = self.reshaper.known_slices as f64 > regular * TOLERATED_GROWTH
            && self.reshaper.fragments.len() < MOST_FRAGMENTS
            && owner != neighbour
            && slice.ring_share < FRAGMENT_PART / regular
            && slice.is_old
            && self.view.shares[neighbour] > 0.0
            && self.fit_together(left, slice);
        is_wanted.then_some(Fragment {
            range: slice.range,
            owner,
            neighbour,
        })
    }
}

/// Where a slice is cut: around its hot keys, or in the middle when no key explains its load.
pub(super) fn cuts(
    range: &SliceRange,
    load: f64,
    hot_keys: &[HotKey],
    hot_load: f64,
) -> Vec<KeyHash> {
    let least = hot_load.min(load / 2.0);
    let stands_out = |hot: &&HotKey| hot.requests_per_second >= least;
    let mut at = BTreeSet::new();
    for hot in hot_keys.iter().filter(stands_out) {
        if hot.key > range.first {
            at.insert(hot.key);
        }
        if hot.key < range.last {
            at.insert(KeyHash(hot.key.0 + 1));
        }
    }
    if at.is_empty() {
        at.insert(middle(range));
    }
    at.into_iter().collect()
}

/// First hash of the upper half of a range of at least two hashes.
fn middle(range: &SliceRange) -> KeyHash {
    KeyHash(range.first.0 + range.span() / 2 + 1)
}
