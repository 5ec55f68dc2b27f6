//! What the leader may conclude from silence or a new process: nothing, until the store has named
//! this leader in answer to a later read.

use super::{Leader, Member};
use crate::{NodeName, Time};

impl Leader {
    /// Whether something waits for a confirmation: a node to be admitted, the report of a new
    /// process to count, keys or shards to be freed, or the shard scope to change.
    pub fn needs_confirmation(&self, now: Time) -> bool {
        let unknown_until = self.unknown_until();
        let unknown_ended = unknown_until <= now && self.confirmed_at < unknown_until;
        let unknown = || {
            let partitions = self.partitions.iter();
            partitions.filter(|(_, partition)| partition.has_unknown())
        };
        let unconfirmed = self.confirmed_at < self.last_report_at;
        let reported = unconfirmed && unknown().any(|(name, _)| self.have_all_reported(name));
        let shards_unknown = self
            .shards
            .as_ref()
            .is_some_and(|shards| shards.has_unknown());
        let shards_reported = unconfirmed && shards_unknown && self.have_shard_owners_reported();
        let unknown_left = shards_unknown || unknown().next().is_some();
        let changes_scope = self.desired_shard_scope(now).is_some();
        if reported || shards_reported || changes_scope || (unknown_ended && unknown_left) {
            return true;
        }
        self.members.iter().any(|(node, member)| {
            let admission = member
                .registered_at
                .is_some_and(|at| at >= self.confirmed_at);
            let ended = member.lease_until + self.timing.lease_margin;
            let expiry = ended <= now && self.confirmed_at < ended && self.may_hold(node);
            let restarted = !self.is_report_reliable(member) && self.may_hold(node);
            admission || expiry || restarted
        })
    }

    /// Whether a member's report of its keys is reliable. A restarted process has forgotten which
    /// epoch its predecessor obeyed; that may have been a later one, unless the store has confirmed
    /// this leader since the first renewal of the new process.
    pub(super) fn is_report_reliable(&self, member: &Member) -> bool {
        member.past_lives.is_empty() || self.confirmed_at >= member.life_seen_at
    }

    /// Whether every node that may hold keys of a service has reported. Always false while the
    /// store may have lost registrations.
    pub(super) fn have_all_reported(&self, service: &str) -> bool {
        let mut silent = self.silent.values();
        let may_hold = |known: &Option<String>| known.as_ref().is_none_or(|known| known == service);
        self.are_registrations_complete() && !silent.any(may_hold)
    }

    /// Whether every node that may own shards has reported. Always false while the store may have
    /// lost registrations.
    pub(super) fn have_shard_owners_reported(&self) -> bool {
        let mut silent = self.silent.values();
        let may_own = |known: &Option<String>| {
            let known = known.as_deref();
            known.is_none_or(|service| self.may_own_shards(service))
        };
        self.are_registrations_complete() && !silent.any(may_own)
    }

    /// Whether nodes whose registrations the store has lost can't hold anything any more.
    fn are_registrations_complete(&self) -> bool {
        self.lost_until
            .is_none_or(|lost_until| lost_until <= self.confirmed_at)
    }

    /// Whether a node holds any keys or shards, or still has to release some.
    pub(super) fn may_hold(&self, node: &NodeName) -> bool {
        let shards = self.shards.as_ref();
        if shards.is_some_and(|shards| shards.may_hold(node)) {
            return true;
        }
        self.partitions.values().any(|partition| {
            let mut slices = partition.slices.iter();
            partition.awaits(node) || slices.any(|slice| slice.state.holder() == Some(node))
        })
    }

    /// An earlier leader that reports to this one no longer leads: it obeys this epoch, or is a new
    /// process. It hasn't given a lease since `no_lease_since`.
    pub(super) fn record_earlier_leader(&mut self, no_lease_since: Time, node: &NodeName) {
        if let Some(earlier) = &mut self.earlier
            && earlier.remove(node)
        {
            self.earlier_no_lease_since = self.earlier_no_lease_since.max(no_lease_since);
            if earlier.is_empty() {
                self.sole_since = Some(self.earlier_no_lease_since);
            }
        }
    }

    /// When no silent node can hold anything any more, because every lease that an earlier leader
    /// may have given has expired.
    pub(super) fn unknown_until(&self) -> Time {
        let lease = self.timing.lease + self.timing.lease_margin;
        let at_the_latest = self.elected_at + self.timing.leadership + lease;
        let known = match self.sole_since {
            Some(since) => at_the_latest.min(since + lease),
            None => at_the_latest,
        };
        known.max(self.lost_until.unwrap_or_default())
    }

    /// Whether all leases of earlier leaders have expired, so that later leaders needn't wait for
    /// them.
    pub fn have_earlier_leases_expired(&self, now: Time) -> bool {
        now >= self.unknown_until()
    }
}
