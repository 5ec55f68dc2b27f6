//! Who belongs to the group, and how that changes through the log.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use wingspar_world::NodeId;

use crate::EntryId;

/// Members of a group. A change takes effect when appended and can be undone until committed.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// Members whose acknowledgements and votes count.
    pub voters: BTreeSet<NodeId>,
    /// Members that only receive entries.
    pub learners: BTreeSet<NodeId>,
}

/// One step of membership; majorities before and after always share a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a process that receives the log without a vote.
    AddLearner(NodeId),
    /// Makes a learner a voter.
    Promote(NodeId),
    /// Removes a voter or a learner. A removed process can't come back under the same id.
    Remove(NodeId),
}

/// Why a change doesn't fit the membership.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The process to add is a member already.
    #[error("{0} is a member already")]
    AlreadyMember(NodeId),
    /// The process to promote is no learner.
    #[error("{0} is not a learner")]
    NotLearner(NodeId),
    /// The process to remove is no member.
    #[error("{0} is not a member")]
    NotMember(NodeId),
    /// The last voter can't be removed.
    #[error("{0} is the last voter")]
    LastVoter(NodeId),
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(voters: BTreeSet<NodeId>) -> Self {
        Self {
            voters,
            learners: BTreeSet::new(),
        }
    }

    /// Whether a process is a voter or a learner.
    pub fn contains(&self, id: &NodeId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &NodeId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Number of voters in the smallest majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The membership after a change.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) => next.add_learner(id)?,
            MembershipChange::Promote(id) => next.promote(id)?,
            MembershipChange::Remove(id) => next.remove(id)?,
        }
        Ok(next)
    }

    fn add_learner(&mut self, id: &NodeId) -> Result<(), MembershipError> {
        if self.contains(id) {
            return Err(MembershipError::AlreadyMember(id.clone()));
        }
        self.learners.insert(id.clone());
        Ok(())
    }

    fn promote(&mut self, id: &NodeId) -> Result<(), MembershipError> {
        if !self.learners.remove(id) {
            return Err(MembershipError::NotLearner(id.clone()));
        }
        self.voters.insert(id.clone());
        Ok(())
    }

    fn remove(&mut self, id: &NodeId) -> Result<(), MembershipError> {
        if self.learners.remove(id) {
            return Ok(());
        }
        if !self.voters.remove(id) {
            return Err(MembershipError::NotMember(id.clone()));
        }
        if self.voters.is_empty() {
            return Err(MembershipError::LastVoter(id.clone()));
        }
        Ok(())
    }
}

/// Memberships found in the log, the oldest being the one in force at the log's base.
#[derive(Debug)]
pub(crate) struct MembershipHistory {
    records: VecDeque<(EntryId, Membership)>,
}

impl MembershipHistory {
    pub(crate) fn new(at: EntryId, membership: Membership) -> Self {
        Self {
            records: VecDeque::from([(at, membership)]),
        }
    }

    /// The membership in force, committed or not.
    pub(crate) fn latest(&self) -> &Membership {
        &self.latest_record().1
    }

    /// Where the membership in force stands in the log.
    pub(crate) fn latest_at(&self) -> EntryId {
        self.latest_record().0
    }

    fn latest_record(&self) -> &(EntryId, Membership) {
        self.records.back().expect("a history is never empty")
    }

    /// The membership in force at an index that is not below the log's base.
    pub(crate) fn at(&self, index: u64) -> &(EntryId, Membership) {
        let mut records = self.records.iter().rev();
        let found = records.find(|(at, _)| at.index <= index);
        found.unwrap_or_else(|| self.records.front().expect("a history is never empty"))
    }

    pub(crate) fn push(&mut self, at: EntryId, membership: Membership) {
        self.records.push_back((at, membership));
    }

    /// Forgets memberships at or above an index whose entries were dropped.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.records.len() > 1 && self.latest_at().index >= index {
            self.records.pop_back();
        }
    }

    /// Forgets memberships that were replaced at or below the log's new base.
    pub(crate) fn compact_to(&mut self, index: u64) {
        while self.records.get(1).is_some_and(|(at, _)| at.index <= index) {
            self.records.pop_front();
        }
    }
}
