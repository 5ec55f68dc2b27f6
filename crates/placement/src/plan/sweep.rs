//! What a sweep over the ring has seen.

use wingspar_world::{KeyHash, SliceRange};

use super::view::{Slice, View};

/// Slices that a sweep remembers as candidates for moves; of more it keeps half, then a quarter and so
/// on, besides all hot ones.
const MOST_CANDIDATES: usize = 16_384;

/// What a sweep over the ring has seen.
#[derive(Debug, Clone, Default)]
pub(super) struct Sweep {
    /// Number of the sweep; each samples other slices, so that every one gets its turn.
    number: u64,
    /// By position of the target.
    targets: Vec<TargetSums>,
    slices: usize,
    candidates: Vec<Candidate>,
    /// Times that the kept part of the ordinary slices was halved.
    halvings: u32,
}

/// Sums over one target's slices.
#[derive(Debug, Clone, Copy, Default)]
struct TargetSums {
    slices: usize,
    ring_share: f64,
    reported: f64,
    /// Share of the ring of the slices without a reported load.
    unreported_share: f64,
    has_unreported: bool,
}

/// A slice that may be moved.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) range: SliceRange,
    pub(super) owner: usize,
    pub(super) ring_share: f64,
    reported: Option<f64>,
    is_hot: bool,
}

impl Sweep {
    /// The sweep after this one.
    pub(super) fn next(&self) -> Self {
        Self {
            number: self.number.wrapping_add(1),
            ..Self::default()
        }
    }

    /// Counts a slice.
    pub(super) fn add(&mut self, slice: &Slice<'_>, view: &View<'_>) {
        self.slices += 1;
        let Some(owner) = slice.owner else {
            return;
        };
        self.targets
            .resize(view.shares.len(), TargetSums::default());
        self.targets[owner].add(slice);
        if !slice.is_steady || !slice.may_move || !view.accepts(owner) {
            return;
        }
        let is_hot = slice.reported.is_some_and(|load| load > view.hot_load);
        if is_hot || self.samples(&slice.range) {
            self.candidates.push(Candidate {
                range: slice.range,
                owner,
                ring_share: slice.ring_share,
                reported: slice.reported,
                is_hot,
            });
        }
        if self.candidates.len() > MOST_CANDIDATES {
            self.thin_out();
        }
    }

    /// Slices seen.
    pub(super) fn slices(&self) -> usize {
        self.slices
    }

    /// Slices of a target.
    pub(super) fn slices_of(&self, target: usize) -> usize {
        self.targets.get(target).map_or(0, |sums| sums.slices)
    }

    /// Slices that may be moved, in order of range.
    pub(super) fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// Load of each target in requests a second; 0 for targets that don't accept slices.
    pub(super) fn loads(&self, view: &View<'_>) -> Vec<f64> {
        let load = |target: usize| match self.targets.get(target) {
            Some(sums) if view.accepts(target) => {
                sums.load(observed(view, target)) + view.idle_load * sums.ring_share
            }
            _ => 0.0,
        };
        (0..view.shares.len()).map(load).collect()
    }

    /// Load of a slice in requests a second; above zero.
    pub(super) fn load_of(&self, candidate: &Candidate, view: &View<'_>) -> f64 {
        let sums = &self.targets[candidate.owner];
        let supposed =
            || sums.unreported_load(observed(view, candidate.owner), candidate.ring_share);
        candidate.reported.unwrap_or_else(supposed) + view.idle_load * candidate.ring_share
    }

    /// Forgets half of the ordinary candidates.
    fn thin_out(&mut self) {
        self.halvings += 1;
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.retain(|candidate| candidate.is_hot || self.samples(&candidate.range));
        self.candidates = candidates;
    }

    /// Whether an ordinary slice is among those kept. By hash, since owners often take turns along
    /// the ring, so that every second slice would leave out whole targets.
    fn samples(&self, range: &SliceRange) -> bool {
        if self.halvings == 0 {
            return true;
        }
        let mixed = KeyHash::of(&(range.first.0 ^ self.number).to_le_bytes());
        mixed.0.trailing_zeros() >= self.halvings
    }
}

fn observed(view: &View<'_>, target: usize) -> f64 {
    view.input.targets[target].requests_per_second
}

impl TargetSums {
    fn add(&mut self, slice: &Slice<'_>) {
        self.slices += 1;
        self.ring_share += slice.ring_share;
        match slice.reported {
            Some(load) => self.reported += load,
            None => {
                self.has_unreported = true;
                self.unreported_share += slice.ring_share;
            }
        }
    }

    /// The target's load. A target's own figure lags behind moves, the slices' figures don't, so it
    /// counts only when it has slices without a figure.
    fn load(&self, observed: f64) -> f64 {
        if self.has_unreported {
            observed.max(self.reported)
        } else {
            self.reported
        }
    }

    /// Load of a slice without a figure: its part of what the figures of the others don't explain.
    fn unreported_load(&self, observed: f64, ring_share: f64) -> f64 {
        if self.unreported_share <= 0.0 {
            return 0.0;
        }
        (observed - self.reported).max(0.0) * ring_share / self.unreported_share
    }
}
