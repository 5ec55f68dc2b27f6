//! What one version of the configuration differs in from another.
//!
//! A version of an operator with thousands of routes mostly changes a few of them. Nodes give each other these instead
//! of the whole configuration wherever they know the version that the other one has.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{Configuration, Limits, Route, Service, Tenant};

/// Versions whose changes a node remembers. A node that lags by more, which takes seconds while versions follow each
/// other as fast as operators write them, is given the whole configuration.
const REMEMBERED_VERSIONS: usize = 32;

/// Something that an operator names.
trait Named: Clone + PartialEq {
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Tenant {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Changes of things that have names.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NamedChanges<Thing> {
    /// Names of those that are gone.
    pub removed: Vec<String>,
    /// Those that are new or different, as they are now.
    pub put: Vec<Thing>,
}

/// What differs; nothing if a name stands for several things, so that changes by name would be ambiguous.
fn between<Thing: Named>(old: &[Thing], new: &[Thing]) -> Option<NamedChanges<Thing>> {
    let old_by_name = by_name(old)?;
    let new_by_name = by_name(new)?;
    let removed = old
        .iter()
        .filter(|thing| !new_by_name.contains_key(thing.name()))
        .map(|thing| thing.name().to_owned());
    let put = new
        .iter()
        .filter(|thing| old_by_name.get(thing.name()) != Some(thing))
        .cloned();
    Some(NamedChanges {
        removed: removed.collect(),
        put: put.collect(),
    })
}

/// Makes the changes; things that are new come last.
fn apply<Thing: Named>(changes: &NamedChanges<Thing>, things: &mut Vec<Thing>) {
    let gone = changes
        .removed
        .iter()
        .map(String::as_str)
        .collect::<HashSet<_>>();
    things.retain(|thing| !gone.contains(thing.name()));
    let mut changed = changes
        .put
        .iter()
        .map(|thing| (thing.name(), thing))
        .collect::<HashMap<_, _>>();
    for thing in things.iter_mut() {
        if let Some(changed) = changed.remove(thing.name()) {
            thing.clone_from(changed);
        }
    }
    let new = changes
        .put
        .iter()
        .filter(|thing| changed.contains_key(thing.name()));
    things.extend(new.cloned());
}

fn by_name<Thing: Named>(things: &[Thing]) -> Option<HashMap<&str, &Thing>> {
    let by_name = things
        .iter()
        .map(|thing| (thing.name(), thing))
        .collect::<HashMap<_, _>>();
    (by_name.len() == things.len()).then_some(by_name)
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
}

impl ConfigurationChanges {
    /// What differs; nothing if names don't tell routes, services or tenants apart.
    pub fn between(old: &Configuration, new: &Configuration) -> Option<Self> {
        Some(Self {
            from: old.version,
            to: new.version,
            routes: between(&old.routes, &new.routes)?,
            services: between(&old.services, &new.services)?,
            tenants: between(&old.tenants, &new.tenants)?,
            limits: new.limits.clone(),
        })
    }

    /// Makes the changes; returns whether they are changes of that version. If not, nothing is changed.
    #[must_use]
    pub fn apply(&self, configuration: &mut Configuration) -> bool {
        if configuration.version != self.from {
            return false;
        }
        configuration.version = self.to;
        apply(&self.routes, &mut configuration.routes);
        apply(&self.services, &mut configuration.services);
        apply(&self.tenants, &mut configuration.tenants);
        configuration.limits = self.limits.clone();
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
    /// Notes that a version has followed another. What is known of earlier ones is forgotten if the changes can't be
    /// told, or concern so much that nodes are better given the whole configuration.
    pub fn follow(&mut self, old: &Configuration, new: &Configuration) {
        let changes = ConfigurationChanges::between(old, new);
        match changes {
            Some(changes) => self.append(changes, new),
            None => self.changes.clear(),
        }
    }

    /// Notes changes that have led to the latest version.
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
