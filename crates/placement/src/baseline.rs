//! Ways of placing keys, with one interface for comparison.
//!
//! [`Modulo`], [`ConsistentHash`] and [`StaticSlices`] are the baselines; [`Planned`] is what the
//! control group does, with [`Successors`](crate::Successors) and a [`Planner`](crate::Planner).

mod consistent;
mod modulo;
mod planned;
mod static_slices;
mod table;

use wingspar_world::{KeyHash, MonotonicTime, TargetName};

use crate::TargetState;

pub use consistent::ConsistentHash;
pub use modulo::Modulo;
pub use planned::Planned;
pub use static_slices::StaticSlices;
pub use table::{PlacedSlice, SliceTable};

/// A way of placing keys on targets.
pub trait Placer {
    /// Name for reports.
    fn name(&self) -> &'static str;

    /// Learns that targets joined, left or changed. Targets that don't accept slices lose theirs.
    fn set_targets(&mut self, now: MonotonicTime, targets: &[TargetState]);

    /// Learns the present loads and may move keys; tells whether it did.
    fn observe(&mut self, observation: &Observation<'_>) -> bool;

    /// Owner of a key; `None` when no target accepts slices.
    fn owner(&self, key: KeyHash) -> Option<&TargetName>;
}

/// Present loads.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Present time.
    pub now: MonotonicTime,
    /// Minute of the day (UTC).
    pub minute_of_day: u16,
    /// The targets with their loads.
    pub targets: &'a [TargetState],
    /// Requests a second of each key, by key.
    pub keys: &'a [(KeyHash, f64)],
}
