//! Targets that leave get no new work, and planned stops cut nothing off.

use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_world::{MonotonicTime, NodeId, TargetName};

use super::Violation;
use crate::backend::JournalEntry;

/// Time from the acknowledgement of a drain to the last new start: the configuration bound of 5 s
/// and a lease with drift.
pub const DRAIN_BOUND: Duration = Duration::from_millis(8_000);

/// Targets that are draining.
#[derive(Debug, Clone, Default)]
pub struct Leaving {
    drained: BTreeMap<TargetName, MonotonicTime>,
}

impl Leaving {
    /// Takes in that a drain was acknowledged.
    pub fn drained(&mut self, now: MonotonicTime, target: &TargetName) {
        self.drained.entry(target.clone()).or_insert(now);
    }

    /// Takes in that a drain is being taken back, or may be.
    pub fn undrained(&mut self, target: &TargetName) {
        self.drained.remove(target);
    }

    /// Whether a target is draining.
    pub fn is_drained(&self, target: &TargetName) -> bool {
        self.drained.contains_key(target)
    }

    /// Takes in the start of work at a back end.
    ///
    /// # Errors
    /// When the target was drained longer ago than the bound.
    pub fn started(&self, entry: &JournalEntry) -> Result<(), Violation> {
        let Some(drained_at) = self.drained.get(&entry.target) else {
            return Ok(());
        };
        if entry.started <= *drained_at + DRAIN_BOUND {
            return Ok(());
        }
        Err(Violation::WorkAfterDrain {
            target: entry.target.clone(),
            request: entry.work.request,
            drained_at: *drained_at,
            started_at: entry.started,
        })
    }

    /// Takes in that a process ended as planned.
    ///
    /// # Errors
    /// When requests were in flight.
    pub fn planned_stop(&self, node: &NodeId, in_flight: usize) -> Result<(), Violation> {
        if in_flight == 0 {
            return Ok(());
        }
        Err(Violation::PlannedStopCut {
            node: node.clone(),
            in_flight,
        })
    }
}
