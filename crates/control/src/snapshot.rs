//! The snapshot written behind to the store.

use wingspar_store::Answer;
use wingspar_wire::StateVersion;

use crate::{Control, Output};

/// The leader's progress with writing snapshots.
#[derive(Debug, Default)]
pub(crate) struct SnapshotWriter {
    stored: StateVersion,
}

impl Control {
    pub(crate) fn tend_snapshot(&mut self, _out: &mut Vec<Output>) {}

    pub(crate) fn on_snapshot_read(&mut self, _answer: Answer) {}

    pub(crate) fn on_snapshot_written(&mut self, _answer: Answer) {}

    /// Version of the state that the store is known to hold.
    pub(crate) fn stored_version(&self) -> StateVersion {
        let leading = self.leading.as_ref();
        leading.map_or(StateVersion::default(), |it| it.snapshot.stored)
    }
}
