//! Which nodes may own shards of tenants' quotas.
//!
//! Where keys have owners, only nodes of keyed services own shards, so that a new leader need not
//! wait for other silent nodes. If no such node is left, nodes of any service may own shards. Later
//! leaders then have to wait for more nodes, so the leader's object in the store records this
//! before the first such shard is assigned.

use std::time::Duration;

use super::{Leader, Member};
use crate::Time;

/// Nodes of any service may own shards after this time without a node of a keyed service. A
/// restarted node is back earlier, and its tenants are refused no longer than after other losses.
const KEYED_NODE_ABSENCE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The scope recorded in the leader's object, and what it permits.
#[derive(Debug, Clone, Copy)]
pub(super) struct ShardScope {
    /// Whether the leader's object in the store may permit nodes of any service to own shards.
    is_wide: bool,
    /// Whether this leader may assign shards to nodes of any service: the store permits it at a
    /// later revision than that of any narrowing by this leader that may still be in flight.
    assigns_widely: bool,
    /// The revision that the last widening was to replace.
    widened_from: Option<u64>,
    /// When a node of a keyed service could last own shards.
    keyed_seen_at: Time,
}

impl ShardScope {
    /// The scope in the object that made this node the leader, which has a new revision.
    pub(super) fn new(is_wide: bool, elected_at: Time) -> Self {
        Self {
            is_wide,
            assigns_widely: is_wide,
            widened_from: None,
            keyed_seen_at: elected_at,
        }
    }
}

impl Leader {
    /// Whether nodes of a service may own shards that an earlier leader assigned.
    pub(super) fn may_own_shards(&self, service: &str) -> bool {
        self.shard_scope.is_wide || self.is_preferred_service(service)
    }

    /// Whether nodes of a service are preferred as owners of shards. Where keys have owners, these
    /// are the nodes of keyed services.
    pub(super) fn is_preferred_service(&self, service: &str) -> bool {
        self.partitions.is_empty() || self.partitions.contains_key(service)
    }

    /// Whether a member could own shards, whatever its service.
    fn could_own_shards(&self, now: Time, member: &Member) -> bool {
        // Later leaders wait for a node's report only if it is registered.
        let is_registered = member
            .registered_at
            .is_some_and(|at| at < self.confirmed_at);
        member.clean && !member.view.leaving && now < member.lease_until && is_registered
    }

    /// Whether a member that could own shards belongs to a preferred service.
    pub(super) fn is_preferred_owner(&self, member: &Member) -> bool {
        let service = member.registered_for.as_deref();
        service.is_some_and(|service| self.is_preferred_service(service))
    }

    /// The members that may own shards now.
    pub(super) fn eligible_shard_owners(&self, now: Time) -> impl Iterator<Item = &Member> {
        let could = self
            .members
            .values()
            .filter(move |member| self.could_own_shards(now, member));
        let (first, others) =
            could.partition::<Vec<_>, _>(|member| self.is_preferred_owner(member));
        if first.is_empty() && self.shard_scope.assigns_widely {
            others.into_iter()
        } else {
            first.into_iter()
        }
    }

    /// Records whether preferred owners are present.
    pub(super) fn record_preferred_owners(&mut self, now: Time) {
        let mut members = self.members.values();
        if members
            .any(|member| self.could_own_shards(now, member) && self.is_preferred_owner(member))
        {
            self.shard_scope.keyed_seen_at = now;
        }
    }

    /// Whether the leader's object should permit nodes of any service to own shards from now on;
    /// `None` if the object needn't change.
    pub fn desired_shard_scope(&self, now: Time) -> Option<bool> {
        let shards = self.shards.as_ref()?;
        let scope = &self.shard_scope;
        let are_preferred_gone = now.since(scope.keyed_seen_at) >= KEYED_NODE_ABSENCE_TIMEOUT;
        if are_preferred_gone && !scope.assigns_widely && self.have_earlier_leases_expired(now) {
            return Some(true);
        }
        let is_held_by_others = || {
            let mut members = self.members.iter();
            members.any(|(node, member)| !self.is_preferred_owner(member) && shards.may_hold(node))
        };
        let can_narrow =
            scope.is_wide && !are_preferred_gone && self.have_earlier_leases_expired(now);
        (can_narrow && !shards.has_unknown() && !is_held_by_others()).then_some(false)
    }

    /// Records that a rewrite of the leader's object at `revision` is about to be sent, which sets
    /// this scope.
    pub fn rewriting_shard_scope(&mut self, revision: u64, is_wide: bool) {
        self.shard_scope.assigns_widely = false;
        self.shard_scope.widened_from = is_wide.then_some(revision);
    }

    /// Records the scope that the leader's object has at a revision.
    pub fn shard_scope_read(&mut self, revision: u64, is_wide: bool) {
        let scope = &mut self.shard_scope;
        scope.is_wide = is_wide;
        scope.assigns_widely &= is_wide;
        // A narrowing in flight can't replace this revision any more.
        if is_wide && scope.widened_from.is_some_and(|from| revision > from) {
            scope.assigns_widely = true;
        }
    }
}
