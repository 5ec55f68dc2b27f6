//! The known state of the configuration in the store, as a state machine without I/O.
//!
//! A configuration of thousands of routes is most of a megabyte, as much as the slowest link
//! carries in a second. So it is only read if it may have changed. The store's revision takes a
//! few bytes to request and rises with every change: as long as it is the revision at which the
//! configuration was read, the configuration is still the latest.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use tokio::sync::Notify;
use wingspar_ownership::Time;

/// Maximum number of remembered revisions of other objects' changes. They are needed until the next
/// revision check, and in that time a leader writes a few objects.
const MAX_OTHER_CHANGES: usize = 64;

/// The store's revision, as requested at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionCheck {
    /// The revision that the store returned.
    pub revision: u64,
    /// When it was requested: at that time, the store's revision was no higher than this.
    pub asked_at: Time,
}

/// The known state of the stored configuration.
#[derive(Debug, Default)]
pub struct StoredConfiguration {
    /// Revision of the last change of the object that was read, and the configuration's version in
    /// it.
    read: Option<(u64, u64)>,
    /// The latest revision of the store at which that object was known to be unchanged.
    unchanged_at: Option<u64>,
    /// The first revision check that showed a later change, until it is known whether the
    /// configuration was what changed.
    unexplained: Option<RevisionCheck>,
    /// Revisions above `unchanged_at` of changes of other objects.
    other_changes: BTreeSet<u64>,
    /// Latest version received from the watch, or from a read on its behalf.
    watched_version: u64,
}

impl StoredConfiguration {
    /// Records the result of a revision check. Returns whether the configuration that was read is
    /// still the latest.
    pub fn record_check(&mut self, look: RevisionCheck) -> bool {
        self.skip_other_changes();
        if self.unchanged_at == Some(look.revision) {
            self.unexplained = None;
            return true;
        }
        self.unexplained.get_or_insert(look);
        false
    }

    /// The version in the object last changed at `revision`, if that has been read before.
    pub fn version_at(&self, revision: u64) -> Option<u64> {
        let (read, version) = self.read?;
        (read == revision).then_some(version)
    }

    /// Records a read of the object as last changed at `revision`. If that explains an earlier
    /// revision check, the configuration was the latest when that check was made, and its time is
    /// returned.
    pub fn read(&mut self, revision: u64, version: u64) -> Option<Time> {
        self.read = Some((revision, version));
        self.unchanged_at = self.unchanged_at.max(Some(revision));
        let look = self.unexplained.take_if(|look| look.revision <= revision)?;
        Some(look.asked_at)
    }

    /// Records that the object was read after a revision check: it is the latest as of that check.
    pub fn read_after(&mut self, look: RevisionCheck) {
        let read_at = self.read.map_or(0, |(revision, _)| revision);
        self.unchanged_at = Some(look.revision.max(read_at));
        self.unexplained = None;
    }

    /// Records that the change at `revision` was one of another object. Otherwise this node would
    /// read the configuration again for each object that it writes itself.
    pub fn record_other_change(&mut self, revision: u64) {
        self.other_changes.insert(revision);
        if self.other_changes.len() > MAX_OTHER_CHANGES {
            self.other_changes.pop_first();
        }
    }

    /// Advances past changes of other objects, after which the configuration is still the latest.
    fn skip_other_changes(&mut self) {
        let Some(unchanged_at) = &mut self.unchanged_at else {
            return;
        };
        while self.other_changes.remove(&(*unchanged_at + 1)) {
            *unchanged_at += 1;
        }
        self.other_changes = self.other_changes.split_off(unchanged_at);
    }

    /// Records a version received from the watch.
    pub fn record_watched(&mut self, version: u64) {
        self.watched_version = self.watched_version.max(version);
    }

    /// The latest version received from the watch.
    pub fn watched_version(&self) -> u64 {
        self.watched_version
    }
}

/// The state of reading the configuration from the store.
#[derive(Debug, Default)]
pub struct ConfigurationReads {
    /// The known state of the stored configuration.
    pub known: RefCell<StoredConfiguration>,
    /// Whether a watch is open at the store.
    pub watches: Cell<bool>,
    /// Bytes received so far of a watch's response, which contains whole configurations; 0 while
    /// the watch has nothing to report.
    pub watch_bytes: Cell<usize>,
    /// The read of the store in progress.
    pub reading: SingleFlight,
    /// The check in progress on behalf of other nodes that request the latest configuration.
    pub peer_check: SingleFlight,
    /// Whether the last check on behalf of other nodes succeeded.
    pub peer_check_succeeded: Cell<bool>,
    /// Number of times that another node of the region was chosen to be queried, because the one
    /// before didn't respond.
    pub reader_turn: Cell<u64>,
}

impl ConfigurationReads {
    /// Discards what was read: the store's revisions start anew after it was restored from a copy,
    /// so earlier ones don't describe its current contents.
    pub fn store_came_back(&self) {
        self.known.replace(StoredConfiguration::default());
    }

    /// Records that the response to the watch has ended.
    pub fn told(&self) {
        self.watches.set(false);
        self.watch_bytes.set(0);
        self.reading.ended.notify_waiters();
    }
}

/// Ensures that an operation runs once at a time, on behalf of all that want its result meanwhile.
#[derive(Debug, Default)]
pub struct SingleFlight {
    in_progress: Cell<bool>,
    ended: Notify,
}

impl SingleFlight {
    /// Begins the operation; `None` if it is already in progress. The operation ends when the guard
    /// is dropped.
    pub fn try_begin(&self) -> Option<FlightGuard<'_>> {
        // The guard is created lazily: dropping one ends the operation, also if it was begun by
        // another caller.
        (!self.in_progress.replace(true)).then(|| FlightGuard(self))
    }

    /// Whether the operation is in progress.
    pub fn is_in_progress(&self) -> bool {
        self.in_progress.get()
    }

    /// Waits until the operation in progress ends.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

/// Keeps the operation in progress until it is dropped.
#[derive(Debug)]
pub struct FlightGuard<'a>(&'a SingleFlight);

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(false);
        self.0.ended.notify_waiters();
    }
}
