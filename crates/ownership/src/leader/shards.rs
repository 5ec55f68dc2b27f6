//! Assigns the shards of tenants' quotas to nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use wingspar_quota::Shard;

use super::Leader;
use super::assignments::{JOIN_QUIET_PERIOD, REBALANCE_INTERVAL_MS};
use crate::{NodeName, ShardReport, Time};

/// Interval between checks for nodes that own many more shards than others; equals the interval at
/// which keys are rebalanced.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(REBALANCE_INTERVAL_MS);
/// Most shards that are revoked at once for a better balance, since each revocation interrupts the
/// shard's tenants for a moment.
const MAX_REVOKED_SHARDS: usize = 8;

/// The leader's view of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// No node has reported the shard since the leader was elected; a silent node may own it.
    Unknown,
    /// No node owns the shard.
    Free,
    /// The shard is assigned to the node since its assignment with the number `since`.
    Owned { node: NodeName, since: u64 },
    /// The node has to release the shard since its assignment with the number `since`.
    Revoked { node: NodeName, since: u64 },
}

impl State {
    fn holder(&self) -> Option<(&NodeName, u64)> {
        match self {
            Self::Owned { node, since } | Self::Revoked { node, since } => Some((node, *since)),
            Self::Unknown | Self::Free => None,
        }
    }
}

/// The leader's view of all shards.
#[derive(Debug)]
pub struct ShardAssignments {
    /// When the balance of shards was last checked.
    rebalanced_at: Time,
    states: BTreeMap<Shard, State>,
}

impl ShardAssignments {
    /// The shards of a leader that was just elected: all of them are unknown.
    pub fn new(elected_at: Time) -> Self {
        Self {
            rebalanced_at: elected_at,
            states: Shard::all().map(|shard| (shard, State::Unknown)).collect(),
        }
    }

    /// Applies a node's report. Returns whether any shard became free.
    pub fn report(&mut self, node: &NodeName, report: &ShardReport) -> bool {
        let mut freed = false;
        for (shard, state) in &mut self.states {
            let is_owned = report.owned.contains(shard);
            match state.holder() {
                None if *state == State::Unknown && is_owned => {
                    let node = node.clone();
                    *state = State::Owned { node, since: 0 };
                }
                Some((holder, since)) if holder == node && !is_owned && report.applied >= since => {
                    *state = State::Free;
                    freed = true;
                }
                _ => {}
            }
        }
        freed
    }

    /// Frees what a node owned, because its lease has expired.
    pub fn free_all_of(&mut self, node: &NodeName) -> bool {
        let mut freed = false;
        for state in self.states.values_mut() {
            if state.holder().is_some_and(|(holder, _)| holder == node) {
                *state = State::Free;
                freed = true;
            }
        }
        freed
    }

    /// Revokes what a node owned in an earlier process.
    pub fn revoke_all_of(&mut self, node: &NodeName) {
        for state in self.states.values_mut() {
            if matches!(state, State::Owned { node: owner, .. } if owner == node) {
                let node = node.clone();
                *state = State::Revoked { node, since: 0 };
            }
        }
    }

    /// Frees the shards that no node has reported.
    pub fn free_unknown(&mut self) {
        for state in self.states.values_mut() {
            if *state == State::Unknown {
                *state = State::Free;
            }
        }
    }

    /// Whether there are shards that no node has reported.
    pub fn has_unknown(&self) -> bool {
        let mut states = self.states.values();
        states.any(|state| *state == State::Unknown)
    }

    /// Whether a node owns any shard, or still has to release one.
    pub fn may_hold(&self, node: &NodeName) -> bool {
        let mut holders = self.states.values().filter_map(State::holder);
        holders.any(|(holder, _)| holder == node)
    }

    /// The shards that are assigned to a node.
    pub fn owned_by(&self, node: &NodeName) -> Vec<Shard> {
        let is_owner =
            |state: &State| matches!(state, State::Owned { node: owner, .. } if owner == node);
        let owned = self.states.iter().filter(|(_, state)| is_owner(state));
        owned.map(|(shard, _)| *shard).collect()
    }

    /// The shards of each owner.
    pub fn by_owner(&self) -> BTreeMap<&NodeName, Vec<Shard>> {
        let mut by_owner = BTreeMap::<_, Vec<_>>::new();
        for (shard, state) in &self.states {
            if let State::Owned { node, .. } = state {
                by_owner.entry(node).or_default().push(*shard);
            }
        }
        by_owner
    }

    /// The selected owners with their shards.
    fn owners(&self, is_selected: impl Fn(&NodeName) -> bool) -> Vec<(NodeName, Vec<Shard>)> {
        let owners = self.by_owner().into_iter();
        let selected = owners.filter(|(node, _)| is_selected(node));
        selected
            .map(|(node, owned)| (node.clone(), owned))
            .collect()
    }

    /// The shards that can be assigned.
    fn free(&self) -> Vec<Shard> {
        let free = self.states.iter();
        let free = free.filter(|(_, state)| **state == State::Free);
        free.map(|(shard, _)| *shard).collect()
    }
}

/// Nodes that may own shards: the number of shards that each owns, and the capacity of its link in
/// kilobits per second.
type Candidates = BTreeMap<NodeName, (usize, u64)>;

impl Leader {
    /// Starts to assign shards, because tenants have quotas.
    pub fn set_quota_shards(&mut self) {
        let elected_at = self.elected_at;
        self.shards
            .get_or_insert_with(|| ShardAssignments::new(elected_at));
    }

    /// Assigns free shards and revokes those that other nodes should own.
    pub(super) fn assign_shards(&mut self, now: Time) {
        let Some(mut shards) = self.shards.take() else {
            return;
        };
        let all_reported =
            self.have_shard_owners_reported() && self.confirmed_at >= self.last_report_at;
        if all_reported || self.unknown_until() <= now.min(self.confirmed_at) {
            shards.free_unknown();
        }
        self.record_preferred_owners(now);
        self.revoke_from_leaving(&mut shards);
        self.revoke_from_others(now, &mut shards);
        let free = shards.free();
        let rebalance = now.since(shards.rebalanced_at) >= REBALANCE_INTERVAL;
        if self.are_nodes_known(now) && (rebalance || !free.is_empty()) {
            let mut candidates = self.shard_candidates(now, &shards);
            for shard in free {
                self.assign_shard(&mut shards, &mut candidates, shard);
            }
            if rebalance {
                shards.rebalanced_at = now;
                self.revoke_surplus(&mut shards, &candidates);
            }
        }
        self.shards = Some(shards);
    }

    /// Whether the nodes that are likely to join soon have done so, so that the first ones don't
    /// get all shards. Few nodes have reported to the very first leader yet.
    fn are_nodes_known(&self, now: Time) -> bool {
        let nobody_new =
            now >= self.elected_at + JOIN_QUIET_PERIOD && now >= self.joined_at + JOIN_QUIET_PERIOD;
        (!self.is_first && nobody_new) || now >= self.latest_assignment_start()
    }

    fn shard_candidates(&self, now: Time, shards: &ShardAssignments) -> Candidates {
        let by_owner = shards.by_owner();
        self.eligible_shard_owners(now)
            .map(|member| {
                let node = &member.view.node;
                let owned = by_owner.get(node).map_or(0, Vec::len);
                let kilobits = member
                    .link_mbps
                    .map_or(u64::MAX, |mbps| (mbps * 1e3) as u64);
                (node.clone(), (owned, kilobits))
            })
            .collect()
    }

    /// Assigns a shard to the node that owns fewest; among equals, to the one with the fastest
    /// link.
    fn assign_shard(
        &mut self,
        shards: &mut ShardAssignments,
        candidates: &mut Candidates,
        shard: Shard,
    ) {
        let best = candidates
            .iter_mut()
            .min_by_key(|(_, (owned, kilobits))| (*owned, Reverse(*kilobits)));
        let Some((node, (owned, _))) = best else {
            return;
        };
        *owned += 1;
        let node = node.clone();
        let since = self.next_assignment(&node);
        shards.states.insert(shard, State::Owned { node, since });
    }

    /// Revokes shards from nodes that are shutting down.
    fn revoke_from_leaving(&mut self, shards: &mut ShardAssignments) {
        let is_leaving = |node: &NodeName| {
            let member = self.members.get(node);
            member.is_some_and(|member| member.view.leaving)
        };
        let leaving = shards.owners(is_leaving);
        self.revoke_all(shards, leaving);
    }

    /// Revokes shards from nodes that aren't preferred owners once a preferred owner can take them.
    fn revoke_from_others(&mut self, now: Time, shards: &mut ShardAssignments) {
        let is_other = |node: &NodeName| {
            let member = self.members.get(node);
            member.is_some_and(|member| !self.is_preferred_owner(member))
        };
        if self
            .eligible_shard_owners(now)
            .all(|member| !self.is_preferred_owner(member))
        {
            return;
        }
        let others = shards.owners(is_other);
        self.revoke_all(shards, others);
    }

    fn revoke_all(&mut self, shards: &mut ShardAssignments, revoked: Vec<(NodeName, Vec<Shard>)>) {
        for (node, owned) in revoked {
            self.revoke(shards, &node, &owned);
        }
    }

    /// Revokes one shard from each node that owns at least twice as many plus two as the one with
    /// the fewest. Revokes as many shards as that one lacks to the mean, at most
    /// [`MAX_REVOKED_SHARDS`].
    fn revoke_surplus(&mut self, shards: &mut ShardAssignments, candidates: &Candidates) {
        let Some(fewest) = candidates.values().map(|(owned, _)| *owned).min() else {
            return;
        };
        let mean = shards.states.len() / candidates.len();
        let owners = shards.by_owner().into_iter();
        let overfull = owners.filter(|(_, owned)| owned.len() >= 2 * fewest + 2);
        let revoked = overfull
            .take(MAX_REVOKED_SHARDS.min(mean.saturating_sub(fewest)))
            .map(|(node, owned)| (node.clone(), owned[0]))
            .collect::<Vec<_>>();
        for (node, shard) in revoked {
            self.revoke(shards, &node, &[shard]);
        }
    }

    fn revoke(&mut self, shards: &mut ShardAssignments, node: &NodeName, revoked: &[Shard]) {
        let since = self.next_assignment(node);
        for shard in revoked {
            let node = node.clone();
            shards.states.insert(*shard, State::Revoked { node, since });
        }
    }
}
