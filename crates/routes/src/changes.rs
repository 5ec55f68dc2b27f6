//! What one version of the configuration differs in from another.
//!
//! A version of an operator with thousands of routes mostly changes a few of them. Nodes give each other these instead
//! of the whole configuration wherever they know the version that the other one has.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::named::{Named, NamedList};
use crate::{Configuration, Limits, Route, Service, Tenant, UnreadableCounts};

/// Versions whose changes a node remembers. A node that lags by more, which takes seconds while versions follow each
/// other as fast as operators write them, is given the whole configuration.
const REMEMBERED_VERSIONS: usize = 32;

/// Changes of things that have names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NamedChanges<Thing> {
    /// Names of those that are gone.
    pub removed: Vec<String>,
    /// Those that are new or different, as they are now.
    pub put: Vec<Thing>,
}

impl<Thing: Named> NamedChanges<Thing> {
    /// Names of all things that differ.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        let removed = self.removed.iter().map(String::as_str);
        removed.chain(self.put.iter().map(Named::name))
    }

    fn between(old: &NamedList<Thing>, new: &NamedList<Thing>) -> Self {
        let removed = old
            .iter()
            .map(Named::name)
            .filter(|name| new.get(name).is_none());
        let put = new
            .iter()
            .filter(|thing| old.get(thing.name()) != Some(thing));
        Self {
            removed: removed.map(str::to_owned).collect(),
            put: put.cloned().collect(),
        }
    }

    fn apply(&self, things: &mut NamedList<Thing>) {
        for name in &self.removed {
            things.remove(name);
        }
        for thing in &self.put {
            things.put(thing.clone());
        }
    }
}

/// What turns one version of the configuration into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChanges {
    /// The version that they change.
    pub from: u64,
    /// The version that they lead to.
    pub to: u64,
    /// Changes of routes.
    pub routes: NamedChanges<Route>,
    /// Changes of services.
    pub services: NamedChanges<Service>,
    /// Changes of tenants.
    pub tenants: NamedChanges<Tenant>,
    /// The limits of the later version.
    pub limits: Limits,
    /// Entries of the later version that can't be read.
    #[serde(default)]
    pub unreadable: UnreadableCounts,
}

impl ConfigurationChanges {
    /// What differs; nothing if names don't tell routes, services or tenants apart, so that changes by name would be
    /// ambiguous.
    pub fn between(old: &Configuration, new: &Configuration) -> Option<Self> {
        let told_apart = old.names_tell_apart() && new.names_tell_apart();
        told_apart.then(|| Self {
            from: old.version,
            to: new.version,
            routes: NamedChanges::between(&old.routes, &new.routes),
            services: NamedChanges::between(&old.services, &new.services),
            tenants: NamedChanges::between(&old.tenants, &new.tenants),
            limits: new.limits.clone(),
            unreadable: new.unreadable,
        })
    }

    /// Makes the changes; returns whether they are changes of that version and lead to a later one, and names tell all
    /// apart. If not, nothing is changed.
    #[must_use]
    pub fn apply(&self, configuration: &mut Configuration) -> bool {
        let rises = configuration.version == self.from && self.to > self.from;
        if !rises || !configuration.names_tell_apart() {
            return false;
        }
        configuration.version = self.to;
        self.routes.apply(&mut configuration.routes);
        self.services.apply(&mut configuration.services);
        self.tenants.apply(&mut configuration.tenants);
        configuration.limits = self.limits.clone();
        configuration.unreadable = self.unreadable;
        true
    }

    /// How many routes, services and tenants differ.
    pub fn len(&self) -> usize {
        let routes = self.routes.removed.len() + self.routes.put.len();
        let services = self.services.removed.len() + self.services.put.len();
        let tenants = self.tenants.removed.len() + self.tenants.put.len();
        routes + services + tenants
    }

    /// Whether nothing differs but the version and the limits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// The changes of the latest versions, in the order in which a node has taken them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Each begins with the version that the one before leads to.
    changes: VecDeque<ConfigurationChanges>,
}

impl ChangeLog {
    /// Nobody can tell what led to the latest version.
    pub fn forget(&mut self) {
        self.changes.clear();
    }

    /// Notes changes that have led to the latest version. What is known of earlier ones is forgotten if they concern so
    /// much that nodes are better given the whole configuration.
    pub fn append(&mut self, changes: ConfigurationChanges, new: &Configuration) {
        let last = self.changes.back().map(|changes| changes.to);
        if last.is_some_and(|last| last != changes.from) {
            self.changes.clear();
        }
        if changes.len() * 2 >= size(new) {
            self.changes.clear();
            return;
        }
        self.changes.push_back(changes);
        while self.changes.len() > REMEMBERED_VERSIONS || self.remembered() > size(new) {
            self.changes.pop_front();
        }
    }

    /// What leads from a version to the latest one, first changes first; nothing if that isn't known.
    pub fn since(&self, version: u64) -> Option<Vec<&ConfigurationChanges>> {
        let first = self
            .changes
            .iter()
            .position(|changes| changes.from == version)?;
        Some(self.changes.iter().skip(first).collect())
    }

    fn remembered(&self) -> usize {
        self.changes.iter().map(ConfigurationChanges::len).sum()
    }
}

/// How many routes, services and tenants there are.
fn size(configuration: &Configuration) -> usize {
    configuration.routes.len() + configuration.services.len() + configuration.tenants.len()
}
