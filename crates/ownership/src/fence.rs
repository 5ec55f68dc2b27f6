//! Numbers that identify processes and that order epochs, store eras and grants.

use serde::{Deserialize, Serialize};

/// Identifies one start of a node's process; drawn at random at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Number of a leadership; each leader that is elected has a higher one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// How many times the store has been restored from a backup that lacks its latest acknowledged
/// writes. Revisions continue from the backup's after a restore, so they are only comparable within
/// an era.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StoreEra(pub u64);

/// A revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StorePosition {
    /// The era in which the store assigned the revision.
    pub era: StoreEra,
    /// The revision within that era.
    pub revision: u64,
}

/// Fencing token that orders the grants of a key: a target refuses a grant with a lower fence than
/// one that it has seen.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// Epochs that a claim skips for each restore of the store. It exceeds the number of elections that
/// the backup can lack: an election takes at least a tenth of a second, and the backup is some
/// seconds old.
const EPOCHS_SKIPPED_PER_RESTORE: u64 = 1 << 10;

impl Epoch {
    /// The lowest epoch above this one that no claim can have used, if the store has been restored
    /// `times` times since this epoch was written.
    pub fn next_after_restores(self, times: u64) -> Self {
        Self(self.0 + times * EPOCHS_SKIPPED_PER_RESTORE + 1)
    }
}

/// Fences per epoch. Epoch times this number stays below 2^53, so that a fence survives any JSON
/// implementation.
const FENCES_PER_EPOCH: u64 = 1 << 24;

impl Fence {
    /// The first fence of an epoch, above all fences of earlier epochs.
    pub fn first_of(epoch: Epoch) -> Self {
        Self(epoch.0 * FENCES_PER_EPOCH)
    }

    /// The fence for the next grant. It skips one number, which [`Fence::for_release`] uses.
    pub fn next_grant(self) -> Self {
        Self(self.0 + 2)
    }

    /// The fence for the release of this grant. It is above the grant's, so that a delayed copy of
    /// the grant is refused, and below the next grant's.
    pub fn for_release(self) -> Self {
        Self(self.0 + 1)
    }
}
