//! What the leader tells: each node its assignment, and all of them the table.

use super::Leader;
use crate::partition::State;
use crate::{NodeName, ServiceTable, Table, Time, Wanted, steps};

impl Leader {
    /// All that a node's target is to hold.
    pub(super) fn wanted(&self, node: &NodeName, target_id: &str) -> Vec<Wanted> {
        let slices = self
            .partitions
            .values()
            .flat_map(|partition| &partition.slices);
        slices
            .filter_map(|slice| match &slice.state {
                State::Owned {
                    node: owner,
                    target,
                    fence,
                    handover,
                    ..
                } if owner == node && target == target_id => Some(Wanted {
                    range: slice.range,
                    fence: *fence,
                    handover: handover.clone(),
                }),
                _ => None,
            })
            .collect()
    }

    /// Writes the table anew and raises its version if anything in it changed.
    pub(super) fn refresh_table(&mut self, now: Time) {
        let members = self
            .members
            .values()
            .filter(|member| {
                now < member.lease_until || now.since(member.heard_at) < self.timing.lease
            })
            .map(|member| member.view.clone())
            .collect();
        let services = self
            .partitions
            .iter()
            .map(|(service, partition)| ServiceTable {
                service: service.clone(),
                owners: steps::joined(
                    partition
                        .slices
                        .iter()
                        .map(|slice| (slice.range.to, owner_of(&slice.state))),
                ),
                plan: partition.plan.arcs().to_vec(),
            })
            .collect();
        if self.table.members != members || self.table.services != services {
            let next = Table {
                epoch: self.epoch,
                version: self.table.version + 1,
                members,
                services,
            };
            self.table_log.record(&self.table, &next);
            self.table = next;
        }
    }
}

/// The node that requests for a range are to go to.
fn owner_of(state: &State) -> Option<NodeName> {
    match state {
        State::Owned { node, .. } => Some(node.clone()),
        _ => None,
    }
}
