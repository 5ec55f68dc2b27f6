//! One node's part in ownership as a state machine: renewals, elections, leadership and the table.
//!
//! Every input returns the actions that the node's I/O has to perform. The results of some actions
//! are passed back as further inputs.

mod datagrams;
mod elections;
mod leadership;
mod renewals;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingspar_quarantine::{QuarantineSnapshot, Reply, Report};
use wingspar_quota::Shard;

use crate::{
    Admission, Delivery, Election, ElectionStep, Epoch, EvacuatedZones, EvacuationReport, Fitness,
    FreedKeys, GrantResult, Holder, Incarnation, KeyAssignment, KeyReport, Leader, LeaderReference,
    LeaderWorkload, Leadership, LeaseReply, LoadReport, Member, NodeName, Order, OwnerZones,
    PeerView, RegisteredNode, RegisteredNodes, RegistryPage, Renewal, ShardHolder, ShardReport,
    StoreEra, Table, TableAnswer, TargetState, Time, Timing,
};

/// Least time between two renewals when something makes the next one urgent.
const MIN_RENEWAL_GAP: Duration = Duration::from_millis(40);
/// A renewal without an answer is sent again after this time, which doubles with each attempt.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(130);
/// An urgent confirmation without an answer is sent again after this time.
const URGENT_CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of peers that are queried at once for the leader that they follow.
const PEERS_QUERIED: usize = 5;
/// A leader that hasn't been confirmed for this long requests that a node that reaches the store
/// take over.
const MAX_UNCONFIRMED_TIME: Duration = Duration::from_millis(3_500);
/// Interval between a leader's requests that another node take over.
const TAKE_OVER_REQUEST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Least time since the last confirmation before an urgent one is sent. A confirmation is urgent
/// while something waits for it.
const URGENT_CONFIRMATION_GAP: Duration = Duration::from_millis(200);

/// Interval between reminders of who leads to silent registered nodes, since the store may refuse
/// their calls.
const REMINDER_INTERVAL: Duration = Duration::from_millis(1_000);
/// Most nodes to which reminders of who leads are sent at once.
const MAX_REMINDERS_AT_ONCE: usize = 24;

/// The datagrams that nodes exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A node requests a lease from its leader.
    Renew(Box<Renewal>),
    /// The leader's answer to a renewal.
    Lease(LeaderReference, Box<LeaseReply>),
    /// The answer of a process that doesn't lead: its incarnation, and the leader that it follows.
    NotLeading(Incarnation, Option<LeaderReference>),
    /// Queries a peer for the leader that it follows.
    Ask,
    /// The answer to [`Datagram::Ask`]: the leader that the peer follows, and the milliseconds
    /// since its last contact with that leader.
    Tell(Option<LeaderReference>, u64),
    /// The leader of this epoch requests that the node take over.
    TakeOver(Epoch),
    /// The leader has changed the node's assignment, so the node should renew at once.
    Call(Epoch),
    /// A leader announces itself and the versions of its table and its configuration.
    Notice(LeaderReference, u64, u64),
    /// A request for tokens of a tenant's quota, or the answer to one. The node's I/O passes it to
    /// the quota module.
    Quota(wingspar_quota::Message),
}

impl Datagram {
    /// Stable name of the datagram's kind, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Renew(_) => "renewal",
            Self::Lease(..) => "lease",
            Self::NotLeading(..) => "not_leading",
            Self::Ask => "ask",
            Self::Tell(..) => "tell",
            Self::TakeOver(_) => "take_over",
            Self::Call(_) => "call",
            Self::Notice(..) => "notice",
            Self::Quota(_) => "quota",
        }
    }
}

/// What the node's I/O has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send(SocketAddr, Datagram),
    /// Read the leader's object from the store's caches; ends in
    /// [`Participant::cached_leader_read`].
    ReadCachedLeadership,
    /// Read the leader's object; ends in [`Participant::leadership_read`].
    ReadLeadership,
    /// Replace the leader's object at this revision, or create it if `None`; ends in
    /// [`Participant::claim_ended`].
    Claim(Option<u64>, Leadership),
    /// Replace the leader's object at this revision; the result isn't passed back.
    Rewrite(u64, Leadership),
    /// List the registered nodes; ends in [`Participant::registered_listed`].
    ListRegistered,
    /// Create a page of the registry; ends in [`Participant::registry_written`] if the store
    /// acknowledges it.
    WriteRegistry(RegistryPage),
    /// Remove the page of the registry with this name; the result isn't passed back.
    RemoveRegistry(String),
    /// Register this node from now on, since in a small fleet the leader leaves that to each node.
    RegisterSelf,
    /// The store no longer holds this node's registration with this revision: register again.
    RegistrationMissing(u64),
    /// Read the leader's object; ends in [`Participant::confirmed`].
    Confirm,
    /// Make a call to the target.
    Order(Order),
    /// Fetch the table from the node at this address; ends in [`Participant::table_fetched`].
    FetchTable(SocketAddr),
    /// Fetch the configuration with this version from the node at this address.
    FetchConfiguration(SocketAddr, u64),
    /// At this time there was no configuration later than the node's own.
    ConfigurationChecked(Time),
    /// The leader has reported this store era.
    StoreEra(StoreEra),
    /// The leader has reported the evacuated zones, which were the store's state at this time.
    EvacuationsReceived(EvacuatedZones, Time),
    /// A node has reported requests that crash targets to this node, the leader.
    QuarantineReported(Report),
    /// The leader has answered a report about requests that crash targets.
    QuarantineAnswered(Reply),
    /// The table has changed.
    TableChanged,
    /// Log an event.
    Log(LeadershipEvent),
}

/// A change in the node's view of the leadership, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LeadershipEvent {
    /// The node follows another leader.
    LeaderKnown(LeaderReference),
    /// This node leads the epoch.
    LeadershipTaken {
        /// The new leader's epoch.
        epoch: Epoch,
        /// Number of registered nodes.
        registered: usize,
        /// Number of other nodes in the last table that may hold keys or shards.
        unlisted: usize,
    },
    /// This node no longer leads the epoch.
    LeadershipLost(Epoch),
    /// This node, the leader, has freed keys that their holders hadn't released.
    KeysFreed(FreedKeys),
}

/// The node's state outside the state machine, passed in with inputs.
#[derive(Debug, Clone, Default)]
pub struct NodeContext {
    /// The target beside the node; `None` if none is known.
    pub target: Option<TargetState>,
    /// Whether the node is shutting down.
    pub leaving: bool,
    /// The service of the machine's target, for which the leader registers the node; `None` if the
    /// node registers itself.
    pub service: Option<String>,
    /// The service for which the store has the node registered; `None` unless the node registered
    /// itself and the store acknowledged it.
    pub registered_for: Option<String>,
    /// The store era in which the store acknowledged the registration.
    pub registered_in: StoreEra,
    /// Revision of the registration in that era.
    pub registered_revision: u64,
    /// Version of the node's configuration.
    pub configuration_version: u64,
    /// Approximate size of the stored configuration in bytes; 0 if it isn't known.
    pub configuration_bytes: usize,
    /// Time since the store last confirmed that it holds no later configuration than the node's;
    /// `None` if it never did.
    pub configuration_checked_ago: Option<Duration>,
    /// The evacuated zones as last received by the node; `None` if it never received any state of
    /// them.
    pub evacuations: Option<EvacuationReport>,
    /// What the node can report about requests that crash targets.
    pub quarantine: QuarantineSnapshot,
    /// Whether the node's last call to the store succeeded.
    pub store_reachable: bool,
    /// Capacity of the machine's link in megabits per second; `None` if it isn't known.
    pub link_mbps: Option<f64>,
    /// The services whose keys have owners.
    pub keyed_services: BTreeSet<String>,
    /// The zones in which keys may be owned.
    pub owner_zones: Rc<OwnerZones>,
    /// Whether any tenant has a quota.
    pub has_quotas: bool,
}

/// The leader's object as it was read, with its revision; `None` if it doesn't exist or couldn't be
/// read.
pub type Stored = Option<(u64, Leadership)>;

/// The result of a claim.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimResult {
    /// The object names this node.
    Won,
    /// Another node changed the object; holds what the object contains now, if the store returned
    /// it.
    Conflict(Stored),
    /// No answer, or a refusal.
    Failed,
}

/// The identity of a node's process.
#[derive(Debug, Clone)]
pub struct NodeIdentity {
    /// The node's name.
    pub node: NodeName,
    /// The incarnation of its process.
    pub life: Incarnation,
    /// The node's zone.
    pub zone: String,
    /// The address where it listens for other nodes.
    pub address: SocketAddr,
}

/// One node's part in ownership.
#[derive(Debug)]
pub struct Participant {
    identity: NodeIdentity,
    timing: Timing,
    /// When this process last gave a lease as a leader, or when it started.
    gave_lease_at: Time,
    holder: Holder,
    shards: ShardHolder,
    election: Election,
    leader: Option<Leader>,
    table: Table,
    next_renewal: Time,
    last_renewal: Time,
    /// Number of renewals since the leader's last answer.
    unanswered: u32,
    /// The epoch of the last leader that answered a renewal.
    answered_by: Epoch,
    /// Whether the leader's last answer required the node to register itself.
    registers_itself: bool,
    /// Whether the leader's last answer named the node's registration as missing.
    registration_missing: bool,
    /// When the confirmation in flight was sent; `None` if none is.
    confirming_since: Option<Time>,
    /// When the last confirmation was sent.
    last_confirmation: Time,
    next_take_over: Time,
    /// When the table fetch in flight was started; `None` if none is.
    fetching_table_since: Option<Time>,
    /// Epoch, table version and configuration version that were last announced to the members.
    announced: (Epoch, u64, u64),
    announced_at: Time,
    /// A won claim and when it was sent, while the registered nodes are being listed.
    won_claim: Option<(Leadership, Time)>,
    /// The latest store era that the node has observed.
    store_era: StoreEra,
    /// When this process first observed the era.
    era_seen_at: Time,
    /// Whether the whole system starts for the first time, according to the settings.
    is_first_start: bool,
    /// The epoch in which this node last rewrote the object without earlier leaders.
    rewritten_epoch: Epoch,
    /// Rises with each choice among nodes, so that the choice rotates.
    rotation: u64,
    /// Nodes that were registered or in the last table when this node was elected.
    expected_nodes: Vec<RegisteredNode>,
    next_reminders: Time,
}

/// Timeout of calls between nodes and to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_600);

impl Participant {
    /// The state of a node whose process has just started. `clean` is true if no earlier process
    /// can have granted its target anything.
    pub fn new(identity: NodeIdentity, timing: Timing, clean: bool, now: Time) -> Self {
        let election = Election::new(identity.node.clone(), identity.life, timing, clean, now);
        Self {
            identity,
            timing,
            gave_lease_at: now,
            holder: Holder::new(timing, clean).with_start(now),
            shards: ShardHolder::default(),
            election,
            store_era: StoreEra::default(),
            era_seen_at: now,
            is_first_start: clean,
            leader: None,
            table: Table::default(),
            next_renewal: now,
            last_renewal: Time::default(),
            unanswered: 0,
            answered_by: Epoch::default(),
            registers_itself: false,
            registration_missing: false,
            confirming_since: None,
            last_confirmation: Time::default(),
            next_take_over: now,
            fetching_table_since: None,
            announced: Default::default(),
            announced_at: Time::default(),
            won_claim: None,
            rewritten_epoch: Epoch::default(),
            rotation: 0,
            expected_nodes: Vec::new(),
            next_reminders: now,
        }
    }

    /// Sets how keys reach the node's target; calls to the target are the default.
    pub fn with_delivery(self, delivery: Delivery) -> Self {
        let holder = self.holder.with_delivery(delivery);
        Self { holder, ..self }
    }

    /// The target has reported in a heartbeat what it holds.
    pub fn keys_reported(&mut self, now: Time, report: &KeyReport) {
        self.holder.reported(now, report);
    }

    /// The target belongs to an unkeyed service, according to a heartbeat.
    pub fn set_unkeyed_target(&mut self, now: Time) {
        self.holder.set_unkeyed(now);
    }

    /// Whether an answer to the target's heartbeat would change what the target holds.
    pub fn has_key_changes(&self, now: Time) -> bool {
        self.holder.has_changes(now)
    }

    /// The keys in the answer to a heartbeat that arrived at `arrived_at`; `None` without a lease.
    pub fn key_assignment(&mut self, now: Time, arrived_at: Time) -> Option<KeyAssignment> {
        self.holder.answer(now, arrived_at)
    }

    /// The leader that the node follows.
    pub fn followed_leader(&self) -> Option<&LeaderReference> {
        self.election.leader()
    }

    /// The followed leader, unless it is this node or is suspected of being gone.
    pub fn live_leader(&self, now: Time) -> Option<&LeaderReference> {
        let is_recent = now.since(self.election.leader_contact_at()) < self.timing.suspect_after;
        self.followed_leader()
            .filter(|_| is_recent && self.leader.is_none())
    }

    /// The leader's state if this node leads.
    pub fn leader_state(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// The latest known table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// When the lease expires.
    pub fn lease_until(&self) -> Time {
        self.holder.lease_until()
    }

    /// The epoch that the node obeys.
    pub fn epoch(&self) -> Epoch {
        self.holder.epoch()
    }

    /// Whether a request for a key may start now.
    pub fn admission(&self, now: Time, key: u16) -> Admission {
        self.holder.admission(now, key)
    }

    /// Since when this process has owned a shard of tenants' quotas; `None` if it doesn't own it.
    pub fn owns_shard_since(&self, now: Time, shard: Shard) -> Option<Time> {
        self.shards.owned_since(now, shard)
    }

    /// The shards of tenants' quotas that this process owns.
    pub fn owned_shards(&self, now: Time) -> Vec<Shard> {
        self.shards.owned(now)
    }

    /// Whether the target may hold any keys.
    pub fn may_hold_any(&mut self, now: Time) -> bool {
        !self.holder.held(now).is_empty()
    }

    /// Whether a node that has been stopping since `stopping_since` may remove its registration: it
    /// holds no keys or shards, and gets none by a renewal that didn't report the stop, because
    /// every lease from such a renewal has expired. So has every lease of an earlier process, whose
    /// keys the target may still hold.
    pub fn may_unregister(&mut self, now: Time, stopping_since: Time) -> bool {
        let earlier_leases_until = stopping_since + self.timing.lease + self.timing.lease_margin;
        let owns_shards = !self.owned_shards(now).is_empty();
        now >= earlier_leases_until && !owns_shards && !self.may_hold_any(now)
    }

    /// Records the id of the target's process. `None` if it is known already; otherwise the number
    /// of key ranges that an earlier process held, or may have held.
    pub fn observe_target(&mut self, now: Time, id: &str) -> Option<usize> {
        self.holder.observe_target(now, id)
    }

    /// Handles the target's reply that it doesn't hold a key.
    pub fn key_denied_by_target(&mut self, now: Time, key: u16) {
        self.holder.key_denied_by_target(now, key);
    }

    /// Records the load that an owner reports, if this node leads.
    pub fn load(&mut self, report: &LoadReport) {
        if let Some(leader) = &mut self.leader {
            leader.load(report);
        }
    }

    /// Records that the store is in a later era than the known one.
    pub fn set_store_era(&mut self, now: Time, era: StoreEra) {
        self.store_era = era;
        self.era_seen_at = now;
    }

    /// The load on a leader with this number of members.
    pub(super) fn workload(context: &NodeContext, members: usize) -> LeaderWorkload {
        LeaderWorkload {
            members,
            configuration_bytes: context.configuration_bytes,
        }
    }

    /// Renews soon, because something has changed that the node reports to the leader.
    pub fn renew_soon(&mut self, now: Time, context: &NodeContext) -> Vec<Action> {
        let earliest = (self.last_renewal + MIN_RENEWAL_GAP).max(now);
        self.next_renewal = self.next_renewal.min(earliest);
        self.tick(now, context)
    }

    /// When a renewal is due that reports a change and waits only for the least time between two
    /// renewals; `None` if there is none.
    pub fn urgent_renewal(&self) -> Option<Time> {
        let is_urgent = self.next_renewal <= self.last_renewal + MIN_RENEWAL_GAP;
        is_urgent.then_some(self.next_renewal)
    }

    /// Performs what is due at `now`: renewals, elections and the work of a leader.
    pub fn tick(&mut self, now: Time, context: &NodeContext) -> Vec<Action> {
        let mut actions = Vec::new();
        self.elect(now, context, &mut actions);
        self.lead(now, context, &mut actions);
        if now >= self.next_renewal {
            self.renew(now, context, &mut actions);
        }
        self.orders(now, &mut actions);
        actions
    }

    pub(super) fn orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.extend(self.holder.orders(now).into_iter().map(Action::Order));
    }

    /// Handles the result of a grant.
    pub fn granted(&mut self, now: Time, order: &Order, sent_at: Time, result: GrantResult) {
        if let Order::Grant {
            range, fence, hold, ..
        } = order
        {
            self.holder
                .granted(now, *range, *fence, sent_at, *hold, result);
        }
    }

    /// Handles the end of a release or of the call that clears the target.
    pub fn released(&mut self, now: Time, order: &Order, answered: bool, handover: Option<String>) {
        match order {
            Order::Release { range, fence } => self
                .holder
                .release_ended(now, *range, *fence, answered, handover),
            Order::Clear { .. } => self.holder.clear_ended(now, answered, handover),
            Order::Grant { .. } => {}
        }
    }
}
