//! Bounded memory of what changed in the slice table, and of operators' change ids.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use wingspar_wire::StateVersion;
use wingspar_world::{ConfigVersion, NodeId, ServiceName, SliceRange, TargetName};

/// Changes of the table that deltas can be made from.
const TABLE_HISTORY_ENTRIES: usize = 16_384;
/// Change ids that are remembered.
const REMEMBERED_CHANGES: usize = 4_096;

/// What a change of the slice table touched.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Touched {
    /// The slices of a service within a range.
    Slices(ServiceName, SliceRange),
    /// A target.
    Target(ServiceName, TargetName),
}

/// The latest changes of the slice table. Not part of snapshots: a restored replica begins anew.
#[derive(Debug, Clone, Default)]
pub struct TableHistory {
    /// Version up to which changes were forgotten.
    base: StateVersion,
    entries: VecDeque<(StateVersion, Touched)>,
}

impl TableHistory {
    pub(crate) fn new(base: StateVersion) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, at: StateVersion, touched: Touched) {
        if self
            .entries
            .back()
            .is_some_and(|(last, it)| *last == at && *it == touched)
        {
            return;
        }
        if self.entries.len() >= TABLE_HISTORY_ENTRIES
            && let Some((forgotten, _)) = self.entries.pop_front()
        {
            self.base = forgotten;
        }
        self.entries.push_back((at, touched));
    }

    /// What was touched after a version; `None` when that is no longer known.
    pub fn since(&self, version: StateVersion) -> Option<impl Iterator<Item = &Touched>> {
        if version < self.base {
            return None;
        }
        let newer = self.entries.partition_point(|(at, _)| *at <= version);
        Some(self.entries.range(newer..).map(|(_, touched)| touched))
    }

    /// Version of the last change; the base when none is remembered.
    pub fn last(&self) -> StateVersion {
        self.entries.back().map_or(self.base, |(at, _)| *at)
    }
}

/// Processes that are remembered as members.
const REMEMBERED_MEMBERS: usize = 4_096;

/// Processes that were added to the group, latest last.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberMemory {
    nodes: BTreeSet<NodeId>,
    order: VecDeque<NodeId>,
}

impl MemberMemory {
    /// Whether a process was added before.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Remembers a process; false when it is known already.
    pub(crate) fn remember(&mut self, node: NodeId) -> bool {
        if !self.nodes.insert(node.clone()) {
            return false;
        }
        if self.order.len() >= REMEMBERED_MEMBERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.nodes.remove(&oldest);
        }
        self.order.push_back(node);
        true
    }

    /// Remembered processes, oldest first.
    pub(crate) fn to_list(&self) -> Vec<NodeId> {
        self.order.iter().cloned().collect()
    }
}

impl FromIterator<NodeId> for MemberMemory {
    fn from_iter<I: IntoIterator<Item = NodeId>>(nodes: I) -> Self {
        let mut memory = Self::default();
        for node in nodes {
            memory.remember(node);
        }
        memory
    }
}

/// What an operator's change came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// A configuration of this version.
    Configured(ConfigVersion),
    /// A move, accepted at this version of the state.
    Moved(StateVersion),
}

/// The latest changes of operators by id.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ChangeMemory {
    results: BTreeMap<String, ChangeResult>,
    order: VecDeque<String>,
}

impl ChangeMemory {
    /// What the change came to, if it is remembered.
    pub fn get(&self, change_id: &str) -> Option<ChangeResult> {
        self.results.get(change_id).copied()
    }

    /// Remembers the first result of a change.
    pub(crate) fn remember(&mut self, change_id: &str, result: ChangeResult) {
        if self.results.contains_key(change_id) {
            return;
        }
        if self.order.len() >= REMEMBERED_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.results.remove(&oldest);
        }
        self.order.push_back(change_id.to_owned());
        self.results.insert(change_id.to_owned(), result);
    }

    /// Remembered changes, oldest first.
    pub(crate) fn to_list(&self) -> Vec<(String, ChangeResult)> {
        let with_result = |id: &String| (id.clone(), self.results[id]);
        self.order.iter().map(with_result).collect()
    }
}

impl FromIterator<(String, ChangeResult)> for ChangeMemory {
    fn from_iter<I: IntoIterator<Item = (String, ChangeResult)>>(changes: I) -> Self {
        let mut memory = Self::default();
        for (id, result) in changes {
            memory.remember(&id, result);
        }
        memory
    }
}
