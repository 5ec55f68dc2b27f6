//! The leader's view of the keys of one service.

use std::collections::BTreeMap;

use crate::load::Load;
use crate::plan::{Candidate, Plan};
use crate::{Fence, KeyRange, NodeName, Renewal, step_function};

/// The plan isn't rebalanced while more than one range in this number is moving.
const MIN_RANGES_PER_MOVE: usize = 4;

/// The leader's view of a range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// No node has reported the range since the leader was elected; a silent node may hold it.
    Unknown,
    /// No node holds the range.
    Free {
        /// State that the previous holder handed over, if any.
        handover: Option<String>,
    },
    /// The range is assigned to a node.
    Owned {
        /// The node's name.
        node: NodeName,
        /// Id of the target process for which the range is assigned.
        target: String,
        /// The fence of the grant.
        fence: Fence,
        /// State that the previous holder handed over, if any.
        handover: Option<String>,
        /// The node's first assignment that contains the range.
        since: u64,
    },
    /// A node has to release the range.
    Revoked {
        /// The node's name.
        node: NodeName,
        /// The node's first assignment that no longer contains the range.
        since: u64,
    },
}

impl State {
    /// The node that may hold the range; `None` if it is free or unknown.
    pub fn holder(&self) -> Option<&NodeName> {
        match self {
            Self::Owned { node, .. } | Self::Revoked { node, .. } => Some(node),
            Self::Unknown | Self::Free { .. } => None,
        }
    }
}

/// A range of keys and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// Who holds the keys, as far as the leader knows.
    pub state: State,
}

/// The keys of one service.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Consecutive slices that cover all keys.
    pub slices: Vec<Slice>,
    /// The planned owners.
    pub plan: Plan,
    /// The load over the keys.
    pub load: Load,
    /// Nodes that may hold unknown ranges although they have renewed with the leader: they haven't
    /// reported since the leader knows that the service is keyed. Each with its first assignment
    /// after that.
    unreported: BTreeMap<NodeName, u64>,
}

/// What a report says about the keys of one service.
#[derive(Debug, Clone, Copy)]
pub struct ReportScope {
    /// Whether the node's target belongs to the service.
    pub is_of_service: bool,
    /// Whether the node can't hold keys although it may not have applied its last assignment: it
    /// has known no target for so long that every earlier lease has expired.
    pub is_without_keys: bool,
}

impl Partition {
    /// A partition in which all owners are unknown, with the plan of an earlier leader.
    pub fn new(plan: Plan, unreported: BTreeMap<NodeName, u64>) -> Self {
        Self {
            unreported,
            slices: vec![Slice {
                range: KeyRange::ALL,
                state: State::Unknown,
            }],
            plan,
            load: Load::default(),
        }
    }

    /// The ranges that a node owns.
    pub fn owned_by(&self, node: &NodeName) -> Vec<KeyRange> {
        self.slices
            .iter()
            .filter(
                |slice| matches!(&slice.state, State::Owned { node: owner, .. } if owner == node),
            )
            .map(|slice| slice.range)
            .collect()
    }

    /// Applies a node's report: it owns the unknown ranges that it reports as held, and ranges of
    /// which it no longer reports anything after its assignment changed are free. Returns whether
    /// any became free.
    pub fn report(&mut self, renewal: &Renewal, scope: ReportScope) -> bool {
        let first = self.unreported.get(&renewal.node);
        let is_current = first.is_some_and(|first| renewal.applied >= *first);
        if renewal.clean && (is_current || scope.is_without_keys) {
            self.unreported.remove(&renewal.node);
        }
        let is_affected = |slice: &Slice| slice.state.holder() == Some(&renewal.node);
        if renewal.held.is_empty() && !self.slices.iter().any(is_affected) {
            return false;
        }
        if let Some(target) = renewal.target.as_ref().filter(|_| scope.is_of_service) {
            self.adopt_reported(renewal, &target.id);
        }
        let mut freed = false;
        for slice in &mut self.slices {
            if let Some(handover) = released_handover(slice, renewal, scope.is_without_keys) {
                slice.state = State::Free { handover };
                freed = true;
            }
        }
        if freed {
            self.merge();
        }
        freed
    }

    /// Assigns unknown ranges to the node that reports them, under the reported fence.
    fn adopt_reported(&mut self, renewal: &Renewal, target: &str) {
        if !self
            .slices
            .iter()
            .any(|slice| slice.state == State::Unknown)
        {
            return;
        }
        for holding in &renewal.held {
            self.cut(holding.range);
            for slice in &mut self.slices {
                if slice.state == State::Unknown && holding.range.overlaps(slice.range) {
                    slice.state = State::Owned {
                        node: renewal.node.clone(),
                        target: target.to_owned(),
                        fence: holding.fence,
                        handover: None,
                        since: 0,
                    };
                }
            }
        }
        self.merge();
    }

    /// Frees everything that a node may have held, because its lease has expired. Returns the number
    /// of freed keys.
    pub fn free_all_of(&mut self, node: &NodeName) -> u32 {
        self.unreported.remove(node);
        self.free_all(|state| state.holder() == Some(node))
    }

    fn free_all(&mut self, is_selected: impl Fn(&State) -> bool) -> u32 {
        let mut freed = 0;
        for slice in &mut self.slices {
            if is_selected(&slice.state) {
                slice.state = State::Free { handover: None };
                freed += slice.range.count();
            }
        }
        if freed > 0 {
            self.merge();
        }
        freed
    }

    /// Revokes what a node owned in an earlier process of its own or of its target.
    pub fn revoke_all_of(&mut self, node: &NodeName) {
        for slice in &mut self.slices {
            if matches!(&slice.state, State::Owned { node: owner, .. } if owner == node) {
                slice.state = State::Revoked {
                    node: node.clone(),
                    since: 0,
                };
            }
        }
        self.merge();
    }

    /// Whether there are keys that no node has reported.
    pub fn has_unknown(&self) -> bool {
        let mut slices = self.slices.iter();
        slices.any(|slice| slice.state == State::Unknown)
    }

    /// Whether a node that has renewed with the leader may hold ranges that are still unknown.
    pub fn awaits(&self, node: &NodeName) -> bool {
        self.unreported.contains_key(node)
    }

    /// Whether any such node may hold ranges that are still unknown.
    pub fn awaits_any(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Whether the owners of all keys are known and only the plan is missing.
    pub fn lacks_only_plan(&self) -> bool {
        self.plan.is_empty() && !self.has_unknown()
    }

    /// Frees the ranges that no node has reported. Returns the number of freed keys.
    pub fn free_unknown(&mut self) -> u32 {
        self.free_all(|state| *state == State::Unknown)
    }

    /// Updates the plan to the nodes that can own keys.
    pub fn repair_plan(&mut self, candidates: &[Candidate]) -> bool {
        if self.plan.is_empty() {
            self.plan = self.current_plan();
        }
        self.plan.repair(candidates, &self.load)
    }

    /// Looks for a plan that balances the load better, unless many ranges are moving.
    pub fn rebalance(&mut self, candidates: &[Candidate]) -> bool {
        let moving = self
            .slices
            .iter()
            .filter(|slice| !matches!(slice.state, State::Owned { .. }))
            .count();
        let settled = moving * MIN_RANGES_PER_MOVE <= self.slices.len();
        settled && self.plan.rebalance(candidates, &self.load)
    }

    /// A plan that moves nothing; ranges without an owner go to the owner of the range before them.
    fn current_plan(&self) -> Plan {
        let mut arcs = Vec::<(u16, NodeName)>::new();
        let first = self
            .slices
            .iter()
            .find_map(|slice| slice.state.holder().cloned());
        let Some(mut last) = first else {
            return Plan::default();
        };
        for slice in &self.slices {
            if let Some(holder) = slice.state.holder() {
                last = holder.clone();
            }
            match arcs.last_mut() {
                Some((to, node)) if *node == last => *to = slice.range.to,
                _ => arcs.push((slice.range.to, last.clone())),
            }
        }
        Plan::from_arcs(arcs)
    }

    /// Splits slices at the boundaries of the plan.
    pub fn cut_along_plan(&mut self) {
        let ends = self.plan.arcs().iter().map(|(to, _)| *to);
        let ends = ends.collect::<Vec<_>>();
        self.cut_behind(&ends);
    }

    /// Splits slices behind each of these keys, which are sorted.
    fn cut_behind(&mut self, ends: &[u16]) {
        let is_end = |key| {
            self.slices
                .binary_search_by_key(&key, |slice| slice.range.to)
        };
        if ends.iter().all(|key| is_end(*key).is_ok()) {
            return;
        }
        let mut cut = Vec::with_capacity(self.slices.len() + ends.len());
        for mut slice in self.slices.drain(..) {
            let first = ends.partition_point(|key| *key < slice.range.from);
            let inside = ends[first..]
                .iter()
                .take_while(|key| **key < slice.range.to);
            for key in inside {
                cut.push(Slice {
                    range: KeyRange {
                        from: slice.range.from,
                        to: *key,
                    },
                    state: slice.state.clone(),
                });
                slice.range.from = key + 1;
            }
            cut.push(slice);
        }
        self.slices = cut;
    }

    /// The planned owner of a range that lies within one arc of the plan.
    pub fn planned(&self, range: KeyRange) -> Option<&NodeName> {
        step_function::at(self.plan.arcs(), range.from)
    }

    /// Splits slices at both ends of a range.
    fn cut(&mut self, range: KeyRange) {
        match range.from.checked_sub(1) {
            Some(before) => self.cut_behind(&[before, range.to]),
            None => self.cut_behind(&[range.to]),
        }
    }

    /// Merges adjacent slices in the same state.
    pub fn merge(&mut self) {
        let mut merged = Vec::<Slice>::with_capacity(self.slices.len());
        for slice in self.slices.drain(..) {
            match merged.last_mut() {
                Some(last) if last.state == slice.state => last.range.to = slice.range.to,
                _ => merged.push(slice),
            }
        }
        self.slices = merged;
    }
}

/// The state that a node handed over for a slice, if the node's report shows that it no longer
/// holds it; the outer `None` if the node may still hold the slice or never did.
fn released_handover(
    slice: &Slice,
    renewal: &Renewal,
    is_without_keys: bool,
) -> Option<Option<String>> {
    let since = match &slice.state {
        State::Owned { node, since, .. } | State::Revoked { node, since }
            if *node == renewal.node =>
        {
            *since
        }
        _ => return None,
    };
    let still_held = renewal
        .held
        .iter()
        .any(|holding| holding.range.overlaps(slice.range));
    let is_current = renewal.applied >= since || is_without_keys;
    if !renewal.clean || !is_current || still_held {
        return None;
    }
    let handover = renewal
        .released
        .iter()
        .rev()
        .find(|released| released.range.overlaps(slice.range))
        .and_then(|released| released.handover.clone());
    Some(handover)
}
