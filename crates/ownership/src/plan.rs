//! Which node should own which keys of one service.

use crate::balance::{BUCKETS, KEYS_PER_BUCKET, Load, bucket_of};
use crate::{KeyRange, NodeName};

/// A new plan must bring the busiest owner down by at least this part of the mean.
const LEAST_GAIN: f64 = 0.12;
/// The busiest owner, in parts of the mean, from which a new plan is looked for.
const WORTH_A_LOOK: f64 = 1.18;

/// Consecutive ranges and their owners; covers all keys or none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Last key and owner, in the order of keys.
    arcs: Vec<(u16, NodeName)>,
}

/// Deviations of an owner's load that are taken for chance.
const CHANCE: f64 = 1.5;

/// An owner that takes keys, with the slots of its target.
pub type Candidate = (NodeName, u32);

impl Plan {
    /// A plan from ranges in order; empty unless they cover all keys.
    pub fn from_arcs(arcs: Vec<(u16, NodeName)>) -> Self {
        let whole = arcs.last().is_some_and(|(to, _)| *to == u16::MAX);
        let rising = arcs.windows(2).all(|pair| pair[0].0 < pair[1].0);
        if whole && rising {
            Self { arcs }
        } else {
            Self::default()
        }
    }

    /// Last key and owner, in the order of keys.
    pub fn arcs(&self) -> &[(u16, NodeName)] {
        &self.arcs
    }

    /// Whether nothing is planned.
    pub fn is_empty(&self) -> bool {
        self.arcs.is_empty()
    }

    /// Ranges and owners.
    pub fn ranges(&self) -> impl Iterator<Item = (KeyRange, &NodeName)> {
        let starts = std::iter::once(0).chain(self.arcs.iter().map(|(to, _)| to.saturating_add(1)));
        starts
            .zip(&self.arcs)
            .map(|(from, (to, node))| (KeyRange { from, to: *to }, node))
    }

    /// Takes away nodes that can't own keys any more; their neighbours share what they had. Returns
    /// whether anything changed.
    pub fn repair(&mut self, candidates: &[Candidate], load: &Load) -> bool {
        let is_candidate = |node: &NodeName| candidates.iter().any(|(name, _)| name == node);
        if candidates.is_empty() {
            return false;
        }
        if !self.arcs.iter().any(|(_, node)| is_candidate(node)) {
            *self = Self::proportional(candidates, load);
            return true;
        }
        if self.arcs.iter().all(|(_, node)| is_candidate(node)) {
            return false;
        }
        let idle = candidates
            .iter()
            .map(|(name, _)| name)
            .find(|name| !self.arcs.iter().any(|(_, node)| node == *name))
            .cloned();
        self.fill_gap(&is_candidate, idle, load);
        self.merge();
        self.repair(candidates, load);
        true
    }

    /// Gives the first gap to an idle node if there is one, else to its neighbours.
    fn fill_gap(
        &mut self,
        is_candidate: &dyn Fn(&NodeName) -> bool,
        idle: Option<NodeName>,
        load: &Load,
    ) {
        let Some(first) = self.arcs.iter().position(|(_, node)| !is_candidate(node)) else {
            return;
        };
        let behind = self.arcs[first..]
            .iter()
            .position(|(_, node)| is_candidate(node));
        let end = behind.map_or(self.arcs.len(), |offset| first + offset);
        let to = self.arcs[end - 1].0;
        let from = if first == 0 {
            0
        } else {
            self.arcs[first - 1].0 + 1
        };
        let left = first.checked_sub(1).map(|index| self.arcs[index].1.clone());
        let right = self.arcs.get(end).map(|(_, node)| node.clone());
        let filling = match (idle, left, right) {
            (Some(node), _, _) | (None, Some(node), None) | (None, None, Some(node)) => {
                vec![(to, node)]
            }
            (None, Some(left), Some(right)) => {
                let middle = middle_of_load(KeyRange { from, to }, load);
                if middle >= to {
                    vec![(to, left)]
                } else {
                    vec![(middle, left), (to, right)]
                }
            }
            (None, None, None) => return,
        };
        self.arcs.splice(first..end, filling);
    }

    /// Looks for a better plan and takes it if the busiest owner gains enough. Returns whether it did.
    pub fn rebalance(&mut self, candidates: &[Candidate], load: &Load) -> bool {
        if candidates.len() < 2 || self.is_empty() {
            return false;
        }
        let now = self.busiest(candidates, load);
        let idle = candidates
            .iter()
            .any(|(name, _)| !self.arcs.iter().any(|(_, node)| node == name));
        // What a few requests an owner seem to show is chance.
        let chance = CHANCE / load.requests_behind(candidates.len()).sqrt();
        if now < WORTH_A_LOOK.max(1.0 + chance) && !idle {
            return false;
        }
        let order = self.order(candidates, load);
        let better = Self::proportional(&order, load);
        if !idle && better.busiest(candidates, load) > now - LEAST_GAIN.max(chance / 2.0) {
            return false;
        }
        if better == *self {
            return false;
        }
        *self = better;
        true
    }

    /// Load over capacity of the busiest owner, in parts of the mean.
    fn busiest(&self, candidates: &[Candidate], load: &Load) -> f64 {
        let weights = load.weights();
        let total = weights.iter().sum::<f64>();
        let capacity = candidates
            .iter()
            .map(|(name, slots)| load.capacity(name, *slots))
            .sum::<f64>();
        let mean = total / capacity.max(f64::MIN_POSITIVE);
        let mut busiest = 0.0_f64;
        for (name, slots) in candidates {
            let own = self
                .ranges()
                .filter(|(_, node)| *node == name)
                .map(|(range, _)| weight_of(range, &weights))
                .sum::<f64>();
            busiest = busiest.max(own / load.capacity(name, *slots) / mean);
        }
        busiest
    }

    /// Owners in the order of their keys; those without keys go beside the busiest.
    fn order(&self, candidates: &[Candidate], load: &Load) -> Vec<Candidate> {
        let weights = load.weights();
        let mut order = Vec::<(Candidate, f64)>::new();
        for (range, node) in self.ranges() {
            let Some(candidate) = candidates.iter().find(|(name, _)| name == node) else {
                continue;
            };
            let share = weight_of(range, &weights) / load.capacity(&candidate.0, candidate.1);
            match order.iter_mut().find(|(known, _)| known.0 == candidate.0) {
                Some((_, sum)) => *sum += share,
                None => order.push((candidate.clone(), share)),
            }
        }
        for candidate in candidates {
            if order.iter().any(|(known, _)| known.0 == candidate.0) {
                continue;
            }
            let busiest = order
                .iter()
                .enumerate()
                .max_by(|left, right| left.1.1.total_cmp(&right.1.1))
                .map_or(0, |(index, _)| index + 1);
            order.insert(busiest, (candidate.clone(), 0.0));
        }
        order.into_iter().map(|(candidate, _)| candidate).collect()
    }

    /// Cuts the keys so that each owner, in this order, gets load in proportion to its capacity.
    fn proportional(order: &[Candidate], load: &Load) -> Self {
        let weights = load.weights();
        let total = weights.iter().sum::<f64>();
        let capacities = order
            .iter()
            .map(|(name, slots)| load.capacity(name, *slots))
            .collect::<Vec<_>>();
        let all = capacities.iter().sum::<f64>();
        let mut arcs = Vec::new();
        let mut bucket = 0;
        let mut passed = 0.0;
        let mut due = 0.0;
        for (index, (name, _)) in order.iter().enumerate() {
            due += total * capacities[index] / all;
            let owners_behind = order.len() - index - 1;
            let start = bucket;
            while bucket < BUCKETS - owners_behind
                && (bucket == start || passed + weights[bucket] / 2.0 < due)
            {
                passed += weights[bucket];
                bucket += 1;
            }
            if owners_behind == 0 {
                bucket = BUCKETS;
            }
            arcs.push((last_key_of(bucket - 1), name.clone()));
        }
        let mut plan = Self { arcs };
        plan.merge();
        plan
    }

    fn merge(&mut self) {
        let mut merged = Vec::<(u16, NodeName)>::with_capacity(self.arcs.len());
        for (to, node) in self.arcs.drain(..) {
            match merged.last_mut() {
                Some((last, known)) if *known == node => *last = to,
                _ => merged.push((to, node)),
            }
        }
        self.arcs = merged;
    }
}

fn last_key_of(bucket: usize) -> u16 {
    let keys = (bucket as u32 + 1) * KEYS_PER_BUCKET;
    u16::try_from(keys - 1).unwrap_or(u16::MAX)
}

fn weight_of(range: KeyRange, weights: &[f64]) -> f64 {
    weights[bucket_of(range.from)..=bucket_of(range.to)]
        .iter()
        .sum()
}

/// The last key of the first half of a range's load.
fn middle_of_load(range: KeyRange, load: &Load) -> u16 {
    let weights = load.weights();
    let half = weight_of(range, &weights) / 2.0;
    let mut passed = 0.0;
    let buckets = bucket_of(range.from)..=bucket_of(range.to);
    for (bucket, weight) in buckets.clone().zip(&weights[buckets]) {
        passed += weight;
        if passed >= half {
            return last_key_of(bucket).min(range.to);
        }
    }
    range.to
}
