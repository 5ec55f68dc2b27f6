//! Where orphaned and drained slices go.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeSet, BinaryHeap};

use wingspar_world::{PlacementPolicy, SliceRange, TargetName, ZoneName};

use crate::share::idle_load;
use crate::{TargetState, ring_share, shares};

/// Chooses new owners for one round of orphaned or drained slices of a service.
///
/// Each choice counts in the next ones, so that many slices spread evenly. A choice costs the
/// logarithm of the number of targets.
#[derive(Debug, Clone)]
pub struct Successors {
    queue: BinaryHeap<Reverse<Candidate>>,
    /// Load that the whole ring has even when nobody asks for anything, in requests a second.
    idle_load: f64,
}

/// A target that may get slices.
#[derive(Debug, Clone)]
struct Candidate {
    name: TargetName,
    zone_failing: bool,
    share: f64,
    load: f64,
}

impl Successors {
    /// Starts a round. `targets` are all targets of the service with their present loads; those that
    /// don't accept slices are never chosen. Targets in `failing_zones` are chosen only when no
    /// other accepts. Region weights hold as in [`shares`].
    pub fn new(
        policy: &PlacementPolicy,
        targets: &[TargetState],
        failing_zones: &BTreeSet<ZoneName>,
    ) -> Self {
        let due = shares(policy, targets);
        let candidates = targets.iter().zip(due).filter(|(_, share)| *share > 0.0);
        let candidate = |(target, share): (&TargetState, f64)| Candidate {
            name: target.name.clone(),
            zone_failing: failing_zones.contains(&target.zone),
            share,
            load: target.requests_per_second.max(0.0),
        };
        Self {
            queue: candidates.map(candidate).map(Reverse).collect(),
            idle_load: idle_load(targets),
        }
    }

    /// The target that a slice goes to; `None` when no target accepts slices. The load in requests
    /// a second is `None` when it isn't known.
    pub fn choose(&mut self, slice: &SliceRange, load: Option<f64>) -> Option<TargetName> {
        let mut best = self.queue.peek_mut()?;
        best.0.load += load.unwrap_or(0.0).max(0.0) + self.idle_load * ring_share(slice);
        Some(best.0.name.clone())
    }
}

impl Candidate {
    fn relative_load(&self) -> f64 {
        self.load / self.share
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let zone = self.zone_failing.cmp(&other.zone_failing);
        let load = || self.relative_load().total_cmp(&other.relative_load());
        zone.then_with(load)
            .then_with(|| self.name.cmp(&other.name))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}
