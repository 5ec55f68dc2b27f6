//! Elective decisions: moves, splits and merges of a service's slices.

use std::time::Duration;

use wingspar_world::{KeyHash, MonotonicTime, PlacementPolicy};

use crate::{Action, ChurnBudget, HotKey, SliceState, TargetState};

/// What a call of [`Planner::step`] sees besides the slices.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Present time.
    pub now: MonotonicTime,
    /// Minute of the day (UTC), 0 to 1439. While it is not known, a policy with quiet windows makes
    /// no elective change.
    pub minute_of_day: Option<u16>,
    /// The service's policy.
    pub policy: &'a PlacementPolicy,
    /// All targets of the service, in order of name.
    pub targets: &'a [TargetState],
    /// Keys that stand out, in any order.
    pub hot_keys: &'a [HotKey],
    /// Hand-overs of the service that go on now, for whatever reason.
    pub hand_overs: usize,
    /// Bounds on the work of a call and the pace of changes.
    pub limits: PlanLimits,
}

/// Bounds on the work of a call and the pace of changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanLimits {
    /// Slices looked at in one call; a larger service is swept over several calls.
    pub slices_per_call: usize,
    /// Splits and merges made in one call.
    pub reshapes_per_call: usize,
    /// Hand-overs that may go on at once before no further move is planned.
    pub hand_overs: usize,
    /// Time for which a slice stays with its owner at least.
    pub minimum_dwell: Duration,
    /// Time from a batch of moves to the next, so that loads show the first one's effect.
    pub settle: Duration,
    /// Time for which the imbalance must last before moves begin.
    pub sustain: Duration,
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            slices_per_call: 65_536,
            reshapes_per_call: 32,
            hand_overs: 16,
            minimum_dwell: Duration::from_secs(30),
            settle: Duration::from_secs(3),
            sustain: Duration::from_secs(5),
        }
    }
}

/// Plans one service. Its memory is soft: a new leader starts with a new planner.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    cursor: KeyHash0,
}

/// Position of the sweep.
type KeyHash0 = u64;

impl Planner {
    /// A planner that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// First hash of the slice from which the next call wants to read.
    pub fn cursor(&self) -> KeyHash {
        KeyHash(self.cursor)
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
        let _ = (input, slices, budget);
        Vec::new()
    }
}
