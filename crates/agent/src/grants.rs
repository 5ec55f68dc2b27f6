//! Grants of the current session.

use std::collections::BTreeMap;

use wingspar_wire::{GrantEntry, GrantList, GrantState, SessionId, StateVersion};
use wingspar_world::{KeyHash, ServiceName, SliceRange};

use crate::range_map::RangeMap;

/// Slices of one service.
#[derive(Debug, Default)]
struct ServiceGrants {
    /// Slices served or being given up; never overlapping.
    owned: RangeMap<GrantEntry>,
    /// Slices expected. Apart from the others, since a slice may go from one target to another
    /// beside the same agent.
    incoming: RangeMap<GrantEntry>,
}

/// The newest grant list, as long as its session lasts.
#[derive(Debug, Default)]
pub(crate) struct Grants {
    session: Option<SessionId>,
    version: Option<StateVersion>,
    /// Lists below this version are out of date, whatever session they name.
    floor: StateVersion,
    services: BTreeMap<ServiceName, ServiceGrants>,
}

/// What the agent holds of a key.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Holding<'a> {
    /// It may serve it.
    Owned(&'a GrantEntry),
    /// It is giving it up.
    Releasing(&'a GrantEntry),
    /// It expects it.
    Incoming,
    /// It has nothing to do with it.
    None,
}

impl Grants {
    /// Version held; the default when there is no list.
    pub(crate) fn version(&self) -> StateVersion {
        self.version.unwrap_or_default()
    }

    /// Whether there is no list, or an empty one.
    pub(crate) fn is_empty(&self) -> bool {
        let empty = |grants: &ServiceGrants| grants.owned.is_empty() && grants.incoming.is_empty();
        self.services.values().all(empty)
    }

    /// Whether a list of the current session has been taken in.
    pub(crate) fn is_known(&self) -> bool {
        self.version.is_some()
    }

    /// Takes in a list if it belongs to `session`, is newer than the one held and well formed.
    pub(crate) fn apply(&mut self, session: SessionId, list: &GrantList) -> bool {
        let newer = match self.version {
            Some(version) => list.version > version,
            None => list.version >= self.floor,
        };
        if list.session != session || !newer || !is_well_formed(list) {
            return false;
        }
        self.session = Some(session);
        self.version = Some(list.version);
        self.floor = list.version;
        self.services.clear();
        for entry in &list.entries {
            self.insert(entry);
        }
        true
    }

    fn insert(&mut self, entry: &GrantEntry) {
        let service = entry.grant.service.clone();
        let grants = self.services.entry(service).or_default();
        let map = match entry.state {
            GrantState::Incoming => &mut grants.incoming,
            GrantState::Hold { .. } | GrantState::Release { .. } => &mut grants.owned,
        };
        map.insert(entry.grant.range, entry.clone());
    }

    /// Forgets all grants; the version stays as the floor.
    pub(crate) fn clear(&mut self) {
        self.session = None;
        self.version = None;
        self.services.clear();
    }

    /// What is held of a key in `session`.
    pub(crate) fn lookup(
        &self,
        session: SessionId,
        service: &ServiceName,
        key: KeyHash,
    ) -> Holding<'_> {
        if self.session != Some(session) {
            return Holding::None;
        }
        let Some(grants) = self.services.get(service) else {
            return Holding::None;
        };
        let owned = grants.owned.get(key);
        match owned.filter(|entry| entry.grant.range.contains(key)) {
            Some(entry) if matches!(entry.state, GrantState::Hold { .. }) => Holding::Owned(entry),
            Some(entry) => Holding::Releasing(entry),
            None if grants.incoming.get(key).is_some() => Holding::Incoming,
            None => Holding::None,
        }
    }

    /// Entries of owned slices (served or being given up) of all services.
    pub(crate) fn owned(&self) -> impl Iterator<Item = &GrantEntry> {
        self.services
            .values()
            .flat_map(|grants| grants.owned.values())
    }

    /// Entries of expected slices of all services.
    pub(crate) fn incoming(&self) -> impl Iterator<Item = &GrantEntry> {
        self.services
            .values()
            .flat_map(|grants| grants.incoming.values())
    }

    /// Whether any part of a range is served.
    pub(crate) fn serves_any(&self, service: &ServiceName, range: SliceRange) -> bool {
        self.services.get(service).is_some_and(|grants| {
            grants
                .owned
                .overlapping(range)
                .any(|(_, entry)| matches!(entry.state, GrantState::Hold { .. }))
        })
    }
}

fn is_well_formed(list: &GrantList) -> bool {
    let ordered = |range: SliceRange| range.first <= range.last;
    list.entries.iter().all(|entry| ordered(entry.grant.range))
}
