//! Which node should own which keys of one service.

use crate::balance::{BUCKETS, KEYS_PER_BUCKET, Load, bucket_of};
use crate::{KeyRange, NodeName, steps};

/// The busiest owner's utilisation, in parts of the mean, from which load is taken off it: each move leaves its keys
/// unserved for a moment.
const IMBALANCE_THRESHOLD: f64 = 1.18;
/// The same, down to which that goes on; below the threshold, so that the next report doesn't set it off again.
const IMBALANCE_TARGET: f64 = 1.07;
/// An owner that uses less than this part of its capacity is left as it is, however idle others are: with a dozen
/// slots hardly a request waits.
const LEAST_UTILISATION: f64 = 0.55;
/// Least that is moved at once, in parts of what would be best, and the same where some keys weigh so
/// much that no part fits.
const LEAST_PARTS: [f64; 2] = [0.92, 0.3];
/// Most that is moved at once, in parts of what would be best.
const LARGEST_PART: f64 = 1.25;
/// Arcs an owner may have on average, and beyond that for all, before the lightest are joined to their neighbours.
const ARCS_AN_OWNER: usize = 10;
const SPARE_ARCS: usize = 12;
/// One arc in so many is joined at once, so that few keys are on their way together.
const JOINED_PART: usize = 20;

/// Consecutive ranges and their owners; covers all keys or none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Last key and owner, in the order of keys.
    arcs: Vec<(u16, NodeName)>,
}

/// Fewest deviations of an owner's load that are taken for chance.
const LEAST_CHANCE: f64 = 1.5;

/// An owner that takes keys, with the slots of its target that it can use: less than one where few requests may start a
/// second.
pub type Candidate = (NodeName, f64);

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
        steps::ranges(&self.arcs)
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

    /// Takes load off owners that have too much, with as few keys as that takes, and gives an idle owner
    /// a part. Returns whether anything changed.
    pub fn rebalance(&mut self, candidates: &[Candidate], load: &Load) -> bool {
        if candidates.len() < 2 || self.is_empty() {
            return false;
        }
        let before = self.clone();
        let weights = load.weights();
        let chance = chance(candidates.len()) / load.requests_behind(candidates.len()).sqrt();
        let mut owners = self.owners(candidates, load, &weights);
        if self.arcs.len() > ARCS_AN_OWNER * candidates.len() + SPARE_ARCS {
            self.join_lightest(&mut owners, &weights);
        }
        let mut moved = false;
        for _ in 0..3 * candidates.len() {
            let unfair = if moved {
                IMBALANCE_TARGET.max(1.0 + chance / 2.0)
            } else {
                IMBALANCE_THRESHOLD.max(1.0 + chance)
            };
            let enough = !owners.has_idle() && !owners.is_unfair(unfair);
            let Some((busiest, least)) = owners.extremes().filter(|_| !enough) else {
                break;
            };
            if self.relieve(&mut owners, busiest, least, &weights) {
                moved = true;
            } else {
                // As of an owner of one key that is asked for more than it can serve. Others may be unfair still.
                owners.list[busiest].stuck = true;
            }
        }
        *self != before
    }

    /// Gives the lightest arcs to the less busy one of their neighbours.
    fn join_lightest(&mut self, owners: &mut Owners, weights: &[f64]) {
        let arcs = self.ranges().map(|(range, _)| weight_of(range, weights));
        let mut order = arcs.enumerate().collect::<Vec<_>>();
        order.sort_by(|left, right| left.1.total_cmp(&right.1));
        let mut joined = 0;
        for (index, weight) in order {
            if joined * JOINED_PART >= self.arcs.len() {
                break;
            }
            let owner = &self.arcs[index].1;
            let owns_others = self.owns_other_arcs(index);
            let giver = owners.position(owner).filter(|_| owns_others);
            let taker = self.less_busy_neighbour(index, owners);
            let (Some(giver), Some(taker)) = (giver, taker) else {
                continue;
            };
            owners.list[giver].load -= weight;
            owners.list[taker].load += weight;
            self.arcs[index].1 = owners.list[taker].name.clone();
            joined += 1;
        }
        self.merge();
    }

    /// Whether the owner of an arc owns others too.
    fn owns_other_arcs(&self, index: usize) -> bool {
        let owner = &self.arcs[index].1;
        let mut others = self.arcs.iter().enumerate();
        others.any(|(other, (_, node))| other != index && node == owner)
    }

    /// The less busy of the other owners beside an arc.
    fn less_busy_neighbour(&self, index: usize, owners: &Owners) -> Option<usize> {
        let neighbours = [index.checked_sub(1), Some(index + 1)];
        let neighbours = neighbours.into_iter().flatten();
        neighbours
            .filter_map(|neighbour| Some(&self.arcs.get(neighbour)?.1))
            .filter(|node| **node != self.arcs[index].1)
            .filter_map(|node| owners.position(node))
            .min_by(|left, right| owners.by_utilisation(*left, *right))
    }

    /// Moves a part of one owner's keys to another. Returns whether there is a part that fits.
    fn relieve(
        &mut self,
        owners: &mut Owners,
        busiest: usize,
        least: usize,
        weights: &[f64],
    ) -> bool {
        let amount = owners.amount_to_move(busiest, least);
        let owner = &owners.list[busiest].name;
        let part = LEAST_PARTS.into_iter().find_map(|least| {
            self.densest_part(owner, amount * least, amount * LARGEST_PART, weights)
        });
        let Some((range, moved)) = part else {
            return false;
        };
        owners.list[busiest].load -= moved;
        owners.list[least].load += moved;
        owners.list[least].has_keys = true;
        let taker = owners.list[least].name.clone();
        self.arcs = steps::overlaid(&self.arcs, &[(range, taker)]);
        true
    }

    /// The fewest consecutive keys of an owner whose load is within bounds, and what they carry.
    fn densest_part(
        &self,
        owner: &NodeName,
        least: f64,
        most: f64,
        weights: &[f64],
    ) -> Option<(KeyRange, f64)> {
        let mut best = None::<(usize, usize, f64)>;
        for (range, _) in self.ranges().filter(|(_, node)| *node == owner) {
            let buckets = bucket_of(range.from)..=bucket_of(range.to);
            let mut first = *buckets.start();
            let mut sum = 0.0;
            for last in buckets {
                sum += weights[last];
                while first < last && sum - weights[first] >= least {
                    sum -= weights[first];
                    first += 1;
                }
                let fits = (least..=most).contains(&sum);
                let shorter = best.is_none_or(|(from, to, _)| last - first < to - from);
                if fits && shorter {
                    best = Some((first, last, sum));
                }
            }
        }
        let (first, last, sum) = best?;
        let range = KeyRange {
            from: first_key_of(first),
            to: last_key_of(last),
        };
        Some((range, sum))
    }

    /// The owners with what they carry.
    fn owners(&self, candidates: &[Candidate], load: &Load, weights: &[f64]) -> Owners {
        let list = candidates.iter().map(|(name, slots)| {
            let own = self.ranges().filter(|(_, node)| *node == name);
            let own = own
                .map(|(range, _)| weight_of(range, weights))
                .collect::<Vec<_>>();
            OwnerLoad {
                name: name.clone(),
                capacity: load.capacity(name, *slots),
                load: own.iter().sum(),
                has_keys: !own.is_empty(),
                stuck: false,
            }
        });
        Owners {
            list: list.collect(),
            busy: if load.knows_capacities() {
                LEAST_UTILISATION
            } else {
                0.0
            },
        }
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
        self.arcs = steps::joined(self.arcs.drain(..));
    }
}

/// An owner and what it carries.
struct OwnerLoad {
    name: NodeName,
    /// Requests a second that it can finish.
    capacity: f64,
    /// Requests a second for its keys.
    load: f64,
    has_keys: bool,
    /// Whether nothing can be taken off it.
    stuck: bool,
}

impl OwnerLoad {
    fn utilisation(&self) -> f64 {
        self.load / self.capacity
    }
}

/// All owners of a plan.
struct Owners {
    list: Vec<OwnerLoad>,
    /// An owner that uses no more than this part of its capacity isn't busy.
    busy: f64,
}

impl Owners {
    fn has_idle(&self) -> bool {
        self.list.iter().any(|owner| !owner.has_keys)
    }

    /// Owners that something can be taken off.
    fn free(&self) -> impl Iterator<Item = &OwnerLoad> {
        self.list.iter().filter(|owner| !owner.stuck)
    }

    fn position(&self, name: &NodeName) -> Option<usize> {
        self.list.iter().position(|owner| owner.name == *name)
    }

    fn by_utilisation(&self, left: usize, right: usize) -> std::cmp::Ordering {
        let (left, right) = (&self.list[left], &self.list[right]);
        left.utilisation().total_cmp(&right.utilisation())
    }

    /// Load over capacity of all together.
    fn mean(&self) -> f64 {
        let load = self.free().map(|owner| owner.load).sum::<f64>();
        let capacity = self.free().map(|owner| owner.capacity).sum::<f64>();
        load / capacity.max(f64::MIN_POSITIVE)
    }

    /// Whether the busiest is busy, and that many times as busy as the mean.
    fn is_unfair(&self, times: f64) -> bool {
        let utilisations = self.free().map(OwnerLoad::utilisation);
        let busiest = utilisations.fold(0.0, f64::max);
        busiest > self.busy && busiest > self.mean() * times
    }

    /// The busiest and the least busy owner, if they aren't the same. One without keys comes first.
    fn extremes(&self) -> Option<(usize, usize)> {
        let order = |left: &usize, right: &usize| {
            let has_keys = |index: usize| self.list[index].has_keys;
            let keys = has_keys(*left).cmp(&has_keys(*right));
            keys.then(self.by_utilisation(*left, *right))
        };
        let all = 0..self.list.len();
        let free = all.clone().filter(|index| !self.list[*index].stuck);
        let busiest = free.max_by(order)?;
        let least = all.min_by(order)?;
        (busiest != least).then_some((busiest, least))
    }

    /// Load that makes both equally busy, but the taker not much busier than the mean.
    fn amount_to_move(&self, from: usize, to: usize) -> f64 {
        let (from, to) = (&self.list[from], &self.list[to]);
        let equal =
            (from.load * to.capacity - to.load * from.capacity) / (from.capacity + to.capacity);
        let room = self.mean() * IMBALANCE_THRESHOLD * to.capacity - to.load;
        equal.min(room).max(0.0)
    }
}

/// Deviations that the busiest of several equally busy owners is likely to show by chance: the largest of `owners`
/// normal variables is about the square root of twice the logarithm of their number.
fn chance(owners: usize) -> f64 {
    (2.0 * (owners.max(1) as f64).ln()).sqrt().max(LEAST_CHANCE)
}

fn last_key_of(bucket: usize) -> u16 {
    let keys = (bucket as u32 + 1) * KEYS_PER_BUCKET;
    u16::try_from(keys - 1).unwrap_or(u16::MAX)
}

fn first_key_of(bucket: usize) -> u16 {
    u16::try_from(bucket as u32 * KEYS_PER_BUCKET).unwrap_or(u16::MAX)
}

fn weight_of(range: KeyRange, weights: &[f64]) -> f64 {
    weights[bucket_of(range.from)..=bucket_of(range.to)]
        .iter()
        .sum()
}

/// The last key of the first half of a range's load.
fn middle_of_load(range: KeyRange, load: &Load) -> u16 {
    let bucket = load.middle_of(bucket_of(range.from)..=bucket_of(range.to));
    last_key_of(bucket).min(range.to)
}
