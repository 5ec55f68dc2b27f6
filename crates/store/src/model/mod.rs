//! The object store as a plain data structure: no I/O, no clock, no faults.
//!
//! The caller passes the time, and injects delays, outages and lost answers around
//! [`ObjectStore::apply`]. The same inputs always give the same outputs.

mod history;
mod machines;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;

use crate::object::{
    ABSENT, Current, Event, Listing, Machine, MachineState, Object, Revision, Version,
};
use crate::operation::{Operation, Reply};

use history::History;
use machines::MachineRegistry;

/// What a model keeps and how far its list of machines lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSettings {
    /// Number of changes kept for watches.
    pub history_events: usize,
    /// How far the list of machines lags behind the truth.
    pub machine_list_lag: Duration,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            history_events: 10_000,
            machine_list_lag: Duration::ZERO,
        }
    }
}

/// An in-memory object store with versions, compare-and-set, a bounded history and a lagging list
/// of machines.
#[derive(Debug, Clone)]
pub struct ObjectStore {
    revision: Revision,
    objects: BTreeMap<String, Current>,
    history: History,
    machines: MachineRegistry,
}

impl Default for ObjectStore {
    fn default() -> Self {
        Self::new(ModelSettings::default())
    }
}

impl ObjectStore {
    /// An empty store at revision 0.
    #[must_use]
    pub fn new(settings: ModelSettings) -> Self {
        Self {
            revision: 0,
            objects: BTreeMap::new(),
            history: History::new(settings.history_events),
            machines: MachineRegistry::new(settings.machine_list_lag),
        }
    }

    /// Carries out one operation. `now` is the time since any fixed start and never goes back.
    pub fn apply(&mut self, now: Duration, operation: Operation) -> Reply {
        self.machines.advance(now);
        if let Err(invalid) = operation.check() {
            return Reply::Invalid(invalid);
        }
        match operation {
            Operation::List { prefix } => self.list(&prefix),
            Operation::Get { key } => self.get(&key),
            Operation::Put { key, value, expect } => self.put(now, key, value, expect),
            Operation::Delete { key, expect } => self.delete(now, &key, expect),
            Operation::Watch { prefix, after } => self.history.after(&prefix, after, self.revision),
            Operation::Machines => Reply::Machines(self.machines.visible()),
        }
    }

    /// The revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Adds a machine, or replaces the one of the same name. Takes a revision.
    pub fn set_machine(&mut self, now: Duration, machine: Machine) -> Revision {
        self.machines.advance(now);
        let revision = self.next_revision();
        self.machines.set(now, revision, machine);
        revision
    }

    /// Changes the state of a known machine. Takes a revision; `None` when there is no such machine.
    pub fn set_machine_state(
        &mut self,
        now: Duration,
        name: &str,
        state: MachineState,
    ) -> Option<Revision> {
        let machine = self.machines.find(name)?;
        Some(self.set_machine(now, Machine { state, ..machine }))
    }

    /// Changes how far the list of machines lags. What was already shown stays shown.
    pub fn set_machine_list_lag(&mut self, lag: Duration) {
        self.machines.set_lag(lag);
    }

    /// The machines as they truly are, for checkers. Clients see [`Operation::Machines`].
    #[must_use]
    pub fn true_machines(&self) -> Vec<Machine> {
        self.machines.truth()
    }

    fn list(&self, prefix: &str) -> Reply {
        let items = self
            .objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, current)| object(key, current))
            .collect();
        Reply::Listing(Listing {
            revision: self.revision,
            items,
        })
    }

    fn get(&self, key: &str) -> Reply {
        Reply::Object(self.objects.get(key).map(|current| object(key, current)))
    }

    fn put(&mut self, now: Duration, key: String, value: Value, expect: Version) -> Reply {
        if self.version_of(&key) != expect {
            return self.conflict(&key);
        }
        let version = self.record(now, &key, Some(value.clone()));
        self.objects.insert(key, Current { version, value });
        Reply::Written { version }
    }

    fn delete(&mut self, now: Duration, key: &str, expect: Version) -> Reply {
        if self.version_of(key) != expect {
            return self.conflict(key);
        }
        self.objects.remove(key);
        let version = self.record(now, key, None);
        Reply::Written { version }
    }

    fn version_of(&self, key: &str) -> Version {
        self.objects
            .get(key)
            .map_or(ABSENT, |current| current.version)
    }

    fn conflict(&self, key: &str) -> Reply {
        Reply::Conflict {
            current: self.objects.get(key).cloned(),
        }
    }

    fn record(&mut self, now: Duration, key: &str, value: Option<Value>) -> Version {
        let version = self.next_revision();
        self.history.push(Event {
            key: key.to_owned(),
            version,
            value,
        });
        self.machines.note_revision(now, version);
        version
    }

    fn next_revision(&mut self) -> Revision {
        self.revision += 1;
        self.revision
    }
}

fn object(key: &str, current: &Current) -> Object {
    Object {
        key: key.to_owned(),
        version: current.version,
        value: current.value.clone(),
    }
}
