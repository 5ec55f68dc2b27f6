//! The group's object in the store: generation, voters, and what the generation began from.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wingspar_consensus::LogPosition;
use wingspar_world::{Machine, NodeId};

use crate::GroupSnapshot;

/// A voter and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The process.
    pub node: NodeId,
    /// Where it stands.
    pub machine: Machine,
}

/// A change of voters that may or may not have happened yet. It is recorded before it is proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedChange {
    /// The voter that joins.
    pub adding: Option<Member>,
    /// The voter that goes afterwards.
    pub removing: Option<NodeId>,
}

/// State from which a generation's log began.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Position of the snapshot in the log of the generation before.
    pub position: LogPosition,
    /// The state, without sessions and owners.
    pub snapshot: GroupSnapshot,
}

/// The group's object in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupObject {
    /// Names the write.
    pub change_id: String,
    /// Generation of the group.
    pub generation: u32,
    /// Voters that the generation began with.
    pub founders: Vec<Member>,
    /// Voters before the recorded change.
    pub voters: Vec<Member>,
    /// The change under way, if any.
    #[serde(default)]
    pub change: Option<RecordedChange>,
    /// What the generation began from; none for an empty state.
    #[serde(default)]
    pub origin: Option<Origin>,
}

impl GroupObject {
    /// The voters' processes.
    pub fn voter_ids(&self) -> BTreeSet<NodeId> {
        self.voters
            .iter()
            .map(|member| member.node.clone())
            .collect()
    }

    /// All members that are or may be voters.
    pub fn possible_members(&self) -> impl Iterator<Item = &Member> {
        let adding = self
            .change
            .as_ref()
            .and_then(|change| change.adding.as_ref());
        self.voters.iter().chain(adding)
    }

    /// Every set of voters that may be in force.
    pub fn possible_voter_sets(&self) -> Vec<BTreeSet<NodeId>> {
        let before = self.voter_ids();
        let mut sets = vec![before];
        let change = self.change.as_ref();
        if let Some(member) = change.and_then(|change| change.adding.as_ref()) {
            let with = |set: &BTreeSet<NodeId>| {
                let mut set = set.clone();
                set.insert(member.node.clone());
                set
            };
            sets.extend(sets.iter().map(with).collect::<Vec<_>>());
        }
        if let Some(node) = change.and_then(|change| change.removing.as_ref()) {
            let without = |set: &BTreeSet<NodeId>| {
                let mut set = set.clone();
                set.remove(node);
                set
            };
            sets.extend(sets.iter().map(without).collect::<Vec<_>>());
        }
        sets
    }

    /// Whether no majority can be alive, whichever set of voters is in force, given that the
    /// processes for which `is_dead` holds can never act again.
    pub fn majority_is_dead(&self, is_dead: impl Fn(&NodeId) -> bool) -> bool {
        let lost = |voters: &BTreeSet<NodeId>| {
            let alive = voters.iter().filter(|node| !is_dead(node)).count();
            alive < voters.len() / 2 + 1
        };
        self.possible_voter_sets().iter().all(lost)
    }
}
