//! What the decisions see of the world, and what they answer.

use wingspar_world::{KeyHash, MonotonicTime, RegionName, SliceRange, TargetName, ZoneName};

/// A target of the service as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetState {
    /// The target's name.
    pub name: TargetName,
    /// Region of its machine.
    pub region: RegionName,
    /// Zone of its machine.
    pub zone: ZoneName,
    /// Requests that it runs at once; its natural weight.
    pub slots: u32,
    /// Whether it may get slices: it is serving, and neither draining, down nor removed.
    pub accepts: bool,
    /// Requests started a second, smoothed over some seconds.
    pub requests_per_second: f64,
}

/// A slice as placement sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SliceState<'a> {
    /// The slice.
    pub range: SliceRange,
    /// Its owner; `None` while nobody serves it.
    pub owner: Option<&'a TargetName>,
    /// Next owner while a hand-over goes on; such a slice is left alone and its load counts there.
    pub moving_to: Option<&'a TargetName>,
    /// Requests started a second; `None` when its agent did not name it among its loaded slices.
    /// The figure stays with the slice when it moves, and its parts start with `None`.
    pub requests_per_second: Option<f64>,
    /// When its owner got it. The parts of a split slice inherit it.
    pub since: MonotonicTime,
}

/// A key that stands out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKey {
    /// The key's place on the ring.
    pub key: KeyHash,
    /// Requests started a second.
    pub requests_per_second: f64,
}

/// Why a slice is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// Its owner has more load than its share.
    Balance,
    /// The region weights give its region less than it has.
    RegionShift,
    /// It is a cold fragment that returns to a neighbour's owner, so that both can be merged.
    Consolidate,
}

/// An elective change of the slice table.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand a slice over. Ignore it when the range is no slice of `from` any more.
    Move {
        /// The slice, as it was given.
        range: SliceRange,
        /// Its owner when the decision was made.
        from: TargetName,
        /// The target that shall own it.
        to: TargetName,
        /// Why.
        reason: MoveReason,
    },
    /// Cut a slice; its owner keeps all parts.
    Split {
        /// The slice, as it was given.
        range: SliceRange,
        /// First hashes of the second and later parts: rising, inside the range, never its first.
        at: Vec<KeyHash>,
    },
    /// Join two adjacent slices of one owner.
    Merge {
        /// The lower slice.
        left: SliceRange,
        /// The upper slice; starts right after `left`.
        right: SliceRange,
    },
}
