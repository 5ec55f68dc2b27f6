//! The last changes of the store, for watches.

use std::collections::VecDeque;

use crate::object::{Event, Revision, WatchBatch};
use crate::operation::Reply;

/// A ring of the last changes, oldest first.
#[derive(Debug, Clone)]
pub(super) struct History {
    capacity: usize,
    events: VecDeque<Event>,
    /// Revision of the newest change that was dropped; 0 when none was.
    dropped: Revision,
}

impl History {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            events: VecDeque::new(),
            dropped: 0,
        }
    }

    pub(super) fn push(&mut self, event: Event) {
        self.events.push_back(event);
        while self.events.len() > self.capacity {
            self.drop_oldest();
        }
    }

    /// The changes after `after`, or the news that they are not all known. An `after` in the future
    /// comes from a store that knew more than this one, so its reader must list again too.
    pub(super) fn after(&self, prefix: &str, after: Revision, revision: Revision) -> Reply {
        if after < self.dropped || after > revision {
            return Reply::HistoryLost { revision };
        }
        let first = self.events.partition_point(|event| event.version <= after);
        let events = self
            .events
            .range(first..)
            .filter(|event| event.key.starts_with(prefix))
            .cloned()
            .collect();
        Reply::Changes(WatchBatch { revision, events })
    }

    fn drop_oldest(&mut self) {
        if let Some(event) = self.events.pop_front() {
            self.dropped = event.version;
        }
    }
}
