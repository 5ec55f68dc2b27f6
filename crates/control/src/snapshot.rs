//! The snapshot written behind to the store, by compare-and-set, so that it never goes back.

use serde::{Deserialize, Serialize};
use wingspar_consensus::{LogPosition, Replica};
use wingspar_store::object::{Object, Version};
use wingspar_store::operation::{Operation, Reply};
use wingspar_store::{Answer, WriteOutcome};
use wingspar_wire::StateVersion;
use wingspar_world::MonotonicTime;

use crate::group_object::Origin;
use crate::store_io::Purpose;
use crate::{Control, Output};

/// The snapshot's object in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SnapshotObject {
    /// Names the write.
    pub(crate) change_id: String,
    /// Position in the log and the state there.
    #[serde(flatten)]
    pub(crate) origin: Origin,
}

/// The leader's progress with writing snapshots.
#[derive(Debug, Default)]
pub(crate) struct SnapshotWriter {
    /// Version of the state that the store is known to hold.
    stored: StateVersion,
    /// Version of the object in the store, once read; zero when there is none.
    object: Option<Version>,
    /// Version of the state being written.
    writing: Option<StateVersion>,
    next: MonotonicTime,
}

/// Reads the stored snapshot; `None` when it can't be read.
pub(crate) fn parse_snapshot(object: Object) -> Option<SnapshotObject> {
    serde_json::from_value(object.value).ok()
}

impl Control {
    /// Writes the state behind when it has changed, at most once in an interval.
    pub(crate) fn tend_snapshot(&mut self, out: &mut Vec<Output>) {
        let busy = self.store.is_pending(Purpose::ReadSnapshot)
            || self.store.is_pending(Purpose::WriteSnapshot);
        let version = self.state_version();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let writer = &mut leading.snapshot;
        if busy || self.now < writer.next || writer.stored >= version {
            return;
        }
        writer.next = self.now + self.settings.snapshot_interval;
        match writer.object {
            None => {
                let key = self.settings.snapshot_key();
                self.ask_store(Purpose::ReadSnapshot, Operation::Get { key }, out);
            }
            Some(expect) => self.write_snapshot(expect, out),
        }
    }

    fn write_snapshot(&mut self, expect: Version, out: &mut Vec<Output>) {
        let Some(replica) = &self.replica else {
            return;
        };
        let (position, _, snapshot) = replica.export_snapshot();
        let state = snapshot.version;
        let change_id = format!("snapshot-{}-{position}", self.node);
        let origin = Origin { position, snapshot };
        let object = SnapshotObject { change_id, origin };
        let Ok(value) = serde_json::to_value(&object) else {
            self.counters.malformed += 1;
            return;
        };
        if let Some(leading) = &mut self.leading {
            leading.snapshot.writing = Some(state);
        }
        let key = self.settings.snapshot_key();
        let operation = Operation::Put { key, value, expect };
        self.ask_store(Purpose::WriteSnapshot, operation, out);
    }

    /// Learns what the store holds. A snapshot of a later position means that another leads by now,
    /// so it is left alone.
    pub(crate) fn on_snapshot_read(&mut self, answer: Answer) {
        let Answer::Reply(Reply::Object(object)) = answer else {
            return;
        };
        let own = self.replica.as_ref().map(Replica::applied_position);
        let Some(leading) = &mut self.leading else {
            return;
        };
        let writer = &mut leading.snapshot;
        let version = object.as_ref().map_or(0, |object| object.version);
        let Some(stored) = object.and_then(parse_snapshot) else {
            writer.object = Some(version);
            writer.next = self.now;
            return;
        };
        let LogPosition { generation, .. } = stored.origin.position;
        if Some(stored.origin.position) > own {
            return;
        }
        if Some(generation) == own.map(|own| own.generation) {
            writer.stored = writer.stored.max(stored.origin.snapshot.version);
        }
        writer.object = Some(version);
        writer.next = self.now;
    }

    pub(crate) fn on_snapshot_written(&mut self, answer: Answer) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let writer = &mut leading.snapshot;
        let writing = writer.writing.take();
        match answer.into_write_outcome() {
            WriteOutcome::Written { version } => {
                writer.object = Some(version);
                writer.stored = writer.stored.max(writing.unwrap_or_default());
                self.counters.snapshots_written += 1;
            }
            WriteOutcome::Unavailable { .. } => {}
            // What the store holds now must be read before the next write.
            _ => writer.object = None,
        }
    }

    /// Version of the state that the store is known to hold.
    pub(crate) fn stored_version(&self) -> StateVersion {
        let leading = self.leading.as_ref();
        leading.map_or(StateVersion::default(), |it| it.snapshot.stored)
    }
}
