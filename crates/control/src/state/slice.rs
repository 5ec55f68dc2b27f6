//! Slices of one service and who owns them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use wingspar_wire::StateVersion;
use wingspar_world::{Fence, KeyHash, SliceRange, TargetName};

use crate::command::SliceOwner;
use crate::operator::AssignmentReason;

/// How a slice came to its present owner, or what is known for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TakeoverKind {
    /// It never had an owner before.
    First,
    /// Handed over, remembered requests included.
    Planned,
    /// The owner before was lost, or its remembered requests were.
    Unplanned,
}

/// A hand-over under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Version of the state that began it; names it.
    pub id: StateVersion,
    /// Next owner; none when the slice is only to be given up.
    pub to: Option<SliceOwner>,
    /// Why.
    pub reason: AssignmentReason,
}

/// One slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// Its keys.
    pub range: SliceRange,
    /// Fence of the newest grant; the default when it never had one.
    pub fence: Fence,
    /// Who owns it.
    pub owner: Option<SliceOwner>,
    /// The hand-over under way, if any; only while there is an owner.
    pub hand_over: Option<HandOver>,
    /// Why it has this owner, or lost it.
    pub reason: AssignmentReason,
    /// How it came to its owner.
    pub takeover: TakeoverKind,
    /// When it came to its owner, or lost it.
    pub since: StateVersion,
    /// Target that is the best next owner of a slice without one.
    pub preferred: Option<TargetName>,
}

impl Slice {
    /// A slice that never had an owner.
    pub fn new(range: SliceRange, since: StateVersion) -> Self {
        Self {
            range,
            fence: Fence::default(),
            owner: None,
            hand_over: None,
            reason: AssignmentReason::Initial,
            takeover: TakeoverKind::First,
            since,
            preferred: None,
        }
    }

    /// Gives the slice to an owner under a new fence, which must outrank the old one.
    pub(crate) fn give_to(&mut self, owner: SliceOwner, at: StateVersion, kind: TakeoverKind) {
        let fence = Fence {
            generation: at.generation,
            sequence: at.sequence,
        };
        assert!(
            fence > self.fence,
            "fences must rise: {fence} after {}",
            self.fence
        );
        self.fence = fence;
        self.owner = Some(owner);
        self.hand_over = None;
        self.takeover = kind;
        self.since = at;
        self.preferred = None;
    }

    /// Takes the slice from an owner that is lost or that gave it up without a successor.
    pub(crate) fn orphan(&mut self, at: StateVersion, reason: AssignmentReason) {
        let hand_over = self.hand_over.take();
        self.preferred = hand_over.and_then(|it| it.to).map(|to| to.target);
        self.owner = None;
        self.reason = reason;
        self.since = at;
    }

    /// How the next owner comes to a slice without owner.
    pub(crate) fn next_takeover(&self) -> TakeoverKind {
        if self.fence == Fence::default() {
            TakeoverKind::First
        } else {
            TakeoverKind::Unplanned
        }
    }
}

/// Slices of one service in order; together they cover the ring without overlap.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SliceMap {
    slices: BTreeMap<KeyHash, Slice>,
}

impl SliceMap {
    /// Cuts the ring into equal slices.
    pub(crate) fn partition(count: u32, since: StateVersion) -> Self {
        SliceRange::partition(count)
            .into_iter()
            .map(|range| Slice::new(range, since))
            .collect()
    }

    /// All slices in order.
    pub fn iter(&self) -> impl Iterator<Item = &Slice> {
        self.slices.values()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Slice> {
        self.slices.values_mut()
    }

    /// Number of slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Whether there is no slice.
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }

    /// The slice with exactly this range.
    pub fn get(&self, range: &SliceRange) -> Option<&Slice> {
        let slice = self.slices.get(&range.first)?;
        (slice.range == *range).then_some(slice)
    }

    pub(crate) fn get_mut(&mut self, range: &SliceRange) -> Option<&mut Slice> {
        let slice = self.slices.get_mut(&range.first)?;
        (slice.range == *range).then_some(slice)
    }

    /// The slice that holds a key.
    pub fn at(&self, key: KeyHash) -> Option<&Slice> {
        let (_, slice) = self.slices.range(..=key).next_back()?;
        slice.range.contains(key).then_some(slice)
    }

    /// Slices that share keys with a range, in order.
    pub fn overlapping(&self, range: SliceRange) -> impl Iterator<Item = &Slice> {
        let first = self
            .at(range.first)
            .map_or(range.first, |it| it.range.first);
        self.slices
            .range(first..=range.last)
            .map(|(_, slice)| slice)
    }

    /// Cuts a slice in two at the first key of the second part. False when there is no such slice,
    /// the cut lies outside, or the slice is being handed over.
    pub(crate) fn split(&mut self, range: &SliceRange, at: KeyHash) -> bool {
        let Some(slice) = self.get_mut(range) else {
            return false;
        };
        if at <= range.first || at > range.last || slice.hand_over.is_some() {
            return false;
        }
        let mut second = slice.clone();
        slice.range.last = KeyHash(at.0 - 1);
        second.range.first = at;
        self.slices.insert(at, second);
        true
    }

    /// Joins two neighbouring slices of one owner that are not being handed over.
    pub(crate) fn merge(&mut self, first: &SliceRange, second: &SliceRange) -> bool {
        let (Some(left), Some(right)) = (self.get(first), self.get(second)) else {
            return false;
        };
        let adjacent = first.last.0.checked_add(1) == Some(second.first.0);
        let quiet = left.hand_over.is_none() && right.hand_over.is_none();
        let same = left.owner.is_some() && left.owner == right.owner;
        if !(adjacent && quiet && same) {
            return false;
        }
        let right = right.clone();
        self.slices.remove(&second.first);
        let left = self
            .get_mut(first)
            .expect("the first slice was found above");
        left.range.last = second.last;
        if right.fence > left.fence {
            left.fence = right.fence;
        }
        // The joined slice must be as careful as the more careful part.
        if right.takeover == TakeoverKind::Unplanned {
            left.takeover = TakeoverKind::Unplanned;
        }
        left.since = left.since.max(right.since);
        true
    }

    /// Whether the slices cover the ring without overlap.
    pub(crate) fn is_partition(&self) -> bool {
        let mut next = Some(0_u64);
        for (first, slice) in &self.slices {
            if next != Some(first.0) || slice.range.first != *first || slice.range.last < *first {
                return false;
            }
            next = slice.range.last.0.checked_add(1);
        }
        next.is_none()
    }
}

impl FromIterator<Slice> for SliceMap {
    fn from_iter<I: IntoIterator<Item = Slice>>(slices: I) -> Self {
        let slices = slices.into_iter().map(|slice| (slice.range.first, slice));
        Self {
            slices: slices.collect(),
        }
    }
}
