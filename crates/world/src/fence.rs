//! Fence tokens, grants and leases: who may serve a slice, and until when.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{MonotonicTime, ServiceName, SliceRange, TargetName};

/// Fence token of a slice: strictly rises with every change of its owner.
///
/// `generation` rises only when a control group is formed anew after its majority was lost;
/// `sequence` is handed out by the group's replicated state.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Generation of the control group.
    pub generation: u32,
    /// Position in the group's order of grants.
    pub sequence: u64,
}

impl Fence {
    /// Reads the `generation.sequence` form written by `Display`.
    pub fn parse(text: &str) -> Option<Self> {
        let (generation, sequence) = text.split_once('.')?;
        Some(Self {
            generation: generation.parse().ok()?,
            sequence: sequence.parse().ok()?,
        })
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.generation, self.sequence)
    }
}

/// The sole right of one target to serve one slice, while the agent's lease runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The service the slice belongs to.
    pub service: ServiceName,
    /// The slice.
    pub range: SliceRange,
    /// The target that may serve it.
    pub target: TargetName,
    /// Token that outranks every earlier owner's.
    pub fence: Fence,
}

/// A lease as its holder sees it, on the holder's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// When the holder sent the renewal that was granted.
    pub renewed_at: MonotonicTime,
    /// How long it runs from then.
    pub duration: Duration,
}

impl Lease {
    /// First instant at which the lease is over.
    pub fn expires_at(&self) -> MonotonicTime {
        self.renewed_at + self.duration
    }

    /// Whether the lease still runs.
    pub fn is_valid(&self, now: MonotonicTime) -> bool {
        now < self.expires_at()
    }
}
