//! The planned owners of the keys of one service.

use crate::load::{BUCKETS, KEYS_PER_BUCKET, Load, bucket_of};
use crate::{KeyRange, NodeName, step_function};

/// The busiest owner's utilisation, relative to the mean, above which load is moved off it. Each
/// move leaves its keys unserved for a moment.
const IMBALANCE_THRESHOLD: f64 = 1.18;
/// The relative utilisation down to which moving continues. It is below the threshold, so that the
/// next report doesn't start another move.
const IMBALANCE_TARGET: f64 = 1.07;
/// An owner below this utilisation isn't relieved, however idle others are: with a dozen slots
/// hardly any request waits.
const MIN_BUSY_UTILISATION: f64 = 0.55;
/// Least load that a move may carry, relative to the best amount (see [`Owners::amount_to_move`]);
/// the second value applies where some keys carry so much that no range fits the first.
const MIN_MOVE_SHARES: [f64; 2] = [0.92, 0.3];
/// Most load that a move may carry, relative to the best amount.
const MAX_MOVE_SHARE: f64 = 1.25;
/// The lightest arcs are merged into their neighbours when there are more than this number per
/// owner, plus [`EXTRA_ARCS`].
const ARCS_PER_OWNER: usize = 10;
/// Number of arcs, for all owners together, that are allowed beyond [`ARCS_PER_OWNER`] each.
const EXTRA_ARCS: usize = 12;
/// At most one arc in this number is merged at once, so that few keys move at the same time.
const ARCS_PER_MERGE: usize = 20;

/// Consecutive ranges of keys (arcs) and their owners. Covers all keys or none.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Last key and owner of each arc, in the order of keys.
    arcs: Vec<(u16, NodeName)>,
}

/// Fewest standard deviations of an owner's load that are attributed to chance.
const MIN_CHANCE_DEVIATIONS: f64 = 1.5;

/// A node that can own keys, and the number of its target's slots that requests can use; less than
/// one where few requests per second may start.
pub type Candidate = (NodeName, f64);

impl Plan {
    /// A plan from arcs in the order of keys; empty unless they cover all keys.
    pub fn from_arcs(arcs: Vec<(u16, NodeName)>) -> Self {
        let whole = arcs.last().is_some_and(|(to, _)| *to == u16::MAX);
        let rising = arcs.windows(2).all(|pair| pair[0].0 < pair[1].0);
        if whole && rising {
            Self { arcs }
        } else {
            Self::default()
        }
    }

    /// Last key and owner of each arc, in the order of keys.
    pub fn arcs(&self) -> &[(u16, NodeName)] {
        &self.arcs
    }

    /// Whether the plan covers no keys.
    pub fn is_empty(&self) -> bool {
        self.arcs.is_empty()
    }

    /// The arcs as ranges with their owners.
    pub fn ranges(&self) -> impl Iterator<Item = (KeyRange, &NodeName)> {
        step_function::ranges(&self.arcs)
    }

    /// Removes nodes that can't own keys any more; their neighbours share their keys. Returns
    /// whether the plan changed.
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

    /// Assigns the first gap to a node without keys if there is one, otherwise to the gap's
    /// neighbours.
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

    /// Moves load off overloaded owners with as few keys as possible, and gives keys to a node
    /// without any. Returns whether the plan changed.
    pub fn rebalance(&mut self, candidates: &[Candidate], load: &Load) -> bool {
        if candidates.len() < 2 || self.is_empty() {
            return false;
        }
        let before = self.clone();
        let weights = load.weights();
        let noise = chance_deviations(candidates.len()) / load.sample_size(candidates.len()).sqrt();
        let mut owners = self.owners(candidates, load, &weights);
        if self.arcs.len() > ARCS_PER_OWNER * candidates.len() + EXTRA_ARCS {
            self.merge_lightest(&mut owners, &weights);
        }
        let mut moved = false;
        for _ in 0..3 * candidates.len() {
            let threshold = if moved {
                IMBALANCE_TARGET.max(1.0 + noise / 2.0)
            } else {
                IMBALANCE_THRESHOLD.max(1.0 + noise)
            };
            let is_balanced = !owners.has_idle() && !owners.is_imbalanced(threshold);
            let Some((busiest, least)) = owners.extremes().filter(|_| !is_balanced) else {
                break;
            };
            if self.move_load(&mut owners, busiest, least, &weights) {
                moved = true;
            } else {
                // For example, an owner of a single key with more requests than it can serve.
                // Others may still be overloaded.
                owners.list[busiest].stuck = true;
            }
        }
        *self != before
    }

    /// Merges the lightest arcs into their less busy neighbours.
    fn merge_lightest(&mut self, owners: &mut Owners, weights: &[f64]) {
        let arcs = self.ranges().map(|(range, _)| weight_of(range, weights));
        let mut order = arcs.enumerate().collect::<Vec<_>>();
        order.sort_by(|left, right| left.1.total_cmp(&right.1));
        let mut joined = 0;
        for (index, weight) in order {
            if joined * ARCS_PER_MERGE >= self.arcs.len() {
                break;
            }
            let owner = &self.arcs[index].1;
            let owns_others = self.owns_other_arcs(index);
            let donor = owners.position(owner).filter(|_| owns_others);
            let recipient = self.less_busy_neighbour(index, owners);
            let (Some(donor), Some(recipient)) = (donor, recipient) else {
                continue;
            };
            owners.list[donor].load -= weight;
            owners.list[recipient].load += weight;
            self.arcs[index].1 = owners.list[recipient].name.clone();
            joined += 1;
        }
        self.merge();
    }

    /// Whether the owner of an arc owns other arcs too.
    fn owns_other_arcs(&self, index: usize) -> bool {
        let owner = &self.arcs[index].1;
        let mut others = self.arcs.iter().enumerate();
        others.any(|(other, (_, node))| other != index && node == owner)
    }

    /// The less busy of the other owners next to an arc.
    fn less_busy_neighbour(&self, index: usize, owners: &Owners) -> Option<usize> {
        let neighbours = [index.checked_sub(1), Some(index + 1)];
        let neighbours = neighbours.into_iter().flatten();
        neighbours
            .filter_map(|neighbour| Some(&self.arcs.get(neighbour)?.1))
            .filter(|node| **node != self.arcs[index].1)
            .filter_map(|node| owners.position(node))
            .min_by(|left, right| owners.by_utilisation(*left, *right))
    }

    /// Moves a range of one owner's keys to another. Returns whether there is a range that fits.
    fn move_load(
        &mut self,
        owners: &mut Owners,
        busiest: usize,
        least: usize,
        weights: &[f64],
    ) -> bool {
        let amount = owners.amount_to_move(busiest, least);
        let owner = &owners.list[busiest].name;
        let part = MIN_MOVE_SHARES.into_iter().find_map(|least| {
            self.shortest_range(owner, amount * least, amount * MAX_MOVE_SHARE, weights)
        });
        let Some((range, moved)) = part else {
            return false;
        };
        owners.list[busiest].load -= moved;
        owners.list[least].load += moved;
        owners.list[least].has_keys = true;
        let recipient = owners.list[least].name.clone();
        self.arcs = step_function::overlaid(&self.arcs, &[(range, recipient)]);
        true
    }

    /// The fewest consecutive keys of an owner whose load is within the bounds, and that load.
    fn shortest_range(
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

    /// The candidates with their load.
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
            busy_threshold: if load.has_service_times() {
                MIN_BUSY_UTILISATION
            } else {
                0.0
            },
        }
    }

    /// Divides the keys so that the load of each owner, in this order, is proportional to its
    /// capacity.
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
        let mut assigned_load = 0.0;
        let mut target_load = 0.0;
        for (index, (name, _)) in order.iter().enumerate() {
            target_load += total * capacities[index] / all;
            let owners_left = order.len() - index - 1;
            let start = bucket;
            while bucket < BUCKETS - owners_left
                && (bucket == start || assigned_load + weights[bucket] / 2.0 < target_load)
            {
                assigned_load += weights[bucket];
                bucket += 1;
            }
            if owners_left == 0 {
                bucket = BUCKETS;
            }
            arcs.push((last_key_of(bucket - 1), name.clone()));
        }
        let mut plan = Self { arcs };
        plan.merge();
        plan
    }

    fn merge(&mut self) {
        self.arcs = step_function::joined(self.arcs.drain(..));
    }
}

/// An owner with its load and capacity.
struct OwnerLoad {
    name: NodeName,
    /// Requests per second that it can finish.
    capacity: f64,
    /// Requests per second for its keys.
    load: f64,
    has_keys: bool,
    /// Whether no range of its keys can be moved off it.
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
    /// An owner is busy above this utilisation.
    busy_threshold: f64,
}

impl Owners {
    fn has_idle(&self) -> bool {
        self.list.iter().any(|owner| !owner.has_keys)
    }

    /// Owners off which load can be moved.
    fn movable(&self) -> impl Iterator<Item = &OwnerLoad> {
        self.list.iter().filter(|owner| !owner.stuck)
    }

    fn position(&self, name: &NodeName) -> Option<usize> {
        self.list.iter().position(|owner| owner.name == *name)
    }

    fn by_utilisation(&self, left: usize, right: usize) -> std::cmp::Ordering {
        let (left, right) = (&self.list[left], &self.list[right]);
        left.utilisation().total_cmp(&right.utilisation())
    }

    /// Total load over total capacity.
    fn mean(&self) -> f64 {
        let load = self.movable().map(|owner| owner.load).sum::<f64>();
        let capacity = self.movable().map(|owner| owner.capacity).sum::<f64>();
        load / capacity.max(f64::MIN_POSITIVE)
    }

    /// Whether the busiest owner is busy, and at least this many times as busy as the mean.
    fn is_imbalanced(&self, times: f64) -> bool {
        let utilisations = self.movable().map(OwnerLoad::utilisation);
        let busiest = utilisations.fold(0.0, f64::max);
        busiest > self.busy_threshold && busiest > self.mean() * times
    }

    /// The busiest and the least busy owner, unless they are the same. An owner without keys counts
    /// as least busy.
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

    /// The load whose move makes both owners equally busy, limited so that the recipient doesn't
    /// get much busier than the mean.
    fn amount_to_move(&self, from: usize, to: usize) -> f64 {
        let (from, to) = (&self.list[from], &self.list[to]);
        let equal =
            (from.load * to.capacity - to.load * from.capacity) / (from.capacity + to.capacity);
        let room = self.mean() * IMBALANCE_THRESHOLD * to.capacity - to.load;
        equal.min(room).max(0.0)
    }
}

/// Standard deviations that the busiest of `owners` equally busy owners is likely to deviate by
/// chance: the largest of that many normal variables is about the square root of twice the
/// logarithm of their number.
fn chance_deviations(owners: usize) -> f64 {
    (2.0 * (owners.max(1) as f64).ln())
        .sqrt()
        .max(MIN_CHANCE_DEVIATIONS)
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
    let bucket = load.load_midpoint(bucket_of(range.from)..=bucket_of(range.to));
    last_key_of(bucket).min(range.to)
}
