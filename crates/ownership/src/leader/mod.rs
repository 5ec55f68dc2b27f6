//! The leader assigns keys and shards to nodes.

mod assignments;
mod confirmation;
mod freed;
mod member;
mod publish;
mod registry;
mod renewals;
mod shard_scope;
mod shards;

pub use freed::{FreeReason, FreedKeys};
pub use member::Member;
pub use registry::{RegisteredNodes, RegistryPage};

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::partition::{Partition, ReportScope, State};
use registry::Registry;
use shard_scope::ShardScope;
use shards::ShardAssignments;

use crate::plan::{Candidate, Plan};
use crate::table_log::TableLog;
use crate::{
    Epoch, Fence, Leadership, LeaseReply, LoadReport, MemberView, NodeName, OwnerZones,
    Registration, Renewal, StoreEra, Table, TableAnswer, TableChanges, TargetState, Time, Timing,
};

/// Least time between two calls to a node about a changed assignment.
const CALL_INTERVAL: Duration = Duration::from_millis(90);

/// The state of the leader of one epoch.
#[derive(Debug)]
pub struct Leader {
    epoch: Epoch,
    timing: Timing,
    elected_at: Time,
    /// When the last successful confirmation was sent.
    confirmed_at: Time,
    /// The last fence that was used in a grant; at first the epoch's first fence, which no grant
    /// uses.
    last_fence: Fence,
    /// Number of nodes that were registered when the leader was elected.
    registered_count: usize,
    /// The nodes among them that had registered themselves.
    self_registered: BTreeMap<NodeName, Registration>,
    /// Revision of the store at which these were listed; 0 if the list may be incomplete.
    self_registered_revision: u64,
    /// Nodes that haven't reported in this epoch and may hold keys or shards: registered ones, and
    /// others in the table of the previous leader. Each with its service if that is known.
    silent: BTreeMap<NodeName, Option<String>>,
    /// The node registrations that this leader writes to the store.
    registry: Registry,
    /// When the last registered node so far reported for the first time.
    last_report_at: Time,
    /// The store era in which the leadership was claimed.
    era: StoreEra,
    /// When the leases of nodes that the store may no longer list have expired, because it was
    /// restored from a backup or has unreadable entries; `None` if it lists all nodes.
    lost_until: Option<Time>,
    /// Whether this is the deployment's first leader.
    is_first: bool,
    /// Earlier leaders that haven't reported in this epoch; `None` if they aren't known.
    earlier: Option<BTreeSet<NodeName>>,
    /// Since when the earlier leaders that have reported haven't given any lease.
    earlier_no_lease_since: Time,
    /// Since when no earlier leader has given a lease; `None` until all of them have reported.
    sole_since: Option<Time>,
    /// All nodes that have renewed with this leader.
    members: BTreeMap<NodeName, Member>,
    /// The keys of each keyed service, by its name.
    partitions: BTreeMap<String, Partition>,
    /// Whether the leader has received which services are keyed.
    is_configured: bool,
    /// The zones in which keys may be owned.
    owner_zones: OwnerZones,
    /// The owners of the shards of tenants' quotas; `None` if no tenant has a quota.
    shards: Option<ShardAssignments>,
    shard_scope: ShardScope,
    rebalanced_at: Time,
    /// When a node last joined.
    joined_at: Time,
    ticked_at: Time,
    /// The last known table of an earlier leader.
    previous_table: Table,
    table: Table,
    table_log: TableLog,
    /// Keys that were freed without a release since they were last logged.
    freed: Vec<FreedKeys>,
}

impl Leader {
    /// A leader that won `leadership` with a claim that was sent at `claimed_at` and answered at
    /// `now`. `registered` is what the store listed after that, `previous_table` the last known
    /// table of an earlier leader.
    pub fn new(
        leadership: &Leadership,
        timing: Timing,
        claimed_at: Time,
        now: Time,
        registered: &RegisteredNodes,
        previous_table: Table,
    ) -> Self {
        let registry = Registry::new(leadership.leader.epoch, registered);
        let lease = timing.lease + timing.lease_margin;
        let leases_ended_at = now + timing.leadership + lease;
        let restored = leadership
            .restored_ms_ago
            .map(|ago| leases_ended_at.before(Duration::from_millis(ago)));
        let unreadable = (registered.unreadable > 0).then_some(leases_ended_at);
        // A registration may be missing from the list although its node holds keys.
        let unlisted = registered.unlisted(&previous_table);
        let listed = registered.all();
        let registered_count = listed.len();
        let may_hold = listed.into_iter().chain(unlisted);
        let silent = may_hold.map(|known| (known.node, known.service)).collect();
        let epoch = leadership.leader.epoch;
        let earlier = leadership.earlier.as_ref();
        let is_first = earlier.is_some_and(Vec::is_empty);
        // The leader's own node may be among them; its first renewal reports since when its process
        // has given no lease.
        let earlier = earlier.map(|nodes| nodes.iter().cloned().collect::<BTreeSet<_>>());
        Self {
            sole_since: earlier
                .as_ref()
                .and_then(|earlier| earlier.is_empty().then_some(now)),
            earlier_no_lease_since: Time::default(),
            earlier,
            era: leadership.era,
            lost_until: restored.max(unreadable),
            is_first,
            epoch,
            timing,
            elected_at: now,
            confirmed_at: claimed_at,
            last_fence: Fence::first_of(epoch),
            silent,
            last_report_at: now,
            registered_count,
            self_registered: registered.self_registered.clone(),
            self_registered_revision: registered.self_registered_revision,
            registry,
            members: BTreeMap::new(),
            partitions: BTreeMap::new(),
            is_configured: false,
            owner_zones: OwnerZones::default(),
            shards: None,
            shard_scope: ShardScope::new(leadership.shards_anywhere, now),
            rebalanced_at: now,
            joined_at: now,
            ticked_at: Time::default(),
            // Until nodes have reported, routers continue with the previous leader's table.
            table: Table {
                epoch,
                version: 0,
                ..previous_table.clone()
            },
            previous_table,
            table_log: TableLog::default(),
            freed: Vec::new(),
        }
    }

    /// The leader's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The store era in which the leadership was claimed.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// When the last successful confirmation was sent.
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Records that the store still named this leader in the answer to a call sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Time) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Whether the leader may give leases now.
    pub fn may_lease(&self, now: Time) -> bool {
        now < self.confirmed_at + self.timing.leadership
    }

    /// Addresses of nodes whose assignment has changed since they were sent one. Each node is
    /// returned at most once per [`CALL_INTERVAL`].
    pub fn due_calls(&mut self, now: Time) -> Vec<SocketAddr> {
        let due = |member: &&mut Member| {
            member.told.0 < member.assignment
                && now.since(member.told.1) >= CALL_INTERVAL
                && now < member.lease_until
        };
        let mut addresses = Vec::new();
        for member in self.members.values_mut().filter(due) {
            member.told.1 = now;
            addresses.push(member.view.address);
        }
        addresses
    }

    /// All nodes that have renewed with this leader.
    pub fn members(&self) -> &BTreeMap<NodeName, Member> {
        &self.members
    }

    /// Nodes that may hold keys or shards and haven't reported in this epoch.
    pub fn silent(&self) -> impl ExactSizeIterator<Item = &NodeName> {
        self.silent.keys()
    }

    /// The answer to a node that has a version of an epoch's table.
    pub fn table_since(&self, epoch: Epoch, version: u64) -> TableAnswer {
        let base = if epoch == self.epoch {
            Some(version)
        } else {
            // The first table of this epoch had the content of the previous leader's last table.
            (epoch == self.previous_table.epoch && version == self.previous_table.version)
                .then_some(0)
        };
        let changes = base.and_then(|base| self.table_log.since(&self.table, base));
        match changes {
            Some(changes) => TableAnswer::Changes(TableChanges {
                base: (epoch, version),
                ..changes
            }),
            None => TableAnswer::Whole(self.table.clone()),
        }
    }

    /// Whether members of the previous leader may still have to report.
    fn is_taking_over(&self, now: Time) -> bool {
        now < self.elected_at + self.timing.lease
    }

    /// The current table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Sets the zones in which keys may be owned.
    pub fn set_owner_zones(&mut self, owner_zones: &OwnerZones) {
        if self.owner_zones != *owner_zones {
            self.owner_zones = owner_zones.clone();
        }
    }

    /// Sets the services whose keys have owners.
    pub fn set_keyed_services(&mut self, services: &BTreeSet<String>) {
        self.is_configured = true;
        self.partitions
            .retain(|service, _| services.contains(service));
        for service in services {
            self.add_partition(service);
        }
    }

    /// Adds the partition of a service unless it exists. Every member of the service may hold keys of
    /// it that the leader ignored in earlier reports.
    pub(super) fn add_partition(&mut self, service: &str) {
        if self.partitions.contains_key(service) {
            return;
        }
        let arcs = self
            .previous_table
            .services
            .iter()
            .find(|known| known.service == *service);
        let plan = arcs
            .map(|known| Plan::from_arcs(known.plan.clone()))
            .unwrap_or_default();
        let members = self.members.iter();
        let may_hold = members.filter(|(_, member)| member.may_hold_keys_of(service));
        let may_hold = may_hold.map(|(node, _)| node.clone()).collect::<Vec<_>>();
        let unreported = may_hold.into_iter().map(|node| {
            let first = self.next_assignment(&node);
            (node, first)
        });
        let unreported = unreported.collect();
        let partition = Partition::new(plan, unreported);
        self.partitions.insert(service.to_owned(), partition);
    }
}
