//! The changes between consecutive versions of a leader's table.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::{KeyRange, NodeName, ServiceChanges, ServiceTable, Table, TableChanges, step_function};

/// Number of versions whose changes are kept.
const MAX_VERSIONS: usize = 64;

/// The keys of a service whose owner or planned owner changed.
#[derive(Debug, Default, Clone)]
struct ChangedKeys {
    owners: Vec<KeyRange>,
    plan: Vec<KeyRange>,
}

impl ChangedKeys {
    /// The difference of one service between two tables; `None` if there is none.
    fn between(before: Option<&ServiceTable>, after: &ServiceTable) -> Option<Self> {
        if before == Some(after) {
            return None;
        }
        let (owners, plan) = before.map_or((&[][..], &[][..]), |before| {
            (before.owners.as_slice(), before.plan.as_slice())
        });
        Some(Self {
            owners: step_function::differences(owners, &after.owners),
            plan: step_function::differences(plan, &after.plan),
        })
    }

    /// The values of these keys in a table.
    fn in_table(self, table: &ServiceTable) -> ServiceChanges {
        ServiceChanges {
            service: table.service.clone(),
            owners: step_function::within(&table.owners, &step_function::union(self.owners)),
            plan: step_function::within(&table.plan, &step_function::union(self.plan)),
        }
    }
}

/// The changes of one version.
#[derive(Debug, Default)]
struct Entry {
    version: u64,
    members: Vec<NodeName>,
    services: Vec<(String, ChangedKeys)>,
}

/// The latest changes of a table.
#[derive(Debug, Default)]
pub struct TableLog {
    entries: VecDeque<Entry>,
}

impl TableLog {
    /// Records how `after` differs from `before`; the members and services of both are sorted.
    pub fn record(&mut self, before: &Table, after: &Table) {
        let members = after
            .members
            .iter()
            .filter(|member| !before.members.contains(member))
            .map(|member| member.node.clone());
        let gone = before
            .members
            .iter()
            .filter(|member| !after.members.iter().any(|now| now.node == member.node))
            .map(|member| member.node.clone());
        let services = after.services.iter().filter_map(|service| {
            let known = before
                .services
                .iter()
                .find(|known| known.service == service.service);
            let changed = ChangedKeys::between(known, service)?;
            Some((service.service.clone(), changed))
        });
        if before.services.len() > after.services.len() {
            // [`TableChanges`] can't express that a service was removed, so all nodes fetch the
            // whole table.
            self.entries.clear();
        }
        self.entries.push_back(Entry {
            version: after.version,
            members: members.chain(gone).collect(),
            services: services.collect(),
        });
        if self.entries.len() > MAX_VERSIONS {
            self.entries.pop_front();
        }
    }

    /// The changes of `table` since version `base`; `None` unless all of them are known.
    pub fn since(&self, table: &Table, base: u64) -> Option<TableChanges> {
        if base > table.version {
            return None;
        }
        let oldest = self.entries.front().map(|entry| entry.version);
        if base < table.version && oldest.is_none_or(|oldest| base + 1 < oldest) {
            return None;
        }
        let later = self.entries.iter().filter(|entry| entry.version > base);
        let mut names = BTreeSet::new();
        let mut services = BTreeMap::<&String, ChangedKeys>::new();
        for entry in later {
            names.extend(entry.members.iter().cloned());
            for (service, changed) in &entry.services {
                let all = services.entry(service).or_default();
                all.owners.extend(&changed.owners);
                all.plan.extend(&changed.plan);
            }
        }
        let of_name = |name: &NodeName| table.members.iter().find(|member| member.node == *name);
        let of_service = |name: &String| table.services.iter().find(|known| known.service == *name);
        Some(TableChanges {
            epoch: table.epoch,
            base: (table.epoch, base),
            version: table.version,
            members: names.iter().filter_map(of_name).cloned().collect(),
            removed: names
                .iter()
                .filter(|name| of_name(name).is_none())
                .cloned()
                .collect(),
            services: services
                .into_iter()
                .filter_map(|(name, changed)| Some(changed.in_table(of_service(name)?)))
                .collect(),
        })
    }
}
