//! Assigns keys to nodes.

use std::time::Duration;

use super::registry::NODE_COUNT_PERIOD;
use super::*;

/// Interval at which the leader searches for a better plan, in milliseconds.
pub(super) const REBALANCE_INTERVAL_MS: u64 = 400;
/// Once no new node has joined for this long, all nodes are assumed to have joined: after a loss of
/// all power, machines start within 0.3 s of each other.
pub(super) const JOIN_QUIET_PERIOD: Duration = Duration::from_millis(350);

impl Leader {
    /// Advances time: expired leases are freed, ranges are assigned and revoked, and the table is
    /// updated.
    pub fn tick(&mut self, now: Time) {
        self.ticked_at = now;
        if !self.may_lease(now) {
            return;
        }
        self.free_expired(now);
        let unknown_until = self.unknown_until();
        let rebalance_due = now.0 >= self.rebalanced_at.0 + REBALANCE_INTERVAL_MS;
        let mut rebalanced = false;
        // The configuration decides which keys are assigned, and to whom.
        let configured = self.partitions.keys().filter(|_| self.is_configured);
        for service in configured.cloned().collect::<Vec<_>>() {
            let candidates = self.candidates(&service, now);
            let Some(mut partition) = self.partitions.remove(&service) else {
                continue;
            };
            // As when a lease expires, the store must have confirmed this leader afterwards:
            // otherwise a later leader may have renewed the silent node's lease in the meantime.
            let all_reported =
                self.have_all_reported(&service) && self.confirmed_at >= self.last_report_at;
            let none_silent = all_reported || unknown_until <= now.min(self.confirmed_at);
            if none_silent && !partition.awaits_any() {
                let keys = partition.free_unknown();
                self.record_freed(FreeReason::Unreported, None, keys);
            }
            let settled = self.may_change_plan(&service, &partition, now);
            if settled {
                partition.repair_plan(&candidates);
            }
            if settled && rebalance_due {
                partition.rebalance(&candidates);
                rebalanced = true;
            }
            // Before that, a new leader may not have the current configuration, and there is no
            // plan yet for what it would revoke.
            if settled {
                self.revoke_outside_zones(&service, &mut partition);
            }
            self.follow_plan(&mut partition, &candidates);
            self.partitions.insert(service, partition);
        }
        self.assign_shards(now);
        if rebalanced {
            self.rebalanced_at = now;
        }
        self.refresh_table(now);
    }

    /// Whether the plan for a service may change. For a while, nodes that haven't reported to a new
    /// leader yet keep what is planned for them. Without a plan but with all holders known, the
    /// wait ends once all known nodes have reported and no new one has joined for a moment. That
    /// doesn't apply to the very first leader, to which few nodes have reported yet.
    fn may_change_plan(&self, service: &str, partition: &Partition, now: Time) -> bool {
        let have_all_joined = !self.is_first
            && partition.lacks_only_plan()
            && self.have_all_reported(service)
            && now >= self.elected_at + JOIN_QUIET_PERIOD
            && now >= self.joined_at + JOIN_QUIET_PERIOD;
        have_all_joined || now >= self.latest_assignment_start()
    }

    /// When keys and shards are assigned even if nodes are still missing. The first leader's nodes
    /// are registered only after they have been counted.
    pub(super) fn latest_assignment_start(&self) -> Time {
        let counted_for = if self.is_first {
            NODE_COUNT_PERIOD
        } else {
            Duration::ZERO
        };
        self.elected_at + self.timing.settle_delay + counted_for
    }

    /// Frees what nodes with expired leases held. The store must have confirmed the leadership
    /// after the expiry: otherwise a later leader may have renewed a node's lease unnoticed by this
    /// one.
    pub(super) fn free_expired(&mut self, now: Time) {
        let margin = self.timing.lease_margin;
        let confirmed_until = now.min(self.confirmed_at);
        let ended = self
            .members
            .iter()
            .filter(|(_, member)| member.lease_until + margin <= confirmed_until)
            .map(|(node, _)| node.clone())
            .collect::<Vec<_>>();
        for node in &ended {
            let mut freed = false;
            let partitions = self.partitions.values_mut();
            let keys = partitions
                .map(|partition| partition.free_all_of(node))
                .sum();
            self.record_freed(FreeReason::LeaseExpired, Some(node), keys);
            freed |= keys > 0;
            if let Some(shards) = &mut self.shards {
                freed |= shards.free_all_of(node);
            }
            if freed {
                self.next_assignment(node);
            }
        }
    }

    /// Nodes that can own keys of a service, with the usable slots of their targets.
    pub(super) fn candidates(&self, service: &str, now: Time) -> Vec<Candidate> {
        self.members
            .iter()
            .filter(|(_, member)| member.clean && !member.view.leaving && now < member.lease_until)
            .filter(|(_, member)| {
                member
                    .registered_at
                    .is_some_and(|at| at < self.confirmed_at)
            })
            .filter(|(_, member)| self.owner_zones.allow(service, &member.view.zone))
            // Later leaders wait for a node's report only if it is registered.
            .filter(|(_, member)| member.registered_for.as_deref() == Some(service))
            .filter_map(|(node, member)| {
                let target = member.view.target.as_ref()?;
                (target.service == service && target.accepting)
                    .then(|| (node.clone(), self.usable_slots(service, node, target)))
            })
            .collect()
    }

    /// Slots of a target that requests can keep in use. A target that limits how many requests
    /// start per second, because it warms up or sets a limit, gets only as many keys as it can
    /// serve.
    fn usable_slots(&self, service: &str, node: &NodeName, target: &TargetState) -> f64 {
        let slots = f64::from(target.slots);
        let load = self.partitions.get(service).map(|known| &known.load);
        match (target.starts_per_s, load) {
            (Some(starts_per_s), Some(load)) => slots.min(load.slots_in_use(node, starts_per_s)),
            _ => slots,
        }
    }

    /// Revokes ranges from owners in zones where the service's keys may not be owned, even while no
    /// other node can own them.
    fn revoke_outside_zones(&mut self, service: &str, partition: &mut Partition) {
        for slice in &mut partition.slices {
            let State::Owned { node, .. } = &slice.state else {
                continue;
            };
            let member = self.members.get(node);
            if member.is_some_and(|member| !self.owner_zones.allow(service, &member.view.zone)) {
                let node = node.clone();
                let since = self.next_assignment(&node);
                slice.state = State::Revoked { node, since };
            }
        }
    }

    /// Revokes ranges that are planned for other nodes, and assigns free ranges to their planned
    /// owners.
    pub(super) fn follow_plan(&mut self, partition: &mut Partition, candidates: &[Candidate]) {
        if partition.plan.is_empty() {
            return;
        }
        partition.cut_along_plan();
        for index in 0..partition.slices.len() {
            let range = partition.slices[index].range;
            let Some(planned) = partition.planned(range).cloned() else {
                continue;
            };
            let in_place = matches!(
                &partition.slices[index].state,
                State::Owned { node, .. } if *node == planned
            );
            if in_place {
                continue;
            }
            let state = partition.slices[index].state.clone();
            partition.slices[index].state = self.next_state(state, &planned, candidates);
        }
        partition.merge();
    }

    pub(super) fn next_state(
        &mut self,
        state: State,
        planned: &NodeName,
        candidates: &[Candidate],
    ) -> State {
        let can_own = candidates.iter().any(|(node, _)| node == planned);
        match state {
            State::Owned { node, .. } if node != *planned && can_own => {
                let since = self.next_assignment(&node);
                State::Revoked { node, since }
            }
            State::Free { handover } if can_own => {
                let Some(target) = self.target_of(planned) else {
                    return State::Free { handover };
                };
                let since = self.next_assignment(planned);
                State::Owned {
                    node: planned.clone(),
                    target: target.id,
                    fence: self.take_fence(),
                    handover,
                    since,
                }
            }
            other => other,
        }
    }

    pub(super) fn target_of(&self, node: &NodeName) -> Option<TargetState> {
        self.members.get(node)?.view.target.clone()
    }

    pub(super) fn next_assignment(&mut self, node: &NodeName) -> u64 {
        let Some(member) = self.members.get_mut(node) else {
            return 0;
        };
        member.assignment += 1;
        member.assignment
    }

    pub(super) fn take_fence(&mut self) -> Fence {
        self.last_fence = self.last_fence.next_grant();
        self.last_fence
    }
}
