//! What the platform holds, shared by its request handlers and its owner.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;
use wingspar_store::model::{ModelSettings, ObjectStore};
use wingspar_store::object::{Machine, MachineState, Revision};
use wingspar_store::operation::{Operation, Reply};

use super::faults::Faults;

/// How often the platform was asked, by kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Lists and single reads.
    pub reads: u64,
    /// Puts and deletions.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Watches that are waiting now.
    pub watches_waiting: u64,
    /// Reads of the list of machines.
    pub machine_lists: u64,
    /// Requests refused or cut by a fault without effect.
    pub failed: u64,
    /// Writes whose answer was lost.
    pub answers_lost: u64,
}

/// A change of the list of machines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
pub enum MachineAction {
    /// Adds a live machine, or replaces the one of that name.
    Add {
        /// Name of the machine.
        name: String,
        /// Its zone.
        zone: String,
        /// Its IP address.
        address: String,
    },
    /// Marks a machine as leaving.
    Leave {
        /// Name of the machine.
        name: String,
    },
    /// Marks a machine as destroyed.
    Destroy {
        /// Name of the machine.
        name: String,
    },
}

#[derive(Debug)]
struct Inner {
    store: ObjectStore,
    faults: Faults,
    counters: Counters,
}

/// The platform's content, faults and counters. Clones are the same platform.
#[derive(Debug, Clone)]
pub struct PlatformState {
    inner: Arc<Mutex<Inner>>,
    /// Counts changes of the store and of the faults, to wake waiting watches.
    changes: watch::Sender<u64>,
    started: Instant,
}

impl Default for PlatformState {
    fn default() -> Self {
        Self::new(ModelSettings::default())
    }
}

impl PlatformState {
    /// An empty platform.
    #[must_use]
    pub fn new(settings: ModelSettings) -> Self {
        let lag = settings.machine_list_lag.as_millis();
        let faults = Faults {
            machine_list_lag_ms: u64::try_from(lag).unwrap_or(u64::MAX),
            ..Faults::default()
        };
        let inner = Inner {
            store: ObjectStore::new(settings),
            faults,
            counters: Counters::default(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            changes: watch::Sender::new(0),
            started: Instant::now(),
        }
    }

    /// Carries out an operation now, without faults.
    pub fn apply(&self, operation: Operation) -> Reply {
        let writes = operation.is_write();
        let reply = self.lock().store.apply(self.now(), operation);
        if writes {
            self.wake_watches();
        }
        reply
    }

    /// Changes a machine; `None` when there is no machine of that name.
    pub fn change_machine(&self, action: MachineAction) -> Option<Revision> {
        let now = self.now();
        let revision = match action {
            MachineAction::Add {
                name,
                zone,
                address,
            } => {
                let machine = Machine {
                    name,
                    zone,
                    address,
                    state: MachineState::Live,
                };
                Some(self.lock().store.set_machine(now, machine))
            }
            MachineAction::Leave { name } => {
                self.lock()
                    .store
                    .set_machine_state(now, &name, MachineState::Leaving)
            }
            MachineAction::Destroy { name } => {
                self.lock()
                    .store
                    .set_machine_state(now, &name, MachineState::Destroyed)
            }
        };
        self.wake_watches();
        revision
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        {
            let mut inner = self.lock();
            inner.store.set_machine_list_lag(faults.machine_list_lag());
            inner.faults = faults;
        }
        self.wake_watches();
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.lock().faults
    }

    /// How often the platform was asked.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.lock().store.revision()
    }

    pub(super) fn count(&self, change: impl FnOnce(&mut Counters)) -> Counters {
        let mut inner = self.lock();
        change(&mut inner.counters);
        inner.counters
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn wake_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
