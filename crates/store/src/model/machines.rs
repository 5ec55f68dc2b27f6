//! The machines of the platform: as they are, and as the lagging list shows them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::object::{Machine, MachineList, Revision};

/// A change that the list doesn't show yet.
#[derive(Debug, Clone)]
struct Pending {
    at: Duration,
    revision: Revision,
    /// The changed machine; `None` for the change of an object, which only moves the revision.
    machine: Option<Machine>,
}

/// Machines by name, with a view that lags.
#[derive(Debug, Clone)]
pub(super) struct MachineRegistry {
    lag: Duration,
    truth: BTreeMap<String, Machine>,
    shown: BTreeMap<String, Machine>,
    shown_revision: Revision,
    pending: VecDeque<Pending>,
}

impl MachineRegistry {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            truth: BTreeMap::new(),
            shown: BTreeMap::new(),
            shown_revision: 0,
            pending: VecDeque::new(),
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn set(&mut self, now: Duration, revision: Revision, machine: Machine) {
        self.truth.insert(machine.name.clone(), machine.clone());
        self.pending.push_back(Pending {
            at: now,
            revision,
            machine: Some(machine),
        });
        self.advance(now);
    }

    pub(super) fn note_revision(&mut self, now: Duration, revision: Revision) {
        self.pending.push_back(Pending {
            at: now,
            revision,
            machine: None,
        });
        self.advance(now);
    }

    /// Shows every change that is older than the lag.
    pub(super) fn advance(&mut self, now: Duration) {
        while let Some(change) = self
            .pending
            .pop_front_if(|change| change.at + self.lag <= now)
        {
            self.shown_revision = change.revision;
            if let Some(machine) = change.machine {
                self.shown.insert(machine.name.clone(), machine);
            }
        }
    }

    pub(super) fn find(&self, name: &str) -> Option<Machine> {
        self.truth.get(name).cloned()
    }

    pub(super) fn truth(&self) -> Vec<Machine> {
        self.truth.values().cloned().collect()
    }

    pub(super) fn visible(&self) -> MachineList {
        MachineList {
            as_of_revision: self.shown_revision,
            machines: self.shown.values().cloned().collect(),
        }
    }
}
