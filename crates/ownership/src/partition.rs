//! The keys of one service as their leader knows them.

use crate::balance::Load;
use crate::plan::{Candidate, Plan};
use crate::{Fence, KeyRange, NodeName, Renewal, steps};

/// The plan is left alone while more than one in so many ranges is on its way.
const MOVING_PART: usize = 4;

/// What a leader knows of a range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// Nobody has reported it since the leader was elected; a silent node may hold it.
    Unknown,
    /// Nobody holds it.
    Free {
        /// What the last holder handed over.
        handover: Option<String>,
    },
    /// A node is to hold it.
    Owned {
        /// The node.
        node: NodeName,
        /// The life of its target that it was given to.
        target: String,
        /// Fence of the grant.
        fence: Fence,
        /// What the last holder handed over.
        handover: Option<String>,
        /// The node's assignment that first named it.
        since: u64,
    },
    /// A node is to give it back.
    Revoked {
        /// The node.
        node: NodeName,
        /// The node's assignment that first left it out.
        since: u64,
    },
}

impl State {
    /// The node that may hold the range.
    pub fn holder(&self) -> Option<&NodeName> {
        match self {
            Self::Owned { node, .. } | Self::Revoked { node, .. } => Some(node),
            Self::Unknown | Self::Free { .. } => None,
        }
    }
}

/// A range and its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// What is known of them.
    pub state: State,
}

/// The keys of one service.
#[derive(Debug, Clone)]
pub struct Partition {
    /// Consecutive slices that cover all keys.
    pub slices: Vec<Slice>,
    /// Where the keys should be.
    pub plan: Plan,
    /// Load over the keys.
    pub load: Load,
}

impl Partition {
    /// A partition of which nothing is known but an earlier plan.
    pub fn new(plan: Plan) -> Self {
        Self {
            slices: vec![Slice {
                range: KeyRange::ALL,
                state: State::Unknown,
            }],
            plan,
            load: Load::default(),
        }
    }

    /// Ranges that a node owns.
    pub fn owned_by(&self, node: &NodeName) -> Vec<KeyRange> {
        self.slices
            .iter()
            .filter(
                |slice| matches!(&slice.state, State::Owned { node: owner, .. } if owner == node),
            )
            .map(|slice| slice.range)
            .collect()
    }

    /// Takes in what a node reports: ranges it holds are its own, ranges that it was told to give
    /// back, or lost, are free. Returns whether any became free.
    pub fn report(&mut self, renewal: &Renewal) -> bool {
        let concerned = |slice: &Slice| slice.state.holder() == Some(&renewal.node);
        if renewal.held.is_empty() && !self.slices.iter().any(concerned) {
            return false;
        }
        if let Some(target) = &renewal.target {
            self.adopt_reported(renewal, &target.id);
        }
        let mut freed = false;
        for slice in &mut self.slices {
            if let Some(handover) = given_back(slice, renewal) {
                slice.state = State::Free { handover };
                freed = true;
            }
        }
        if freed {
            self.merge();
        }
        freed
    }

    /// Unknown ranges that a node reports become its own, under the fence that it reports.
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

    /// Frees what a node may have held: its lease has ended, or its target's life has.
    pub fn free_all_of(&mut self, node: &NodeName) -> bool {
        let mut changed = false;
        for slice in &mut self.slices {
            if slice.state.holder() == Some(node) {
                slice.state = State::Free { handover: None };
                changed = true;
            }
        }
        self.merge();
        changed
    }

    /// Takes back what a node owned in an earlier life of its process.
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

    /// Whether there are keys that nobody has reported.
    pub fn has_unknown(&self) -> bool {
        let mut slices = self.slices.iter();
        slices.any(|slice| slice.state == State::Unknown)
    }

    /// Whether it is known who holds which keys, and only the plan is missing.
    pub fn lacks_only_plan(&self) -> bool {
        self.plan.is_empty() && !self.has_unknown()
    }

    /// Frees ranges that nobody reported.
    pub fn free_unknown(&mut self) -> bool {
        let mut changed = false;
        for slice in &mut self.slices {
            if slice.state == State::Unknown {
                slice.state = State::Free { handover: None };
                changed = true;
            }
        }
        changed
    }

    /// Brings the plan up to date with the nodes that can own keys.
    pub fn repair_plan(&mut self, candidates: &[Candidate]) -> bool {
        if self.plan.is_empty() {
            self.plan = self.plan_of_owners();
        }
        self.plan.repair(candidates, &self.load)
    }

    /// Looks for a plan that spreads the load better, unless many ranges are on their way.
    pub fn rebalance(&mut self, candidates: &[Candidate]) -> bool {
        let moving = self
            .slices
            .iter()
            .filter(|slice| !matches!(slice.state, State::Owned { .. }))
            .count();
        let settled = moving * MOVING_PART <= self.slices.len();
        settled && self.plan.rebalance(candidates, &self.load)
    }

    /// A plan that leaves everything where it is; ranges without owner go to the owner before them.
    fn plan_of_owners(&self) -> Plan {
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

    /// Cuts slices along the plan.
    pub fn cut_along_plan(&mut self) {
        let ends = self.plan.arcs().iter().map(|(to, _)| *to);
        let ends = ends.collect::<Vec<_>>();
        self.cut_behind(&ends);
    }

    /// Makes each of these keys, which are in order, the last of a slice.
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
        steps::at(self.plan.arcs(), range.from)
    }

    /// Makes the ends of a range ends of slices.
    fn cut(&mut self, range: KeyRange) {
        match range.from.checked_sub(1) {
            Some(before) => self.cut_behind(&[before, range.to]),
            None => self.cut_behind(&[range.to]),
        }
    }

    /// Joins neighbours in the same state.
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

/// What a node handed over for a slice that, as it reports, it holds no longer; nothing if it may still hold the
/// slice, or never did.
fn given_back(slice: &Slice, renewal: &Renewal) -> Option<Option<String>> {
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
    if !renewal.clean || renewal.applied < since || still_held {
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
