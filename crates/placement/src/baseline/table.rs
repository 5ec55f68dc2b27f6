//! A slice table, as the control group keeps it.

use std::collections::{BTreeMap, BTreeSet};

use wingspar_world::{KeyHash, MonotonicTime, PlacementPolicy, SliceRange, TargetName};

use crate::{Action, SliceState, Successors, TargetState, initial};

/// A slice of a [`SliceTable`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedSlice {
    /// The slice.
    pub range: SliceRange,
    /// Its owner.
    pub owner: TargetName,
    /// When its owner got it.
    pub since: MonotonicTime,
    /// Requests a second, if known.
    pub load: Option<f64>,
}

/// The slices of one service, by first hash.
#[derive(Debug, Clone, Default)]
pub struct SliceTable {
    slices: BTreeMap<KeyHash, PlacedSlice>,
}

impl SliceTable {
    /// Places a new service.
    pub fn place(now: MonotonicTime, policy: &PlacementPolicy, targets: &[TargetState]) -> Self {
        let slice = |(range, owner): (SliceRange, TargetName)| {
            let placed = PlacedSlice {
                range,
                owner,
                since: now,
                load: None,
            };
            (range.first, placed)
        };
        let slices = initial(policy, targets).into_iter().map(slice).collect();
        Self { slices }
    }

    /// All slices in order of range.
    pub fn slices(&self) -> impl Iterator<Item = &PlacedSlice> {
        self.slices.values()
    }

    /// Number of slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Whether there is no slice.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// The slice that holds a key.
    pub fn find(&self, key: KeyHash) -> Option<&PlacedSlice> {
        let (_, slice) = self.slices.range(..=key).next_back()?;
        slice.range.contains(key).then_some(slice)
    }

    /// Slices from `cursor` on, as a planner reads them.
    pub fn states(&self, cursor: KeyHash) -> impl Iterator<Item = SliceState<'_>> {
        self.slices.range(cursor..).map(|(_, slice)| SliceState {
            range: slice.range,
            owner: Some(&slice.owner),
            moving_to: None,
            requests_per_second: slice.load,
            since: slice.since,
        })
    }

    /// Sets the loads from those of all keys, which are sorted by key.
    pub fn set_loads(&mut self, keys: &[(KeyHash, f64)]) {
        let mut rest = keys;
        for slice in self.slices.values_mut() {
            let inside = rest.partition_point(|(key, _)| *key <= slice.range.last);
            slice.load = Some(rest[..inside].iter().map(|(_, load)| load).sum());
            rest = &rest[inside..];
        }
    }

    /// Keeps the loads of each target's most loaded slices only, as many as given.
    pub fn forget_light_slices(&mut self, kept: usize) {
        let mut loads: BTreeMap<TargetName, Vec<f64>> = BTreeMap::new();
        for slice in self.slices.values() {
            let of_owner = loads.entry(slice.owner.clone()).or_default();
            of_owner.extend(slice.load);
        }
        for of_owner in loads.values_mut() {
            of_owner.sort_by(|left, right| right.total_cmp(left));
        }
        for slice in self.slices.values_mut() {
            let heavier = loads[&slice.owner].get(kept);
            slice.load = slice
                .load
                .filter(|load| heavier.is_none_or(|least| load > least));
        }
    }

    /// Carries an action out. False, changing nothing, when it does not fit the table.
    pub fn apply(&mut self, now: MonotonicTime, action: &Action) -> bool {
        match action {
            Action::Move {
                range, from, to, ..
            } => self.move_slice(now, range, from, to),
            Action::Split { range, at } => self.split(range, at),
            Action::Merge { left, right } => self.merge(left, right),
        }
    }

    fn move_slice(
        &mut self,
        now: MonotonicTime,
        range: &SliceRange,
        from: &TargetName,
        to: &TargetName,
    ) -> bool {
        let slice = self.slices.get_mut(&range.first);
        let Some(slice) = slice.filter(|slice| &slice.range == range && &slice.owner == from)
        else {
            return false;
        };
        slice.owner = to.clone();
        slice.since = now;
        true
    }

    fn split(&mut self, range: &SliceRange, at: &[KeyHash]) -> bool {
        let Some(slice) = self.exact(range) else {
            return false;
        };
        let rising = at.is_sorted_by(|left, right| left < right);
        let inside = at
            .iter()
            .all(|cut| *cut > range.first && range.contains(*cut));
        if !rising || !inside {
            return false;
        }
        let firsts = std::iter::once(range.first).chain(at.iter().copied());
        let lasts = at.iter().map(|cut| KeyHash(cut.0 - 1));
        for (first, last) in firsts.zip(lasts.chain([range.last])) {
            let part = PlacedSlice {
                range: SliceRange { first, last },
                load: None,
                ..slice.clone()
            };
            self.slices.insert(first, part);
        }
        true
    }

    fn merge(&mut self, left: &SliceRange, right: &SliceRange) -> bool {
        let (Some(low), Some(high)) = (self.exact(left), self.exact(right)) else {
            return false;
        };
        let adjacent = left.last.0.checked_add(1) == Some(right.first.0);
        if !adjacent || low.owner != high.owner {
            return false;
        }
        let whole = PlacedSlice {
            range: SliceRange {
                first: left.first,
                last: right.last,
            },
            owner: low.owner,
            since: low.since.max(high.since),
            load: low.load.zip(high.load).map(|(one, other)| one + other),
        };
        self.slices.remove(&right.first);
        self.slices.insert(left.first, whole);
        true
    }

    fn exact(&self, range: &SliceRange) -> Option<PlacedSlice> {
        let slice = self.slices.get(&range.first)?;
        (&slice.range == range).then(|| slice.clone())
    }

    /// Gives the slices of targets that don't accept slices to others.
    pub fn reassign(
        &mut self,
        now: MonotonicTime,
        policy: &PlacementPolicy,
        targets: &[TargetState],
    ) {
        let accepting = targets.iter().filter(|target| target.accepts);
        let accepting: BTreeSet<_> = accepting.map(|target| &target.name).collect();
        let mut successors = Successors::new(policy, targets, &BTreeSet::new());
        for slice in self.slices.values_mut() {
            if accepting.contains(&slice.owner) {
                continue;
            }
            if let Some(next) = successors.choose(&slice.range, slice.load) {
                slice.owner = next;
                slice.since = now;
            }
        }
    }
}
