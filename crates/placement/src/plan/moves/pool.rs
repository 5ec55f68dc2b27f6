//! Slices that may be moved, by owner.

use wingspar_world::SliceRange;

use crate::move_charge;
use crate::plan::reshape::Reshaper;
use crate::plan::sweep::Sweep;
use crate::plan::view::View;

/// A slice that may be moved.
#[derive(Debug, Clone, Copy)]
pub(super) struct Movable {
    pub(super) range: SliceRange,
    /// Requests a second.
    pub(super) load: f64,
    /// What its move costs the budget.
    pub(super) charge: f64,
}

/// What is asked of a slice to be moved.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish {
    pub(super) most_load: f64,
    pub(super) least_load: f64,
    pub(super) most_charge: f64,
}

/// Slices that may be moved, by owner.
pub(super) struct Pool {
    owners: Vec<Owned>,
}

#[derive(Debug, Clone, Default)]
struct Owned {
    /// In order of falling load once `is_sorted`, before that in order of range.
    slices: Vec<Movable>,
    is_sorted: bool,
    is_exhausted: bool,
}

impl Pool {
    pub(super) fn new(view: &View<'_>, sweep: &Sweep, reshaper: &Reshaper) -> Self {
        let mut owners = vec![Owned::default(); view.shares.len()];
        for candidate in sweep.candidates() {
            if !reshaper.has_touched(&candidate.range) {
                owners[candidate.owner].slices.push(Movable {
                    range: candidate.range,
                    load: sweep.load_of(candidate, view),
                    charge: move_charge(&candidate.range),
                });
            }
        }
        Self { owners }
    }

    /// Whether nothing more can be taken from the owner in this batch.
    pub(super) fn is_exhausted(&self, owner: usize) -> bool {
        let owned = &self.owners[owner];
        owned.is_exhausted || owned.slices.is_empty()
    }

    /// Takes nothing more from the owner in this batch.
    pub(super) fn exhaust(&mut self, owner: usize) {
        self.owners[owner].is_exhausted = true;
    }

    /// Takes the owner's heaviest slice that fits: the fewest moves.
    pub(super) fn take(&mut self, owner: usize, wish: &Wish) -> Option<Movable> {
        let owned = &mut self.owners[owner];
        owned.sort();
        let from = owned
            .slices
            .partition_point(|one| one.load > wish.most_load);
        let light_enough = owned.slices[from..].iter();
        let skipped = light_enough.take_while(|one| one.charge > wish.most_charge);
        let at = from + skipped.count();
        let fits = owned.slices.get(at)?.load >= wish.least_load;
        fits.then(|| owned.slices.remove(at))
    }

    /// Takes one slice of the owner, if it may be moved and its charge is at most this.
    pub(super) fn take_exactly(
        &mut self,
        owner: usize,
        range: &SliceRange,
        most_charge: f64,
    ) -> Option<Movable> {
        let slices = &mut self.owners[owner].slices;
        let at = slices.iter().position(|one| &one.range == range)?;
        (slices[at].charge <= most_charge).then(|| slices.remove(at))
    }

    /// The owner's heaviest slice of more than one hash.
    pub(super) fn heaviest_divisible(&self, owner: usize) -> Option<Movable> {
        let slices = self.owners[owner].slices.iter();
        let divisible = slices.filter(|one| one.range.span() > 0);
        divisible
            .max_by(|left, right| left.load.total_cmp(&right.load))
            .copied()
    }
}

impl Owned {
    fn sort(&mut self) {
        if !self.is_sorted {
            let by_load = |left: &Movable, right: &Movable| {
                let load = right.load.total_cmp(&left.load);
                load.then_with(|| left.range.cmp(&right.range))
            };
            self.slices.sort_by(by_load);
            self.is_sorted = true;
        }
    }
}
