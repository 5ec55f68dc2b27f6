//! What the leader sends: each node's assignment, and the table for all nodes.

use super::{Leader, Member};
use crate::partition::{Partition, State};
use crate::{MemberView, NodeName, ServiceTable, Table, Time, Wanted, step_function};

impl Leader {
    /// All ranges that a node's target is to hold.
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

    /// Rebuilds the table, and raises its version if anything changed.
    pub(super) fn refresh_table(&mut self, now: Time) {
        let members = self.published_members(now);
        let services = self
            .partitions
            .iter()
            .map(|(service, partition)| ServiceTable {
                service: service.clone(),
                owners: self.published_owners(now, service, partition),
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

impl Leader {
    /// The nodes with a lease or a recent renewal, sorted by name. At first also the previous
    /// leader's nodes.
    fn published_members(&self, now: Time) -> Vec<MemberView> {
        let recent = self.members.values().filter(|member| {
            now < member.lease_until || now.since(member.renewed_at) < self.timing.lease
        });
        let by_owner = self.shards.as_ref().map(|shards| shards.by_owner());
        let shards_of = |node: &NodeName| by_owner.as_ref()?.get(node).cloned();
        let view = |member: &Member| {
            let mut view = member.view.clone();
            view.quota_shards = shards_of(&view.node).unwrap_or_default();
            if let Some(target) = &mut view.target {
                // The limit may change with each renewal, and only the leader uses it.
                target.starts_per_s = None;
            }
            view
        };
        let mut members = recent.map(view).collect::<Vec<_>>();
        if self.is_taking_over(now) {
            let earlier = self.previous_table.members.iter();
            let unheard = earlier.filter(|known| !self.members.contains_key(&known.node));
            members.extend(unheard.cloned());
            members.sort_by(|left, right| left.node.cmp(&right.node));
        }
        members
    }

    /// The nodes to which requests for keys are sent: the owners and, at first, the previous
    /// leader's owners of ranges that nobody has reported yet. The agents beside those check
    /// whether they still own the range.
    fn published_owners(
        &self,
        now: Time,
        service: &str,
        partition: &Partition,
    ) -> Vec<(u16, Option<NodeName>)> {
        let mut earlier = self.previous_table.services.iter();
        let earlier = earlier
            .find(|known| known.service == service && !known.owners.is_empty())
            .filter(|_| self.is_taking_over(now));
        let mut owners = Vec::with_capacity(partition.slices.len());
        for slice in &partition.slices {
            match earlier {
                Some(earlier) if slice.state == State::Unknown => {
                    let known = step_function::within(&earlier.owners, &[slice.range]);
                    owners.extend(known.into_iter().map(|(range, owner)| (range.to, owner)));
                }
                _ => owners.push((slice.range.to, owner_of(&slice.state))),
            }
        }
        step_function::joined(owners.into_iter())
    }
}

/// The node to which requests for a range are sent.
fn owner_of(state: &State) -> Option<NodeName> {
    match state {
        State::Owned { node, .. } => Some(node.clone()),
        _ => None,
    }
}
