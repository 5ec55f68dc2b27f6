//! Configuration and assignments that were acknowledged stay, and the one in force is used.

use std::collections::BTreeMap;

use wingspar_store::change::change_id_of;
use wingspar_store::model::ObjectStore;
use wingspar_store::operation::{Operation, Reply};
use wingspar_wire::StateVersion;
use wingspar_world::{ConfigVersion, MonotonicTime, NodeId};

use super::Violation;
use crate::backend::RequestId;

/// What an operator was told last of one change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// It took effect as this version of the object.
    Written {
        /// Store key of the object.
        object: String,
        /// Its version.
        version: ConfigVersion,
    },
    /// Nothing was changed, and no request for it is on its way.
    NothingChanged,
    /// Nobody can tell.
    Open,
}

/// Acknowledged changes and what nodes applied.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationLedger {
    applied: BTreeMap<NodeId, ConfigVersion>,
    verdicts: BTreeMap<String, ChangeVerdict>,
    in_force: ConfigVersion,
    assigned: StateVersion,
    moves: BTreeMap<String, StateVersion>,
}

impl ConfigurationLedger {
    /// Takes in the version that a node has applied.
    ///
    /// # Errors
    /// When it had a newer one.
    pub fn applied(&mut self, node: &NodeId, version: ConfigVersion) -> Result<(), Violation> {
        let before = self.applied.insert(node.clone(), version);
        match before {
            Some(from) if version < from => Err(Violation::ConfigurationReverted {
                node: node.clone(),
                from,
                to: version,
            }),
            _ => Ok(()),
        }
    }

    /// Takes in what an operator was told of a change; a later verdict replaces an earlier one.
    pub fn told(&mut self, change_id: &str, verdict: ChangeVerdict) {
        self.verdicts.insert(change_id.to_owned(), verdict);
    }

    /// Takes in that a version was reported to be in force.
    pub fn reported_in_force(&mut self, version: ConfigVersion) {
        self.in_force = self.in_force.max(version);
    }

    /// Newest version reported to be in force.
    pub fn in_force(&self) -> ConfigVersion {
        self.in_force
    }

    /// Takes in that a request was started by an agent with some configuration.
    ///
    /// # Errors
    /// When a newer one is in force.
    pub fn used(
        &self,
        agent: &NodeId,
        request: RequestId,
        used: ConfigVersion,
    ) -> Result<(), Violation> {
        if used >= self.in_force {
            return Ok(());
        }
        Err(Violation::OldConfigurationUsed {
            agent: agent.clone(),
            request,
            used,
            in_force: self.in_force,
        })
    }

    /// Takes in that a change of assignment was acknowledged.
    pub fn assignment_acknowledged(&mut self, change_id: &str, version: StateVersion) {
        self.assigned = self.assigned.max(version);
        self.moves.insert(change_id.to_owned(), version);
    }

    /// Compares the acknowledged changes of assignment with what the group's state remembers of
    /// them. A generation that began later may lack those that only the lost majority had.
    ///
    /// # Errors
    /// When one is missing.
    pub fn remembered(
        &self,
        leader: &NodeId,
        generation: u32,
        lookup: impl Fn(&str) -> Option<StateVersion>,
    ) -> Result<(), Violation> {
        let of_generation = |version: &StateVersion| version.generation == generation;
        for (change_id, version) in self.moves.iter().filter(|(_, it)| of_generation(it)) {
            let found = lookup(change_id).unwrap_or_default();
            if found != *version {
                return Err(Violation::AssignmentLost {
                    leader: leader.clone(),
                    version: found,
                    acknowledged: *version,
                });
            }
        }
        Ok(())
    }

    /// Takes in the state by which a node leads its group, lease included.
    ///
    /// # Errors
    /// When an acknowledged assignment is missing.
    pub fn leads(&self, leader: &NodeId, version: StateVersion) -> Result<(), Violation> {
        if version >= self.assigned {
            return Ok(());
        }
        Err(Violation::AssignmentLost {
            leader: leader.clone(),
            version,
            acknowledged: self.assigned,
        })
    }

    /// Compares every verdict with the store.
    ///
    /// # Errors
    /// When an acknowledged change is gone, or one took effect other than told.
    pub fn compare(&self, now: MonotonicTime, store: &ObjectStore) -> Result<(), Violation> {
        let mut store = store.clone();
        let effects = effects(&mut store, now);
        for (change_id, verdict) in &self.verdicts {
            let count = effects.get(change_id).copied().unwrap_or_default();
            self.compare_verdict(&mut store, now, change_id, verdict, count)?;
        }
        Ok(())
    }

    fn compare_verdict(
        &self,
        store: &mut ObjectStore,
        now: MonotonicTime,
        change_id: &str,
        verdict: &ChangeVerdict,
        effects: usize,
    ) -> Result<(), Violation> {
        let (allowed, told) = match verdict {
            ChangeVerdict::Written { object, version } => {
                check_kept(store, now, object, *version)?;
                (effects <= 1, "written")
            }
            ChangeVerdict::NothingChanged => (effects == 0, "nothing changed"),
            ChangeVerdict::Open => (effects <= 1, "unknown"),
        };
        if allowed {
            return Ok(());
        }
        Err(Violation::ChangeMisreported {
            change_id: change_id.to_owned(),
            effects,
            told: told.to_owned(),
        })
    }
}

fn effects(store: &mut ObjectStore, now: MonotonicTime) -> BTreeMap<String, usize> {
    let watch = Operation::Watch {
        prefix: String::new(),
        after: 0,
    };
    let mut effects = BTreeMap::new();
    if let Reply::Changes(batch) = store.apply(now.since(MonotonicTime::ZERO), watch) {
        let values = batch.events.iter().filter_map(|event| event.value.as_ref());
        for change_id in values.filter_map(change_id_of) {
            *effects.entry(change_id.to_owned()).or_default() += 1;
        }
    }
    effects
}

fn check_kept(
    store: &mut ObjectStore,
    now: MonotonicTime,
    object: &str,
    version: ConfigVersion,
) -> Result<(), Violation> {
    let get = Operation::Get {
        key: object.to_owned(),
    };
    let stored = match store.apply(now.since(MonotonicTime::ZERO), get) {
        Reply::Object(Some(found)) => ConfigVersion(found.version),
        _ => ConfigVersion::default(),
    };
    if stored >= version {
        return Ok(());
    }
    Err(Violation::ConfigurationLost {
        object: object.to_owned(),
        version,
        stored,
    })
}
