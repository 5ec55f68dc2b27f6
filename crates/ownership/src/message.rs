//! Messages that nodes exchange about ownership, and what the store holds about it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wingspar_quarantine::{Reply, Report};
use wingspar_quota::Shard;

use crate::{Epoch, Fence, Incarnation, KeyRange, NodeName, StoreEra, Time, step_function};

/// The leader of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderReference {
    /// The epoch for which it was elected.
    pub epoch: Epoch,
    /// The leader's node.
    pub node: NodeName,
    /// The incarnation of the process that was elected.
    pub life: Incarnation,
    /// The address where the leader listens for other nodes.
    pub address: SocketAddr,
}

/// The content of the leader's object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The current leader.
    pub leader: LeaderReference,
    /// Nodes that led before and may not have noticed yet that they were replaced. `None` if there
    /// are too many to list, or if they aren't known.
    pub earlier: Option<Vec<NodeName>>,
    /// Whether nodes of any service may own shards of tenants' quotas, because no node of a keyed
    /// service is left.
    #[serde(default)]
    pub shards_anywhere: bool,
    /// The store era in which this was written.
    #[serde(default)]
    pub era: StoreEra,
    /// Minimum time, in milliseconds, since the store was restored from a backup, while leases from
    /// before the restore may still be valid. Which leaders and registered nodes the restore lost
    /// isn't known. `None` if no such restore matters any more.
    #[serde(default)]
    pub restored_ms_ago: Option<u64>,
    /// Number of nodes that the leader, or an earlier one, last wrote; 0 if none has.
    #[serde(default)]
    pub nodes: u32,
}

impl Leadership {
    /// Most earlier leaders that `earlier` lists.
    const MAX_EARLIER_LEADERS: usize = 12;

    /// The leadership that `leader` writes when it succeeds this one, in a store era that began at
    /// least `began_ms_ago` milliseconds ago.
    pub fn succeeded_by(&self, leader: LeaderReference, era: StoreEra, began_ms_ago: u64) -> Self {
        let restored_ms_ago = if era == self.era {
            self.restored_ms_ago.map(|ago| ago.max(began_ms_ago))
        } else {
            Some(began_ms_ago)
        };
        let earlier = self.earlier.as_ref().map(|earlier| {
            let mut earlier = earlier.clone();
            if !earlier.contains(&self.leader.node) {
                earlier.push(self.leader.node.clone());
            }
            earlier
        });
        Self {
            leader,
            earlier: earlier.filter(|earlier| earlier.len() <= Self::MAX_EARLIER_LEADERS),
            shards_anywhere: self.shards_anywhere,
            era,
            restored_ms_ago,
            nodes: self.nodes,
        }
    }
}

/// A node as it is registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredNode {
    /// The node's name.
    pub node: NodeName,
    /// The address where it listens for other nodes.
    pub address: SocketAddr,
    /// The only service whose keys its target may hold; `None` if it isn't known.
    pub service: Option<String>,
}

/// A range of keys that a node's target may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The keys.
    pub range: KeyRange,
    /// The fence of the grant under which the target may hold them.
    pub fence: Fence,
}

/// A range of keys that a target has released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The keys.
    pub range: KeyRange,
    /// State that the target hands over to the next holder, if any.
    pub handover: Option<String>,
}

/// A range of keys that a node is assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// The keys.
    pub range: KeyRange,
    /// The fence of the grant.
    pub fence: Fence,
    /// State that the previous holder handed over, if any.
    pub handover: Option<String>,
}

/// A node's view of the target beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetState {
    /// Id of the target's process; a restarted target has another one.
    pub id: String,
    /// The service to which the target belongs.
    pub service: String,
    /// Whether the target accepts new work.
    pub accepting: bool,
    /// Number of requests that the target works on at once.
    pub slots: u32,
    /// Most requests that may start at the target within a second, while it warms up or when it
    /// sets a limit itself; `None` without a limit.
    #[serde(default)]
    pub starts_per_s: Option<u32>,
}

/// The zones whose targets get no requests, as of a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The store era of the revision; revisions of different eras aren't comparable.
    #[serde(default)]
    pub era: StoreEra,
    /// Store revision of the listing; it rises with every change within an era.
    pub revision: u64,
    /// The evacuated zones.
    pub zones: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Orders listings that were read from the store at different times.
    pub fn as_of(&self) -> (StoreEra, u64) {
        (self.era, self.revision)
    }

    /// Adds the zones of an earlier listing when this one has unreadable entries: each known zone
    /// may be one of those entries, so it stays evacuated.
    pub fn merge_known(&mut self, known: &Self) {
        self.zones.extend(known.zones.iter().cloned());
    }
}

/// The evacuated zones as last received by a node, and how old that state is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationReport {
    /// The evacuated zones.
    pub evacuated: EvacuatedZones,
    /// Time in milliseconds since this was last confirmed as the store's current state.
    pub checked_ms_ago: u64,
}

/// The shards of tenants' quotas that a process owns, as reported to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ShardReport {
    /// Number of the last assignment that the process has applied.
    pub applied: u64,
    /// The owned shards.
    pub owned: Vec<Shard>,
}

/// A node's request for a lease, with a report of what it holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The node's name.
    pub node: NodeName,
    /// The incarnation of its process.
    pub life: Incarnation,
    /// The node's zone.
    pub zone: String,
    /// The address where it listens for other nodes.
    pub address: SocketAddr,
    /// The node's clock when it sent the renewal.
    pub sent_at: Time,
    /// Time in milliseconds for which no process of the node has given a lease as a leader: since
    /// this process last did, or since it started.
    #[serde(default)]
    pub no_lease_given_ms: u64,
    /// The epoch that the node obeys.
    pub epoch: Epoch,
    /// Number of the last assignment of that epoch that the node has applied.
    pub applied: u64,
    /// Whether the target holds nothing that an earlier process of this node granted.
    pub clean: bool,
    /// Everything that the target may hold.
    pub held: Vec<Holding>,
    /// What the target released recently.
    pub released: Vec<Released>,
    /// The target beside the node; `None` if none is known.
    pub target: Option<TargetState>,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// The service of the machine's target, which holds no keys of other services. `None` from a
    /// node of an earlier version, which registers itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// The service for which the store has the node registered; `None` unless the node registered
    /// itself and the store acknowledged it.
    pub registered_for: Option<String>,
    /// The store era in which the store acknowledged the registration.
    #[serde(default)]
    pub registered_in: StoreEra,
    /// Revision of the registration in that era; `None` once the leader has checked it, and from a
    /// node of an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registered_revision: Option<u64>,
    /// Version of the node's configuration.
    pub configuration_version: u64,
    /// Whether the node's last call to the store succeeded.
    pub store_reachable: bool,
    /// Capacity of the machine's link in megabits per second; `None` if it isn't known.
    pub link_mbps: Option<f64>,
    /// The node's report about requests that crash targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<Report>,
    /// The shards of tenants' quotas that the node owns; `None` where no tenant has a quota.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota_shards: Option<ShardReport>,
}

/// A leader's answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The incarnation of the process that sent the renewal; a later process of the same node must
    /// not use its lease.
    pub life: Incarnation,
    /// The renewal's `sent_at`.
    pub renewal_sent_at: Time,
    /// How long the node may hold keys, in milliseconds from when it sent the renewal.
    pub lease_ms: u64,
    /// Number of the assignment in this reply; it rises with each change of the assignment.
    pub assignment: u64,
    /// Id of the target for which the assignment is made.
    pub target: Option<String>,
    /// All ranges that the node is assigned.
    pub wanted: Vec<Wanted>,
    /// The fence under which the node clears its target; `None` if the node is clean.
    pub clean_fence: Option<Fence>,
    /// Version of the leader's table.
    pub table_version: u64,
    /// Version of the leader's configuration.
    pub configuration_version: u64,
    /// Time in milliseconds since the store last confirmed to the leader that it holds no later
    /// configuration; `None` if it never did.
    pub configuration_checked_ms_ago: Option<u64>,
    /// The latest store era that the leader has observed.
    #[serde(default)]
    pub store_era: StoreEra,
    /// The evacuated zones as last received by the leader; `None` if it never received any state of
    /// them.
    #[serde(default)]
    pub evacuations: Option<EvacuationReport>,
    /// The leader's answer about requests that crash targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quarantine: Option<Reply>,
    /// Whether the node has to register itself in the store; otherwise the leader registers it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub registers_itself: bool,
    /// Revision of the node's registration if the store no longer holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing_registration: Option<u64>,
    /// The shards of tenants' quotas that the node is assigned.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quota_shards: Vec<Shard>,
}

/// A node as the table shows it to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The node's name.
    pub node: NodeName,
    /// The node's zone.
    pub zone: String,
    /// The address where it listens for other nodes.
    pub address: SocketAddr,
    /// The target beside the node; `None` if none is known.
    pub target: Option<TargetState>,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// The shards of tenants' quotas that the node owns.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quota_shards: Vec<Shard>,
}

/// The owners of one service's keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTable {
    /// The service's name.
    pub service: String,
    /// Last key and owner of each range, in the order of keys; `None` for a range without an owner.
    pub owners: Vec<(u16, Option<NodeName>)>,
    /// Last key and planned owner of each range, in the order of keys.
    pub plan: Vec<(u16, NodeName)>,
}

/// The nodes and owners, from which routers find targets.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// The epoch of the leader that made the table.
    pub epoch: Epoch,
    /// Rises with each change within an epoch.
    pub version: u64,
    /// All nodes that renew with the leader.
    pub members: Vec<MemberView>,
    /// The owners of each keyed service.
    pub services: Vec<ServiceTable>,
}

/// The difference between two versions of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableChanges {
    /// The epoch of the resulting table.
    pub epoch: Epoch,
    /// Epoch and version of the table to which the changes apply. It may be the previous leader's
    /// last table, since a leader's first table differs little from that one.
    pub base: (Epoch, u64),
    /// The version of the resulting table.
    pub version: u64,
    /// Members that are new or have changed.
    pub members: Vec<MemberView>,
    /// Members that are gone.
    pub removed: Vec<NodeName>,
    /// Services whose owners or plans have changed.
    pub services: Vec<ServiceChanges>,
}

/// The difference in one service's owners between two versions of a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceChanges {
    /// The service's name.
    pub service: String,
    /// Ranges whose owners have changed, with the new owners.
    pub owners: Vec<(KeyRange, Option<NodeName>)>,
    /// Ranges whose planned owners have changed, with the new ones.
    pub plan: Vec<(KeyRange, NodeName)>,
}

/// A leader's answer to a node that requests its table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TableAnswer {
    /// The whole table.
    Whole(Table),
    /// The changes since the version that the node has.
    Changes(TableChanges),
}

impl Table {
    /// The table that results from an answer; `None` if the answer doesn't apply to this table or
    /// isn't newer.
    pub fn advanced(&self, answer: TableAnswer) -> Option<Self> {
        let next = match answer {
            TableAnswer::Whole(table) => table,
            TableAnswer::Changes(changes) => self.changed(changes)?,
        };
        ((next.epoch, next.version) > (self.epoch, self.version)).then_some(next)
    }

    fn changed(&self, changes: TableChanges) -> Option<Self> {
        if (self.epoch, self.version) != changes.base {
            return None;
        }
        let mut next = self.clone();
        (next.epoch, next.version) = (changes.epoch, changes.version);
        next.members.retain(|member| {
            let changed = changes.members.iter().any(|new| new.node == member.node);
            !changed && !changes.removed.contains(&member.node)
        });
        next.members.extend(changes.members);
        next.members
            .sort_by(|left, right| left.node.cmp(&right.node));
        for changed in changes.services {
            let position = next
                .services
                .iter()
                .position(|known| known.service == changed.service);
            let known = position.map(|position| next.services.remove(position));
            let (owners, plan) =
                known.map_or_else(Default::default, |known| (known.owners, known.plan));
            next.services.push(ServiceTable {
                owners: step_function::overlaid(&owners, &changed.owners),
                plan: step_function::overlaid(&plan, &changed.plan),
                service: changed.service,
            });
        }
        next.services
            .sort_by(|left, right| left.service.cmp(&right.service));
        Some(next)
    }
}
