//! What changed in a leader's table, version by version.

use std::collections::{BTreeSet, VecDeque};

use crate::{NodeName, Table, TableAnswer, TableChanges};

/// Versions that changes are known of.
const KEPT: usize = 64;

/// The names that changed with one version.
#[derive(Debug, Default)]
struct Entry {
    version: u64,
    members: Vec<NodeName>,
    services: Vec<String>,
}

/// The latest changes of a table.
#[derive(Debug, Default)]
pub struct TableLog {
    entries: VecDeque<Entry>,
}

impl TableLog {
    /// Notes how `after` differs from `before`; both have their members and services in order.
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
        let services = after
            .services
            .iter()
            .filter(|service| !before.services.contains(service))
            .map(|service| service.service.clone());
        if before.services.len() > after.services.len() {
            // A service is gone, which changes can't tell: whoever asks gets everything.
            self.entries.clear();
        }
        self.entries.push_back(Entry {
            version: after.version,
            members: members.chain(gone).collect(),
            services: services.collect(),
        });
        if self.entries.len() > KEPT {
            self.entries.pop_front();
        }
    }

    /// The changes of `table` since a version, if all of them are known.
    pub fn since(&self, table: &Table, base: u64) -> Option<TableAnswer> {
        let oldest = self.entries.front()?.version;
        if base + 1 < oldest || base > table.version {
            return None;
        }
        let later = self.entries.iter().filter(|entry| entry.version > base);
        let mut names = BTreeSet::new();
        let mut services = BTreeSet::new();
        for entry in later {
            names.extend(entry.members.iter().cloned());
            services.extend(entry.services.iter().cloned());
        }
        let of_name = |name: &NodeName| table.members.iter().find(|member| member.node == *name);
        let of_service = |name: &String| table.services.iter().find(|known| known.service == *name);
        Some(TableAnswer::Changes(TableChanges {
            epoch: table.epoch,
            base,
            version: table.version,
            members: names.iter().filter_map(of_name).cloned().collect(),
            removed: names
                .iter()
                .filter(|name| of_name(name).is_none())
                .cloned()
                .collect(),
            services: services.iter().filter_map(of_service).cloned().collect(),
        }))
    }
}
