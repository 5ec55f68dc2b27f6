//! Elective decisions: moves, splits and merges of a service's slices.
//!
//! A call sweeps over a bounded stretch of the slices. Hot slices are split and cold ones merged as
//! they are met; moves are decided when a sweep has reached the end of the ring, since only then
//! every target's load is known.

mod input;
mod moves;
mod peak;
mod reshape;
mod smooth;
mod sweep;
mod trigger;
mod view;

use wingspar_world::{KeyHash, MonotonicTime, TargetName};

use crate::{Action, ChurnBudget, SliceState};

pub use input::{PlanInput, PlanLimits};

use moves::Mover;
use reshape::Reshaper;
use smooth::SmoothLoads;
use sweep::Sweep;
use trigger::Trigger;
use view::View;

/// Plans one service. Its memory is soft: a new leader starts with a new planner.
#[derive(Debug, Clone)]
pub struct Planner {
    /// Start of the next stretch.
    cursor: KeyHash,
    /// What the present sweep has seen since the ring's start.
    sweep: Sweep,
    /// Targets of the present sweep, which names them by position.
    targets: Vec<TargetName>,
    reshaper: Reshaper,
    trigger: Trigger,
    smooth: SmoothLoads,
    /// No move is planned before.
    settled_at: MonotonicTime,
}

impl Default for Planner {
    fn default() -> Self {
        Self::new()
    }
}

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new() -> Self {
        Self {
            cursor: KeyHash(0),
            sweep: Sweep::default(),
            targets: Vec::new(),
            reshaper: Reshaper::default(),
            trigger: Trigger::default(),
            smooth: SmoothLoads::default(),
            settled_at: MonotonicTime::ZERO,
        }
    }

    /// First hash of the slice from which the next call wants to read.
    pub fn cursor(&self) -> KeyHash {
        self.cursor
    }

    /// Looks at slices and decides. `slices` yields the service's slices in order of range from
    /// [`Planner::cursor`] to the end of the ring; it is read lazily and at most
    /// `limits.slices_per_call` are taken. Moves are paid from `budget` at once. The actions touch
    /// disjoint slices, so they may be carried out in any order. Call it about once a second.
    pub fn step<'a>(
        &mut self,
        input: &PlanInput<'_>,
        slices: impl Iterator<Item = SliceState<'a>>,
        budget: &mut ChurnBudget,
    ) -> Vec<Action> {
        let view = View::new(input);
        self.forget_other_targets(input);
        if input.is_held() || !view.any_accepts() {
            self.restart_sweep();
            self.trigger.hold();
            self.smooth.forget();
            return Vec::new();
        }
        let mut actions = Vec::new();
        let finished = self.read(&view, slices, &mut actions);
        if finished {
            self.decide_moves(&view, budget, &mut actions);
            self.reshaper.finish_sweep(self.sweep.slices(), input.now);
            self.restart_sweep();
        }
        actions
    }

    /// Reads a stretch; true when it reached the end of the ring.
    fn read<'a>(
        &mut self,
        view: &View<'_>,
        slices: impl Iterator<Item = SliceState<'a>>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let limit = view.input.limits.slices_per_call.max(1);
        let mut stretch = self.reshaper.start_stretch(view);
        let mut read = 0;
        for slice in slices.take(limit) {
            let slice = view.read(&slice);
            stretch.look_at(&slice, actions);
            self.sweep.add(&slice, view);
            self.cursor = KeyHash(slice.range.last.0.wrapping_add(1));
            read += 1;
        }
        read < limit || self.cursor == KeyHash(0)
    }

    fn decide_moves(
        &mut self,
        view: &View<'_>,
        budget: &mut ChurnBudget,
        actions: &mut Vec<Action>,
    ) {
        let loads = self.smooth.update(view, &self.sweep.loads(view));
        let wanted = self.trigger.update(view, &loads);
        if view.input.now < self.settled_at {
            return;
        }
        let mut mover = Mover::new(view, &self.sweep, &self.reshaper, loads, budget);
        mover.consolidate();
        mover.shift(wanted);
        mover.balance(wanted);
        let (planned, loads) = mover.finish();
        self.smooth.expect(loads);
        self.note(&planned, view.input);
        actions.extend(planned);
    }

    fn note(&mut self, planned: &[Action], input: &PlanInput<'_>) {
        for action in planned {
            match action {
                Action::Move { .. } => self.settled_at = input.now + input.limits.settle,
                Action::Split { range, .. } => self.reshaper.rest(range, input.now),
                Action::Merge { .. } => {}
            }
        }
    }

    fn forget_other_targets(&mut self, input: &PlanInput<'_>) {
        let names = || input.targets.iter().map(|target| &target.name);
        if !names().eq(&self.targets) {
            self.targets = names().cloned().collect();
            self.restart_sweep();
        }
    }

    fn restart_sweep(&mut self) {
        self.cursor = KeyHash(0);
        self.sweep = self.sweep.next();
        self.reshaper.start_sweep();
    }
}
