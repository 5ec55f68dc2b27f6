//! Which slices move, and where.
//!
//! A move never leaves the destination with more relative load than the source. So under a steady
//! load no move calls for its own reversal, and moves come to an end.

mod ledger;
mod pool;

use super::reshape::{Reshaper, cuts};
use super::sweep::Sweep;
use super::trigger::{SHIFT_DONE, Wanted, filled};
use super::view::View;
use crate::{Action, ChurnBudget, MoveReason};

use ledger::Ledger;
use pool::{Movable, Pool, Wish};

/// Load, as a multiple of the cold load, above which a slice may be split to make its parts movable:
/// lighter parts would be merged again.
const REFINED_PART: f64 = 2.0;

/// Plans one batch of moves.
pub(super) struct Mover<'a> {
    view: &'a View<'a>,
    reshaper: &'a Reshaper,
    budget: &'a mut ChurnBudget,
    ledger: Ledger<'a>,
    pool: Pool,
    moves_left: usize,
    actions: Vec<Action>,
}

impl<'a> Mover<'a> {
    pub(super) fn new(
        view: &'a View<'a>,
        sweep: &'a Sweep,
        reshaper: &'a Reshaper,
        loads: Vec<f64>,
        budget: &'a mut ChurnBudget,
    ) -> Self {
        let at_once = view.input.limits.hand_overs_for(sweep.slices());
        Self {
            view,
            reshaper,
            budget,
            ledger: Ledger::new(view, sweep, loads),
            pool: Pool::new(view, sweep, reshaper),
            moves_left: at_once.saturating_sub(view.input.hand_overs),
            actions: Vec::new(),
        }
    }

    /// The planned actions, and the targets' loads after them.
    pub(super) fn finish(self) -> (Vec<Action>, Vec<f64>) {
        (self.actions, self.ledger.into_loads())
    }

    /// Returns cold fragments to the owner of the slice before them.
    pub(super) fn consolidate(&mut self) {
        let reshaper = self.reshaper;
        for fragment in reshaper.fragments() {
            if self.moves_left == 0 {
                return;
            }
            let left = self.budget_left();
            if let Some(movable) = self
                .pool
                .take_exactly(fragment.owner, &fragment.range, left)
            {
                let reason = MoveReason::Consolidate;
                self.plan(fragment.owner, fragment.neighbour, &movable, reason);
            }
        }
    }

    /// Moves load from regions above their due share to regions below it.
    pub(super) fn shift(&mut self, wanted: Wanted) {
        if self.view.input.policy.region_weights.is_empty() {
            return;
        }
        while self.moves_left > 0 {
            let Some(source) = self.shift_source(wanted) else {
                return;
            };
            let Some(destination) = self.ledger.shift_destination(source) else {
                return;
            };
            let wish = Wish {
                most_load: self.shift_amount(source, destination),
                least_load: self.ledger.least_useful(source),
                most_charge: self.budget_left(),
            };
            match self.pool.take(source, &wish) {
                Some(movable) => {
                    self.plan(source, destination, &movable, MoveReason::RegionShift);
                }
                None => self.pool.exhaust(source),
            }
        }
    }

    /// A target without due share goes first: it must lose every slice.
    fn shift_source(&self, wanted: Wanted) -> Option<usize> {
        let usable = |target: &usize| !self.pool.is_exhausted(*target);
        let targets = || (0..self.view.shares.len()).filter(usable);
        let emptied = targets().find(|target| self.ledger.must_empty(*target));
        if emptied.is_some() || !wanted.shift {
            return emptied;
        }
        let least = SHIFT_DONE * self.ledger.total();
        let above = targets().filter(|target| self.ledger.region_excess(*target) > least);
        above.max_by(|left, right| self.ledger.compare_for_shift(*left, *right))
    }

    fn shift_amount(&self, source: usize, destination: usize) -> f64 {
        let room = self.ledger.room(destination);
        if self.ledger.must_empty(source) {
            return room;
        }
        let excess = self.ledger.region_excess(source);
        let deficit = -self.ledger.region_excess(destination);
        excess.min(deficit).min(room)
    }

    /// Moves load from targets above their due share to targets below it.
    pub(super) fn balance(&mut self, wanted: Wanted) {
        let is_shifting = self.actions.iter().any(is_shift);
        if !(wanted.balance || wanted.fill) || is_shifting {
            return;
        }
        let mut too_coarse = None;
        while self.moves_left > 0 {
            let Some((source, most, destination)) = self.balance_step(wanted) else {
                break;
            };
            let wish = Wish {
                most_load: most,
                least_load: self.ledger.least_useful(source),
                most_charge: self.budget_left(),
            };
            match self.pool.take(source, &wish) {
                Some(movable) => {
                    self.plan(source, destination, &movable, MoveReason::Balance);
                }
                None => {
                    too_coarse.get_or_insert((source, most));
                    self.pool.exhaust(source);
                }
            }
        }
        if self.actions.is_empty() {
            let split = too_coarse.and_then(|(source, most)| self.refine(source, most));
            self.actions.extend(split);
        }
    }

    /// The most loaded source, the load that it may give, and the least loaded destination. With
    /// region weights only a shift crosses regions, or the two would undo each other's work.
    fn balance_step(&self, wanted: Wanted) -> Option<(usize, f64, usize)> {
        let is_weighted = !self.view.input.policy.region_weights.is_empty();
        let usable = |target| !self.pool.is_exhausted(target);
        let source = self.ledger.most_loaded(usable)?;
        let destination = self.ledger.least_loaded(is_weighted.then_some(source))?;
        let low = self.view.input.policy.imbalance_low.max(1.0);
        let is_high = wanted.balance && self.ledger.relative_load(source) > low;
        let is_starved = wanted.fill && self.ledger.relative_load(destination) < filled(self.view);
        if !is_high && !is_starved {
            return None;
        }
        let even = self.ledger.evening_amount(source, destination);
        let most = even.min(self.ledger.room(destination));
        (most > 0.0).then_some((source, most, destination))
    }

    /// Splits the source's heaviest slice when every slice is too heavy to move.
    fn refine(&self, source: usize, most: f64) -> Option<Action> {
        if self.reshaper.splits_allowed(self.view) == 0 {
            return None;
        }
        let heaviest = self.pool.heaviest_divisible(source)?;
        let affordable = heaviest.charge <= self.budget_left();
        let lasts = heaviest.load > REFINED_PART * self.view.cold_load();
        let hot_keys = self.view.hot_keys_in(&heaviest.range);
        (heaviest.load > most && affordable && lasts).then(|| Action::Split {
            range: heaviest.range,
            at: cuts(&heaviest.range, heaviest.load, hot_keys, self.view.hot_load),
        })
    }

    fn budget_left(&self) -> f64 {
        let policy = self.view.input.policy;
        self.budget.left(self.view.input.now, policy.churn_per_hour)
    }

    fn plan(&mut self, from: usize, to: usize, movable: &Movable, reason: MoveReason) {
        self.budget.spend(self.view.input.now, movable.charge);
        self.ledger.apply(from, to, movable.load);
        self.moves_left -= 1;
        let name = |target: usize| self.view.input.targets[target].name.clone();
        self.actions.push(Action::Move {
            range: movable.range,
            from: name(from),
            to: name(to),
            reason,
        });
    }
}

fn is_shift(action: &Action) -> bool {
    let reason = MoveReason::RegionShift;
    matches!(action, Action::Move { reason: one, .. } if *one == reason)
}
