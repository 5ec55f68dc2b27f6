//! Inputs of the planner.

use std::time::Duration;

use wingspar_world::{MonotonicTime, PlacementPolicy};

use crate::{HotKey, TargetState};

/// What a call of [`Planner::step`](crate::Planner::step) sees besides the slices.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// Present time.
    pub now: MonotonicTime,
    /// Minute of the day (UTC), 0 to 1439. While it is not known, a policy with quiet windows makes
    /// no elective change.
    pub minute_of_day: Option<u16>,
    /// The service's policy.
    pub policy: &'a PlacementPolicy,
    /// All targets of the service, always in the same order.
    pub targets: &'a [TargetState],
    /// Keys that stand out, in any order.
    pub hot_keys: &'a [HotKey],
    /// Hand-overs of the service that go on now, for whatever reason.
    pub hand_overs: usize,
    /// Bounds on the work of a call and the pace of changes.
    pub limits: PlanLimits,
}

impl PlanInput<'_> {
    /// Whether the policy forbids elective changes now.
    pub(crate) fn is_held(&self) -> bool {
        let windows = &self.policy.quiet_windows;
        let quiet = match self.minute_of_day {
            Some(minute) => windows.iter().any(|window| window.contains(minute)),
            None => !windows.is_empty(),
        };
        self.policy.paused || quiet
    }
}

/// Bounds on the work of a call and the pace of changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanLimits {
    /// Slices looked at in one call; a larger service is swept over several calls.
    pub slices_per_call: usize,
    /// Splits, and as many merges, made in one call.
    pub reshapes_per_call: usize,
    /// Hand-overs that may go on at once; a service with many slices may have one for every
    /// 1,024 of them, up to 512.
    pub hand_overs: usize,
    /// Time for which a slice stays with its owner at least.
    pub minimum_dwell: Duration,
    /// Time from a batch of moves to the next, so that loads show the first one's effect.
    pub settle: Duration,
    /// Time for which an imbalance must last before moves begin.
    pub sustain: Duration,
}

/// Slices of a large service for each hand-over that may go on at once.
const SLICES_PER_HAND_OVER: usize = 1_024;

/// Most hand-overs at once that a service gets for its size.
const MOST_HAND_OVERS: usize = 512;

impl PlanLimits {
    /// Hand-overs that may go on at once in a service of so many slices.
    pub(crate) fn hand_overs_for(&self, slices: usize) -> usize {
        let by_size = (slices / SLICES_PER_HAND_OVER).min(MOST_HAND_OVERS);
        self.hand_overs.max(by_size)
    }
}

impl Default for PlanLimits {
    fn default() -> Self {
        Self {
            slices_per_call: 32_768,
            reshapes_per_call: 32,
            hand_overs: 16,
            minimum_dwell: Duration::from_secs(30),
            settle: Duration::from_secs(3),
            sustain: Duration::from_secs(5),
        }
    }
}
