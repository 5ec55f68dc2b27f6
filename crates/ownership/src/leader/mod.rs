//! The node that decides who owns what.

mod certainty;
mod member;
mod publish;

pub use member::Member;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::partition::{Partition, State};
use crate::plan::{Candidate, Plan};
use crate::table_log::TableLog;
use crate::{
    Epoch, Fence, Leadership, LeaseReply, LoadReport, MemberView, NodeName, RegisteredNode,
    Renewal, Table, TableAnswer, TargetState, Time, Timing,
};

/// A node is called about a changed assignment at most this often.
const CALL_EVERY: Duration = Duration::from_millis(90);
/// Between two looks at all members, caused by renewals, at least this part of them in milliseconds
/// passes.
const MEMBERS_A_MILLISECOND: u64 = 4;
/// How often the leader looks for a better plan.
const REBALANCE_EVERY_MS: u64 = 400;

/// The state of a leader in its epoch.
#[derive(Debug)]
pub struct Leader {
    epoch: Epoch,
    timing: Timing,
    elected_at: Time,
    confirmed_at: Time,
    next_fence: Fence,
    /// Nodes that were registered when the leader was elected, and the service of each, if that is known.
    registered: BTreeMap<NodeName, Option<String>>,
    /// Those of them that haven't reported in this epoch.
    silent: BTreeSet<NodeName>,
    /// When the last of the registered nodes reported for the first time.
    last_report_at: Time,
    /// Earlier leaders that haven't reported in this epoch; nothing if they aren't known.
    earlier: Option<BTreeSet<NodeName>>,
    /// When the last of them reported: none of them leases to anybody since.
    sole_since: Option<Time>,
    members: BTreeMap<NodeName, Member>,
    partitions: BTreeMap<String, Partition>,
    rebalanced_at: Time,
    ticked_at: Time,
    known: Table,
    table: Table,
    table_log: TableLog,
}

impl Leader {
    /// A leader that won `leadership` by a claim sent at `claimed_at` and answered at `now`.
    /// `registered` are all nodes that the store knew after that; `known` is the last table of an
    /// earlier leader.
    pub fn new(
        leadership: &Leadership,
        timing: Timing,
        claimed_at: Time,
        now: Time,
        registered: &[RegisteredNode],
        known: Table,
    ) -> Self {
        let registered = registered
            .iter()
            .map(|known| (known.node.clone(), known.service.clone()))
            .collect::<BTreeMap<_, _>>();
        let epoch = leadership.leader.epoch;
        let earlier = leadership.earlier.as_ref();
        let mut earlier = earlier.map(|nodes| nodes.iter().cloned().collect::<BTreeSet<_>>());
        if let Some(earlier) = &mut earlier {
            earlier.remove(&leadership.leader.node);
        }
        Self {
            sole_since: earlier
                .as_ref()
                .and_then(|earlier| earlier.is_empty().then_some(now)),
            earlier,
            epoch,
            timing,
            elected_at: now,
            confirmed_at: claimed_at,
            next_fence: Fence::first_of(epoch),
            silent: registered.keys().cloned().collect(),
            last_report_at: now,
            registered,
            members: BTreeMap::new(),
            partitions: BTreeMap::new(),
            rebalanced_at: now,
            ticked_at: Time::default(),
            known,
            table: Table {
                epoch,
                ..Table::default()
            },
            table_log: TableLog::default(),
        }
    }

    /// The leader's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// When the last successful confirmation was sent.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// The store still named this leader in the answer to a call sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Whether leases may be given now.
    pub fn may_lease(&self, now: Time) -> bool {
        now < self.confirmed_at + self.timing.leadership
    }

    /// Nodes whose assignment has changed since they were told; each is named once in a while only.
    pub fn to_call(&mut self, now: Time) -> Vec<SocketAddr> {
        let due = |member: &&mut Member| {
            member.told.0 < member.assignment
                && now.since(member.told.1) >= CALL_EVERY
                && now < member.lease_until
        };
        let mut addresses = Vec::new();
        for member in self.members.values_mut().filter(due) {
            member.told.1 = now;
            addresses.push(member.view.address);
        }
        addresses
    }

    /// All nodes that the leader has heard.
    pub fn members(&self) -> &BTreeMap<NodeName, Member> {
        &self.members
    }

    /// Registered nodes that haven't reported in this epoch.
    pub fn silent(&self) -> &BTreeSet<NodeName> {
        &self.silent
    }

    /// What a node that has a version of an epoch's table lacks.
    pub fn table_since(&self, epoch: Epoch, version: u64) -> TableAnswer {
        let changes = (epoch == self.epoch).then(|| self.table_log.since(&self.table, version));
        changes
            .flatten()
            .unwrap_or_else(|| TableAnswer::Whole(self.table.clone()))
    }

    /// What routers see.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Names the services whose keys have owners.
    pub fn set_keyed_services(&mut self, services: &BTreeSet<String>) {
        self.partitions
            .retain(|service, _| services.contains(service));
        for service in services {
            if self.partitions.contains_key(service) {
                continue;
            }
            let arcs = self
                .known
                .services
                .iter()
                .find(|known| known.service == *service);
            let plan = arcs
                .map(|known| Plan::from_arcs(known.plan.clone()))
                .unwrap_or_default();
            self.partitions
                .insert(service.clone(), Partition::new(plan));
        }
    }

    /// Answers a renewal; no answer if the leader may not lease. A node counts only once it obeys this
    /// epoch: before, an earlier leader may still give it keys.
    pub fn renewal(&mut self, now: Time, renewal: &Renewal) -> Option<LeaseReply> {
        if renewal.epoch != self.epoch {
            return None;
        }
        if self
            .members
            .get(&renewal.node)
            .is_some_and(|member| member.is_overtaken(renewal))
        {
            return None;
        }
        // A new process that hasn't cleared its target can't say what that still holds, or works on.
        if renewal.clean && self.silent.remove(&renewal.node) {
            self.last_report_at = now;
        }
        self.heard_earlier_leader(now, &renewal.node);
        self.meet(now, renewal);
        let sure = self
            .members
            .get(&renewal.node)
            .is_some_and(|member| self.is_process_sure(member));
        if sure {
            let mut freed = false;
            for partition in self.partitions.values_mut() {
                freed |= partition.report(renewal);
            }
            if freed {
                // Answers that are on their way still name what is free now.
                self.next_assignment(&renewal.node);
            }
        }
        // With many members a renewal must not cost a look at all of them.
        let gap = Duration::from_millis(self.members.len() as u64 / MEMBERS_A_MILLISECOND);
        if now.since(self.ticked_at) >= gap {
            self.tick(now);
        }
        if !self.may_lease(now) {
            return None;
        }
        let lease = if renewal.clean {
            self.timing.lease
        } else {
            Duration::ZERO
        };
        let member = self.members.get_mut(&renewal.node)?;
        if renewal.clean {
            member.lease_until = now + lease;
        }
        let assignment = member.assignment;
        member.told.0 = assignment;
        let target = member.view.target.as_ref().map(|target| target.id.clone());
        let clean_fence = (!renewal.clean).then(|| self.take_fence());
        Some(LeaseReply {
            epoch: self.epoch,
            renewal_sent_at: renewal.sent_at,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(0),
            assignment,
            wanted: target
                .as_ref()
                .map_or_else(Vec::new, |target| self.wanted(&renewal.node, target)),
            target,
            clean_fence,
            table_version: self.table.version,
            configuration_version: 0,
        })
    }

    /// Brings what is known of a node up to date.
    fn meet(&mut self, now: Time, renewal: &Renewal) {
        let lease_until = now + self.timing.lease;
        let member = self
            .members
            .entry(renewal.node.clone())
            .or_insert_with(|| Member {
                life: renewal.life,
                view: view_of(renewal),
                lease_until,
                clean: renewal.clean,
                assignment: 0,
                told: (0, Time::default()),
                registered_at: None,
                registered_for: None,
                store_reachable: true,
                link_mbps: renewal.link_mbps,
                configuration_version: 0,
                heard_at: now,
                previous_life: None,
                life_known_at: now,
                newest_sent_at: renewal.sent_at,
            });
        let restarted = member.life != renewal.life;
        let before = member.view.target.as_ref().map(|target| target.id.clone());
        let replaced = match (&before, &renewal.target) {
            (Some(before), Some(target)) => *before != target.id,
            _ => false,
        };
        if restarted {
            member.previous_life = Some(member.life);
            member.life_known_at = now;
        }
        member.newest_sent_at = renewal.sent_at;
        member.life = renewal.life;
        member.view = view_of(renewal);
        member.clean = renewal.clean;
        member.store_reachable = renewal.store_reachable;
        member.link_mbps = renewal.link_mbps;
        member.configuration_version = renewal.configuration_version;
        member.heard_at = now;
        let known_for = self.registered.get(&renewal.node);
        let is_as_known = known_for.is_some_and(|service| *service == renewal.registered_for);
        member.registered_for.clone_from(&renewal.registered_for);
        if is_as_known && renewal.registered_for.is_some() {
            // Any later leader knows it too.
            member.registered_at = Some(Time::default());
        } else if renewal.registered_for.is_some() && member.registered_at.is_none() {
            member.registered_at = Some(now);
        }
        for partition in self.partitions.values_mut() {
            if restarted {
                partition.revoke_all_of(&renewal.node);
            }
            if replaced && !restarted {
                // The earlier life of the target has ended: another answers at its address.
                partition.free_all_of(&renewal.node);
            }
            if replaced {
                partition.load.forget(&renewal.node);
            }
        }
    }

    /// Takes in an owner's load.
    pub fn load(&mut self, report: &LoadReport) {
        if let Some(partition) = self.partitions.get_mut(&report.service) {
            let ranges = partition.owned_by(&report.node);
            partition.load.record(report, &ranges);
        }
    }

    /// Lets time pass: leases end, ranges are given and taken back.
    pub fn tick(&mut self, now: Time) {
        self.ticked_at = now;
        if !self.may_lease(now) {
            return;
        }
        self.end_leases(now);
        let unknown_until = self.unknown_until();
        // Nodes that have yet to report to a new leader keep what is planned for them.
        let settled = now >= self.elected_at + self.timing.settle;
        let rebalance = settled && now.0 >= self.rebalanced_at.0 + REBALANCE_EVERY_MS;
        if rebalance {
            self.rebalanced_at = now;
        }
        let services = self.partitions.keys().cloned().collect::<Vec<_>>();
        for service in services {
            let candidates = self.candidates(&service, now);
            let Some(mut partition) = self.partitions.remove(&service) else {
                continue;
            };
            // As with a lease's end: a silent node may have been renewed by a later leader since, unless
            // the store has confirmed this one after that time.
            let all_reported =
                self.has_reported_all(&service) && self.confirmed_at >= self.last_report_at;
            if all_reported || unknown_until <= now.min(self.confirmed_at) {
                partition.free_unknown();
            }
            if settled {
                partition.repair_plan(&candidates);
            }
            if rebalance {
                partition.rebalance(&candidates);
            }
            self.follow_plan(&mut partition, &candidates);
            self.partitions.insert(service, partition);
        }
        self.refresh_table(now);
    }

    /// Frees what nodes held whose leases have ended. The store must have confirmed the leadership
    /// after that: else a later leader may have renewed the node meanwhile, without this one knowing.
    fn end_leases(&mut self, now: Time) {
        let margin = self.timing.lease_margin;
        let sure_until = now.min(self.confirmed_at);
        let ended = self
            .members
            .iter()
            .filter(|(_, member)| member.lease_until + margin <= sure_until)
            .map(|(node, _)| node.clone())
            .collect::<Vec<_>>();
        for node in &ended {
            let mut freed = false;
            for partition in self.partitions.values_mut() {
                freed |= partition.free_all_of(node);
            }
            if freed {
                self.next_assignment(node);
            }
        }
    }

    /// Nodes that can own keys of a service, with the slots of their targets.
    fn candidates(&self, service: &str, now: Time) -> Vec<Candidate> {
        self.members
            .iter()
            .filter(|(_, member)| member.clean && !member.view.leaving && now < member.lease_until)
            .filter(|(_, member)| {
                member
                    .registered_at
                    .is_some_and(|at| at < self.confirmed_at)
            })
            // Later leaders wait for it only where it is registered.
            .filter(|(_, member)| member.registered_for.as_deref() == Some(service))
            .filter_map(|(node, member)| {
                let target = member.view.target.as_ref()?;
                (target.service == service && target.accepting)
                    .then(|| (node.clone(), target.slots))
            })
            .collect()
    }

    /// Takes back ranges that are planned elsewhere and gives free ones to their planned owners.
    fn follow_plan(&mut self, partition: &mut Partition, candidates: &[Candidate]) {
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

    fn next_state(&mut self, state: State, planned: &NodeName, candidates: &[Candidate]) -> State {
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

    fn target_of(&self, node: &NodeName) -> Option<TargetState> {
        self.members.get(node)?.view.target.clone()
    }

    fn next_assignment(&mut self, node: &NodeName) -> u64 {
        let Some(member) = self.members.get_mut(node) else {
            return 0;
        };
        member.assignment += 1;
        member.assignment
    }

    fn take_fence(&mut self) -> Fence {
        self.next_fence = self.next_fence.next_grant();
        self.next_fence
    }
}

fn view_of(renewal: &Renewal) -> MemberView {
    MemberView {
        node: renewal.node.clone(),
        zone: renewal.zone.clone(),
        address: renewal.address,
        target: renewal.target.clone(),
        leaving: renewal.leaving,
    }
}
